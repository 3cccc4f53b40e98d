package schedule

import (
	"cmp"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// inDoubt is the use of the answer of a worker that may not answer, or whose answer alone lets no task start.
const inDoubt = -1

// orderPolls puts first the polls whose answers let the most of what waits start: those of the workers with the most room in pools with
// waiting tasks. Workers in doubt come last. A new owner polls all workers at once, and the calls take a large part of a small host's
// processor time.
func (s *Scheduler) orderPolls(polls []Poll, now time.Time) {
	if len(polls) < 2 {
		return
	}
	waiting := map[fleet.PoolName]bool{}
	for _, r := range s.unplaced {
		waiting[r.queue.Pool] = true
	}
	use := make(map[*worker]float64, len(polls))
	for _, l := range polls {
		w := s.workers[l.Worker.ID]
		use[w] = w.pollUse(waiting[w.reg.Pool], now)
	}
	slices.SortFunc(polls, func(a, b Poll) int {
		return cmp.Or(cmp.Compare(use[s.workers[b.Worker.ID]], use[s.workers[a.Worker.ID]]), cmp.Compare(a.Worker.ID, b.Worker.ID))
	})
}

// pollUse returns the use of a worker's answer: the share of its capacity that is free, if tasks wait in its pool.
func (w *worker) pollUse(tasksWait bool, now time.Time) float64 {
	switch {
	case w.Missed() > 0 || w.reg.Life != w.Life() || w.LateStartExpected(now):
		return inDoubt
	case !tasksWait || w.TokenSeen() || w.cordoned || w.reg.Draining:
		return 0
	default:
		return max(0, 1-w.used.DominantShare(w.reg.Capacity))
	}
}
