package schedule

import (
	"time"

	"lycheehook.example/lycheehook/backlog"
	"lycheehook.example/lycheehook/fleet"
)

// Backlog returns the waits of the workspaces whose steps found no room in the last placement. Only steps of jobs that can still be on
// time count, since a new job goes before the others.
func (s *Scheduler) Backlog(now time.Time) backlog.Digest {
	sets := s.usableWorkers(now)
	steps := map[fleet.PoolName][]backlog.Step{}
	open := map[fleet.PoolName]*openWork{}
	for _, r := range s.unplaced {
		p := sets[r.queue.Pool]
		if p == nil || r.rank.urgency != inTime {
			continue
		}
		if open[r.queue.Pool] == nil {
			open[r.queue.Pool] = newOpenWork(p.capacity)
		}
		steps[r.queue.Pool] = append(steps[r.queue.Pool], backlog.Step{
			Workspace: r.job.entry.Job.Workspace, Priority: r.rank.priority, Work: open[r.queue.Pool].of(r),
		})
	}
	var entries []backlog.Entry
	for name, list := range steps {
		capacity := sets[name].capacity
		entries = append(entries, backlog.Of(name, capacity, list, s.shares.Shares(name, capacity), s.weight)...)
	}

	return backlog.NewDigest(entries)
}
