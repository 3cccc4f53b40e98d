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
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/settings"
)

const (
	// DevOperatorToken is the operators' token of every sample estate.
	DevOperatorToken = "dev-operator"
	listenPoll       = 10 * time.Millisecond
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

// AddEntry starts one more entry host and returns its settings; its addresses take connections from then on.
func (e *Estate) AddEntry(ctx context.Context) (settings.Settings, error) {
	e.mu.Lock()
	n := len(e.entries)
	e.mu.Unlock()

	s := settings.Settings{
		Name: entryName(n + 1), Region: "region-1", Zone: zoneOf(n),
		StoreAddress: e.storeAddress, PlatformAddress: e.platformAddress,
		Operators: []settings.Operator{{Name: "dev", TokenHash: key.NewHashed(DevOperatorToken)}},
	}
	err := e.open(ctx, &s)
	if err != nil {
		return s, err
	}
	if s.TLS.Peers, err = e.issue(s); err != nil {
		return s, err
	}
	if e.separate != "" {
		e.sockets.close()
		e.append(&entryHost{settings: s, stop: func() {}})
		return s, e.writeEntry(s)
	}

	h := &entryHost{settings: s}
	hostCtx, stop := context.WithCancel(ctx)
	h.stop = stop
	process, err := entry.New(s, e.log.With("entry", s.Name), e.sockets.handOver())
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

	return s, nil
}

// open opens what an entry host will listen on, and sets its addresses.
func (e *Estate) open(ctx context.Context, s *settings.Settings) error {
	var err error
	if s.CallerAddress, err = e.sockets.openTCP(ctx); err != nil {
		return err
	}
	if s.OperatorAddress, err = e.sockets.openTCP(ctx); err != nil {
		return err
	}
	s.PeerAddress, err = e.sockets.openUDP(ctx)

	return err
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

// awaitListening returns when all addresses take connections, or the context has ended.
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
			pause.For(ctx, listenPoll)
		}
	}

	return nil
}
