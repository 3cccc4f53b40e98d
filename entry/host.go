package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/admission"
	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/settings"
)

const (
	inventoryInterval = time.Second
	// stopLimit bounds how long requests in progress may hold up a stop.
	stopLimit         = 2 * time.Minute
	readHeaderTimeout = 5 * time.Second
)

// Host is one entry host.
type Host struct {
	settings settings.Settings
	book     *revision.Book
	set      *endpoint.Set
	platform *platform.Client
	caller   *callerAPI
	operator *operatorAPI
	control  *control
	log      *log.Logger
	listen   func(ctx context.Context, network, address string) (net.Listener, error)
}

// newHost puts the parts together; wire calls it.
func newHost(
	s settings.Settings, b *revision.Book, set *endpoint.Set, p *platform.Client,
	g *admission.Gate, snd *endpoint.Sender, c *control, l *log.Logger,
) *Host {
	var lc net.ListenConfig

	return &Host{
		settings: s, book: b, set: set, platform: p, control: c, log: l, listen: lc.Listen,
		caller:   &callerAPI{gate: g, sender: snd, log: l},
		operator: &operatorAPI{book: b, token: s.OperatorToken},
	}
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
	wg.Go(func() { h.control.run(work) })

	servers := []*http.Server{
		serve(&wg, callers, h.caller.handler()),
		serve(&wg, operators, h.operator.handler()),
	}
	h.log.Info("entry host serves", "entry", h.settings.Name, "callers", callers.Addr(), "operators", operators.Addr())

	<-ctx.Done()
	err = stop(context.WithoutCancel(ctx), servers)
	stopWork()
	wg.Wait()

	return err
}

func serve(wg *sync.WaitGroup, l net.Listener, handler http.Handler) *http.Server {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	wg.Go(func() { _ = s.Serve(l) })

	return s
}

// stop lets each server finish its requests in progress.
func stop(ctx context.Context, servers []*http.Server) error {
	ctx, cancel := context.WithTimeout(ctx, stopLimit)
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
			h.set.Replace(endpointsOf(inv, h.control.moves.View().Hosts))
		}

		select {
		case <-ctx.Done():
		case <-time.After(inventoryInterval):
		}
	}
}
