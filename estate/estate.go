package estate

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/entry"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/standin"
)

const (
	endpointSlots       = 8
	endpointConnections = 64
	readHeaderTimeout   = 5 * time.Second
)

// Estate is a running sample estate; its stand-ins are open to tests.
type Estate struct {
	Store     *standin.Store
	Platform  *standin.Platform
	Endpoints []*standin.Endpoint
	// Entries are the settings of the entry hosts, with the addresses that they listen on.
	Entries []settings.Settings

	log         *log.Logger
	entryCount  int
	endpointCnt int
	service     time.Duration
	stops       []context.CancelFunc
	wg          sync.WaitGroup
	servers     []*http.Server
}

// Option configures an Estate.
type Option func(*Estate)

// WithEntries sets the number of entry hosts.
func WithEntries(n int) Option {
	return func(e *Estate) { e.entryCount = n }
}

// WithEndpoints sets the number of endpoints and how long each takes for a request.
func WithEndpoints(n int, service time.Duration) Option {
	return func(e *Estate) { e.endpointCnt, e.service = n, service }
}

// New returns an estate that is not yet running.
func New(l *log.Logger, opts ...Option) *Estate {
	e := &Estate{
		Store: standin.NewStore(), Platform: standin.NewPlatform(), log: l,
		entryCount: 3, endpointCnt: 10, service: 20 * time.Millisecond,
	}
	for _, opt := range opts {
		opt(e)
	}

	return e
}

// Start runs the stand-ins and the entry hosts and returns when all listen.
func (e *Estate) Start(ctx context.Context) error {
	storeAddr, err := e.serve(ctx, e.Store)
	if err != nil {
		return err
	}
	platformAddr, err := e.serve(ctx, e.Platform)
	if err != nil {
		return err
	}
	if err := e.startEndpoints(ctx); err != nil {
		return err
	}

	for i := range e.entryCount {
		s := settings.Settings{
			Name: fleet.EntryName(fmt.Sprintf("entry-%d", i+1)), Region: "region-1", Zone: zoneOf(i),
			StoreAddress: storeAddr, PlatformAddress: platformAddr, OperatorToken: "dev-operator",
		}
		if err := e.startEntry(ctx, s); err != nil {
			return err
		}
	}

	return nil
}

// Stop stops the entry hosts gracefully, then the stand-ins.
func (e *Estate) Stop() {
	for _, stop := range e.stops {
		stop()
	}
	e.wg.Wait()
	for _, s := range e.servers {
		_ = s.Close()
	}
}

func (e *Estate) startEndpoints(ctx context.Context) error {
	for i := range e.endpointCnt {
		ep := standin.NewEndpoint(e.service)
		addr, err := e.serve(ctx, ep)
		if err != nil {
			return err
		}
		host := fleet.HostName(fmt.Sprintf("worker-%02d", i+1))
		pool := fleet.PoolName("ledger-a")
		if i%5 == 4 {
			pool = "ledger-b"
		}
		e.Endpoints = append(e.Endpoints, ep)
		e.Platform.PutHost(fleet.Host{
			Name: host, Region: "region-1", Zone: zoneOf(i), Rack: fleet.RackName(fmt.Sprintf("rack-%d", i/4+1)),
			Pool: pool, State: fleet.HostLive, Capacity: fleet.Resources{Cores: 16_000, Memory: 32 << 10},
		})
		e.Platform.PutEndpoint(fleet.Endpoint{
			Name: fleet.EndpointName(fmt.Sprintf("runner-%02d", i+1)), Address: addr, Host: host, Pool: pool, Zone: zoneOf(i),
			Slots: endpointSlots, Connections: endpointConnections,
		})
	}

	return nil
}

func (e *Estate) startEntry(ctx context.Context, s settings.Settings) error {
	var err error
	if s.CallerAddress, err = freeAddress(ctx); err != nil {
		return err
	}
	if s.OperatorAddress, err = freeAddress(ctx); err != nil {
		return err
	}

	ctx, stop := context.WithCancel(ctx)
	e.stops = append(e.stops, stop)
	e.Entries = append(e.Entries, s)
	h := entry.New(s, e.log)
	e.wg.Go(func() {
		if err := h.Run(ctx); err != nil {
			e.log.Error("entry host", "entry", s.Name, "err", err)
		}
	})

	return awaitListening(ctx, s.CallerAddress, s.OperatorAddress)
}

// serve serves h on a loopback port that the kernel chooses.
func (e *Estate) serve(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, merry.Prepend(err, "listen")
	}

	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	e.servers = append(e.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("stand-in", "err", err)
		}
	}()

	return netip.ParseAddrPort(l.Addr().String())
}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress(ctx context.Context) (netip.AddrPort, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, merry.Prepend(err, "listen")
	}
	defer func() { _ = l.Close() }()

	return netip.ParseAddrPort(l.Addr().String())
}

func awaitListening(ctx context.Context, addrs ...netip.AddrPort) error {
	var d net.Dialer
	for _, a := range addrs {
		for {
			c, err := d.DialContext(ctx, "tcp", a.String())
			if err == nil {
				_ = c.Close()
				break
			}
			if ctx.Err() != nil {
				return merry.Prependf(ctx.Err(), "%s does not listen", a)
			}
			time.Sleep(time.Millisecond)
		}
	}

	return nil
}

func zoneOf(i int) fleet.ZoneName {
	return fleet.ZoneName("zone-" + string(rune('a'+i%4)))
}
