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
	"lycheehook.example/lycheehook/allotment"
	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/claim"
	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/share"
	"lycheehook.example/lycheehook/store"
)

const (
	inventoryInterval = time.Second
	// leaveLimit bounds how long handing back may take.
	leaveLimit = 5 * time.Second
)

// parts is what an entry host is put together from; wire fills it.
type parts struct {
	Settings settings.Settings
	Store    *store.Client
	Platform *hostapi.Client
	Book     *revision.Book
	Set      *endpoint.Set
	Sender   *endpoint.Sender
	Gate     *admission.Gate
	Control  *control
	Cluster  *cluster
	Limits   *limits
	Claims   *claim.Book
	Trail    *audit.Trail
	Metrics  *operatorMetrics
	Log      *log.Logger
	Sockets  Sockets
}

// Host is one entry host.
type Host struct {
	parts
	caller   *callerAPI
	operator *operatorAPI
	stopping atomic.Bool
}

// newHost puts the parts together; wire calls it.
func newHost(p parts) *Host {
	p.Settings = p.Settings.WithDefaults()
	h := &Host{
		parts:    p,
		caller:   &callerAPI{gate: p.Gate, sender: p.Sender, log: p.Log, longest: p.Settings.MaxRequestTime.Std()},
		operator: &operatorAPI{settings: p.Settings, book: p.Book, trail: p.Trail, store: p.Store, metrics: p.Metrics, log: p.Log},
	}
	h.caller.claim, h.caller.keptAnswer = claimIn(p.Claims), claim.DefaultTiming().AnswerSize
	h.caller.mayStart = p.Limits.holder.MayStart
	newUsage(p.Settings.Name, p.Cluster.mesh, p.Gate)
	p.Gate.AcquireLimit = p.Limits.acquire
	p.Set.Take, p.Set.Expected = p.Limits.takeSlots, p.Limits.expectedSlots
	p.Limits.holder.Grown = func(allotment.Key) { p.Gate.Wake() }
	h.operator.stopping = h.stopping.Load
	h.operator.entries = h.operator.knownEntries
	h.operator.load = loadView{
		teams:   func() share.Report { return p.Gate.Report(p.Settings.Name) },
		waiting: p.Gate.Waiting,
		slots:   p.Set.Slots,
	}

	return h
}

// Run serves until ctx ends, then finishes what is in progress and returns.
func (h *Host) Run(ctx context.Context) error {
	callers, err := h.Sockets.Listen(ctx, "tcp", h.Settings.CallerAddress.String())
	if err != nil {
		return merry.Prepend(err, "listen for callers")
	}
	operators, err := h.Sockets.Listen(ctx, "tcp", h.Settings.OperatorAddress.String())
	if err != nil {
		return merry.Prepend(err, "listen for operators")
	}

	if err := h.Cluster.listen(ctx); err != nil {
		return err
	}

	// The background work outlives ctx so that requests in progress can finish.
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var wg sync.WaitGroup
	wg.Go(func() { h.Book.Follow(work) })
	wg.Go(func() { h.followInventory(work) })
	wg.Go(func() { h.Trail.Run(work) })
	wg.Go(func() { h.Control.run(work) })
	wg.Go(func() { h.Cluster.run(work) })
	limitsCtx, stopLimits := context.WithCancel(work)
	defer stopLimits()
	var limitsEnd sync.WaitGroup
	limitsEnd.Go(func() { h.Limits.run(limitsCtx) })
	wg.Go(func() { h.Gate.Run(work) })
	wg.Go(func() { h.Claims.Run(work) })
	wg.Go(func() { endpoint.NewProber(h.Set, h.Sender).Run(work) })

	if callers, err = secure(work, &wg, callers, h.Settings.TLS.Callers, h.Log); err != nil {
		return merry.Prepend(err, "TLS for callers")
	}
	if operators, err = secure(work, &wg, operators, h.Settings.TLS.Operators, h.Log); err != nil {
		return merry.Prepend(err, "TLS for operators")
	}
	servers := []*http.Server{
		serve(&wg, callers, h.caller.handler(), h.Settings.Limits, h.Log),
		serve(&wg, operators, h.operator.handler(), h.Settings.Limits, h.Log),
	}
	h.Log.Info("entry host serves", "entry", h.Settings.Name, "callers", callers.Addr(), "operators", operators.Addr())

	<-ctx.Done()
	h.stopping.Store(true)
	h.Gate.Stop()
	err = stop(work, servers, h.Settings.StopLimit.Std())
	// Parts may be handed back only when nothing takes parts any more.
	stopLimits()
	limitsEnd.Wait()
	h.leave(work)
	stopWork()
	wg.Wait()

	return err
}

// leave hands back what this entry host holds, so that the others need not wait for it.
func (h *Host) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()

	if err := h.Claims.Close(ctx); err != nil {
		h.Log.Warn("outcomes of requests not written", "err", err)
	}
	if err := h.Limits.holder.Close(ctx); err != nil {
		h.Log.Warn("parts of limits not handed back", "err", err)
	}
	if err := h.Book.Leave(ctx); err != nil {
		h.Log.Warn("seat not handed over", "err", err)
	}
	if err := h.Cluster.registry.Leave(ctx); err != nil {
		h.Log.Warn("member record not removed", "err", err)
	}
}

func serve(wg *sync.WaitGroup, l net.Listener, handler http.Handler, limits settings.Limits, logger *log.Logger) *http.Server {
	s := newServer(handler, limits, logger)
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
		inv, err := h.Platform.Inventory(ctx)
		if err != nil {
			h.Log.Warn("inventory unavailable", "err", err)
		} else {
			view := h.Control.moves.View()
			endpoints := endpointsOf(inv, view.Hosts)
			h.Limits.setSlots(endpoints, view.HostsAt)
			h.Set.Replace(endpoints)
		}

		select {
		case <-ctx.Done():
		case <-time.After(inventoryInterval):
		}
	}
}
