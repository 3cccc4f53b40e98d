package admission

import (
	"context"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/queue"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/share"
)

// waiter is a request that waits in a line; the gate's lock guards its permit.
type waiter struct {
	permit  permit
	queue   fleet.QueueName
	maxWait time.Duration
	request Request
	item    queue.Item
	// settled gets the one result of the waiter.
	settled chan result
}

// result is either a ticket or the reason of a refusal.
type result struct {
	ticket *ticket
	err    error
}

// enqueue puts a request in its line, unless it can't start in time or there is no room.
func (g *Gate) enqueue(
	ctx context.Context, pool *queue.Pool, a *share.Account, p permit, req Request, now time.Time,
) (*waiter, error) {
	estimate := g.estimates[p.queue.Name]
	slots := float64(g.Slots(p.queue.Pool)) * g.ledger.Rate(a)
	wait := estimate.Wait(pool.AccountLen(a), slots)
	if patience, bounded := patienceOf(ctx, p, now); bounded && wait > patience {
		return nil, refusal.Refuse(refusal.WaitTooLong, "about %v until a slot is free", wait.Round(time.Millisecond)).
			WithRetryAfter(max(wait-patience, leastRetryAfter))
	}

	w := &waiter{
		permit: p, queue: p.queue.Name, maxWait: p.queue.MaxWait.Std(), request: req, settled: make(chan result, 1),
	}
	w.item = queue.Item{
		Account: a, Queue: p.queue.Name, Urgent: p.queue.Urgent, Idempotent: req.Idempotent,
		Size: req.Size, Enqueued: now, Value: w,
	}
	shed, err := pool.Add(&w.item, p.queue, p.team.Share)
	if err != nil {
		return nil, full(p, max(wait/2, leastRetryAfter))
	}
	g.ledger.Wait(a, req.Size)
	select {
	case g.waits <- struct{}{}:
	default:
	}
	if shed != nil {
		other := shed.Value.(*waiter)
		g.settle(other, nil, full(other.permit, max(wait/2, leastRetryAfter)))
	}
	g.dispatch(pool, now)

	return w, nil
}

func full(p permit, retryAfter time.Duration) error {
	return refusal.Refuse(refusal.QueueFull, "queue %s is full", p.queue.Name).WithRetryAfter(retryAfter)
}

// patienceOf returns how long the request may wait, by the caller's deadline and the queue's MaxWait.
func patienceOf(ctx context.Context, p permit, now time.Time) (time.Duration, bool) {
	patience, bounded := p.queue.MaxWait.Std(), p.queue.MaxWait > 0
	if d, ok := ctx.Deadline(); ok && (!bounded || d.Sub(now) < patience) {
		patience, bounded = d.Sub(now), true
	}

	return patience, bounded
}

// await returns the result of a waiter, or takes it out of its line when its time is over.
func (g *Gate) await(ctx context.Context, pool *queue.Pool, w *waiter) (Grant, error) {
	var expired <-chan time.Time
	if w.maxWait > 0 {
		t := time.NewTimer(w.maxWait)
		defer t.Stop()
		expired = t.C
	}

	select {
	case r := <-w.settled:
		return w.grant(ctx, r)
	case <-ctx.Done():
		return g.leave(ctx, pool, w, refuseContext(ctx))
	case <-expired:
		return g.leave(ctx, pool, w, refusal.Refuse(refusal.WaitTooLong, "waited %v in queue %s",
			w.maxWait, w.queue).WithRetryAfter(leastRetryAfter))
	}
}

// leave takes the waiter out of its line; if its result was there first, that counts.
func (g *Gate) leave(ctx context.Context, pool *queue.Pool, w *waiter, reason error) (Grant, error) {
	g.mu.Lock()
	removed := pool.Remove(&w.item)
	if removed {
		g.ledger.Unwait(w.item.Account, w.request.Size)
		if g.reserved[w.permit.queue.Pool].item == &w.item {
			g.dispatchAll(time.Now())
		}
	}
	g.mu.Unlock()
	if removed {
		return Grant{}, reason
	}

	return w.grant(ctx, <-w.settled)
}

// grant hands out a ticket, or gives it back if the caller is gone.
func (w *waiter) grant(ctx context.Context, r result) (Grant, error) {
	if r.err != nil {
		return Grant{}, r.err
	}
	if ctx.Err() != nil {
		r.ticket.release()
		return Grant{}, refuseContext(ctx)
	}

	return Grant{ticket: r.ticket}, nil
}

// settle gives a waiter its one result; the caller sees to it that the waiter leaves its line.
func (g *Gate) settle(w *waiter, t *ticket, err error) {
	g.ledger.Unwait(w.item.Account, w.request.Size)
	w.settled <- result{ticket: t, err: err}
}

// refuseWhere refuses each waiting request for which reason returns an error.
func (g *Gate) refuseWhere(reason func(*waiter) error) {
	for _, p := range g.pools {
		var refused []*waiter
		p.All(func(it *queue.Item) bool {
			w := it.Value.(*waiter)
			if err := reason(w); err != nil {
				refused = append(refused, w)
				g.settle(w, nil, err)
			}

			return true
		})
		for _, w := range refused {
			p.Remove(&w.item)
		}
	}
}
