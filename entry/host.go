package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/admission"
	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/store"
)

const inventoryInterval = time.Second

// Host is one entry host.
type Host struct {
	settings settings.Settings
	book     *revision.Book
	set      *endpoint.Set
	platform *platform.Client
	caller   *callerAPI
	operator *operatorAPI
	trail    *audit.Trail
	stopping atomic.Bool
	log      *log.Logger
	listen   func(ctx context.Context, network, address string) (net.Listener, error)
}

// newHost puts the parts together; wire calls it.
func newHost(
	s settings.Settings, b *revision.Book, set *endpoint.Set, p *platform.Client,
	g *admission.Gate, snd *endpoint.Sender, l *log.Logger, c *store.Client, t *audit.Trail, m *operatorMetrics,
) *Host {
	var lc net.ListenConfig
	s = s.WithDefaults()
	h := &Host{
		settings: s, book: b, set: set, platform: p, log: l, listen: lc.Listen, trail: t,
		caller:   &callerAPI{gate: g, sender: snd, log: l},
		operator: &operatorAPI{settings: s, book: b, trail: t, store: c, metrics: m, log: l},
	}
	h.operator.stopping = h.stopping.Load
	h.operator.entries = h.operator.ownEntry

	return h
}

// Run serves until ctx ends, then finishes what is in progress and returns.
func (h *Host) Run(ctx context.Context) error {
	callers, err := h.listen(ctx, "tcp", h.settings.CallerAddress.String())
	if err != nil {
		return merry.Prepend(err, "listen for callers")
	}
	operators, err := h.listen(ctx, "tcp", h.settings.OperatorAddress.String())
	if err != nil {
		return merry.Prepend(err, "listen for operators")
	}

	// The background work outlives ctx so that requests in progress can finish.
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var wg sync.WaitGroup
	wg.Go(func() { h.book.Follow(work) })
	wg.Go(func() { h.followInventory(work) })
	wg.Go(func() { h.trail.Run(work) })

	if callers, err = secure(work, &wg, callers, h.settings.TLS.Callers, h.log); err != nil {
		return merry.Prepend(err, "TLS for callers")
	}
	if operators, err = secure(work, &wg, operators, h.settings.TLS.Operators, h.log); err != nil {
		return merry.Prepend(err, "TLS for operators")
	}
	servers := []*http.Server{
		serve(&wg, callers, h.caller.handler(), h.settings.Limits),
		serve(&wg, operators, h.operator.handler(), h.settings.Limits),
	}
	h.log.Info("entry host serves", "entry", h.settings.Name, "callers", callers.Addr(), "operators", operators.Addr())

	<-ctx.Done()
	h.stopping.Store(true)
	err = stop(context.WithoutCancel(ctx), servers, h.settings.StopLimit.Std())
	stopWork()
	wg.Wait()

	return err
}

func serve(wg *sync.WaitGroup, l net.Listener, handler http.Handler, limits settings.Limits) *http.Server {
	s := newServer(handler, limits)
	wg.Go(func() { _ = s.Serve(l) })

	return s
}

// stop lets each server finish its requests in progress.
func stop(ctx context.Context, servers []*http.Server, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	var first error
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil && first == nil {
			first = merry.Prepend(err, "requests in progress were cut off")
		}
	}

	return first
}

// followInventory keeps the set of endpoints up to date.
func (h *Host) followInventory(ctx context.Context) {
	for ctx.Err() == nil {
		inv, err := h.platform.Inventory(ctx)
		if err != nil {
			h.log.Warn("inventory unavailable", "err", err)
		} else {
			h.set.Replace(inv.Endpoints)
		}

		select {
		case <-ctx.Done():
		case <-time.After(inventoryInterval):
		}
	}
}
