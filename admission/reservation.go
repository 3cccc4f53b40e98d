package admission

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/queue"
)

// reserveAfter is how long a request for several slots waits before slots of one endpoint are reserved for it.
// Without a reservation, a steady stream of requests for one slot would starve it.
const reserveAfter = 2 * time.Second

// reservation is the waiting request for which slots of a pool are reserved.
type reservation struct {
	item *queue.Item
}

// reserve reserves slots for one request of a pool at a time: the oldest one for several slots that has waited for
// reserveAfter and is below its upper limits. Once that request no longer waits or is at its limits, the reservation
// goes to the next such request or is cancelled.
func (c *Controller) reserve(name fleet.PoolName, pool *queue.Pool, now time.Time) {
	current := c.reserved[name]
	if current.item != nil && current.item.Waiting() && c.fitsLimits(current.item) {
		return
	}
	next := pool.Oldest(func(it *queue.Item) bool {
		return it.Size.Slots > 1 && now.Sub(it.Enqueued) >= reserveAfter && c.fitsLimits(it)
	})
	switch {
	case next != nil:
		c.reserved[name] = reservation{item: next}
		c.Reserve(name, next.Size.Slots)
	case current.item != nil:
		delete(c.reserved, name)
		c.Unreserve(name)
	}
}

// fitsLimits reports whether the upper limits currently allow a waiting request to start.
func (c *Controller) fitsLimits(it *queue.Item) bool {
	w := it.Value.(*waiter)
	release, err := c.AcquireLimit(w.auth.team, w.request.Size)
	if err != nil {
		return false
	}
	release()

	return true
}
