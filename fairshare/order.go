package fairshare

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// Step is a step of a job that waits in a pool.
type Step struct {
	Workspace fleet.WorkspaceName
	// Urgency is the class of the job by its chance to be on time, and Priority that of its queue; lower values go first.
	Urgency, Priority int
	// Slack is the time until the latest start with which the job is on time, and Length the estimated time from its start to the
	// end of the job.
	Slack, Length time.Duration
	// Need is the sum of what the waiting tasks need.
	Need fleet.Resources
	// Work is the work that is left of the job, in seconds of the whole pool; zero means unknown.
	Work float64
	// Kept steps are not given up: their jobs have begun, or room is reserved for them.
	Kept bool
}

// class is a group of steps of which all go before the next group's, whatever their workspaces.
type class struct{ urgency, risk int }

// byPriority returns the class of a step in a pool that has room.
func (s *Step) byPriority() class { return class{s.Urgency, s.Priority} }

// byRisk returns the class of a step under shortage, where steps that may end late in spite of a start now go after those that
// surely end on time, and kept steps before both.
func (s *Step) byRisk() class {
	if s.Kept {
		return class{s.Urgency, -1}
	}
	if s.spare() < 0 {
		return class{s.Urgency, 1}
	}

	return class{s.Urgency, 0}
}

// Order yields the indexes of steps in the order in which they are to be placed. What the caller adds to the table for a step takes
// effect on the next one.
//
// In a pool with room for all, that is the order of Plain. Under shortage the steps that can all be on time go first, by priority and
// slack, after the workspaces with the most use for their weight have given up what is too much. The others go by urgency, then
// those of workspaces that hold less than they are due, by priority and the least work that is left; the room that remains goes to
// the workspaces with the least use for their weight.
func (t *Table) Order(p fleet.PoolName, capacity fleet.Resources, steps []Step, weight func(fleet.WorkspaceName) float64) iter.Seq[int] {
	u := t.usage(p)
	u.shortage = Shortage{}
	if !u.short(capacity, steps) {
		return t.Plain(p, capacity, steps, weight)
	}
	o := &order{usage: u, capacity: capacity, steps: steps, weight: weight, class: (*Step).byRisk, compare: compareByWork}

	return func(yield func(int) bool) {
		indexes := indexesOf(steps)
		o.bySlack(indexes)
		planned, rest := o.plan(indexes)
		u.shortage = Shortage{Waiting: len(indexes), OnTime: len(planned)}
		o.byWork(rest)
		for _, i := range planned {
			if !yield(i) {
				return
			}
		}
		o.all(rest)(yield)
	}
}

// byWork orders steps by the class under shortage, priority and work.
func (o *order) byWork(indexes []int) {
	slices.SortFunc(indexes, func(i, j int) int {
		a, b := &o.steps[i], &o.steps[j]
		ca, cb := a.byRisk(), b.byRisk()

		return cmp.Or(
			cmp.Compare(ca.urgency, cb.urgency), cmp.Compare(ca.risk, cb.risk), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Work, b.Work),
			cmp.Compare(i, j),
		)
	})
}

// Plain yields the indexes of steps by urgency, then priority, then the share that their workspaces hold for their weight, and within
// a workspace in the order given.
func (t *Table) Plain(p fleet.PoolName, capacity fleet.Resources, steps []Step, weight func(fleet.WorkspaceName) float64) iter.Seq[int] {
	o := &order{usage: t.usage(p), capacity: capacity, steps: steps, weight: weight, class: (*Step).byPriority, compare: compareHeld}

	return o.all(indexesOf(steps))
}

// indexesOf returns the indexes of a list.
func indexesOf(steps []Step) []int {
	list := make([]int, len(steps))
	for i := range list {
		list[i] = i
	}

	return list
}

// short reports whether a pool lacks room for all that waits.
func (u *usage) short(capacity fleet.Resources, steps []Step) bool {
	var sum fleet.Resources
	for i := range steps {
		sum = sum.Plus(steps[i].Need)
	}
	for _, a := range u.accounts {
		sum = sum.Plus(a.held)
	}

	return sum.DominantShare(capacity) > 1
}

