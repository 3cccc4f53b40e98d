package admission

import (
	"sync"
	"time"

	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/revision"
)

// retryAfter is the time to come back that a refusal for a full limit or pool names.
const retryAfter = 500 * time.Millisecond

// Request is what a caller asks to be admitted.
type Request struct {
	// Secret is the presented key; empty if none came.
	Secret string
	Queue  fleet.QueueName
	Size   fleet.Resources
}

// Grant is the right to run one request; it is released once.
type Grant struct {
	Team fleet.Team
	Slot endpoint.Slot
	done func()
}

// Release gives back what the grant holds; later calls do nothing.
func (g Grant) Release() {
	g.done()
}

// Gate admits requests against the configuration in force.
type Gate struct {
	// Current returns the configuration in force.
	Current func() *revision.Revision
	// Fresh reports whether the configuration is known to be the one in force.
	Fresh func(time.Time) bool
	// Acquire takes an endpoint slot of a pool.
	Acquire func(fleet.PoolName) (endpoint.Slot, error)

	mu      sync.Mutex
	running map[fleet.TeamName]fleet.Resources
}

// New returns a gate over a revision book and a set of endpoints.
func New(b *revision.Book, s *endpoint.Set) *Gate {
	return &Gate{Current: b.Current, Fresh: b.Fresh, Acquire: s.Acquire, running: map[fleet.TeamName]fleet.Resources{}}
}

// Admit returns a grant or a NotRunError.
func (g *Gate) Admit(req Request, now time.Time) (Grant, error) {
	rev := g.Current()
	q, ok := rev.Tables.Queues.Get(req.Queue)
	if !ok {
		return Grant{}, refusal.Refuse(refusal.QueueUnknown, "queue %q does not exist", req.Queue)
	}

	team, err := g.team(rev, q, req.Secret, now)
	if err != nil {
		return Grant{}, err
	}
	if err := g.take(team, req.Size); err != nil {
		return Grant{}, err
	}

	slot, err := g.Acquire(q.Pool)
	if err != nil {
		g.giveBack(team, req.Size)
		return Grant{}, err
	}

	return Grant{Team: team, Slot: slot, done: sync.OnceFunc(func() {
		slot.Release()
		g.giveBack(team, req.Size)
	})}, nil
}

// team finds the team whose key came with the request; open queues need none.
func (g *Gate) team(rev *revision.Revision, q fleet.Queue, secret string, now time.Time) (fleet.Team, error) {
	if q.Open && secret == "" {
		return fleet.Team{}, nil
	}
	if !g.Fresh(now) {
		return fleet.Team{}, refusal.Refuse(refusal.NotFresh, "configuration was not confirmed recently").WithRetryAfter(retryAfter)
	}
	if secret == "" {
		return fleet.Team{}, refusal.Refuse(refusal.KeyMissing, "queue %s needs a key", q.Name)
	}

	k, err := rev.Keys.Match(secret)
	if err != nil {
		return fleet.Team{}, refusal.Refuse(refusal.KeyUnknown, "key is unknown or withdrawn")
	}
	t, ok := rev.Tables.Teams.Get(k.Team)
	if !ok {
		return fleet.Team{}, refusal.Refuse(refusal.KeyUnknown, "team %s no longer exists", k.Team)
	}
	if p, ok := rev.Tables.Plans.Get(t.Plan); !ok || !p.Allows(q.Name) {
		return fleet.Team{}, refusal.Refuse(refusal.PlanForbids, "plan %s may not use queue %s", t.Plan, q.Name)
	}

	return t, nil
}

func (g *Gate) take(t fleet.Team, size fleet.Resources) error {
	if t.Name == "" {
		return nil
	}

	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.running[t.Name].Plus(size)
	if !next.FitsIn(t.UpperLimit) {
		return refusal.Refuse(refusal.UpperLimit, "team %s is at its upper limit", t.Name).WithRetryAfter(retryAfter)
	}
	g.running[t.Name] = next

	return nil
}

func (g *Gate) giveBack(t fleet.Team, size fleet.Resources) {
	if t.Name == "" {
		return
	}

	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[t.Name] = g.running[t.Name].Minus(size)
}
