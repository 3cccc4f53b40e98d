package schedule

import (
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// partKey names a workspace's part of a pool.
type partKey struct {
	pool      fleet.PoolName
	workspace fleet.WorkspaceName
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
func (s *Scheduler) placeByPart(class []*ready, p *room, now time.Time) {
	lines := s.lines(class, p)
	for len(lines) > 0 {
		best := 0
		for i, l := range lines {
			if l.part < lines[best].part {
				best = i
			}
		}
		l := lines[best]
		s.placeStep(l.steps[0], p, now)
		l.steps = l.steps[1:]
		l.part = s.part(l, p)
		if len(l.steps) == 0 {
			lines = slices.Delete(lines, best, best+1)
		}
	}
}

// line is what waits of a workspace in a pool.
type line struct {
	key    partKey
	weight float64
	steps  []*ready
	// part is what the workspace has of the pool for its weight.
	part float64
}

// lines divides steps that stand alike by workspace, in the order of the first of each.
func (s *Scheduler) lines(class []*ready, p *room) []*line {
	var lines []*line
	byName := map[fleet.WorkspaceName]*line{}
	for _, r := range class {
		ws := r.job.entry.Job.Workspace
		l, ok := byName[ws]
		if !ok {
			l = &line{key: partKey{class[0].queue.Pool, ws}, weight: s.weight(ws)}
			l.part = s.part(l, p)
			byName[ws] = l
			lines = append(lines, l)
		}
		l.steps = append(l.steps, r)
	}

	return lines
}

func (s *Scheduler) part(l *line, p *room) float64 {
	return s.parts[l.key].DominantShare(p.size) / l.weight
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
