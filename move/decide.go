package move

import (
	"maps"
	"slices"
	"time"

	"lycheehook.example/lycheehook/budget"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/record"
)

// View is what was read from the store: host and budget records, each with the store revision that fences it.
type View struct {
	Hosts   map[fleet.HostName]record.Versioned[Record]
	Budgets map[fleet.BudgetName]record.Versioned[budget.Record]
	// HostsAt is the store revision as of which Hosts were read.
	HostsAt uint64
}

// Sight is what the platform says about a host.
type Sight struct {
	// Asked reports whether Status is known.
	Asked  bool
	Status hostapi.HostStatus
	// DrainingSince is when the host was first seen to drain under its intent.
	DrainingSince time.Time
	// Lost says that the host has been gone for longer than a lagging list can explain.
	Lost bool
	// Listed is the host as in the inventory, for a host that has no record yet.
	Listed *fleet.Host
}

// Owner tells which records this entry host takes care of; a wrong guess costs a conflict and not a promise.
type Owner struct {
	Pool   func(fleet.PoolName) bool
	Budget func(fleet.BudgetName) bool
}

// Input is everything that a decision depends on.
type Input struct {
	View      View
	Config    Config
	Sights    map[fleet.HostName]Sight
	Proposals []Proposal
	Owner     Owner
	// MinDrain is how long a host drains at least, because work may arrive from a reader of a lagging list.
	MinDrain time.Duration
	// DrainLimit is how long a drain may wait for tasks before the host is brought back; zero means without end.
	DrainLimit time.Duration
	// ReturnLimit is how long a reboot may take before the host is reported.
	ReturnLimit time.Duration
	Now         time.Time
}

// WriteHost replaces a host's record provided that its store revision still is Base.
type WriteHost struct {
	Record Record
	Base   uint64
}

// Subject returns the host's name.
func (w WriteHost) Subject() string { return string(w.Record.Name) }

// WriteBudget replaces a budget's record provided that its store revision still is Base.
type WriteBudget struct {
	Record budget.Record
	Base   uint64
}

// Subject returns the budget's name.
func (w WriteBudget) Subject() string { return string(w.Record.Name) }

// CallKind names a call to a host.
type CallKind string

// The calls to a host.
const (
	CallDrain       CallKind = "Drain"
	CallCancelDrain CallKind = "CancelDrain"
	CallReboot      CallKind = "Reboot"
)

// CallHost asks the platform to do something to a host.
type CallHost struct {
	Kind CallKind
	Call hostapi.HostCall
}

// Subject returns the host's name.
func (c CallHost) Subject() string { return string(c.Call.Host) }

// Decision is what to do now, and what is waited for.
type Decision struct {
	Actions []fleet.Action
	Waits   []Wait
}

// draft is a budget record under change in one pass.
type draft struct {
	budget.Record
	base  uint64
	limit fleet.Budget
	// spent says that a host of this pass took a unit.
	spent bool
	// newerLists says that the record's limit comes from newer lists than ours.
	newerLists bool
	// unread says that the host records were read before the budget, so they can't tell which units are due to return.
	unread bool
}

// pass is the state of one decision.
type pass struct {
	Input
	hosts  map[fleet.HostName]record.Versioned[Record]
	drafts map[fleet.BudgetName]*draft
	// names is the budgets in order.
	names []fleet.BudgetName
	// active is the hosts that are out of service or have an intent, in order.
	active []fleet.HostName
	out    Decision
}

// Decide returns the next action for each host and budget that the owner takes care of; it is a pure function.
func Decide(in Input) Decision {
	p := &pass{Input: in, hosts: maps.Clone(in.View.Hosts), drafts: map[fleet.BudgetName]*draft{}}
	if p.hosts == nil {
		p.hosts = map[fleet.HostName]record.Versioned[Record]{}
	}
	p.admitListed()
	p.noteLosses()
	p.findActive()
	p.openBudgets()
	for _, name := range p.active {
		if v := p.hosts[name]; v.Revision != 0 && p.Owner.Pool(v.Value.Pool) {
			p.advance(v)
		}
	}
	p.begin()
	p.writeBudgets()

	return p.out
}

// admitListed writes a record for each listed host that has none.
func (p *pass) admitListed() {
	for _, name := range slices.Sorted(maps.Keys(p.Sights)) {
		listed := p.Sights[name].Listed
		if _, known := p.hosts[name]; known || listed == nil {
			continue
		}
		pool, ok := p.poolFor(listed.Pool)
		if !ok || !p.Owner.Pool(pool) {
			continue
		}
		h := listed.WithPool(pool).WithState(fleet.HostLive)
		h.StoreRevision = 0
		p.writeHost(Record{Host: h}, 0)
	}
}

