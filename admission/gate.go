package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/queue"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/share"
)

const (
	// refreshInterval is how often shares are computed anew while requests come or wait.
	refreshInterval = 25 * time.Millisecond
	// idleInterval is the time between two rounds while nothing waits, since each costs processor time.
	idleInterval = 250 * time.Millisecond
	// leastRetryAfter is the shortest time to come back that a refusal names.
	leastRetryAfter = 100 * time.Millisecond
)

// Request is what a caller asks to be admitted.
type Request struct {
	// Secret is the presented key; empty if none came.
	Secret string
	Queue  fleet.QueueName
	Size   fleet.Resources
	// Idempotent work may be put on an endpoint that failed lately.
	Idempotent bool
	// Waiting is called without locks held when the request begins to wait, so that what it needs besides can be done
	// meanwhile; nil for nothing.
	Waiting func(team fleet.Team)
}

// Gate admits requests against the configuration in force: at once when a slot is free and nobody waits for it,
// else from bounded lines in the order of the teams' shares. Its function fields are called with its lock held,
// so they must neither block nor call the gate.
type Gate struct {
	// Current returns the configuration in force.
	Current func() *revision.Revision
	// Fresh reports whether the configuration is known to be the one in force.
	Fresh func(time.Time) bool
	// AcquireLimit counts size against the upper limits of a team and of its customer.
	AcquireLimit func(team fleet.Team, size fleet.Resources) (release func(), err error)
	// AcquireSlot takes endpoint slots of a pool.
	AcquireSlot func(endpoint.Ask) (endpoint.Slot, bool)
	// Fits reports whether some endpoint of a pool has so many slots at all.
	Fits func(fleet.PoolName, int64) bool
	// Slots returns how many slots of a pool this process may use.
	Slots func(fleet.PoolName) int64
	// Reserve keeps slots of one endpoint of a pool for a request that needs several, and Unreserve ends it.
	Reserve   func(fleet.PoolName, int64)
	Unreserve func(fleet.PoolName)
	// Total returns the capacity that shares are of.
	Total func() fleet.Resources
	// Reports returns what the other entry hosts last reported.
	Reports func() []share.Report

	mu        sync.Mutex
	verified  verified
	stopping  bool
	swept     *revision.Revision
	ledger    *share.Ledger
	pools     map[fleet.PoolName]*queue.Pool
	reserved  map[fleet.PoolName]reservation
	estimates map[fleet.QueueName]queue.Estimate
	// waits gets a value when a request begins to wait.
	waits chan struct{}
}

// New returns a gate over a revision book and a set of endpoints, whose upper limits count on this entry host alone.
func New(b *revision.Book, s *endpoint.Set) *Gate {
	g := &Gate{
		Current: b.Current, Fresh: b.Fresh, AcquireLimit: NewLimits(b.Current).Acquire,
		AcquireSlot: s.Acquire, Fits: s.Fits, Slots: s.Slots, Total: s.Total,
		Reserve: s.Reserve, Unreserve: s.Unreserve, reserved: map[fleet.PoolName]reservation{},
		Reports: func() []share.Report { return nil },
		ledger:  share.New(), pools: map[fleet.PoolName]*queue.Pool{}, estimates: map[fleet.QueueName]queue.Estimate{},
		waits: make(chan struct{}, 1),
	}
	s.Changed = g.Wake

	return g
}

// Admit returns a grant or a NotRunError. It returns at once or waits until a slot is granted, the request is
// refused, or ctx ends.
func (g *Gate) Admit(ctx context.Context, req Request) (Grant, error) {
	now := time.Now()
	if ctx.Err() != nil {
		return Grant{}, refuseContext(ctx)
	}
	p, err := g.permit(req, now)
	if err != nil {
		return Grant{}, err
	}
	if err := g.runnable(p, req.Size); err != nil {
		return Grant{}, err
	}

	g.mu.Lock()
	if g.stopping {
		g.mu.Unlock()
		return Grant{}, refusal.Refuse(refusal.Stopping, "entry host is stopping").WithRetryAfter(leastRetryAfter)
	}
	g.refresh(now)
	pool, account := g.pool(p.queue.Pool), g.ledger.Open(p.team, now)
	if pool.Len() == 0 {
		if t := g.start(p, account, req, now); t != nil {
			g.mu.Unlock()
			return Grant{ticket: t}, nil
		}
	}
	w, err := g.enqueue(ctx, pool, account, p, req, now)
	g.mu.Unlock()
	if err != nil {
		return Grant{}, err
	}
	if req.Waiting != nil {
		req.Waiting(p.team)
	}

	return g.await(ctx, pool, w)
}

// Wake starts what can start now; it is to be called when capacity may have come from elsewhere.
func (g *Gate) Wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.refresh(now)
	g.dispatchAll(now)
}

