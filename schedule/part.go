package schedule

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// partKey names a workspace's part of a pool.
type partKey struct {
	pool      fleet.PoolName
	workspace fleet.WorkspaceName
}

// countParts counts what each workspace has running in each pool.
func (s *Scheduler) countParts() {
	clear(s.parts)
	for _, w := range s.workers {
		for _, r := range w.runs {
			if e, ok := s.entries[r.attempt.Job]; ok {
				s.addPart(w.reg.Pool, e.Job.Workspace, r.reserved)
			}
		}
	}
}

func (s *Scheduler) addPart(p fleet.PoolName, ws fleet.WorkspaceName, size fleet.Resources) {
	k := partKey{p, ws}
	s.parts[k] = s.parts[k].Plus(size)
}

// classes divides an ordered list into runs of steps of one pool that stand alike.
func classes(list []*ready) [][]*ready {
	var all [][]*ready
	for i, r := range list {
		if i == 0 || r.queue.Pool != list[i-1].queue.Pool || !r.rank.alike(list[i-1].rank) {
			all = append(all, nil)
		}
		all[len(all)-1] = append(all[len(all)-1], r)
	}

	return all
}

// placeByPart places steps that stand alike: the next is always the first one of the workspace that has least of the pool
// for its weight.
func (s *Scheduler) placeByPart(class []*ready, workers []*worker, now time.Time) {
	pool := class[0].queue.Pool
	var size fleet.Resources
	for _, w := range workers {
		size = size.Plus(w.reg.Capacity)
	}
	var order []fleet.WorkspaceName
	waiting := map[fleet.WorkspaceName][]*ready{}
	for _, r := range class {
		ws := r.job.entry.Job.Workspace
		if waiting[ws] == nil {
			order = append(order, ws)
		}
		waiting[ws] = append(waiting[ws], r)
	}
	for range class {
		best := -1
		var least float64
		for i, ws := range order {
			if len(waiting[ws]) == 0 {
				continue
			}
			if part := s.parts[partKey{pool, ws}].DominantShare(size) / s.weight(ws); best < 0 || part < least {
				best, least = i, part
			}
		}
		next := waiting[order[best]]
		waiting[order[best]] = next[1:]
		s.placeStep(next[0], workers, now)
	}
}

// weight returns what a workspace's part is divided by; one without a weight of its own counts like the mean of the others.
func (s *Scheduler) weight(ws fleet.WorkspaceName) float64 {
	if w := s.limits[ws].Weight; w > 0 {
		return w
	}
	sum, n := 0.0, 0
	for _, w := range s.limits {
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
