package admission

import (
	"sync"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/revision"
)

// maxCachedSizes bounds the sizes of one team whose release is kept ready.
const maxCachedSizes = 64

// Limits counts what each team and each customer has running on this entry host alone.
type Limits struct {
	current func() *revision.Revision

	mu        sync.Mutex
	teams     map[fleet.TeamName]*teamTally
	customers map[fleet.CustomerName]*tally
}

// tally is what runs; the lock of its Limits guards it.
type tally struct {
	running fleet.Resources
}

type teamTally struct {
	tally
	releases map[charge]func()
}

// charge is one size as it was counted against a customer.
type charge struct {
	customer *tally
	size     fleet.Resources
}

// NewLimits returns limits that count nothing yet.
func NewLimits(current func() *revision.Revision) *Limits {
	return &Limits{
		current: current, teams: map[fleet.TeamName]*teamTally{}, customers: map[fleet.CustomerName]*tally{},
	}
}

// Acquire counts size for a team and its customer, or returns a NotRunError; release must be called once.
func (l *Limits) Acquire(t fleet.Team, size fleet.Resources) (release func(), err error) {
	if t.Name == "" {
		return func() {}, nil
	}
	plan, _ := l.current().Tables.Plans.Get(t.Plan)

	l.mu.Lock()
	defer l.mu.Unlock()
	team, customer := l.team(t.Name), l.customer(t.Customer)
	if !team.running.Plus(size).FitsIn(t.UpperLimit) {
		return nil, refusal.Refuse(refusal.UpperLimit, "team %s is at its upper limit", t.Name)
	}
	if !customer.running.Plus(size).FitsIn(plan.UpperLimit) {
		return nil, refusal.Refuse(refusal.UpperLimit, "customer %s is at the upper limit of its plan", t.Customer)
	}
	team.running = team.running.Plus(size)
	customer.running = customer.running.Plus(size)

	return l.release(team, charge{customer: customer, size: size}), nil
}

// release returns a function that all running work of the same charge shares, so that admission allocates none.
func (l *Limits) release(t *teamTally, c charge) func() {
	if f, ok := t.releases[c]; ok {
		return f
	}
	f := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		t.running = t.running.Minus(c.size)
		c.customer.running = c.customer.running.Minus(c.size)
	}
	if len(t.releases) < maxCachedSizes {
		t.releases[c] = f
	}

	return f
}

func (l *Limits) team(n fleet.TeamName) *teamTally {
	t, ok := l.teams[n]
	if !ok {
		t = &teamTally{releases: map[charge]func(){}}
		l.teams[n] = t
	}

	return t
}

func (l *Limits) customer(n fleet.CustomerName) *tally {
	c, ok := l.customers[n]
	if !ok {
		c = &tally{}
		l.customers[n] = c
	}

	return c
}
