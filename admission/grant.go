package admission

import (
	"sync/atomic"
	"time"

	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/share"
)

// Grant is the right to run one request; it is released once.
type Grant struct {
	ticket *ticket
}

// ticket is what one granted request holds.
type ticket struct {
	gate     *Gate
	permit   permit
	account  *share.Account
	size     fleet.Resources
	slot     endpoint.Slot
	limit    func()
	started  time.Time
	released atomic.Bool
}

// Team returns the team that the request runs for; its name is empty for open queues without a key.
func (g Grant) Team() fleet.Team {
	return g.ticket.permit.team
}

// Slot returns the endpoint slot that the request may use until the grant is released.
func (g Grant) Slot() *endpoint.Slot {
	return &g.ticket.slot
}

// Recheck returns a NotRunError if the key, the plan or the freshness of the configuration no longer stand; it is to
// be asked after every wait, right before the first byte leaves.
func (g Grant) Recheck() error {
	_, err := g.ticket.gate.renew(g.ticket.permit, time.Now())
	return err
}

// Again counts another run of the same request, because an earlier one may still be going on until the given time,
// and reports whether the upper limit has room. The earlier run keeps its slot until then.
func (g Grant) Again(earlier endpoint.Slot, until time.Time) bool {
	t := g.ticket
	gate := t.gate
	gate.mu.Lock()
	defer gate.mu.Unlock()
	limit, err := gate.AcquireLimit(t.permit.team, t.size)
	if err != nil {
		return false
	}
	now := time.Now()
	gate.ledger.Start(t.account, t.size, now)
	lingering := &ticket{
		gate: gate, permit: t.permit, account: t.account, size: t.size, slot: earlier, limit: limit, started: now,
	}
	time.AfterFunc(time.Until(until), lingering.release)

	return true
}

// Hold keeps what the grant holds until the given time, because the request may still be running; it stands in for
// Release.
func (g Grant) Hold(until time.Time) {
	time.AfterFunc(time.Until(until), g.ticket.release)
}

// Done gives back what the grant holds and records how long the request took.
func (g Grant) Done() {
	t := g.ticket
	t.gate.mu.Lock()
	q := t.permit.queue.Name
	t.gate.estimates[q] = t.gate.estimates[q].With(time.Since(t.started))
	t.gate.mu.Unlock()
	t.release()
}

// Release gives back what the grant holds; later calls do nothing.
func (g Grant) Release() {
	g.ticket.release()
}

func (t *ticket) release() {
	if t.released.Swap(true) {
		return
	}
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	t.slot.Release()
	t.limit()
	now := time.Now()
	g.ledger.End(t.account, t.size, now)
	g.refresh(now)
	g.dispatchAll(now)
}
