package schedule

import (
	"cmp"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// clearReserves clears the workers' reserves for lasting tasks and larger ones.
func (s *Scheduler) clearReserves() {
	for _, w := range s.workers {
		w.lastingReserve, w.lastingKept, w.larger = fleet.Resources{}, fleet.Resources{}, w.larger[:0]
	}
}

// reserveForLasting reserves the room that becomes free on one worker for a lasting task that found none. Only room that other
// lasting tasks don't hold becomes free by itself.
func (s *Scheduler) reserveForLasting(r *readyStep, step *work.Step, workers []*worker, now time.Time) {
	need := step.Reserved()
	var best *worker
	for _, w := range workers {
		if !need.FitsIn(w.reg.Capacity.Minus(w.lastingReserve).Minus(w.heldByLasting())) || !r.allows(step, w) || !s.mayHaveTicket(r, w, now) {
			continue
		}
		if best == nil || w.used.Plus(w.lastingReserve).DominantShare(w.reg.Capacity) < best.used.Plus(best.lastingReserve).DominantShare(best.reg.Capacity) {
			best = w
		}
	}
	if best != nil {
		s.addLastingReserve(best, need, now)
		r.tasksOnWorker[best.id]++
	}
}

// addLastingReserve reserves room on a worker for a lasting task. The runs that end first make room for what is reserved beyond the free
// room, so that shorter tasks may use the free room until then.
func (s *Scheduler) addLastingReserve(w *worker, need fleet.Resources, now time.Time) {
	w.lastingReserve = w.lastingReserve.Plus(need)
	w.lastingKept = w.lastingReserve
	free := w.reg.Capacity.Minus(w.used)
	if w.lastingReserve.FitsIn(free) {
		return
	}
	for _, r := range s.endingRuns(w, now) {
		if w.lastingReserve.FitsIn(free) {
			break
		}
		free = free.Plus(r.reserved)
		w.lastingKept = w.lastingKept.Minus(r.reserved).Max(fleet.Resources{})
	}
}

// endingRuns returns the runs on a worker that end by themselves or are being stopped, in the order of their expected ends.
func (s *Scheduler) endingRuns(w *worker, now time.Time) []*run {
	var list []*run
	ends := map[*run]time.Time{}
	for _, r := range w.runs {
		if r.step != nil && (!r.step.Lasting || r.stopRequested) {
			list = append(list, r)
			ends[r] = s.expectedEnd(r, now)
		}
	}
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(ends[a].Compare(ends[b]), compareTasks(a.attempt.Task, b.attempt.Task), cmp.Compare(a.attempt.Number, b.attempt.Number))
	})

	return list
}

// heldByLasting returns the room of the lasting tasks on the worker that are not being stopped.
func (w *worker) heldByLasting() fleet.Resources {
	var held fleet.Resources
	if w.lastingTasks == 0 {
		return held
	}
	for _, r := range w.runs {
		if r.step != nil && r.step.Lasting && !r.stopRequested {
			held = held.Plus(r.reserved)
		}
	}

	return held
}
