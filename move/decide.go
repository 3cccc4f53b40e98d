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

// View holds the host and budget records read from the store, each with its store revision.
type View struct {
	Hosts   map[fleet.HostName]record.Versioned[Record]
	Budgets map[fleet.BudgetName]record.Versioned[budget.Record]
	// HostsAt is the store revision at which Hosts was read.
	HostsAt uint64
}

// Observation is what the platform reports about a host.
type Observation struct {
	// Asked reports whether Status is known.
	Asked  bool
	Status hostapi.HostStatus
	// DrainingSince is when the controller first saw the host drain under its intent.
	DrainingSince time.Time
	// Lost reports whether the host has been missing for longer than the lag of the inventory can explain.
	Lost bool
	// Listed is the inventory entry of a host that has no record yet.
	Listed *fleet.Host
}

// Owner reports which records this entry host updates. If two entry hosts both consider themselves the owner, their
// writes conflict but no budget is exceeded.
type Owner struct {
	Pool   func(fleet.PoolName) bool
	Budget func(fleet.BudgetName) bool
}

// Input is the complete input of Decide.
type Input struct {
	View         View
	Config       Config
	Observations map[fleet.HostName]Observation
	Proposals    []Proposal
	Owner        Owner
	// MinDrain is the minimum duration of a drain, because clients with an outdated inventory may still send work.
	MinDrain time.Duration
	// DrainLimit is how long a drain may wait for tasks before it is cancelled; zero means no limit.
	DrainLimit time.Duration
	// ReturnLimit is how long a reboot may take before the host is reported as not returned.
	ReturnLimit time.Duration
	Now         time.Time
}

// WriteHost replaces a host's record if its store revision still is Base.
type WriteHost struct {
	Record Record
	Base   uint64
}

// Subject returns the host's name.
func (w WriteHost) Subject() string { return string(w.Record.Name) }

// WriteBudget replaces a budget's record if its store revision still is Base.
type WriteBudget struct {
	Record budget.Record
	Base   uint64
}

// Subject returns the budget's name.
func (w WriteBudget) Subject() string { return string(w.Record.Name) }

// CallKind is the kind of a platform call about a host.
type CallKind string

// The kinds of calls.
const (
	CallDrain       CallKind = "Drain"
	CallCancelDrain CallKind = "CancelDrain"
	CallReboot      CallKind = "Reboot"
)

// CallHost is a platform call about a host.
type CallHost struct {
	Kind CallKind
	Call hostapi.HostCall
}

// Subject returns the host's name.
func (c CallHost) Subject() string { return string(c.Call.Host) }

// Decision is the actions to perform now and the hosts that wait.
type Decision struct {
	Actions []fleet.Action
	Waits   []Wait
}

// draft is a budget record with the changes of one pass.
type draft struct {
	budget.Record
	base  uint64
	limit fleet.Budget
	// spent reports whether a host spent a unit in this pass.
	spent bool
	// newerLimit reports whether the record's limit comes from a newer revision of the lists than Config.
	newerLimit bool
	// hostsStale reports whether the host records were read before the budget record, so that they can't show which
	// units to release.
	hostsStale bool
}

// pass is the state of one call of Decide.
type pass struct {
	Input
	hosts  map[fleet.HostName]record.Versioned[Record]
	drafts map[fleet.BudgetName]*draft
	// budgetNames is the names of all budgets, sorted.
	budgetNames []fleet.BudgetName
	// active is the hosts that are out of service or have an intent, sorted.
	active   []fleet.HostName
	decision Decision
}

// Decide returns the next action for each host and budget that the owner updates. It is a pure function.
func Decide(in Input) Decision {
	p := &pass{Input: in, hosts: maps.Clone(in.View.Hosts), drafts: map[fleet.BudgetName]*draft{}}
	if p.hosts == nil {
		p.hosts = map[fleet.HostName]record.Versioned[Record]{}
	}
	p.registerListed()
	p.recordLosses()
	p.findActive()
	p.reconcileBudgets()
	for _, name := range p.active {
		if v := p.hosts[name]; v.Revision != 0 && p.Owner.Pool(v.Value.Pool) {
			p.advance(v)
		}
	}
	p.recordIntents()
	p.writeBudgets()

	return p.decision
}

