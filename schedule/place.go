package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// Place assigns startable tasks to workers with room. It does nothing until a configuration has set the workspaces'
// limits.
func (s *Scheduler) Place(now time.Time) {
	if !s.configured || !s.evacuation.Current(now) {
		return
	}
	s.placedAt = now
	if !s.dirty {
		return
	}
	s.dirty, s.runLimit.reached = false, false
	s.settleSuspicions(now)
	s.clearReserves()
	s.beginReservations(now)
	sets := s.usableWorkers(now)
	s.unplaced = s.unplaced[:0]
	ready := slices.DeleteFunc(s.readySteps(now), func(r *readyStep) bool { return s.AwaitsConfig(&r.job.entry.Job) })
	s.chargeShares(sets, now)
	s.placeByShare(ready, true, sets, now)
	s.reserveForDrains(sets, now)
	s.placeByShare(ready, false, sets, now)
	s.endReservations()
}

// AwaitsConfig reports whether a job was accepted under a configuration that is newer than the one in force.
func (s *Scheduler) AwaitsConfig(j *work.Job) bool {
	return s.configured && j.ConfigRevision > s.configRevision
}

// placeStep assigns as many of a step's tasks as there is room for; a gang is placed whole or not at all.
func (s *Scheduler) placeStep(r *readyStep, p *workerSet, now time.Time) {
	e := r.job.entry
	step := &e.Job.Steps[r.step.Step]
	if step.Gang {
		s.placeGang(r, step, p, now)
		return
	}
	for n := range r.tasks.all() {
		if !s.runLimit.mayRun(&e.Job) {
			return
		}
		w := s.chooseWorker(r, n, p, now)
		if w == nil {
			s.keepFree(r, n, p, now)
			if step.Lasting && s.withinLimit(e.Job.Workspace, step.Size) {
				s.reserveForLasting(r, step, p.workers, now)
				s.markUnplaced(r, r.tasks.only(n))

				continue
			}
			if len(r.job.failedOnWorkers[r.task(n)]) > 0 {
				// It may lack a worker that the others don't need.
				s.reserveForLarger(r, r.tasks.only(n), p, now)
				s.markUnplaced(r, r.tasks.only(n))

				continue
			}
			s.reserveForLarger(r, r.tasks.from(n), p, now)
			s.markUnplaced(r, r.tasks.from(n))

			return
		}
		s.observeAssigned(r, s.assign(r, n, e.Task(r.task(n)).Attempts+1, w, now), now)
	}
}

// markUnplaced records that some tasks of a step found no room, unless their workspace is at its limit.
func (s *Scheduler) markUnplaced(r *readyStep, tasks taskList) {
	if !s.withinLimit(r.job.entry.Job.Workspace, r.job.entry.Job.Steps[r.step.Step].Size) {
		return
	}
	s.unplaced = append(s.unplaced, &readyStep{job: r.job, step: r.step, queue: r.queue, tasks: tasks, rank: r.rank})
}

// placeGang assigns all tasks of a gang under one attempt number, or none of them.
func (s *Scheduler) placeGang(r *readyStep, step *work.Step, p *workerSet, now time.Time) {
	if r.job.entry.Step(r.step).Done > 0 {
		s.completeGang(r)
		return
	}
	if r.membersLeft() || !s.runLimit.mayRun(&r.job.entry.Job) {
		return
	}
	first := len(s.pendingRuns)
	if !s.placeGangMembers(r, step, p, now) {
		s.reserveForLarger(r, r.tasks, p, now)
		s.markUnplaced(r, r.tasks)

		return
	}
	for _, member := range s.pendingRuns[first:] {
		s.observeAssigned(r, member, now)
	}
}

// task returns a task of the step.
func (r *readyStep) task(index int) work.Task {
	return work.Task{Job: r.job.entry.Job.ID, Occurrence: r.step.Occurrence, Step: r.step.Step, Index: index}
}