// order is an order of the steps that wait in a pool.
type order struct {
	*usage
	capacity fleet.Resources
	steps    []Step
	weight   func(fleet.WorkspaceName) float64
	class    func(*Step) class
	compare  func(a, b *backlog) int
}

// backlog has the steps of a workspace that wait in a pool.
type backlog struct {
	*account
	weight float64
	// due is the part of the pool that the workspace is due.
	due float64
	// share is the dominant share of the pool that the workspace holds.
	share float64
	// next is the first step that was not yielded yet, and left has the indexes from it on.
	next *Step
	left []int
}

// compareHeld orders backlogs by the share that their workspaces hold for their weight.
func compareHeld(a, b *backlog) int {
	return cmp.Compare(a.share/a.weight, b.share/b.weight)
}

// compareByWork orders backlogs under shortage.
func compareByWork(a, b *backlog) int {
	c := cmp.Or(compareDue(a, b), cmp.Compare(a.next.Priority, b.next.Priority))
	if a.share < a.due {
		c = cmp.Or(c, cmp.Compare(a.next.Work, b.next.Work))
	}

	return cmp.Or(c, cmp.Compare(a.mean/a.weight, b.mean/b.weight), compareHeld(a, b))
}

// compareDue orders backlogs of workspaces that hold less than they are due before the others.
func compareDue(a, b *backlog) int {
	within := a.share < a.due
	switch {
	case within == (b.share < b.due):
		return 0
	case within:
		return -1
	default:
		return 1
	}
}

// all yields the steps of one class after the other. Within a class it takes the first step of the lowest backlog each time.
func (o *order) all(indexes []int) iter.Seq[int] {
	return func(yield func(int) bool) {
		for len(indexes) > 0 {
			n := 1
			for first := o.class(&o.steps[indexes[0]]); n < len(indexes) && o.class(&o.steps[indexes[n]]) == first; {
				n++
			}
			if !o.one(indexes[:n], yield) {
				return
			}
			indexes = indexes[n:]
		}
	}
}

// one yields the steps of one class, and reports whether to go on.
func (o *order) one(indexes []int, yield func(int) bool) bool {
	backlogs := o.backlogs(indexes)
	for len(backlogs) > 0 {
		best := 0
		for i, l := range backlogs {
			if o.compare(l, backlogs[best]) < 0 {
				best = i
			}
		}
		l := backlogs[best]
		i := l.left[0]
		if l.left = l.left[1:]; len(l.left) == 0 {
			backlogs = slices.Delete(backlogs, best, best+1)
		} else {
			l.next = &o.steps[l.left[0]]
		}
		if !yield(i) {
			return false
		}
		l.share = l.held.DominantShare(o.capacity)
	}

	return true
}

// backlogs groups the steps of a class by workspace, in the order of each workspace's first step.
func (o *order) backlogs(indexes []int) []*backlog {
	var list []*backlog
	byName := map[fleet.WorkspaceName]*backlog{}
	for _, i := range indexes {
		ws := o.steps[i].Workspace
		l, ok := byName[ws]
		if !ok {
			l = &backlog{account: o.account(ws), weight: o.weight(ws), next: &o.steps[i]}
			l.share = l.held.DominantShare(o.capacity)
			byName[ws] = l
			list = append(list, l)
		}
		l.left = append(l.left, i)
	}
	sum := o.activeWeight(byName)
	for _, l := range list {
		l.due = l.weight / sum
	}

	return list
}

// activeWeight returns the sum of the weights of the workspaces that have a backlog or hold something.
func (o *order) activeWeight(byName map[fleet.WorkspaceName]*backlog) float64 {
	var weights []float64
	for ws, a := range o.accounts {
		if byName[ws] != nil || !a.held.IsZero() {
			weights = append(weights, o.weight(ws))
		}
	}
	// Sorted, so that the sum doesn't depend on the order of the map.
	slices.Sort(weights)
	sum := 0.0
	for _, w := range weights {
		sum += w
	}

	return sum
}
