package schedule

import (
	"cmp"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// cancelOversized ends the stored runs that no longer fit because their workers have shrunk since the assignment. It goes
// before all starts of the batch, so that no member of a gang is started whose gang has lost another member.
func (s *Scheduler) cancelOversized(starts []Start) {
	free := map[*worker]fleet.Resources{}
	for _, st := range starts {
		r := st.run
		if r == nil || r.worker.runs[r.attempt] != r || r.stopRequested || r.worker.used.FitsIn(r.worker.reg.Capacity) {
			continue
		}
		left, ok := free[r.worker]
		if !ok {
			left = r.worker.unassignedRoom()
		}
		if r.reserved.FitsIn(left) {
			left = left.Minus(r.reserved)
		} else {
			s.endRun(r, ending{source: NeverSent, outcome: work.OutcomeNotStarted, reason: "capacity of the worker has shrunk"})
		}
		free[r.worker] = left
	}
}

// unassignedRoom returns the room that is left beside the runs that may have begun, which is negative if they exceed the
// worker's capacity.
func (w *worker) unassignedRoom() fleet.Resources {
	free := w.reg.Capacity
	for _, r := range w.runs {
		if r.phase != assigned {
			free = free.Minus(r.reserved)
		}
	}

	return free
}

// recordNoRoom counts a job whose start was refused for want of room like one that failed on the worker.
func (s *Scheduler) recordNoRoom(w *worker, job fleet.JobID, now time.Time) {
	before := w.failedJobs
	s.recordFailure(w, job, now)
	w.noRoomJobs += w.failedJobs - before
}

// applyCapacity ends a quarantine for starts refused for want of room once a new capacity explains them.
func (w *worker) applyCapacity(r fleet.Resources) {
	if w.noRoomJobs == 0 || r == w.reg.Capacity {
		return
	}
	w.failedJobs, w.lastFailedJob, w.noRoomJobs = max(0, w.failedJobs-w.noRoomJobs), "", 0
	if w.failedJobs < failuresToQuarantine {
		w.quarantinedUntil = time.Time{}
	}
}

// capacityOf returns what a host's worker says of its capacity now, or else the cloud's figure.
func (s *Scheduler) capacityOf(h *host) fleet.Resources {
	if w, ok := s.workers[h.Worker]; ok && w.present() {
		return w.reg.Capacity
	}

	return h.Capacity
}

// fitsSomeHost reports whether a task of a step fits into the present capacity of a host that is in a pool or that may be
// moved there, as far as hosts are known. Hosts of evacuated zones don't count.
func (s *Scheduler) fitsSomeHost(p fleet.PoolName, step *work.Step) bool {
	need := step.Reserved()

	return len(s.hostList) == 0 || slices.ContainsFunc(s.hostList, func(h *host) bool {
		return !s.evacuation.Evacuated(h.Zone) && need.FitsIn(s.capacityOf(h)) && (h.Pool == p || !h.refusedPools[p])
	})
}

// hostSize returns the mean present capacity of a pool's hosts, so that their number times their size is what the pool has.
// Resources of which they have none now are taken from the cloud's list, and without hosts all from the whole fleet there.
func (s *Scheduler) hostSize(p fleet.PoolName) fleet.Resources {
	var present, listed capacitySum
	for _, h := range s.hostList {
		if h.Pool == p {
			present.add(s.capacityOf(h))
			listed.add(h.Capacity)
		}
	}
	if listed.hosts == 0 {
		for _, h := range s.hostList {
			listed.add(h.Capacity)
		}
	}
	now, full := present.mean(), listed.mean()

	return fleet.Resources{
		Cores: cmp.Or(now.Cores, full.Cores), Memory: cmp.Or(now.Memory, full.Memory), Accelerators: cmp.Or(now.Accelerators, full.Accelerators),
	}
}

// capacitySum adds up the capacity of hosts.
type capacitySum struct {
	total fleet.Resources
	hosts int64
	// accelerated counts the hosts with accelerators.
	accelerated int64
}

func (c *capacitySum) add(r fleet.Resources) {
	c.total = c.total.Plus(r)
	c.hosts++
	if r.Accelerators > 0 {
		c.accelerated++
	}
}

// mean returns the mean capacity; that of accelerators is over the hosts that have any, since only those run such tasks.
func (c *capacitySum) mean() fleet.Resources {
	hosts := max(1, c.hosts)

	return fleet.Resources{
		Cores: c.total.Cores / fleet.MilliCores(hosts), Memory: c.total.Memory / fleet.Mebibytes(hosts),
		Accelerators: c.total.Accelerators / max(1, c.accelerated),
	}
}