// membersLeft reports whether members of a gang's earlier attempt still run.
func (r *readyStep) membersLeft() bool {
	return r.tasks.len() < r.spec().Count
}

// placeGangMembers assigns all tasks of a gang to one of the sets of workers to try for it, and reports whether there was
// room.
func (s *Scheduler) placeGangMembers(r *readyStep, step *work.Step, p *workerSet, now time.Time) bool {
	attempt := 0
	for _, t := range r.job.entry.Step(r.step).Recorded {
		attempt = max(attempt, t.Attempts)
	}

	return slices.ContainsFunc(gangWorkerSets(step, p.workers), func(set []*worker) bool {
		return s.placeGangOn(r, attempt+1, &workerSet{workers: set}, now)
	}) || len(p.lastResort) > 0 && s.placeGangOn(r, attempt+1, &workerSet{workers: p.workers, lastResort: p.lastResort}, now)
}

// completeGang records the waiting tasks of a gang as done, of which another member is: its members end as done together, so
// that one such end counts for those whose runs had been lost before it was listed.
func (s *Scheduler) completeGang(r *readyStep) {
	e := r.job.entry
	for n := range r.tasks.all() {
		a := work.Attempt{Task: r.task(n), Number: e.Task(r.task(n)).Attempts}
		s.observe(Decision{Kind: DecidedEnded, Attempt: a, Outcome: work.OutcomeDone, Source: GangDone, Reason: "another gang member is done"})
		s.record(e, ledger.Change{Kind: ledger.Ended, Attempt: a, Outcome: work.OutcomeDone})
	}
	s.dirty = true
	s.closeIfOver(e)
}

// placeGangOn assigns all tasks of a gang to a set of workers, or none of them, and reports whether there was room.
func (s *Scheduler) placeGangOn(r *readyStep, attempt int, p *workerSet, now time.Time) bool {
	firstRun, firstChange := len(s.pendingRuns), len(s.changes)
	r.tasksOnWorker = nil
	for n := range r.tasks.all() {
		w := s.chooseWorker(r, n, p, now)
		if w == nil {
			s.rollBack(firstRun, firstChange)
			r.tasksOnWorker = nil

			return false
		}
		s.assign(r, n, attempt, w, now)
	}

	return true
}

// gangWorkerSets returns the sets of workers to try for a gang: each single rack if the gang is slow across racks, then
// all workers.
func gangWorkerSets(step *work.Step, workers []*worker) [][]*worker {
	var list [][]*worker
	if step.SameRack {
		byRack := map[fleet.RackName][]*worker{}
		for _, w := range workers {
			byRack[w.reg.Rack] = append(byRack[w.reg.Rack], w)
		}
		for _, rack := range slices.Sorted(maps.Keys(byRack)) {
			list = append(list, byRack[rack])
		}
	}

	return append(list, workers)
}

// rollBack undoes the assignments from the given positions on, of which nothing is stored yet.
func (s *Scheduler) rollBack(firstRun, firstChange int) {
	for _, r := range s.pendingRuns[firstRun:] {
		e := s.release(r)
		e.RevertAssignment(r.attempt)
	}
	s.pendingRuns, s.changes = s.pendingRuns[:firstRun], s.changes[:firstChange]
}

// assign creates a run of a task on a worker; its start is sent once the assignment is stored.
func (s *Scheduler) assign(r *readyStep, index, number int, w *worker, now time.Time) *run {
	e := r.job.entry
	a := work.Attempt{
		Task:   work.Task{Job: e.Job.ID, Occurrence: r.step.Occurrence, Step: r.step.Step, Index: index},
		Number: number,
	}
	ticket, _ := s.ticketFor(r, w, now)
	run := &run{pace: fullPace, ticket: ticket, attempt: a, worker: w, life: w.Life()}
	s.reserve(e, run)
	if r.job.mustIsolate(a.Task) {
		w.isolated = append(w.isolated, run)
	}
	if r.tasksOnWorker != nil {
		r.tasksOnWorker[w.id]++
	}
	s.pendingRuns = append(s.pendingRuns, run)
	s.record(e, ledger.Change{Kind: ledger.Assigned, Attempt: a, Worker: w.id, Life: w.Life()})

	return run
}

