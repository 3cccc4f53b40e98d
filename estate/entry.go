package estate

import (
	"context"
	"net"
	"net/http"
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
	// DevOperatorToken is the operators' token of sample estates.
	DevOperatorToken = "dev-operator"
	listenPoll       = 10 * time.Millisecond
)

// entryHost is an entry host of the estate.
type entryHost struct {
	settings settings.Settings
	stop     context.CancelFunc
	done     sync.WaitGroup
	stopped  bool
}

func (h *entryHost) wait() {
	h.done.Wait()
}

// checkReadiness checks the readiness again and again until ctx ends, as a load balancer does. What the entry host answers doesn't matter.
func (h *entryHost) checkReadiness(ctx context.Context) {
	url := "http://" + h.settings.OperatorAddress.String() + "/readyz"
	for ctx.Err() == nil {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return
		}
		if resp, err := http.DefaultClient.Do(r); err == nil {
			_ = resp.Body.Close()
		}
		pause.For(ctx, listenPoll)
	}
}

// Entries returns the settings of the running entry hosts, including their listen addresses.
func (e *Estate) Entries() []settings.Settings {
	var all []settings.Settings
	for _, h := range e.live() {
		all = append(all, h.settings)
	}

	return all
}

// CallerAddresses returns the addresses at which the entry hosts listen for callers.
func (e *Estate) CallerAddresses() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, s := range e.Entries() {
		addrs = append(addrs, s.CallerAddress)
	}

	return addrs
}

// AddEntry starts another entry host and returns its settings. Its addresses accept connections when AddEntry returns.
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
	if s.TLS.Peers, err = e.issueCertificate(s); err != nil {
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
	balancerCtx, stopBalancer := context.WithCancel(context.WithoutCancel(ctx))
	h.done.Go(func() {
		defer stopBalancer()
		if err := process.Run(hostCtx); err != nil {
			e.log.Error("entry host failed", "entry", s.Name, "err", err)
		}
	})

	// A stop waits for the load balancer to see it.
	context.AfterFunc(hostCtx, func() { h.checkReadiness(balancerCtx) })
	e.append(h)

	return s, nil
}

// open opens the sockets of an entry host and sets their addresses in s.
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

// StopEntry gracefully stops the first running entry host and waits for its end.
func (e *Estate) StopEntry() {
	live := e.live()
	if len(live) == 0 {
		return
	}

	e.mu.Lock()
	live[0].stopped = true
	e.mu.Unlock()
	live[0].stop()
	live[0].wait()
}

func (e *Estate) live() []*entryHost {
	e.mu.Lock()
	defer e.mu.Unlock()

	var live []*entryHost
	for _, h := range e.entries {
		if !h.stopped {
			live = append(live, h)
		}
	}

	return live
}

// awaitListening waits until all addresses accept connections or ctx is done.
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
