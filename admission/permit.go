package admission

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/revision"
)

// notFreshRetry is the time to come back when the configuration was not confirmed recently.
const notFreshRetry = 500 * time.Millisecond

// permit is what a request may use under one revision.
type permit struct {
	revision *revision.Revision
	team     fleet.Team
	queue    fleet.Queue
	// key is empty for work of an open queue that came without one.
	key key.ID
}

// permit checks the queue, the presented key, the team and the plan, in this order.
func (g *Gate) permit(req Request, now time.Time) (permit, error) {
	p := permit{revision: g.Current()}
	q, ok := p.revision.Tables.Queues.Get(req.Queue)
	if !ok {
		return p, refusal.Refuse(refusal.QueueUnknown, "queue %q does not exist", req.Queue)
	}
	p.queue = q
	if q.Open && req.Secret == "" {
		return p, nil
	}
	if !g.Fresh(now) {
		return p, notFresh()
	}
	if req.Secret == "" {
		return p, refusal.Refuse(refusal.KeyMissing, "queue %s needs a key", q.Name)
	}

	k, err := g.verified.match(p.revision, req.Secret)
	if err != nil {
		return p, refusal.Refuse(refusal.KeyUnknown, "key is unknown or withdrawn")
	}
	p.key = k.ID
	p.team, err = teamOf(p.revision, k.Team, q.Name)

	return p, err
}

// renew checks a permit again: the key may have been withdrawn, or the lists changed, since it was given.
func (g *Gate) renew(p permit, now time.Time) (permit, error) {
	rev := g.Current()
	if p.key != "" && !g.Fresh(now) {
		return p, notFresh()
	}
	if rev == p.revision {
		return p, nil
	}

	p.revision = rev
	q, ok := rev.Tables.Queues.Get(p.queue.Name)
	if !ok || q.Pool != p.queue.Pool {
		return p, refusal.Refuse(refusal.QueueUnknown, "queue %q was removed or moved to another pool", p.queue.Name)
	}
	p.queue = q
	if p.key == "" {
		if !q.Open {
			return p, refusal.Refuse(refusal.KeyMissing, "queue %s needs a key", q.Name)
		}

		return p, nil
	}
	if !rev.Keys.Has(p.key) {
		return p, refusal.Refuse(refusal.KeyUnknown, "key was withdrawn")
	}
	var err error
	p.team, err = teamOf(rev, p.team.Name, q.Name)

	return p, err
}

func teamOf(rev *revision.Revision, name fleet.TeamName, q fleet.QueueName) (fleet.Team, error) {
	t, ok := rev.Tables.Teams.Get(name)
	if !ok {
		return fleet.Team{}, refusal.Refuse(refusal.KeyUnknown, "team %s no longer exists", name)
	}
	if p, ok := rev.Tables.Plans.Get(t.Plan); !ok || !p.Allows(q) {
		return fleet.Team{}, refusal.Refuse(refusal.PlanForbids, "plan %s may not use queue %s", t.Plan, q)
	}

	return t, nil
}

// runnable refuses at once what could never start.
func (g *Gate) runnable(p permit, size fleet.Resources) error {
	if size.IsNegative() || size.Slots < 1 {
		return refusal.Refuse(refusal.RequestInvalid, "size must have at least one slot and nothing negative")
	}
	if !g.Fits(p.queue.Pool, size.Slots) {
		return refusal.Refuse(refusal.NeverRuns, "no endpoint of pool %s has %d slots", p.queue.Pool, size.Slots)
	}
	if p.key == "" {
		return nil
	}
	plan, _ := p.revision.Tables.Plans.Get(p.team.Plan)
	if !size.FitsIn(p.team.UpperLimit) || !size.FitsIn(plan.UpperLimit) {
		return refusal.Refuse(refusal.NeverRuns, "size exceeds the upper limit of team %s or of its plan", p.team.Name)
	}

	return nil
}

func notFresh() error {
	return refusal.Refuse(refusal.NotFresh, "configuration was not confirmed recently").WithRetryAfter(notFreshRetry)
}
