package move

import (
	"errors"
	"slices"
	"time"

	"lycheehook.example/lycheehook/budget"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/record"
)

// WaitReason says why a host does not go on.
type WaitReason string

// The reasons to wait.
const (
	// WaitBudget is an availability budget without a unit left.
	WaitBudget WaitReason = "Budget"
	// WaitTasks is a drained host's tasks in progress.
	WaitTasks WaitReason = "Tasks"
	// WaitReboot is a reboot in progress.
	WaitReboot WaitReason = "Reboot"
	// WaitNotReturned is a host that did not come back from its reboot in time; it keeps its units.
	WaitNotReturned WaitReason = "NotReturned"
	// WaitLost is a host that was lost without a plan.
	WaitLost WaitReason = "Lost"
	// WaitPlatform is a platform that does not answer about the host.
	WaitPlatform WaitReason = "Platform"
	// WaitNewerLists is a budget whose record comes from lists that this entry host has not seen.
	WaitNewerLists WaitReason = "NewerLists"
	// WaitDrainLimit is a drain that was given up because tasks took too long.
	WaitDrainLimit WaitReason = "DrainLimit"
)

// Wait tells what a host waits for.
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

// advance decides the next step of one host from its record alone, so that any entry host can take over at any step.
func (p *pass) advance(v record.Versioned[Record]) {
	r := v.Value
	switch {
	case r.State == fleet.HostLost:
		p.awaitReturn(v)
	case r.Intent == nil:
	case r.Intent.Phase == Reserving:
		p.reserve(v)
	case !p.Sights[r.Name].Asked:
		p.waitFor(r, WaitPlatform)
	case r.Intent.Phase == Draining:
		p.drain(v)
	case r.Intent.Phase == Rebooting:
		p.reboot(v)
	case r.Intent.Phase == Returning:
		p.putIntoUse(v)
	}
}

func (p *pass) awaitReturn(v record.Versioned[Record]) {
	s := p.Sights[v.Value.Name]
	if s.Asked && s.Status.Up && !s.Lost {
		p.writeHost(v.Value.Found(v.Revision, p.Now), v.Revision)
		return
	}
	p.wait(Wait{Host: v.Value.Name, Reason: WaitLost, Since: v.Value.LostAt})
}

// reserve spends at most one unit a pass, in order of budget name, and lets the host drain when it holds all. After a
// denial the intent is ended first; only then may its units return, because until then another entry host may drain.
func (p *pass) reserve(v record.Versioned[Record]) {
	r := v.Value
	if _, exists := p.Config.Pools.Get(r.Intent.To); !exists || !slices.Equal(p.covering(r.Host), r.Intent.Budgets) {
		p.writeHost(r.Aborted(), v.Revision)
		return
	}

	for _, name := range r.Intent.Budgets {
		if p.View.Budgets[name].Value.HeldBy(r.Name, r.Intent.ID) {
			continue
		}
		p.spend(v, name)

		return
	}
	// A loss since the units were spent counts first: nothing is drained yet, so the host stays in service.
	for _, name := range r.Intent.Budgets {
		if d := p.drafts[name]; d.Out() > d.MaxUnavailable {
			p.wait(Wait{Host: r.Name, Phase: Reserving, Reason: WaitBudget, Budget: name})
			p.writeHost(r.Aborted(), v.Revision)

			return
		}
	}
	p.writeHost(r.Reserved(p.Now), v.Revision)
}

func (p *pass) spend(v record.Versioned[Record], name fleet.BudgetName) {
	d := p.drafts[name]
	if d.unread {
		return
	}
	if d.newerLists {
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
	r, s := v.Value, p.Sights[v.Value.Name].Status
	if _, exists := p.Config.Pools.Get(r.Intent.To); !exists {
		p.writeHost(r.BroughtBack(p.Now), v.Revision)
		return
	}
	if !s.Draining || s.Intent != r.Intent.ID {
		p.call(CallDrain, v)
		return
	}
	if s.Running == 0 && s.Up && p.quiet(r.Name) {
		p.writeHost(r.Drained(p.Now), v.Revision)
		return
	}
	if p.DrainLimit > 0 && p.Now.Sub(r.Intent.Entered) > p.DrainLimit {
		p.waitFor(r, WaitDrainLimit)
		p.writeHost(r.BroughtBack(p.Now), v.Revision)

		return
	}
	p.wait(Wait{Host: r.Name, Phase: Draining, Reason: WaitTasks, Running: s.Running, Since: r.Intent.Entered})
}

// quiet reports whether a host has drained for long enough that no reader of a lagging list sends it work any more.
func (p *pass) quiet(name fleet.HostName) bool {
	since := p.Sights[name].DrainingSince
	return p.MinDrain == 0 || !since.IsZero() && p.Now.Sub(since) >= p.MinDrain
}

func (p *pass) reboot(v record.Versioned[Record]) {
	r, s := v.Value, p.Sights[v.Value.Name].Status
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

func (p *pass) putIntoUse(v record.Versioned[Record]) {
	r, s := v.Value, p.Sights[v.Value.Name].Status
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
