package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// A lasting task is stopped for a drain once there is room for it on another worker, which is kept for it, or once all that are
// left on the host may be away together until it returns. A host that can't be emptied so is left in service.

const (
	// batchDrainTimeout is how long a draining host waits for tasks that are not lasting to end by themselves, and for room for
	// the lasting ones that may be away until it returns.
	batchDrainTimeout = 4 * time.Second
	// maxDrainIdle is how long a drain may make no progress until the host goes back into service, and the pause before the next
	// one.
	maxDrainIdle = 5 * time.Second
	// maxRoomWait is how long a drain may wait for tasks that are not lasting to make room elsewhere.
	maxRoomWait = 30 * time.Second
	// drainSearchPause is the pause before a host is looked at again that could not be emptied.
	drainSearchPause = time.Second
)

// drain starts to drain a host for a plan.
func (s *Scheduler) drain(h *host, p hostPlan, now time.Time) {
	h.phase, h.plan, h.phaseSince, h.progressAt, h.blockedUntil = draining, p, now, now, time.Time{}
	h.cordonedAt, h.heldReported = now, false
	if w, ok := s.workers[h.Worker]; ok {
		w.cordoned = true
	}
	s.dirty = true
	s.observe(Decision{Kind: DecidedHostDraining, Worker: h.Worker, Host: h.Host, Reason: p.String()})
}

// cancelPlan puts a host back in service when its order was not sent or was rejected.
func (s *Scheduler) cancelPlan(h *host, now time.Time) {
	h.phase, h.plan, h.phaseSince = inService, hostPlan{}, now
	if w, ok := s.workers[h.Worker]; ok {
		for _, r := range w.lastingRuns() {
			r.dropDestination()
		}
	}
	s.dirty = true
}

// giveUpDrain puts a host back in service whose drain is held up, so that the tasks that were stopped there may return.
func (s *Scheduler) giveUpDrain(h *host, now time.Time) {
	s.observe(Decision{Kind: DecidedHostKept, Worker: h.Worker, Host: h.Host, Reason: h.plan.String() + ": held up by lasting tasks"})
	s.cancelPlan(h, now)
	h.blockedUntil = now.Add(maxDrainIdle)
}

// drained stops the lasting tasks on a host as far as room and their steps allow, and reports whether the host may be ordered
// away.
func (s *Scheduler) drained(h *host, now time.Time) bool {
	w, ok := s.workers[h.Worker]
	if !ok {
		return true
	}
	together := s.mayLeaveTogether(h, w, now)
	stopped, left := s.evictLasting(w, func(r *run) bool { return together || s.mayMove(r, now) })
	if stopped {
		h.progressAt = now
	}

	return len(w.runs) == 0 || !left && now.Sub(h.phaseSince) > batchDrainTimeout
}

// mayMove reports whether a run can start again on its destination at once.
func (s *Scheduler) mayMove(r *run, now time.Time) bool {
	j, open := s.jobs[r.attempt.Job]
	if !open || r.destination == nil || !r.destinationFree || r.destination.cordoned {
		return false
	}
	_, ok := s.ticketFor(s.stepOf(j, r), r.destination, now)

	return ok
}

// mayLeaveTogether reports whether the lasting tasks that are left on a host may be away until it is back from maintenance.
func (s *Scheduler) mayLeaveTogether(h *host, w *worker, now time.Time) bool {
	o, ok := s.waves[h.plan.wave]
	if !ok || w.lastingTasks == 0 || !o.urgent && now.Sub(h.phaseSince) <= batchDrainTimeout {
		return false
	}

	return s.mayBeAway(slices.DeleteFunc(w.lastingRuns(), func(r *run) bool { return r.stopRequested }))
}

// heldUp reports whether a drain has made no progress for some time, which is longer while it merely waits until tasks that are
// not lasting make room elsewhere.
func (s *Scheduler) heldUp(h *host, now time.Time) bool {
	w, ok := s.workers[h.Worker]
	idle := now.Sub(h.progressAt)

	return ok && idle > maxDrainIdle && slices.ContainsFunc(w.lastingRuns(), func(r *run) bool {
		return !r.stopRequested && (r.destination == nil || r.destinationFree || idle > maxRoomWait)
	})
}

// mayDrain reports whether a host in service can be emptied for maintenance: the steps of its lasting tasks permit that each
// leaves, and each finds room elsewhere, at the latest once other tasks there have ended, or may be away until the host is back.
// If so, that room is kept. The workers that usable returns may have been cordoned since.
func (s *Scheduler) mayDrain(h *host, usable func() map[fleet.PoolName]*workerSet, now time.Time) bool {
	w, ok := s.workers[h.Worker]
	if !ok || w.lastingTasks == 0 {
		return true
	}
	if now.Before(h.blockedUntil) {
		return false
	}
	runs := w.lastingRuns()
	s.findDestinations(runs, usable(), now)
	withoutRoom := slices.DeleteFunc(slices.Clone(runs), func(r *run) bool { return r.destination != nil })
	needed := slices.DeleteFunc(slices.Clone(runs), func(r *run) bool { return s.mayBeAway([]*run{r}) })
	if len(needed) == 0 && s.mayBeAway(withoutRoom) {
		return true
	}
	for _, r := range runs {
		r.dropDestination()
	}
	if h.blockedUntil.IsZero() {
		s.observe(Decision{
			Kind: DecidedHostKept, Worker: h.Worker, Host: h.Host,
			Reason: fmt.Sprintf("%d lasting tasks, of which %d have no room elsewhere and %d may not leave now", len(runs), len(withoutRoom), len(needed)),
		})
	}
	h.blockedUntil = now.Add(drainSearchPause)

	return false
}

