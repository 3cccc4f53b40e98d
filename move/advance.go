package move

import (
	"errors"
	"slices"
	"time"

	"lycheehook.example/lycheehook/budget"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/record"
)

// WaitReason says why a host can't take its next step.
type WaitReason string

// The reasons to wait.
const (
	// WaitBudget means that an availability budget has no unit left.
	WaitBudget WaitReason = "Budget"
	// WaitTasks means that a draining host still has tasks in progress.
	WaitTasks WaitReason = "Tasks"
	// WaitReboot means that a reboot is in progress.
	WaitReboot WaitReason = "Reboot"
	// WaitNotReturned means that the host did not come back from its reboot in time; it keeps its units.
	WaitNotReturned WaitReason = "NotReturned"
	// WaitLost means that the host went out of service unplanned.
	WaitLost WaitReason = "Lost"
	// WaitPlatform means that the platform gives no status for the host, or reports that it is not up yet.
	WaitPlatform WaitReason = "Platform"
	// WaitNewerLists means that a budget record comes from a newer revision of the lists than this entry host has.
	WaitNewerLists WaitReason = "NewerLists"
	// WaitDrainLimit means that a drain was cancelled because tasks took too long.
	WaitDrainLimit WaitReason = "DrainLimit"
)

// Wait is a host that waits, with the reason.
type Wait struct {
	Host   fleet.HostName
	Phase  Phase `json:",omitempty"`
	Reason WaitReason
	// Budget names the budget of WaitBudget and WaitNewerLists.
	Budget fleet.BudgetName `json:",omitempty"`
	// Running counts the tasks of WaitTasks.
	Running int `json:",omitempty"`
	// Since is when the phase began.
	Since time.Time `json:",omitzero"`
}

// advance decides the next step of one host. It keeps no state of its own between steps, so that any entry host can
// take over at any step.
func (p *pass) advance(v record.Versioned[Record]) {
	r := v.Value
	switch {
	case r.State == fleet.HostLost:
		p.awaitReturn(v)
	case r.Intent == nil:
	case r.Intent.Phase == Reserving:
		p.reserveUnits(v)
	case !p.Observations[r.Name].Asked:
		p.waitFor(r, WaitPlatform)
	case r.Intent.Phase == Draining:
		p.drain(v)
	case r.Intent.Phase == Rebooting:
		p.reboot(v)
	case r.Intent.Phase == Returning:
		p.returnToService(v)
	}
}

func (p *pass) awaitReturn(v record.Versioned[Record]) {
	s := p.Observations[v.Value.Name]
	if s.Asked && s.Status.Up && !s.Lost {
		p.writeHost(v.Value.Recovered(v.Revision, p.Now), v.Revision)
		return
	}
	p.wait(Wait{Host: v.Value.Name, Reason: WaitLost, Since: v.Value.LostAt})
}

// reserveUnits spends at most one unit a pass, in order of budget name, and lets the host drain once it holds all of
// them. If a budget has no unit left, it removes the intent; units already spent are released only after that write,
// because until then another entry host may start the drain.
func (p *pass) reserveUnits(v record.Versioned[Record]) {
	r := v.Value
	if _, exists := p.Config.Pools.Get(r.Intent.To); !exists || !slices.Equal(p.covering(r.Host), r.Intent.Budgets) {
		p.writeHost(r.Aborted(), v.Revision)
		return
	}

	for _, name := range r.Intent.Budgets {
		if p.View.Budgets[name].Value.HeldBy(r.Name, r.Intent.ID) {
			continue
		}
		p.spendUnit(v, name)

		return
	}
	// Losses since the units were spent may have exceeded a budget. Nothing is drained yet, so the host stays in service.
	for _, name := range r.Intent.Budgets {
		if d := p.drafts[name]; d.Held() > d.MaxUnavailable {
			p.wait(Wait{Host: r.Name, Phase: Reserving, Reason: WaitBudget, Budget: name})
			p.writeHost(r.Aborted(), v.Revision)

			return
		}
	}
	p.writeHost(r.Reserved(p.Now), v.Revision)
}

func (p *pass) spendUnit(v record.Versioned[Record], name fleet.BudgetName) {
	d := p.drafts[name]
	if d.hostsStale {
		return
	}
	if d.newerLimit {
		p.wait(Wait{Host: v.Value.Name, Phase: Reserving, Reason: WaitNewerLists, Budget: name})
		return
	}
	next, err := d.WithPlanned(v.Value.Name, v.Value.Intent.ID, p.Now)
	if errors.Is(err, budget.ErrHeld) {
		return
	}
	if err != nil {
		p.wait(Wait{Host: v.Value.Name, Phase: Reserving, Reason: WaitBudget, Budget: name})
		p.writeHost(v.Value.Aborted(), v.Revision)

		return
	}
	d.Record, d.spent = next, true
}

func (p *pass) drain(v record.Versioned[Record]) {
	r, s := v.Value, p.Observations[v.Value.Name].Status
	if _, exists := p.Config.Pools.Get(r.Intent.To); !exists {
		p.writeHost(r.DrainCancelled(p.Now), v.Revision)
		return
	}
	if !s.Draining || s.Intent != r.Intent.ID {
		p.call(CallDrain, v)
		return
	}
	if s.Running == 0 && s.Up && p.minDrainElapsed(r.Name) {
		p.writeHost(r.Drained(p.Now), v.Revision)
		return
	}
	if p.DrainLimit > 0 && p.Now.Sub(r.Intent.Entered) > p.DrainLimit {
		p.waitFor(r, WaitDrainLimit)
		p.writeHost(r.DrainCancelled(p.Now), v.Revision)

		return
	}
	p.wait(Wait{Host: r.Name, Phase: Draining, Reason: WaitTasks, Running: s.Running, Since: r.Intent.Entered})
}

// minDrainElapsed reports whether a host has drained for MinDrain, after which no client with an outdated inventory sends
// it work any more.
func (p *pass) minDrainElapsed(name fleet.HostName) bool {
	since := p.Observations[name].DrainingSince
	return p.MinDrain == 0 || !since.IsZero() && p.Now.Sub(since) >= p.MinDrain
}

func (p *pass) reboot(v record.Versioned[Record]) {
	r, s := v.Value, p.Observations[v.Value.Name].Status
	switch {
	case s.Up && s.Rebooted == r.Intent.ID:
		if _, exists := p.Config.Pools.Get(r.Intent.To); !exists {
			r = r.WithDestination(r.Intent.From)
		}
		p.writeHost(r.Rebooted(p.Now), v.Revision)
	case s.Up:
		p.call(CallReboot, v)
	case p.ReturnLimit > 0 && p.Now.Sub(r.Intent.Entered) > p.ReturnLimit:
		p.waitFor(r, WaitNotReturned)
	default:
		p.waitFor(r, WaitReboot)
	}
}

func (p *pass) returnToService(v record.Versioned[Record]) {
	r, s := v.Value, p.Observations[v.Value.Name].Status
	switch {
	case s.Up && !s.Draining && s.Intent == r.Intent.ID:
		p.writeHost(r.Returned(), v.Revision)
	case s.Up:
		p.call(CallCancelDrain, v)
	default:
		p.waitFor(r, WaitPlatform)
	}
}

func (p *pass) waitFor(r Record, reason WaitReason) {
	p.wait(Wait{Host: r.Name, Phase: r.Intent.Phase, Reason: reason, Since: r.Intent.Entered})
}