// observeAssigned observes the assignment of a run, which must not be rolled back any more.
func (s *Scheduler) observeAssigned(r *readyStep, assigned *run, now time.Time) {
	w := assigned.worker
	s.noteRepeated(assigned.attempt.Task, w.id)
	s.notePlaced(r, assigned, now)
	s.observe(Decision{
		Kind: DecidedAssigned, Attempt: assigned.attempt, Worker: w.id, Urgency: r.rank.urgency.String(), Age: now.Sub(r.job.knownSince), Token: w.Token(), Life: assigned.life,
	})
}

// withinLimit reports whether the workspace's limit allows one more task of that size.
func (s *Scheduler) withinLimit(name fleet.WorkspaceName, size fleet.Resources) bool {
	ws, ok := s.workspaces[name]
	if !ok {
		return true
	}
	after := s.workspaceUsage[name].Plus(size)
	within := func(limit, n int64) bool { return limit == 0 || n <= limit }

	return within(int64(ws.UpperLimit.Cores), int64(after.Cores)) && within(int64(ws.UpperLimit.Memory), int64(after.Memory)) &&
		within(ws.UpperLimit.Accelerators, after.Accelerators)
}

// chooseWorker returns the worker for a task of a step, or nil if none has room.
func (s *Scheduler) chooseWorker(r *readyStep, index int, p *workerSet, now time.Time) *worker {
	step := &r.job.entry.Job.Steps[r.step.Step]
	if !s.withinLimit(r.job.entry.Job.Workspace, step.Size) {
		return nil
	}
	need := step.Reserved()
	task := work.Task{Job: r.job.entry.Job.ID, Occurrence: r.step.Occurrence, Step: r.step.Step, Index: index}
	isolate := r.job.mustIsolate(task)
	// Workers that are kept free for an isolated run count as full for all others.
	if !step.Lasting && !isolate && (p.cannotFit(need) || s.keptFrom(r, need, p)) {
		return nil
	}
	if r.tasksOnWorker == nil && (step.Lasting || step.MaxPerWorker > 0) {
		r.tasksOnWorker = countTasksOnWorkers(r)
	}
	if isolate {
		return s.isolationWorker(r, task, p, now)
	}
	p.sawKept = false
	best := s.bestWorker(r, task, p.workers, p, now)
	if best == nil {
		best = s.bestWorker(r, task, p.lastResort, p, now)
	}
	if best == nil && limitedByRoomOnly(step, r.queue) && len(r.job.failedOnWorkers) == 0 {
		p.noteUnplaceable(r, need)
	}

	return best
}

// bestWorker returns the best of some workers of a pool for a task, one on which it has failed only if it need not wait for another.
func (s *Scheduler) bestWorker(r *readyStep, task work.Task, workers []*worker, p *workerSet, now time.Time) *worker {
	best, retry := s.bestWorkers(r, task, workers, p, now)
	if best == nil && retry != nil && (r.spec().Lasting || !r.waitsElsewhere(task, p, now)) {
		return retry
	}

	return best
}

