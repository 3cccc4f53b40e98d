package admission

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/queue"
)

// reserveAfter is how long a request for several slots waits before free slots of one endpoint are kept for it.
// Without this, requests for one slot could pass it by for as long as they keep coming.
const reserveAfter = 2 * time.Second

// reservation is the request of a pool that slots are kept for.
type reservation struct {
	item *queue.Item
}

// reserve keeps slots for the oldest large request of a pool that has waited for long and is under its upper limit,
// one at a time, and gives them up when that request is gone.
func (g *Gate) reserve(name fleet.PoolName, p *queue.Pool, now time.Time) {
	held := g.reserved[name]
	if held.item != nil && held.item.Waiting() && g.hasLimit(held.item) {
		return
	}
	next := p.Oldest(func(it *queue.Item) bool {
		return it.Size.Slots > 1 && now.Sub(it.Enqueued) >= reserveAfter && g.hasLimit(it)
	})
	switch {
	case next != nil:
		g.reserved[name] = reservation{item: next}
		g.Reserve(name, next.Size.Slots)
	case held.item != nil:
		delete(g.reserved, name)
		g.Unreserve(name)
	}
}

// hasLimit reports whether the upper limits would let a waiting request start.
func (g *Gate) hasLimit(it *queue.Item) bool {
	w := it.Value.(*waiter)
	release, err := g.AcquireLimit(w.permit.team, w.request.Size)
	if err != nil {
		return false
	}
	release()

	return true
}
