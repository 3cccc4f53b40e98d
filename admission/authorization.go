package admission

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/revision"
)

// notFreshRetryAfter is the retry delay when the configuration wasn't confirmed recently.
const notFreshRetryAfter = 500 * time.Millisecond

// authorization is the result of checking a request against one revision.
type authorization struct {
	revision *revision.Revision
	team     fleet.Team
	queue    fleet.Queue
	// key is empty for a request to an open queue without a key.
	key key.ID
}

// authorize checks the queue, the key, the team and the plan, in this order.
func (c *Controller) authorize(req Request, now time.Time) (authorization, error) {
	a := authorization{revision: c.Current()}
	q, ok := a.revision.Tables.Queues.Get(req.Queue)
	if !ok {
		return a, refusal.Refuse(refusal.QueueUnknown, "queue %q does not exist", req.Queue)
	}
	a.queue = q
	if q.Open && req.Secret == "" {
		return a, nil
	}
	if !c.Fresh(now) {
		return a, notFresh()
	}
	if req.Secret == "" {
		return a, refusal.Refuse(refusal.KeyMissing, "queue %s needs a key", q.Name)
	}

	k, err := c.secrets.match(a.revision, req.Secret)
	if err != nil {
		return a, refusal.Refuse(refusal.KeyUnknown, "key is unknown or withdrawn")
	}
	a.key = k.ID
	a.team, err = teamOf(a.revision, k.Team, q.Name)

	return a, err
}

// reauthorize checks an authorization again, since the key may have been withdrawn or the lists changed.
func (c *Controller) reauthorize(a authorization, now time.Time) (authorization, error) {
	rev := c.Current()
	if a.key != "" && !c.Fresh(now) {
		return a, notFresh()
	}
	if rev == a.revision {
		return a, nil
	}

	a.revision = rev
	q, ok := rev.Tables.Queues.Get(a.queue.Name)
	if !ok || q.Pool != a.queue.Pool {
		return a, refusal.Refuse(refusal.QueueUnknown, "queue %q was removed or moved to another pool", a.queue.Name)
	}
	a.queue = q
	if a.key == "" {
		if !q.Open {
			return a, refusal.Refuse(refusal.KeyMissing, "queue %s needs a key", q.Name)
		}

		return a, nil
	}
	if !rev.Keys.Has(a.key) {
		return a, refusal.Refuse(refusal.KeyUnknown, "key was withdrawn")
	}
	var err error
	a.team, err = teamOf(rev, a.team.Name, q.Name)

	return a, err
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

// checkSize refuses a request whose size is invalid or could never start.
func (c *Controller) checkSize(a authorization, size fleet.Resources) error {
	if size.IsNegative() || size.Slots < 1 {
		return refusal.Refuse(refusal.RequestInvalid, "size must have at least one slot and nothing negative")
	}
	if !c.Fits(a.queue.Pool, size.Slots) {
		return refusal.Refuse(refusal.NeverRuns, "no endpoint of pool %s has %d slots", a.queue.Pool, size.Slots)
	}
	if a.key == "" {
		return nil
	}
	plan, _ := a.revision.Tables.Plans.Get(a.team.Plan)
	if !size.FitsIn(a.team.UpperLimit) || !size.FitsIn(plan.UpperLimit) {
		return refusal.Refuse(refusal.NeverRuns, "size exceeds the upper limit of team %s or of its plan", a.team.Name)
	}

	return nil
}

func notFresh() error {
	return refusal.Refuse(refusal.NotFresh, "configuration was not confirmed recently").WithRetryAfter(notFreshRetryAfter)
}