// poolFor returns the pool of the lists that a listed host enters: its own, or else the spare.
func (p *pass) poolFor(listed fleet.PoolName) (fleet.PoolName, bool) {
	if _, ok := p.Config.Pools.Get(listed); ok {
		return listed, true
	}
	for name, pool := range p.Config.Pools.All() {
		if pool.Spare {
			return name, true
		}
	}

	return "", false
}

// noteLosses marks lost hosts first, so that budgets count them before any planned outage.
func (p *pass) noteLosses() {
	for _, name := range slices.Sorted(maps.Keys(p.hosts)) {
		v := p.hosts[name]
		if !p.Sights[name].Lost || v.Value.State == fleet.HostLost || v.Value.State == fleet.HostRebooting {
			continue
		}
		lost := v.Value.Lost(p.Now)
		p.hosts[name] = record.Versioned[Record]{Value: lost}
		if p.Owner.Pool(v.Value.Pool) {
			p.writeHost(lost, v.Revision)
		}
	}
}

func (p *pass) findActive() {
	for name, v := range p.hosts {
		if v.Value.Out() || v.Value.Intent != nil {
			p.active = append(p.active, name)
		}
	}
	slices.Sort(p.active)
}

// openBudgets brings every budget up to what the host records say.
func (p *pass) openBudgets() {
	for name, limit := range EffectiveBudgets(p.Config).All() {
		v := p.View.Budgets[name]
		limited, err := v.Value.WithLimit(limit, p.Config.Revision)
		d := &draft{Record: limited, base: v.Revision, limit: limit, newerLists: err != nil}
		if d.unread = p.View.HostsAt < v.Revision; !d.unread {
			d.Record = d.Settled(p.standings(limit), p.Now)
		}
		p.drafts[name] = d
		p.names = append(p.names, name)
	}
}

func (p *pass) standings(b fleet.Budget) map[fleet.HostName]budget.Standing {
	all := map[fleet.HostName]budget.Standing{}
	for _, name := range p.active {
		if s := p.hosts[name].Value.Standing(b); s.Out || s.Intent != "" {
			all[name] = s
		}
	}

	return all
}

// covering returns the budgets that cover h, in order of name.
func (p *pass) covering(h fleet.Host) []fleet.BudgetName {
	var names []fleet.BudgetName
	for _, name := range p.names {
		if p.drafts[name].limit.Covers(h) {
			names = append(names, name)
		}
	}

	return names
}

// begin records an intent for each proposal whose budgets have a unit left; who proposes has decided whose hosts these
// may be.
func (p *pass) begin() {
	expected := map[fleet.BudgetName]int{}
	for _, prop := range p.Proposals {
		v, ok := p.hosts[prop.Host]
		if !ok || v.Revision == 0 || v.Value.State != fleet.HostLive || v.Value.Intent != nil {
			continue
		}
		if _, exists := p.Config.Pools.Get(prop.To); prop.To != "" && !exists {
			continue
		}
		covering := p.covering(v.Value.Host)
		if full := p.firstFull(covering, expected); full != "" {
			p.wait(Wait{Host: prop.Host, Reason: WaitBudget, Budget: full})
			continue
		}
		for _, name := range covering {
			expected[name]++
		}
		p.writeHost(v.Value.Begun(prop, v.Revision, covering, p.Now), v.Revision)
	}
}

// firstFull returns the first budget that has no unit beyond those expected to be spent.
func (p *pass) firstFull(names []fleet.BudgetName, expected map[fleet.BudgetName]int) fleet.BudgetName {
	for _, name := range names {
		if p.drafts[name].Free() <= expected[name] {
			return name
		}
	}

	return ""
}

// writeBudgets writes each changed budget once, however many hosts changed it.
func (p *pass) writeBudgets() {
	for _, name := range p.names {
		d := p.drafts[name]
		changed := !d.Equal(p.View.Budgets[name].Value) && (d.base != 0 || d.Out() > 0)
		if changed && !d.unread && (d.spent || p.Owner.Budget(name)) {
			p.out.Actions = append(p.out.Actions, WriteBudget{Record: d.Record, Base: d.base})
		}
	}
}

func (p *pass) writeHost(r Record, base uint64) {
	p.out.Actions = append(p.out.Actions, WriteHost{Record: r, Base: base})
}

func (p *pass) call(kind CallKind, v record.Versioned[Record]) {
	p.out.Actions = append(p.out.Actions, CallHost{Kind: kind, Call: hostapi.HostCall{
		Host: v.Value.Name, Intent: v.Value.Intent.ID, Fence: v.Revision,
	}})
}

func (p *pass) wait(w Wait) {
	p.out.Waits = append(p.out.Waits, w)
}
