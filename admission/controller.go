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
	// refreshInterval is how often shares are recomputed while requests arrive or wait.
	refreshInterval = 25 * time.Millisecond
	// idleInterval is the time between two calls of Dispatch while no request waits, since each call costs processor time.
	idleInterval = 250 * time.Millisecond
	// minRetryAfter is the minimum retry delay of a refusal.
	minRetryAfter = 100 * time.Millisecond
)

// Request is a request to be admitted.
type Request struct {
	// Secret is the secret of the caller's key; empty if the request has none.
	Secret string
	Queue  fleet.QueueName
	Size   fleet.Resources
	// Idempotent work may be assigned to an endpoint that failed recently.
	Idempotent bool
	// Waiting is called with no locks held when the request begins to wait, so that other preparations can run
	// meanwhile; it may be nil.
	Waiting func(team fleet.Team)
}

// Controller admits requests according to the configuration in force: at once if a slot is free and no other request waits
// for it, otherwise from queues of bounded length by the teams' shares. Its function fields are called with its lock
// held, so they must neither block nor call the controller.
type Controller struct {
	// Current returns the configuration in force.
	Current func() *revision.Revision
	// Fresh reports whether the configuration was recently confirmed to be the one in force.
	Fresh func(time.Time) bool
	// AcquireLimit counts size toward the upper limits of a team and of its customer.
	AcquireLimit func(team fleet.Team, size fleet.Resources) (release func(), err error)
	// AcquireSlot acquires slots of one endpoint of a pool.
	AcquireSlot func(endpoint.SlotRequest) (endpoint.Slot, bool)
	// Fits reports whether any endpoint of a pool has that many slots, free or not.
	Fits func(fleet.PoolName, int64) bool
	// Slots returns how many slots of a pool this process may use.
	Slots func(fleet.PoolName) int64
	// Reserve reserves slots of one endpoint of a pool for a request that needs several; Unreserve cancels that.
	Reserve   func(fleet.PoolName, int64)
	Unreserve func(fleet.PoolName)
	// Total returns the capacity that the shares refer to.
	Total func() fleet.Resources
	// Reports returns the last reports of the other entry hosts.
	Reports func() []share.Report

	mu              sync.Mutex
	secrets         secretCache
	stopping        bool
	checkedRevision *revision.Revision
	ledger          *share.Ledger
	pools           map[fleet.PoolName]*queue.Pool
	reserved        map[fleet.PoolName]reservation
	estimates       map[fleet.QueueName]queue.Estimate
	// enqueued receives a value when a request begins to wait.
	enqueued chan struct{}
}

// New returns a controller for a repository and a set of endpoints; its upper limits count this entry host's work only.
func New(repo *revision.Repository, set *endpoint.Set) *Controller {
	g := &Controller{
		Current: repo.Current, Fresh: repo.Fresh, AcquireLimit: NewLimits(repo.Current).Acquire,
		AcquireSlot: set.Acquire, Fits: set.Fits, Slots: set.Slots, Total: set.Total,
		Reserve: set.Reserve, Unreserve: set.Unreserve, reserved: map[fleet.PoolName]reservation{},
		Reports: func() []share.Report { return nil },
		ledger:  share.New(), pools: map[fleet.PoolName]*queue.Pool{}, estimates: map[fleet.QueueName]queue.Estimate{},
		enqueued: make(chan struct{}, 1),
	}
	set.Changed = g.Dispatch

	return g
}

// Check returns the team of a request, or the NotRunError with which Admit would refuse it whatever the load is. The team is empty on an open
// queue without a key.
func (c *Controller) Check(req Request) (fleet.TeamName, error) {
	auth, err := c.authorize(req, time.Now())
	if err == nil {
		err = c.checkSize(auth, req.Size)
	}

	return auth.team.Name, err
}

// Admit returns a grant or a NotRunError. If the request has to wait, Admit blocks until it is granted or refused, or
// until ctx is done.
func (c *Controller) Admit(ctx context.Context, req Request) (Grant, error) {
	now := time.Now()
	if ctx.Err() != nil {
		return Grant{}, refuseContext(ctx)
	}
	auth, err := c.authorize(req, now)
	if err != nil {
		return Grant{}, err
	}
	if err := c.checkSize(auth, req.Size); err != nil {
		return Grant{}, err
	}

	c.mu.Lock()
	if c.stopping {
		c.mu.Unlock()
		return Grant{}, refusal.Refuse(refusal.Stopping, "entry host is stopping").WithRetryAfter(minRetryAfter)
	}
	c.refresh(now)
	pool, account := c.poolOf(auth.queue.Pool), c.ledger.Open(auth.team, now)
	if pool.Len() == 0 {
		if alloc := c.start(auth, account, req, now); alloc != nil {
			c.mu.Unlock()
			return Grant{alloc: alloc}, nil
		}
	}
	w, err := c.enqueue(ctx, pool, account, auth, req, now)
	c.mu.Unlock()
	if err != nil {
		return Grant{}, err
	}
	if req.Waiting != nil {
		req.Waiting(auth.team)
	}

	return c.await(ctx, pool, w)
}

// Dispatch starts the waiting requests that can start now; it must be called when capacity may have been added.
func (c *Controller) Dispatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.refresh(now)
	c.dispatchAll(now)
}

