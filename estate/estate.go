package estate

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/cert"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/standin"
)

const (
	defaultEntries    = 3
	defaultService    = 20 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
)

// Estate is a sample installation. Its fakes are exported for tests.
type Estate struct {
	Sample    Sample
	Store     *standin.Store
	Platform  *standin.Platform
	Endpoints []*standin.Endpoint
	// Keys are the secrets of the keys that Prepare issued, by team.
	Keys map[fleet.TeamName]string

	log        *log.Logger
	entryCount int
	separate   string
	authority  *cert.Authority
	// certificates is the directory of the certificates; temporary is the directory that Stop removes, if any.
	certificates, temporary string
	service                 time.Duration
	servers                 []*http.Server

	sockets         *sockets
	storeAddress    netip.AddrPort
	platformAddress netip.AddrPort

	mu      sync.Mutex
	entries []*entryHost
}

// Option configures an Estate.
type Option func(*Estate)

// WithEntries sets the number of entry hosts.
func WithEntries(n int) Option {
	return func(e *Estate) { e.entryCount = n }
}

// WithSample sets the lists, hosts and endpoints; the default is Ledger.
func WithSample(s Sample) Option {
	return func(e *Estate) { e.Sample = s }
}

// WithService sets the service time of the endpoints.
func WithService(d time.Duration) Option {
	return func(e *Estate) { e.service = d }
}

// New returns an estate that has not been started.
func New(l *log.Logger, opts ...Option) *Estate {
	e := &Estate{
		Sample: Ledger(), Store: standin.NewStore(), Platform: standin.NewPlatform(), Keys: map[fleet.TeamName]string{},
		sockets: newSockets(), log: l, entryCount: defaultEntries, service: defaultService,
	}
	for _, opt := range opts {
		opt(e)
	}

	return e
}

// Start starts the fakes and the entry hosts and returns when all listen.
func (e *Estate) Start(ctx context.Context) error {
	err := e.prepareCertificates()
	if err != nil {
		return err
	}
	if e.storeAddress, err = e.serve(ctx, e.Store); err != nil {
		return err
	}
	if e.platformAddress, err = e.serve(ctx, e.Platform); err != nil {
		return err
	}
	for _, h := range e.Sample.Hosts {
		e.Platform.PutHost(h)
	}
	if err := e.startEndpoints(ctx); err != nil {
		return err
	}

	for range e.entryCount {
		if _, err := e.AddEntry(ctx); err != nil {
			return err
		}
	}

	return nil
}

// Stop gracefully stops the entry hosts, then the fakes.
func (e *Estate) Stop() {
	for _, h := range e.live() {
		h.stop()
	}
	for _, h := range e.live() {
		h.wait()
	}
	for _, s := range e.servers {
		_ = s.Close()
	}
	e.sockets.close()
	if e.temporary != "" {
		_ = os.RemoveAll(e.temporary)
	}
}

// EndpointAddresses returns the addresses of the endpoints.
func (e *Estate) EndpointAddresses() []netip.AddrPort {
	addrs := make([]netip.AddrPort, len(e.Sample.Endpoints))
	for i, ep := range e.Sample.Endpoints {
		addrs[i] = ep.Address
	}

	return addrs
}

func (e *Estate) startEndpoints(ctx context.Context) error {
	for i, ep := range e.Sample.Endpoints {
		s := standin.NewEndpoint(e.service)
		addr, err := e.serve(ctx, s.Handler())
		if err != nil {
			return merry.Prepend(err, string(ep.Name))
		}
		ep.Address = addr
		e.Sample.Endpoints[i] = ep
		e.Endpoints = append(e.Endpoints, s)
		e.Platform.PutEndpoint(ep)
	}

	return nil
}

// serve serves h on a free loopback port.
func (e *Estate) serve(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", loopback)
	if err != nil {
		return netip.AddrPort{}, merry.Prepend(err, "listen")
	}

	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	e.servers = append(e.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("stand-in failed", "err", err)
		}
	}()

	return netip.ParseAddrPort(l.Addr().String())
}

func entryName(n int) fleet.EntryName {
	return fleet.EntryName(fmt.Sprintf("entry-%d", n))
}