// reserveForDrains keeps room on other workers for the lasting tasks of the hosts that are draining.
func (s *Scheduler) reserveForDrains(sets map[fleet.PoolName]*workerSet, now time.Time) {
	var runs []*run
	for _, h := range s.hostList {
		if w, ok := s.workers[h.Worker]; ok && h.phase == draining {
			runs = append(runs, w.lastingRuns()...)
		}
	}
	runs = append(runs, s.evacuatedRuns()...)
	s.leaving = s.findDestinations(runs, sets, now)
}

// findDestinations keeps room for runs on other workers, as far as there is any, and returns their steps.
func (s *Scheduler) findDestinations(runs []*run, sets map[fleet.PoolName]*workerSet, now time.Time) []*readyStep {
	type occurrence struct {
		job  *job
		step ledger.StepKey
	}
	steps := map[occurrence]*readyStep{}
	var list []*readyStep
	for _, r := range runs {
		r.destination, r.destinationFree = nil, false
		j, ok := s.jobs[r.attempt.Job]
		if !ok {
			continue
		}
		at := occurrence{j, ledger.StepKey{Occurrence: r.attempt.Occurrence, Step: r.attempt.Step}}
		if steps[at] == nil {
			steps[at] = s.stepOf(j, r)
			steps[at].tasksOnWorker = countTasksOnWorkers(steps[at])
			list = append(list, steps[at])
		}
		if p, ok := sets[steps[at].queue.Pool]; ok {
			s.findDestination(r, steps[at], p.workers, now)
		}
	}

	return list
}

// stepOf returns the step of a run as one with tasks that may start.
func (s *Scheduler) stepOf(j *job, r *run) *readyStep {
	return &readyStep{job: j, step: ledger.StepKey{Occurrence: r.attempt.Occurrence, Step: r.attempt.Step}, queue: s.queueOf(&j.entry.Job)}
}

// findDestination keeps room for a run on the best other worker, if possible on one that has it now.
func (s *Scheduler) findDestination(r *run, ready *readyStep, workers []*worker, now time.Time) {
	var bestScore float64
	isolate := ready.job.mustIsolate(r.attempt.Task)
	for _, w := range workers {
		if w == r.worker || w.cordoned || !ready.allows(r.step, w) || s.refusedFor(ready, w) {
			continue
		}
		left := w.reg.Capacity.Minus(w.lastingReserve)
		free := r.reserved.FitsIn(left.Minus(w.used)) && w.mayStart(isolate, now)
		if r.destinationFree && !free || !free && !r.reserved.FitsIn(left.Minus(w.heldByLasting())) {
			continue
		}
		if sc := score(ready, r.step, w); r.destination == nil || free && !r.destinationFree || sc < bestScore {
			r.destination, r.destinationFree, bestScore = w, free, sc
		}
	}
	if r.destination != nil {
		s.addLastingReserve(r.destination, r.reserved, now)
		ready.tasksOnWorker[r.destination.id]++
	}
}

// dropDestination gives up the room that is kept for a run on another worker.
func (r *run) dropDestination() {
	if r.destination != nil {
		r.destination.lastingReserve = r.destination.lastingReserve.Minus(r.reserved)
		r.destination.lastingKept = r.destination.lastingReserve
	}
	r.destination, r.destinationFree = nil, false
}

// lastingRuns returns the runs of lasting tasks on the worker, the largest first.
func (w *worker) lastingRuns() []*run {
	var list []*run
	if w.lastingTasks == 0 {
		return nil
	}
	for _, r := range w.runs {
		if r.step != nil && r.step.Lasting {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(b.reserved.DominantShare(w.reg.Capacity), a.reserved.DominantShare(w.reg.Capacity)),
			compareTasks(a.attempt.Task, b.attempt.Task), cmp.Compare(a.attempt.Number, b.attempt.Number),
		)
	})

	return list
}

// evictLasting stops the lasting tasks on a worker that are ready to leave, as far as their steps allow, so that they restart
// elsewhere, and reports whether any was stopped and whether any are left.
func (s *Scheduler) evictLasting(w *worker, ready func(*run) bool) (stopped, left bool) {
	for _, r := range w.lastingRuns() {
		left = true
		if !r.stopRequested && ready(r) && s.mayBeAway([]*run{r}) {
			r.requestStop()
			stopped = true
			w.RequestPoll()
		}
	}

	return stopped, left
}

// mayBeAway reports whether MaxAway of their steps permits that runs of lasting tasks are away at the same time.
func (s *Scheduler) mayBeAway(runs []*run) bool {
	leaving := make(map[work.Task]bool, len(runs))
	for _, r := range runs {
		leaving[r.attempt.Task] = true
	}

	return !slices.ContainsFunc(runs, func(r *run) bool { return !s.withinMaxAway(r, leaving) })
}

// withinMaxAway reports whether a run's step permits that its tasks among those that leave are away besides those that already
// are.
func (s *Scheduler) withinMaxAway(r *run, leaving map[work.Task]bool) bool {
	t := r.attempt.Task
	st := r.entry.Step(ledger.StepKey{Occurrence: t.Occurrence, Step: t.Step})
	away := st.Count
	for i, state := range st.Recorded {
		if t.Index = i; !leaving[t] && s.atFullPace(t, state) {
			away--
		}
	}

	return away <= max(1, r.step.MaxAway)
}

// atFullPace reports whether a task has a run that works at full pace.
func (s *Scheduler) atFullPace(t work.Task, st *ledger.TaskState) bool {
	return slices.ContainsFunc(st.Live, func(l ledger.LiveAttempt) bool {
		r := s.runOf(work.Attempt{Task: t, Number: l.Number}, l.Worker)

		return r != nil && !r.stopRequested && r.percent >= fullPace && r.worker.Missed() == 0
	})
}