// Run calls Dispatch at short intervals until ctx is done, since capacity may be added without a notification.
func (c *Controller) Run(ctx context.Context) {
	interval := refreshInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.enqueued:
			if interval == idleInterval {
				interval = refreshInterval
				timer.Reset(interval)
			}
		case <-timer.C:
			c.Dispatch()
			interval = c.interval()
			timer.Reset(interval)
		}
	}
}

// interval returns the time until the next call of Dispatch.
func (c *Controller) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pool := range c.pools {
		if pool.Len() > 0 {
			return refreshInterval
		}
	}

	return idleInterval
}

// Stop refuses all waiting and new requests; granted ones continue.
func (c *Controller) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	c.refuseIf(func(*waiter) error {
		return refusal.Refuse(refusal.Stopping, "entry host is stopping").WithRetryAfter(minRetryAfter)
	})
}

// Report returns the running and waiting work of this entry host, for the other entry hosts.
func (c *Controller) Report(entry fleet.EntryName) share.Report {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.ledger.Report(entry, time.Now())
}

// Waiting returns the number of requests that wait for a pool.
func (c *Controller) Waiting(p fleet.PoolName) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.poolOf(p).Len()
}

// start acquires a slot and the upper limits, or returns nil.
func (c *Controller) start(auth authorization, account *share.Account, req Request, now time.Time) *allocation {
	slot, ok := c.AcquireSlot(endpoint.SlotRequest{Pool: auth.queue.Pool, Slots: req.Size.Slots, Idempotent: req.Idempotent})
	if !ok {
		return nil
	}
	release, err := c.AcquireLimit(auth.team, req.Size)
	if err != nil {
		slot.Release()
		return nil
	}
	c.ledger.Start(account, req.Size, now)

	return &allocation{controller: c, auth: auth, account: account, size: req.Size, slot: slot, limit: release, started: now}
}

// refresh recomputes the shares if they are outdated, and refuses waiting requests that a new revision doesn't allow.
func (c *Controller) refresh(now time.Time) {
	if rev := c.Current(); rev != c.checkedRevision {
		c.checkedRevision = rev
		c.refuseIf(func(w *waiter) error {
			auth, err := c.reauthorize(w.auth, now)
			if err == nil {
				w.auth = auth
				err = c.checkSize(auth, w.request.Size)
			}

			return err
		})
	}
	if at := c.ledger.Refreshed(); at.IsZero() || now.Sub(at) >= refreshInterval {
		c.ledger.Refresh(c.Total(), c.Reports(), now)
	}
}

func (c *Controller) dispatchAll(now time.Time) {
	for name, pool := range c.pools {
		if pool.Len() > 0 || c.reserved[name].item != nil {
			c.reserve(name, pool, now)
			c.dispatch(pool, now)
		}
	}
}

// dispatch starts waiting requests of a pool until no more can start.
func (c *Controller) dispatch(pool *queue.Pool, now time.Time) {
	if pool.Len() == 0 {
		return
	}
	// If a request for one slot finds no slot, neither does any other request that may use the same endpoints.
	// Idempotent requests may use all endpoints.
	var nonIdempotentFull, idempotentFull bool
	for pool.Next(c.ledger, func(it *queue.Item) queue.OfferResult {
		w := it.Value.(*waiter)
		switch {
		case idempotentFull:
			return queue.PoolFull
		case nonIdempotentFull && !w.request.Idempotent:
			return queue.ItemBlocked
		}
		result, noSlot := c.tryStart(w, now)
		if noSlot && w.request.Size.Slots == 1 {
			nonIdempotentFull = true
			idempotentFull = w.request.Idempotent
		}

		return result
	}) {
	}
}

// tryStart starts or refuses a waiting request, or returns why it has to wait; noSlot reports that no slot was free.
func (c *Controller) tryStart(w *waiter, now time.Time) (result queue.OfferResult, noSlot bool) {
	auth, err := c.reauthorize(w.auth, now)
	if err != nil {
		c.deliver(w, nil, err)
		return queue.Taken, false
	}
	w.auth = auth

	ask := endpoint.SlotRequest{Pool: w.auth.queue.Pool, Slots: w.request.Size.Slots, Idempotent: w.request.Idempotent}
	slot, ok := c.AcquireSlot(ask)
	if !ok {
		return queue.ItemBlocked, true
	}
	release, err := c.AcquireLimit(w.auth.team, w.request.Size)
	if err != nil {
		slot.Release()
		return queue.ItemBlocked, false
	}
	account := w.item.Account
	c.ledger.Start(account, w.request.Size, now)
	c.deliver(w, &allocation{
		controller: c, auth: w.auth, account: account, size: w.request.Size, slot: slot, limit: release, started: now,
	}, nil)

	return queue.Taken, false
}

func (c *Controller) poolOf(name fleet.PoolName) *queue.Pool {
	pool, ok := c.pools[name]
	if !ok {
		pool = queue.New()
		c.pools[name] = pool
	}

	return pool
}

func refuseContext(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.Refuse(refusal.DeadlinePassed, "the deadline passed before a slot was free")
	}

	return refusal.Refuse(refusal.Cancelled, "the caller cancelled before a slot was free")
}
