package admission

import (
	"context"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/queue"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/share"
)

// waiter is a waiting request; Controller.mu guards auth.
type waiter struct {
	auth    authorization
	queue   fleet.QueueName
	maxWait time.Duration
	request Request
	item    queue.Item
	// result receives exactly one result, unless the waiter is removed from its pool first.
	result chan result
}

// result is either an allocation or a refusal.
type result struct {
	alloc *allocation
	err   error
}

// enqueue adds a request to its pool, unless its estimated wait is too long or the queue is full.
func (c *Controller) enqueue(
	ctx context.Context, pool *queue.Pool, account *share.Account, auth authorization, req Request, now time.Time,
) (*waiter, error) {
	estimate := c.estimates[auth.queue.Name]
	slots := float64(c.Slots(auth.queue.Pool)) * c.ledger.Rate(account)
	wait := estimate.Wait(pool.AccountLen(account), slots)
	if maxWait, bounded := waitLimit(ctx, auth, now); bounded && wait > maxWait {
		return nil, refusal.Refuse(refusal.WaitTooLong, "about %v until a slot is free", wait.Round(time.Millisecond)).
			WithRetryAfter(max(wait-maxWait, minRetryAfter))
	}

	w := &waiter{
		auth: auth, queue: auth.queue.Name, maxWait: auth.queue.MaxWait.Std(), request: req, result: make(chan result, 1),
	}
	w.item = queue.Item{
		Account: account, Queue: auth.queue.Name, Urgent: auth.queue.Urgent, Idempotent: req.Idempotent,
		Size: req.Size, Enqueued: now, Value: w,
	}
	shed, err := pool.Add(&w.item, auth.queue, auth.team.Share)
	if err != nil {
		return nil, queueFull(auth, max(wait/2, minRetryAfter))
	}
	c.ledger.AddWaiting(account, req.Size)
	select {
	case c.enqueued <- struct{}{}:
	default:
	}
	if shed != nil {
		shedWaiter := shed.Value.(*waiter)
		c.deliver(shedWaiter, nil, queueFull(shedWaiter.auth, max(wait/2, minRetryAfter)))
	}
	c.dispatch(pool, now)

	return w, nil
}

func queueFull(auth authorization, retryAfter time.Duration) error {
	return refusal.Refuse(refusal.QueueFull, "queue %s is full", auth.queue.Name).WithRetryAfter(retryAfter)
}

// waitLimit returns how long the request may wait, by the caller's deadline and the queue's MaxWait.
func waitLimit(ctx context.Context, auth authorization, now time.Time) (time.Duration, bool) {
	limit, bounded := auth.queue.MaxWait.Std(), auth.queue.MaxWait > 0
	if d, ok := ctx.Deadline(); ok && (!bounded || d.Sub(now) < limit) {
		limit, bounded = d.Sub(now), true
	}

	return limit, bounded
}

// await returns the result of a waiter, or removes the waiter when ctx is done or MaxWait is over.
func (c *Controller) await(ctx context.Context, pool *queue.Pool, w *waiter) (Grant, error) {
	var maxWaitOver <-chan time.Time
	if w.maxWait > 0 {
		timer := time.NewTimer(w.maxWait)
		defer timer.Stop()
		maxWaitOver = timer.C
	}

	select {
	case r := <-w.result:
		return w.grant(ctx, r)
	case <-ctx.Done():
		return c.cancelWait(ctx, pool, w, refuseContext(ctx))
	case <-maxWaitOver:
		return c.cancelWait(ctx, pool, w, refusal.Refuse(refusal.WaitTooLong, "waited %v in queue %s",
			w.maxWait, w.queue).WithRetryAfter(minRetryAfter))
	}
}

// cancelWait removes a waiter from its pool and returns reason; if the waiter was removed before, its result is used.
func (c *Controller) cancelWait(ctx context.Context, pool *queue.Pool, w *waiter, reason error) (Grant, error) {
	c.mu.Lock()
	removed := pool.Remove(&w.item)
	if removed {
		c.ledger.RemoveWaiting(w.item.Account, w.request.Size)
		if c.reserved[w.auth.queue.Pool].item == &w.item {
			c.dispatchAll(time.Now())
		}
	}
	c.mu.Unlock()
	if removed {
		return Grant{}, reason
	}

	return w.grant(ctx, <-w.result)
}

// grant returns a grant for a result, or releases the allocation if ctx is done.
func (w *waiter) grant(ctx context.Context, r result) (Grant, error) {
	if r.err != nil {
		return Grant{}, r.err
	}
	if ctx.Err() != nil {
		r.alloc.release()
		return Grant{}, refuseContext(ctx)
	}

	return Grant{alloc: r.alloc}, nil
}

// deliver sends a waiter its only result; the caller must remove the waiter from its pool.
func (c *Controller) deliver(w *waiter, alloc *allocation, err error) {
	c.ledger.RemoveWaiting(w.item.Account, w.request.Size)
	w.result <- result{alloc: alloc, err: err}
}

// refuseIf refuses each waiting request for which reason returns an error.
func (c *Controller) refuseIf(reason func(*waiter) error) {
	for _, pool := range c.pools {
		var refused []*waiter
		pool.All(func(it *queue.Item) bool {
			w := it.Value.(*waiter)
			if err := reason(w); err != nil {
				refused = append(refused, w)
				c.deliver(w, nil, err)
			}

			return true
		})
		for _, w := range refused {
			pool.Remove(&w.item)
		}
	}
}
