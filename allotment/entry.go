package allotment

import (
	"sync"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
)

// retryAfter is the delay that a refusal suggests before a retry; allocations are transferred
// within it.
const retryAfter = 500 * time.Millisecond

// entry is the local state of one limit.
type entry struct {
	key Key
	// limitReached and leaseInvalid are created once, because refusals come in bursts.
	limitReached, leaseInvalid *refusal.NotRunError

	mu     sync.Mutex
	state  allocationState
	demand demand
}

// demand is the recent demand for one limit.
type demand struct {
	// peak is the largest amount that ran at once since the last full tick.
	peak fleet.Resources
	// refused is the amount of work refused since the last tick.
	refused fleet.Resources
	// need is the amount that should be allocated, computed from the last ticks.
	need fleet.Resources
	// hadRefusals reports whether work was refused in the last tick.
	hadRefusals bool
	// idleTicks counts consecutive full ticks in which the allocation was much larger than the need.
	idleTicks int
}

func newEntry(k Key) *entry {
	return &entry{
		key:          k,
		limitReached: refusal.Refuse(refusal.UpperLimit, "%s/%s has no room on this entry host", k.Set, k.Name).WithRetryAfter(retryAfter),
		leaseInvalid: refusal.Refuse(refusal.NotFresh, "this entry host's lease is not confirmed").WithRetryAfter(retryAfter),
	}
}

// start admits work if there is room, and records it as demand.
func (e *entry) start(size fleet.Resources) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	next, ok := e.state.withStart(size)
	if !ok {
		e.demand.refused = e.demand.refused.Plus(size)
		return false
	}
	e.state = next
	e.demand.peak = e.demand.peak.Max(next.used)

	return true
}

func (e *entry) end(size fleet.Resources) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = e.state.withEnd(size)
}

// updateDemand evaluates the demand since the last tick under a limit shared by n members;
// fullTick reports whether a whole tick has passed.
func (e *entry) updateDemand(l Limit, self fleet.Incarnation, n int, fullTick bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	d := e.demand
	now := d.peak.Max(e.state.used).Plus(d.refused).Min(l.Upper)
	d.hadRefusals = !d.refused.IsZero()
	d.refused = fleet.Resources{}
	if fullTick {
		d.need = decayed(d.need)
		d.peak = e.state.used
		d.idleTicks++
		e.state.reserved = half(e.state.reserved)
	}
	d.need = d.need.Max(now)
	if !oversized(l.Allocation(self), d, l, n) {
		d.idleTicks = 0
	}
	e.demand = d
}

// decayed returns about seven eighths of r, and less than r unless r is zero.
func decayed(r fleet.Resources) fleet.Resources {
	return scaled(r, 7, 8)
}

func half(r fleet.Resources) fleet.Resources {
	return scaled(r, 1, 2)
}

// scaled returns r times num/den, rounded down.
func scaled(r fleet.Resources, num, den int64) fleet.Resources {
	t := r.Times(num)

	return fleet.Resources{
		Slots:        t.Slots / den,
		Cores:        t.Cores / fleet.MilliCores(den),
		Memory:       t.Memory / fleet.Mebibytes(den),
		Accelerators: t.Accelerators / den,
	}
}

// adopt applies a newer state of the limit and reports whether more work may start than before.
func (e *entry) adopt(l Limit, self fleet.Incarnation, suspended bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	before := e.state.room()
	e.state = e.state.withLimit(l, self).withSuspended(suspended)

	return !e.state.room().FitsIn(before)
}

func (e *entry) setSuspended(suspended bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = e.state.withSuspended(suspended)
}

func (e *entry) clearEscrow() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = e.state.withoutEscrow()
}

// escrow sets aside up to amount before a write that transfers it, and returns the amount set
// aside.
func (e *entry) escrow(amount fleet.Resources) fleet.Resources {
	e.mu.Lock()
	defer e.mu.Unlock()

	next, escrowed := e.state.withEscrow(amount)
	e.state = next

	return escrowed
}

// unused reports whether nothing runs and nothing is allocated.
func (e *entry) unused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.state.used.IsZero() && e.state.allocated.IsZero()
}