// Run wakes the gate at short intervals until ctx ends, so that capacity that comes unannounced is found.
func (g *Gate) Run(ctx context.Context) {
	interval := refreshInterval
	round := time.NewTimer(interval)
	defer round.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.waits:
			if interval == idleInterval {
				interval = refreshInterval
				round.Reset(interval)
			}
		case <-round.C:
			g.Wake()
			interval = g.interval()
			round.Reset(interval)
		}
	}
}

// interval returns the time until the next round.
func (g *Gate) interval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		if p.Len() > 0 {
			return refreshInterval
		}
	}

	return idleInterval
}

// Stop refuses what waits and what comes; what was granted goes on.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	g.refuseWhere(func(*waiter) error {
		return refusal.Refuse(refusal.Stopping, "entry host is stopping").WithRetryAfter(leastRetryAfter)
	})
}

// Report returns what runs and waits here, for the other entry hosts.
func (g *Gate) Report(entry fleet.EntryName) share.Report {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.ledger.Report(entry, time.Now())
}

// Waiting returns how many requests wait for a pool.
func (g *Gate) Waiting(p fleet.PoolName) int {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.pool(p).Len()
}

// start takes the upper limit and a slot, or returns nil.
func (g *Gate) start(p permit, a *share.Account, req Request, now time.Time) *ticket {
	slot, ok := g.AcquireSlot(endpoint.Ask{Pool: p.queue.Pool, Slots: req.Size.Slots, Idempotent: req.Idempotent})
	if !ok {
		return nil
	}
	release, err := g.AcquireLimit(p.team, req.Size)
	if err != nil {
		slot.Release()
		return nil
	}
	g.ledger.Start(a, req.Size, now)

	return &ticket{gate: g, permit: p, account: a, size: req.Size, slot: slot, limit: release, started: now}
}

// refresh computes the shares anew when they are old, and turns away what a new revision no longer allows.
func (g *Gate) refresh(now time.Time) {
	if rev := g.Current(); rev != g.swept {
		g.swept = rev
		g.refuseWhere(func(w *waiter) error {
			p, err := g.renew(w.permit, now)
			if err == nil {
				w.permit = p
				err = g.runnable(p, w.request.Size)
			}

			return err
		})
	}
	if at := g.ledger.Refreshed(); at.IsZero() || now.Sub(at) >= refreshInterval {
		g.ledger.Refresh(g.Total(), g.Reports(), now)
	}
}

func (g *Gate) dispatchAll(now time.Time) {
	for name, p := range g.pools {
		if p.Len() > 0 || g.reserved[name].item != nil {
			g.reserve(name, p, now)
			g.dispatch(p, now)
		}
	}
}

// dispatch grants free capacity of a pool to its waiting requests until nothing more can start.
func (g *Gate) dispatch(p *queue.Pool, now time.Time) {
	if p.Len() == 0 {
		return
	}
	// A failed request for one slot holds for all others of its kind.
	var fullForAll, fullForIdempotent bool
	for p.Next(g.ledger, func(it *queue.Item) queue.OfferResult {
		w := it.Value.(*waiter)
		switch {
		case fullForIdempotent:
			return queue.PoolFull
		case fullForAll && !w.request.Idempotent:
			return queue.ItemBlocked
		}
		v, slotless := g.try(w, now)
		if slotless && w.request.Size.Slots == 1 {
			fullForAll = true
			fullForIdempotent = w.request.Idempotent
		}

		return v
	}) {
	}
}

// try starts or refuses a waiting request, or says why it has to wait longer.
func (g *Gate) try(w *waiter, now time.Time) (v queue.OfferResult, slotless bool) {
	renewed, err := g.renew(w.permit, now)
	if err != nil {
		g.settle(w, nil, err)
		return queue.Taken, false
	}
	w.permit = renewed

	ask := endpoint.Ask{Pool: w.permit.queue.Pool, Slots: w.request.Size.Slots, Idempotent: w.request.Idempotent}
	slot, ok := g.AcquireSlot(ask)
	if !ok {
		return queue.ItemBlocked, true
	}
	release, err := g.AcquireLimit(w.permit.team, w.request.Size)
	if err != nil {
		slot.Release()
		return queue.ItemBlocked, false
	}
	a := w.item.Account
	g.ledger.Start(a, w.request.Size, now)
	g.settle(w, &ticket{
		gate: g, permit: w.permit, account: a, size: w.request.Size, slot: slot, limit: release, started: now,
	}, nil)

	return queue.Taken, false
}

func (g *Gate) pool(name fleet.PoolName) *queue.Pool {
	p, ok := g.pools[name]
	if !ok {
		p = queue.New()
		g.pools[name] = p
	}

	return p
}

func refuseContext(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.Refuse(refusal.DeadlinePassed, "the deadline passed before a slot was free")
	}

	return refusal.Refuse(refusal.Cancelled, "the caller cancelled before a slot was free")
}
