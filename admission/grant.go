package admission

import (
	"sync/atomic"
	"time"

	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/share"
)

// Grant is the right to run one request; it must be released by Release, Complete or ReleaseAt.
type Grant struct {
	alloc *allocation
}

// allocation is the capacity that is allocated to one granted request.
type allocation struct {
	controller *Controller
	auth       authorization
	account    *share.Account
	size       fleet.Resources
	slot       endpoint.Slot
	limit      func()
	started    time.Time
	released   atomic.Bool
}

// Team returns the team that the request runs for; its name is empty for open queues without a key.
func (g Grant) Team() fleet.Team {
	return g.alloc.auth.team
}

// Slot returns the endpoint slot, which the request may use until the grant is released.
func (g Grant) Slot() *endpoint.Slot {
	return &g.alloc.slot
}

// Recheck returns a NotRunError if the key or the plan no longer permits the request, or if the configuration isn't
// fresh. It must be called after every wait, right before the first byte is sent.
func (g Grant) Recheck() error {
	_, err := g.alloc.controller.reauthorize(g.alloc.auth, time.Now())
	return err
}

// AcquireRepeat counts a second run of the same request toward the upper limit, since the earlier run may continue until the
// given time, and reports whether the limit allows that. The earlier run keeps its slot until then.
func (g Grant) AcquireRepeat(earlier endpoint.Slot, until time.Time) bool {
	alloc := g.alloc
	controller := alloc.controller
	controller.mu.Lock()
	defer controller.mu.Unlock()
	limit, err := controller.AcquireLimit(alloc.auth.team, alloc.size)
	if err != nil {
		return false
	}
	now := time.Now()
	controller.ledger.Start(alloc.account, alloc.size, now)
	earlierAlloc := &allocation{
		controller: controller, auth: alloc.auth, account: alloc.account, size: alloc.size, slot: earlier, limit: limit, started: now,
	}
	time.AfterFunc(time.Until(until), earlierAlloc.release)

	return true
}

// ReleaseAt releases the grant at the given time, since the request may run until then; it is called instead of Release.
func (g Grant) ReleaseAt(until time.Time) {
	time.AfterFunc(time.Until(until), g.alloc.release)
}

// Complete releases the grant and records the service time of the request.
func (g Grant) Complete() {
	alloc := g.alloc
	alloc.controller.mu.Lock()
	q := alloc.auth.queue.Name
	alloc.controller.estimates[q] = alloc.controller.estimates[q].With(time.Since(alloc.started))
	alloc.controller.mu.Unlock()
	alloc.release()
}

// Release releases the slot and the upper limits; later calls do nothing.
func (g Grant) Release() {
	g.alloc.release()
}

func (a *allocation) release() {
	if a.released.Swap(true) {
		return
	}
	g := a.controller
	g.mu.Lock()
	defer g.mu.Unlock()
	a.slot.Release()
	a.limit()
	now := time.Now()
	g.ledger.End(a.account, a.size, now)
	g.refresh(now)
	g.dispatchAll(now)
}
