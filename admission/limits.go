package admission

import (
	"sync"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/revision"
)

// maxCachedReleases bounds the cached release functions of a team.
const maxCachedReleases = 64

// Limits counts the running work of each team and each customer on this entry host only.
type Limits struct {
	current func() *revision.Revision

	mu        sync.Mutex
	teams     map[fleet.TeamName]*teamUsage
	customers map[fleet.CustomerName]*usage
}

// usage is the size of the running work; Limits.mu guards it.
type usage struct {
	running fleet.Resources
}

type teamUsage struct {
	usage
	releases map[releaseKey]func()
}

// releaseKey is the key of a release function in the cache of a team: a size and the customer that it counts toward.
type releaseKey struct {
	customer *usage
	size     fleet.Resources
}

// NewLimits returns limits with no running work.
func NewLimits(current func() *revision.Revision) *Limits {
	return &Limits{
		current: current, teams: map[fleet.TeamName]*teamUsage{}, customers: map[fleet.CustomerName]*usage{},
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

	return l.release(team, releaseKey{customer: customer, size: size}), nil
}

// release returns a function that reverts one Acquire. Work with the same key shares it, so that Acquire doesn't
// allocate a function for each request.
func (l *Limits) release(team *teamUsage, key releaseKey) func() {
	if f, ok := team.releases[key]; ok {
		return f
	}
	f := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		team.running = team.running.Minus(key.size)
		key.customer.running = key.customer.running.Minus(key.size)
	}
	if len(team.releases) < maxCachedReleases {
		team.releases[key] = f
	}

	return f
}

func (l *Limits) team(n fleet.TeamName) *teamUsage {
	t, ok := l.teams[n]
	if !ok {
		t = &teamUsage{releases: map[releaseKey]func(){}}
		l.teams[n] = t
	}

	return t
}

func (l *Limits) customer(n fleet.CustomerName) *usage {
	c, ok := l.customers[n]
	if !ok {
		c = &usage{}
		l.customers[n] = c
	}

	return c
}
