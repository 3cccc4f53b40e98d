package schedule

import (
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// usageKey identifies the usage of a workspace in a pool.
type usageKey struct {
	pool      fleet.PoolName
	workspace fleet.WorkspaceName
}

// addUsage adds to what a workspace's runs reserve in a pool.
func (s *Scheduler) addUsage(p fleet.PoolName, ws fleet.WorkspaceName, size fleet.Resources) {
	k := usageKey{p, ws}
	s.poolUsage[k] = s.poolUsage[k].Plus(size)
}

// rankClasses splits a sorted list into consecutive groups of steps of one pool and rank class.
func rankClasses(list []*readyStep) [][]*readyStep {
	var all [][]*readyStep
	for i, r := range list {
		if i == 0 || r.queue.Pool != list[i-1].queue.Pool || !r.rank.sameClass(list[i-1].rank) {
			all = append(all, nil)
		}
		all[len(all)-1] = append(all[len(all)-1], r)
	}

	return all
}

// placeByShare places the steps of one rank class. Each time it takes the first step of the workspace with the lowest
// weighted dominant share of the pool.
func (s *Scheduler) placeByShare(class []*readyStep, p *workerSet, now time.Time) {
	backlogs := s.backlogs(class, p)
	for len(backlogs) > 0 {
		best := 0
		for i, l := range backlogs {
			if l.share < backlogs[best].share {
				best = i
			}
		}
		l := backlogs[best]
		s.placeStep(l.steps[0], p, now)
		l.steps = l.steps[1:]
		l.share = s.share(l, p)
		if len(l.steps) == 0 {
			backlogs = slices.Delete(backlogs, best, best+1)
		}
	}
}

// backlog has the waiting steps of a workspace in a pool.
type backlog struct {
	key    usageKey
	weight float64
	steps  []*readyStep
	// share is the workspace's dominant share of the pool, divided by its weight.
	share float64
}

// backlogs groups steps by workspace, in the order of each workspace's first step.
func (s *Scheduler) backlogs(class []*readyStep, p *workerSet) []*backlog {
	var list []*backlog
	byName := map[fleet.WorkspaceName]*backlog{}
	for _, r := range class {
		ws := r.job.entry.Job.Workspace
		l, ok := byName[ws]
		if !ok {
			l = &backlog{key: usageKey{class[0].queue.Pool, ws}, weight: s.weight(ws)}
			l.share = s.share(l, p)
			byName[ws] = l
			list = append(list, l)
		}
		l.steps = append(l.steps, r)
	}

	return list
}

// share returns a workspace's dominant share of the pool, divided by its weight.
func (s *Scheduler) share(l *backlog, p *workerSet) float64 {
	return s.poolUsage[l.key].DominantShare(p.capacity) / l.weight
}

// weight returns a workspace's weight; without one of its own it gets the mean of the others.
func (s *Scheduler) weight(ws fleet.WorkspaceName) float64 {
	if w := s.workspaces[ws].Weight; w > 0 {
		return w
	}
	sum, n := 0.0, 0
	for _, w := range s.workspaces {
		if w.Weight > 0 {
			sum += w.Weight
			n++
		}
	}
	if n == 0 {
		return 1
	}

	return sum / float64(n)
}
