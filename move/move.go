package move

import (
	"fmt"
	"time"

	"lycheehook.example/lycheehook/budget"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
)

// Prefix is the store prefix of host records; the host's name follows.
const Prefix = "host/"

// Phase is a step of taking a host out of service and returning it.
type Phase string

// The phases of an intent, in order.
const (
	// Reserving spends a unit of every budget that covers the host, while the host still serves.
	Reserving Phase = "Reserving"
	// Draining keeps new tasks off the host and waits for those in progress.
	Draining Phase = "Draining"
	// Rebooting restarts the drained host.
	Rebooting Phase = "Rebooting"
	// Returning returns the host to service in the pool that its record names.
	Returning Phase = "Returning"
)

// Intent is a recorded operation on a host. Every platform call of the operation carries its ID.
type Intent struct {
	ID hostapi.IntentID
	// From and To are equal when the host does not change its pool.
	From   fleet.PoolName
	To     fleet.PoolName
	Reboot bool `json:",omitempty"`
	Phase  Phase
	// Budgets are the budgets of which the host must hold a unit before it drains.
	Budgets []fleet.BudgetName `json:",omitempty"`
	Began   time.Time
	// Entered is when the phase began.
	Entered time.Time
}

// Record is the stored record of a host, with its pool, its state and its current intent.
type Record struct {
	fleet.Host
	Intent *Intent `json:",omitempty"`
	// LostAt is when the host was last marked as lost.
	LostAt time.Time `json:",omitzero"`
}

// Proposal is a request to move a host to another pool, to reboot it, or both in one drain.
type Proposal struct {
	Host   fleet.HostName
	To     fleet.PoolName
	Reboot bool
}

// UsablePool returns the pool that may use the host. If it returns false, no pool may use the host.
func (r Record) UsablePool() (fleet.PoolName, bool) {
	return r.Pool, r.State == fleet.HostLive
}

// OutOfService reports whether the host is out of service.
func (r Record) OutOfService() bool {
	return r.State != fleet.HostLive
}

// HostState returns the host's claim on a unit of b. While a host returns in a new pool, only budgets that cover it both
// before and after the move are charged, because it has not yet served in the new pool.
func (r Record) HostState(b fleet.Budget) budget.HostState {
	if !b.Covers(r.Host) {
		return budget.HostState{}
	}
	s := budget.HostState{Unavailable: r.OutOfService(), Reason: budget.Planned}
	if r.Intent == nil {
		s.Reason = budget.Unplanned
		return s
	}
	if !b.Covers(r.WithPool(r.Intent.From)) {
		return budget.HostState{}
	}
	s.Intent = r.Intent.ID

	return s
}

// WithIntent returns the record with an intent for p in phase Reserving, in which the host still serves. The intent's ID
// contains the record's revision; it is unique because only one write to that revision can succeed.
func (r Record) WithIntent(p Proposal, revision uint64, budgets []fleet.BudgetName, now time.Time) Record {
	to := p.To
	if to == "" {
		to = r.Pool
	}
	r.Intent = &Intent{
		ID:   newIntentID(r.Name, revision),
		From: r.Pool, To: to, Reboot: p.Reboot, Phase: Reserving, Budgets: budgets, Began: now, Entered: now,
	}

	return r
}

func newIntentID(h fleet.HostName, revision uint64) hostapi.IntentID {
	return hostapi.IntentID(fmt.Sprintf("%s-%d", h, revision))
}

// Aborted returns the record without its intent. It is valid only before the host drains.
func (r Record) Aborted() Record {
	r.Intent = nil
	return r
}

// Reserved returns the record in phase Draining, for a host that holds a unit of every budget.
func (r Record) Reserved(now time.Time) Record {
	return r.withPhase(Draining, fleet.HostDraining, now)
}

// Drained returns the record for a host with no tasks left: it reboots next, or enters its new pool at once.
func (r Record) Drained(now time.Time) Record {
	if r.Intent.Reboot {
		return r.withPhase(Rebooting, fleet.HostRebooting, now)
	}

	return r.movedToDestination(now)
}

// Rebooted returns the record for a host that is up again after its reboot, as a member of its new pool.
func (r Record) Rebooted(now time.Time) Record {
	r.LastMaintained = now
	return r.movedToDestination(now)
}

// movedToDestination returns the record in the destination pool. It is the only place where a host enters another pool.
func (r Record) movedToDestination(now time.Time) Record {
	r.Pool = r.Intent.To
	return r.withPhase(Returning, fleet.HostDrained, now)
}

// DrainCancelled returns the record for a host that returns to service in its old pool and without a reboot.
func (r Record) DrainCancelled(now time.Time) Record {
	in := *r.Intent
	in.To = in.From
	r.Intent = &in
	r.Pool = in.From

	return r.withPhase(Returning, fleet.HostDrained, now)
}

// Returned returns the record for a host that serves again.
func (r Record) Returned() Record {
	r.State = fleet.HostLive
	r.Intent = nil

	return r
}

// Lost returns the record for a host that went out of service unplanned.
func (r Record) Lost(now time.Time) Record {
	r.State = fleet.HostLost
	r.Intent = nil
	r.LostAt = now

	return r
}

// Recovered returns the record for a lost host that is up again, with an intent to return it to service.
func (r Record) Recovered(revision uint64, now time.Time) Record {
	r.State = fleet.HostDrained
	r.Intent = &Intent{ID: newIntentID(r.Name, revision), From: r.Pool, To: r.Pool, Phase: Returning, Began: now, Entered: now}

	return r
}

// WithDestination returns the record with another destination pool.
func (r Record) WithDestination(to fleet.PoolName) Record {
	in := *r.Intent
	in.To = to
	r.Intent = &in

	return r
}

func (r Record) withPhase(p Phase, s fleet.HostState, now time.Time) Record {
	in := *r.Intent
	in.Phase, in.Entered = p, now
	r.Intent = &in
	r.State = s

	return r
}
