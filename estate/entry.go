package estate

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/entry"
	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/settings"
)

const (
	// DevOperatorToken is the operators' token of every sample estate.
	DevOperatorToken = "dev-operator"
	listenPoll       = time.Millisecond
)

// entryHost is a running entry host of the estate.
type entryHost struct {
	settings settings.Settings
	stop     context.CancelFunc
	done     sync.WaitGroup
	gone     bool
}

func (h *entryHost) wait() {
	h.done.Wait()
}

// Entries returns the settings of the entry hosts that run, with the addresses that they listen on.
func (e *Estate) Entries() []settings.Settings {
	var all []settings.Settings
	for _, h := range e.live() {
		all = append(all, h.settings)
	}

	return all
}

// CallerAddresses returns where the entry hosts listen for callers.
func (e *Estate) CallerAddresses() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, s := range e.Entries() {
		addrs = append(addrs, s.CallerAddress)
	}

	return addrs
}

// AddEntry starts one more entry host and returns its settings when it listens.
func (e *Estate) AddEntry(ctx context.Context) (settings.Settings, error) {
	e.mu.Lock()
	n := len(e.entries)
	e.mu.Unlock()

	s := settings.Settings{
		Name: entryName(n + 1), Region: "region-1", Zone: zoneOf(n),
		StoreAddress: e.storeAddress, PlatformAddress: e.platformAddress,
		Operators: []settings.Operator{{Name: "dev", TokenHash: key.NewHashed(DevOperatorToken)}},
	}
	for _, addr := range []*netip.AddrPort{&s.CallerAddress, &s.OperatorAddress, &s.PeerAddress} {
		var err error
		if *addr, err = freeAddress(ctx); err != nil {
			return s, err
		}
	}

	var err error
	if s.TLS.Peers, err = e.issue(s); err != nil {
		return s, err
	}
	if e.separate != "" {
		e.append(&entryHost{settings: s, stop: func() {}})
		return s, e.writeEntry(s)
	}

	h := &entryHost{settings: s}
	hostCtx, stop := context.WithCancel(ctx)
	h.stop = stop
	process, err := entry.New(s, e.log.With("entry", s.Name))
	if err != nil {
		stop()
		return s, err
	}
	h.done.Go(func() {
		if err := process.Run(hostCtx); err != nil {
			e.log.Error("entry host", "entry", s.Name, "err", err)
		}
	})

	e.append(h)

	return s, awaitListening(ctx, s.CallerAddress, s.OperatorAddress)
}

func (e *Estate) append(h *entryHost) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries = append(e.entries, h)
}

// StopEntry stops the first running entry host gracefully and returns when it has left.
func (e *Estate) StopEntry() {
	live := e.live()
	if len(live) == 0 {
		return
	}

	e.mu.Lock()
	live[0].gone = true
	e.mu.Unlock()
	live[0].stop()
	live[0].wait()
}

func (e *Estate) live() []*entryHost {
	e.mu.Lock()
	defer e.mu.Unlock()

	var live []*entryHost
	for _, h := range e.entries {
		if !h.gone {
			live = append(live, h)
		}
	}

	return live
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
			time.Sleep(listenPoll)
		}
	}

	return nil
}
