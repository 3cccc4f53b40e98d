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

// Phase is how far a host has come on its way out of service and back.
type Phase string

// The phases of an intent, in order.
const (
	// Reserving spends a unit of every budget that covers the host; the host serves.
	Reserving Phase = "Reserving"
	// Draining keeps new tasks off and waits for those in progress.
	Draining Phase = "Draining"
	// Rebooting restarts the drained host.
	Rebooting Phase = "Rebooting"
	// Returning puts the host into use in the pool that its record names.
	Returning Phase = "Returning"
)

// Intent is what is being done to a host; every platform call names it.
type Intent struct {
	ID hostapi.IntentID
	// From and To are equal when the host does not change its pool.
	From   fleet.PoolName
	To     fleet.PoolName
	Reboot bool `json:",omitempty"`
	Phase  Phase
	// Budgets hold a unit each before the drain.
	Budgets []fleet.BudgetName `json:",omitempty"`
	Began   time.Time
	// Entered is when the phase began.
	Entered time.Time
}

// Record is the one record of a host: it names the host's pool, its state and what is being done to it.
type Record struct {
	fleet.Host
	Intent *Intent `json:",omitempty"`
	// LostAt is when the host was last found lost.
	LostAt time.Time `json:",omitzero"`
}

// Proposal asks for a host to change its pool, to be rebooted, or both in one drain.
type Proposal struct {
	Host   fleet.HostName
	To     fleet.PoolName
	Reboot bool
}

// Usable returns the pool that may use the host; a reader that gets false must not use the host for any pool.
func (r Record) Usable() (fleet.PoolName, bool) {
	return r.Pool, r.State == fleet.HostLive
}

// Out reports whether the host is out of service.
func (r Record) Out() bool {
	return r.State != fleet.HostLive
}

// Standing returns the host's claim on a unit of b. A host that joins a pool has not served there, so only budgets
// that cover it before and after the move are charged while it returns.
func (r Record) Standing(b fleet.Budget) budget.Standing {
	if !b.Covers(r.Host) {
		return budget.Standing{}
	}
	s := budget.Standing{Out: r.Out(), Reason: budget.Planned}
	if r.Intent == nil {
		s.Reason = budget.Unplanned
		return s
	}
	if !b.Covers(r.WithPool(r.Intent.From)) {
		return budget.Standing{}
	}
	s.Intent = r.Intent.ID

	return s
}

// Begun returns the record with the intent of p, in which the host still serves. The intent's ID is unique because
// only one write can follow the record's revision.
func (r Record) Begun(p Proposal, revision uint64, budgets []fleet.BudgetName, now time.Time) Record {
	to := p.To
	if to == "" {
		to = r.Pool
	}
	r.Intent = &Intent{
		ID:   intentID(r.Name, revision),
		From: r.Pool, To: to, Reboot: p.Reboot, Phase: Reserving, Budgets: budgets, Began: now, Entered: now,
	}

	return r
}

func intentID(h fleet.HostName, revision uint64) hostapi.IntentID {
	return hostapi.IntentID(fmt.Sprintf("%s-%d", h, revision))
}

// Aborted returns the record without its intent; only a host that was not drained yet may abort.
func (r Record) Aborted() Record {
	r.Intent = nil
	return r
}

// Reserved returns the record of a host whose budgets all hold a unit, so that it may be drained.
func (r Record) Reserved(now time.Time) Record {
	return r.phase(Draining, fleet.HostDraining, now)
}

// Drained returns the record of a host on which nothing runs: it reboots, or enters its new pool at once.
func (r Record) Drained(now time.Time) Record {
	if r.Intent.Reboot {
		return r.phase(Rebooting, fleet.HostRebooting, now)
	}

	return r.entered(now)
}

// Rebooted returns the record of a host that came back from its reboot, as a member of its new pool.
func (r Record) Rebooted(now time.Time) Record {
	r.LastMaintained = now
	return r.entered(now)
}

// entered is the one place where a host changes its pool.
func (r Record) entered(now time.Time) Record {
	r.Pool = r.Intent.To
	return r.phase(Returning, fleet.HostDrained, now)
}

// BroughtBack returns the record of a host that returns to service without a reboot and in the pool that it came from.
func (r Record) BroughtBack(now time.Time) Record {
	in := *r.Intent
	in.To = in.From
	r.Intent = &in
	r.Pool = in.From

	return r.phase(Returning, fleet.HostDrained, now)
}

// Returned returns the record of a host that serves again.
func (r Record) Returned() Record {
	r.State = fleet.HostLive
	r.Intent = nil

	return r
}

// Lost returns the record of a host that went out of service without a plan.
func (r Record) Lost(now time.Time) Record {
	r.State = fleet.HostLost
	r.Intent = nil
	r.LostAt = now

	return r
}

// Found returns the record of a lost host that is up again and has to be put into use.
func (r Record) Found(revision uint64, now time.Time) Record {
	r.State = fleet.HostDrained
	r.Intent = &Intent{ID: intentID(r.Name, revision), From: r.Pool, To: r.Pool, Phase: Returning, Began: now, Entered: now}

	return r
}

// WithDestination returns the record with another pool to enter.
func (r Record) WithDestination(to fleet.PoolName) Record {
	in := *r.Intent
	in.To = to
	r.Intent = &in

	return r
}

func (r Record) phase(p Phase, s fleet.HostState, now time.Time) Record {
	in := *r.Intent
	in.Phase, in.Entered = p, now
	r.Intent = &in
	r.State = s

	return r
}