// registerListed writes a record for each host of the inventory that has none.
func (p *pass) registerListed() {
	for _, name := range slices.Sorted(maps.Keys(p.Observations)) {
		listed := p.Observations[name].Listed
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

// poolFor returns the pool that a listed host enters: its own if the lists have it, or else the spare pool.
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

// recordLosses marks lost hosts. It runs before the budgets are reconciled, so that losses count before planned outages.
func (p *pass) recordLosses() {
	for _, name := range slices.Sorted(maps.Keys(p.hosts)) {
		v := p.hosts[name]
		if !p.Observations[name].Lost || v.Value.State == fleet.HostLost || v.Value.State == fleet.HostRebooting {
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
		if v.Value.OutOfService() || v.Value.Intent != nil {
			p.active = append(p.active, name)
		}
	}
	slices.Sort(p.active)
}

// reconcileBudgets drafts every budget with its current limit and with units as the host records require.
func (p *pass) reconcileBudgets() {
	for name, limit := range EffectiveBudgets(p.Config).All() {
		v := p.View.Budgets[name]
		limited, err := v.Value.WithLimit(limit, p.Config.Revision)
		d := &draft{Record: limited, base: v.Revision, limit: limit, newerLimit: err != nil}
		if d.hostsStale = p.View.HostsAt < v.Revision; !d.hostsStale {
			d.Record = d.Reconciled(p.standings(limit), p.Now)
		}
		p.drafts[name] = d
		p.budgetNames = append(p.budgetNames, name)
	}
}

func (p *pass) standings(b fleet.Budget) map[fleet.HostName]budget.HostState {
	all := map[fleet.HostName]budget.HostState{}
	for _, name := range p.active {
		if s := p.hosts[name].Value.HostState(b); s.Unavailable || s.Intent != "" {
			all[name] = s
		}
	}

	return all
}

// covering returns the names of the budgets that cover h, sorted.
func (p *pass) covering(h fleet.Host) []fleet.BudgetName {
	var names []fleet.BudgetName
	for _, name := range p.budgetNames {
		if p.drafts[name].limit.Covers(h) {
			names = append(names, name)
		}
	}

	return names
}

// recordIntents records an intent for each proposal whose budgets all have a unit left. It does not check ownership: the
// proposals contain only hosts that this entry host may move.
func (p *pass) recordIntents() {
	reserved := map[fleet.BudgetName]int{}
	for _, prop := range p.Proposals {
		v, ok := p.hosts[prop.Host]
		if !ok || v.Revision == 0 || v.Value.State != fleet.HostLive || v.Value.Intent != nil {
			continue
		}
		if _, exists := p.Config.Pools.Get(prop.To); prop.To != "" && !exists {
			continue
		}
		covering := p.covering(v.Value.Host)
		if exhausted := p.firstExhausted(covering, reserved); exhausted != "" {
			p.wait(Wait{Host: prop.Host, Reason: WaitBudget, Budget: exhausted})
			continue
		}
		for _, name := range covering {
			reserved[name]++
		}
		p.writeHost(v.Value.WithIntent(prop, v.Revision, covering, p.Now), v.Revision)
	}
}

// firstExhausted returns the first budget that has no unit left besides those reserved by this pass.
func (p *pass) firstExhausted(names []fleet.BudgetName, reserved map[fleet.BudgetName]int) fleet.BudgetName {
	for _, name := range names {
		if p.drafts[name].Free() <= reserved[name] {
			return name
		}
	}

	return ""
}

// writeBudgets writes each changed budget once, no matter how many hosts changed it.
func (p *pass) writeBudgets() {
	for _, name := range p.budgetNames {
		d := p.drafts[name]
		changed := !d.Equal(p.View.Budgets[name].Value) && (d.base != 0 || d.Held() > 0)
		if changed && !d.hostsStale && (d.spent || p.Owner.Budget(name)) {
			p.decision.Actions = append(p.decision.Actions, WriteBudget{Record: d.Record, Base: d.base})
		}
	}
}

func (p *pass) writeHost(r Record, base uint64) {
	p.decision.Actions = append(p.decision.Actions, WriteHost{Record: r, Base: base})
}

func (p *pass) call(kind CallKind, v record.Versioned[Record]) {
	p.decision.Actions = append(p.decision.Actions, CallHost{Kind: kind, Call: hostapi.HostCall{
		Host: v.Value.Name, Intent: v.Value.Intent.ID, Fence: v.Revision,
	}})
}

func (p *pass) wait(w Wait) {
	p.decision.Waits = append(p.decision.Waits, w)
}
