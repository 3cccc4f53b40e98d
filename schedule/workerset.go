package schedule

import (
	"cmp"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// workerSet is a set of workers on which tasks may be placed.
type workerSet struct {
	workers []*worker
	// lastResort has the quarantined workers that may take tasks for which these have no room.
	lastResort []*worker
	// capacity is the total capacity of the workers.
	capacity fleet.Resources
	// unplaceable has the needs that no worker had room for. They stay valid for the whole placement, in which room only
	// shrinks.
	unplaceable []fleet.Resources
	// kept has the tasks for which room was only on workers that keep it for larger ones; sawKept reports that the present
	// search met such a worker.
	kept    []keptNeed
	sawKept bool
}

// usableWorkers returns the usable workers of each pool, ordered by ID.
func (s *Scheduler) usableWorkers(now time.Time) map[fleet.PoolName]*workerSet {
	sets := map[fleet.PoolName]*workerSet{}
	for _, w := range s.workers {
		if !w.usable(now) && !w.lastResort(now) {
			continue
		}
		p, ok := sets[w.reg.Pool]
		if !ok {
			p = &workerSet{}
			sets[w.reg.Pool] = p
		}
		if w.lastResort(now) {
			p.lastResort = append(p.lastResort, w)
			continue
		}
		p.workers = append(p.workers, w)
		p.capacity = p.capacity.Plus(w.reg.Capacity)
	}
	byID := func(a, b *worker) int { return cmp.Compare(a.id, b.id) }
	for _, p := range sets {
		slices.SortFunc(p.workers, byID)
		slices.SortFunc(p.lastResort, byID)
	}

	return sets
}

// cannotFit reports whether an earlier search of this placement shows that no worker has room for a need.
func (p *workerSet) cannotFit(need fleet.Resources) bool {
	return slices.ContainsFunc(p.unplaceable, func(f fleet.Resources) bool { return f.FitsIn(need) })
}
