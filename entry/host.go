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
	"lycheehook.example/lycheehook/ingress"
	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/share"
	"lycheehook.example/lycheehook/store"
)

const (
	inventoryInterval = time.Second
	// leaveTimeout bounds the release of shared state when the process stops, minLeave is what it gets however late it is.
	leaveTimeout = 5 * time.Second
	minLeave     = 300 * time.Millisecond
)

// components holds the dependencies of a Host; Wire fills it in.
type components struct {
	Settings  settings.Settings
	Store     *store.Client
	Platform  *hostapi.Client
	Revisions *revision.Repository
	Set       *endpoint.Set
	Sender    *endpoint.Sender
	Admission *admission.Controller
	Control   *controlLoop
	Cluster   *cluster
	Limits    *limits
	Claims    *claim.Registry
	Trail     *audit.Trail
	Metrics   *operatorMetrics
	Log       *log.Logger
	Sockets   Sockets
}

// Host is an entry host.
type Host struct {
	components
	caller   *callerAPI
	operator *operatorAPI
	stopping atomic.Bool
	balancer *ingress.Balancer
}

// newHost connects the components; Wire calls it.
func newHost(c components) *Host {
	c.Settings = c.Settings.WithDefaults()
	h := &Host{
		components: c,
		caller:     &callerAPI{admission: c.Admission, sender: c.Sender, log: c.Log, maxRequestTime: c.Settings.MaxRequestTime.Std()},
		operator:   &operatorAPI{settings: c.Settings, revisions: c.Revisions, trail: c.Trail, store: c.Store, metrics: c.Metrics, log: c.Log},
		balancer:   ingress.NewBalancer(readinessMisses),
	}
	h.caller.claim, h.caller.maxKeptAnswer = newClaimFunc(c.Claims), claim.DefaultTiming().AnswerSize
	h.caller.mayStart = c.Limits.holder.MayStart
	newUsageExchange(c.Settings.Name, c.Cluster.mesh, c.Admission)
	c.Admission.AcquireLimit = c.Limits.acquire
	c.Set.Take, c.Set.Expected = c.Limits.takeSlots, c.Limits.expectedSlots
	c.Limits.holder.OnGrown = func(allotment.Key) { c.Admission.Dispatch() }
	h.operator.stopping, h.operator.balancer = h.stopping.Load, h.balancer
	h.operator.entries = h.operator.entryStatuses
	h.operator.load = loadFuncs{
		teams:   func() share.Report { return c.Admission.Report(c.Settings.Name) },
		waiting: c.Admission.Waiting,
		slots:   c.Set.Slots,
	}

	return h
}

// Run serves until ctx ends, then lets requests in progress finish and returns.
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
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	var wg sync.WaitGroup
	wg.Go(func() { h.Revisions.Follow(workCtx) })
	wg.Go(func() { h.followInventory(workCtx) })
	wg.Go(func() { h.Trail.Run(workCtx) })
	wg.Go(func() { h.Control.run(workCtx) })
	wg.Go(func() { h.Cluster.run(workCtx) })
	limitsCtx, cancelLimits := context.WithCancel(workCtx)
	defer cancelLimits()
	var limitsDone sync.WaitGroup
	limitsDone.Go(func() { h.Limits.run(limitsCtx) })
	wg.Go(func() { h.Admission.Run(workCtx) })
	wg.Go(func() { h.Claims.Run(workCtx) })
	wg.Go(func() { endpoint.NewProber(h.Set, h.Sender).Run(workCtx) })

	guard := newGuard(h.Settings, h.Metrics)
	guarded := []*ingress.Listener{
		guard.listen(callers, guard.limits.Callers, h.Log), guard.listen(operators, guard.limits.Peers, h.Log),
	}
	wg.Go(func() { guard.refused.LogRefusals(workCtx, h.Log) })
	if callers, err = withTLS(workCtx, &wg, guarded[0], h.Settings.TLS.Callers, h.Log); err != nil {
		return merry.Prepend(err, "TLS for callers")
	}
	if operators, err = withTLS(workCtx, &wg, guarded[1], h.Settings.TLS.Operators, h.Log); err != nil {
		return merry.Prepend(err, "TLS for operators")
	}
	forCallers := service{serve(&wg, callers, h.caller.handler(), h.Settings.Limits, h.Log, guard), guarded[0]}
	forOperators := service{serve(&wg, operators, h.operator.handler(), h.Settings.Limits, h.Log, guard), guarded[1]}
	h.Log.Info("entry host serves", "entry", h.Settings.Name, "callers", callers.Addr(), "operators", operators.Addr())

	<-ctx.Done()
	h.Log.Info("stopping", forCallers.listener.Phases().Fields()...)
	ends := time.Now().Add(h.Settings.StopLimit.Std())
	h.stopping.Store(true)
	h.drain(workCtx, guard.gate, forCallers, forOperators)
	// The holder must not acquire new parts of limits while it releases its own.
	cancelLimits()
	limitsDone.Wait()
	h.leave(workCtx, ends)
	cancelWork()
	wg.Wait()

	return nil
}

// leave releases the shared state that this entry host holds, so that the others need not wait for it to expire. It should be over when the
// stop ends.
func (h *Host) leave(ctx context.Context, ends time.Time) {
	ctx, cancel := context.WithTimeout(ctx, min(leaveTimeout, max(minLeave, time.Until(ends))))
	defer cancel()

	if err := h.Claims.Close(ctx); err != nil {
		h.Log.Warn("failed to write request outcomes to the store", "err", err)
	}
	if err := h.Limits.holder.Close(ctx); err != nil {
		h.Log.Warn("failed to release allocations of limits", "err", err)
	}
	if err := h.Revisions.Leave(ctx); err != nil {
		h.Log.Warn("failed to release the seat", "err", err)
	}
	if err := h.Cluster.registry.Leave(ctx); err != nil {
		h.Log.Warn("failed to remove the member record", "err", err)
	}
}

func serve(wg *sync.WaitGroup, l net.Listener, handler http.Handler, limits settings.Limits, logger *log.Logger, g *guard) *http.Server {
	s := newServer(handler, limits, logger)
	g.protect(s)
	wg.Go(func() { _ = s.Serve(l) })

	return s
}

// followInventory polls the platform's inventory and updates the set of endpoints until ctx ends.
func (h *Host) followInventory(ctx context.Context) {
	for ctx.Err() == nil {
		inv, err := h.Platform.Inventory(ctx)
		if err != nil {
			h.Log.Warn("failed to read the inventory", "err", err)
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
