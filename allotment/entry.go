package allotment

import (
	"sync"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
)

// fullRetryAfter is the time to come back that a refusal names; parts move within it.
const fullRetryAfter = 500 * time.Millisecond

// entry is one limit as this holder serves it.
type entry struct {
	key Key
	// full and unlicensed are made once, because refusals come in floods.
	full, unlicensed *refusal.NotRunError

	mu       sync.Mutex
	standing standing
	demand   demand
}

// demand is what was asked of one limit lately.
type demand struct {
	// most is the largest amount that ran at once since the last tick.
	most fleet.Resources
	// refused is what was turned away since the last tick.
	refused fleet.Resources
	// need is the amount that should be held, from the last ticks.
	need fleet.Resources
	// short says that work was refused in the last tick.
	short bool
	// idleTicks counts ticks for which the part was much larger than the need.
	idleTicks int
}

func newEntry(k Key) *entry {
	return &entry{
		key:        k,
		full:       refusal.Refuse(refusal.UpperLimit, "%s/%s has no room on this entry host", k.Set, k.Name).WithRetryAfter(fullRetryAfter),
		unlicensed: refusal.Refuse(refusal.NotFresh, "this entry host's lease is not confirmed").WithRetryAfter(fullRetryAfter),
	}
}

// start admits work if there is room, and counts it as demand.
func (e *entry) start(size fleet.Resources) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	next, ok := e.standing.withStart(size)
	if !ok {
		e.demand.refused = e.demand.refused.Plus(size)
		return false
	}
	e.standing = next
	e.demand.most = e.demand.most.Max(next.used)

	return true
}

func (e *entry) end(size fleet.Resources) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.standing = e.standing.withEnd(size)
}

// measure takes in the demand since the last tick, under a limit shared by n members; aged says that a whole tick passed.
func (e *entry) measure(l Limit, self fleet.Incarnation, n int, aged bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	d := e.demand
	now := d.most.Max(e.standing.used).Plus(d.refused).Min(l.Upper)
	d.short = !d.refused.IsZero()
	d.refused = fleet.Resources{}
	if aged {
		d.need = decayed(d.need)
		d.most = e.standing.used
		d.idleTicks++
		e.standing.reserved = half(e.standing.reserved)
	}
	d.need = d.need.Max(now)
	if !oversized(l.Part(self), d, l, n) {
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

// adopt takes in a newer state of the limit and reports whether more may start than before.
func (e *entry) adopt(l Limit, self fleet.Incarnation, closed bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	before := e.standing.room()
	e.standing = e.standing.withLimit(l, self).withClosed(closed)

	return !e.standing.room().FitsIn(before)
}

func (e *entry) close(closed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.standing = e.standing.withClosed(closed)
}

func (e *entry) unpledge() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.standing = e.standing.withoutPledge()
}

// pledge sets up to amount aside before a write gives it away, and returns what was set aside.
func (e *entry) pledge(amount fleet.Resources) fleet.Resources {
	e.mu.Lock()
	defer e.mu.Unlock()

	next, able := e.standing.withPledge(amount)
	e.standing = next

	return able
}

// unused reports whether nothing runs and nothing is held.
func (e *entry) unused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.standing.used.IsZero() && e.standing.part.IsZero()
}