// bestWorkers returns the best worker with room on which the task has not failed, and the best one on which it has.
func (s *Scheduler) bestWorkers(r *readyStep, task work.Task, workers []*worker, p *workerSet, now time.Time) (best, retry *worker) {
	step := &r.job.entry.Job.Steps[task.Step]
	need := step.Reserved()
	lost := s.lostStartOn(task)
	var bestScore, retryScore float64
	for _, w := range workers {
		if !w.mayStart(false, now) || s.obstacle(r, step, need, w, now) != noObstacle {
			continue
		}
		if s.keptForLarger(r, step, need, w, now) {
			p.sawKept = true
			continue
		}
		failed := r.job.failedOn(task, w.id)
		if w.id == lost && !failed {
			return w, nil
		}
		switch score := score(r, step, w); {
		case failed && (retry == nil || score < retryScore):
			retry, retryScore = w, score
		case !failed && (best == nil || score < bestScore):
			best, bestScore = w, score
		}
	}

	return best, retry
}

// freeFor returns the room for a task of a step; the reserve is for lasting tasks only.
func (w *worker) freeFor(step *work.Step) fleet.Resources {
	free := w.reg.Capacity.Minus(w.used)
	if !step.Lasting {
		free = free.Minus(w.lastingKept)
	}

	return free
}

// allows reports whether the step's label and MaxPerWorker permit one more of its tasks on a worker.
func (r *readyStep) allows(step *work.Step, w *worker) bool {
	return hasLabel(w.reg, step.Label) && r.withinMaxPerWorker(step, w)
}

// withinMaxPerWorker reports whether the step's MaxPerWorker permits one more of its tasks on a worker.
func (r *readyStep) withinMaxPerWorker(step *work.Step, w *worker) bool {
	return step.MaxPerWorker == 0 || r.tasksOnWorker[w.id] < step.MaxPerWorker
}

// limitedByRoomOnly reports whether a task of a step may run on any worker with room.
func limitedByRoomOnly(step *work.Step, q *work.Queue) bool {
	return !step.Lasting && step.Label == "" && step.MaxPerWorker == 0 && q.Advice == nil
}

// lastingPackingBonus favours workers that already run lasting tasks for further ones.
const lastingPackingBonus = 0.6

// interferencePenalty ranks a worker lower if filling tasks would share it with tasks that have a bound on their tail
// latency.
const interferencePenalty = 2

// maintenancePenalty ranks a worker that needs maintenance below all others for a lasting task.
const maintenancePenalty = 3

// sortBy sorts by ascending key; the sort is stable.
func sortBy[T any](list []T, key func(T) float64) {
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}

// remoteRackPenalty ranks a worker on another rack than the data below every worker on that rack.
const remoteRackPenalty = 10

// score returns the cost of a worker for a task, lower being better: lasting tasks of a step are spread, all others
// packed.
func score(r *readyStep, step *work.Step, w *worker) float64 {
	after := w.used.Plus(step.Reserved()).DominantShare(w.reg.Capacity)
	score := 1 - after
	if step.Lasting {
		// Lasting tasks are packed on few workers, so that the others can leave the pool, but at most two of one step.
		score = after/10 + float64(r.tasksOnWorker[w.id])/2
		if w.lastingTasks > 0 {
			score -= lastingPackingBonus
		}
		if w.maintenanceDue {
			score += maintenancePenalty
		}
	}
	if w.failedJobs > 0 {
		score += failurePenalty
	}
	// Filling tasks are kept apart from tasks with a bound on their tail latency if possible.
	if step.Filling && w.servingTasks > 0 || step.MaxTail > 0 && w.fillingTasks > 0 {
		score += interferencePenalty
	}
	if step.Rack != "" && step.Rack != w.reg.Rack {
		score += remoteRackPenalty
	}

	return score
}

// countTasksOnWorkers counts the live tasks of the step on each worker.
func countTasksOnWorkers(r *readyStep) map[work.WorkerID]int {
	spread := map[work.WorkerID]int{}
	for _, t := range r.job.entry.Step(r.step).Recorded {
		for _, l := range t.Live {
			spread[l.Worker]++
		}
	}

	return spread
}

// hasLabel reports whether a worker has the label; every worker has the empty one.
func hasLabel(r work.Registration, label string) bool {
	return label == "" || slices.Contains(r.Labels, label)
}
