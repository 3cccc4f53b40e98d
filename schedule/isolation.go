package schedule

import (
	"cmp"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// A suspected task is isolated: from its start until it has outlived the age at which its worker crashed before, no other
// task starts on its worker. If the worker crashes meanwhile, no task that started later can be the cause.

const (
	// isolationMargin is added to the age at which a worker crashed, for the start and for delays.
	isolationMargin = 200 * time.Millisecond
	maxIsolation    = 2 * time.Second
	// maxFirstIsolation is the age up to which a task is isolated after a single crash; one that had lasted longer is less
	// likely to be the cause than another.
	maxFirstIsolation = time.Second
	// isolationShare is the share of a pool's workers, as a divisor, that may be reserved for tasks with a single crash.
	isolationShare = 3
	// isolationPollWait is how long a worker may delay its answer while a run is isolated there or is about to be.
	isolationPollWait = 100 * time.Millisecond
	// maxTrialWait is how long an isolated run waits for a suspected task on the same worker to outlive its trial.
	maxTrialWait = 10 * time.Second
	// maxIsolationWait is how long a task with a single crash waits for a worker to be isolated on.
	maxIsolationWait = time.Second
	// maxCanaryWait is how long the tasks of a job under which several workers crashed wait for one of them.
	maxCanaryWait = 3 * time.Second
)

// isolation returns how long a run of the task must last until other tasks may start on its worker.
func (p *suspicion) isolation() time.Duration {
	if p.age == 0 {
		return maxIsolation
	}

	return min(maxIsolation, p.age+isolationMargin)
}

// isolationSlots returns how many more workers of a pool may be reserved for tasks with a single crash.
func (s *Scheduler) isolationSlots(pool fleet.PoolName) int {
	workers, isolated := 0, 0
	for _, w := range s.workers {
		if w.reg.Pool == pool && w.present() {
			workers++
			if len(w.isolated) > 0 {
				isolated++
			}
		}
	}

	return workers/isolationShare - isolated
}

// settleSuspicions ends the isolation of runs that have lasted long enough or whose tasks are suspected no more, and clears
// tasks that have outlived their trial.
func (s *Scheduler) settleSuspicions(now time.Time) {
	for _, w := range s.workers {
		w.isolated = slices.DeleteFunc(w.isolated, func(r *run) bool { return s.cleared(r.attempt.Task) })
	}
	for _, j := range s.jobs {
		s.endLateCrashes(j)
		for t := range j.suspicions {
			for _, l := range j.entry.Task(t).Live {
				r := s.runOf(work.Attempt{Task: t, Number: l.Number}, l.Worker)
				if r != nil && r.phase == confirmed && j.suspicions[t] != nil {
					s.settleSuspicion(j, r, now)
				}
			}
		}
	}
}

// cleared reports whether a task of an open job is not suspected, or no more.
func (s *Scheduler) cleared(t work.Task) bool {
	j, open := s.jobs[t.Job]

	return open && j.suspicions[t] == nil
}

// runOf returns the run of an attempt on a worker, or nil.
func (s *Scheduler) runOf(a work.Attempt, id work.WorkerID) *run {
	w, ok := s.workers[id]
	if !ok {
		return nil
	}

	return w.runs[a]
}

// settleSuspicion applies how long a run of a suspected task has lasted.
func (s *Scheduler) settleSuspicion(j *job, r *run, now time.Time) {
	t, w, age := r.attempt.Task, r.worker, r.provenAge()
	p := j.suspicions[t]
	if age >= p.isolation() {
		r.outlived, p.withRack = true, 0
		if w.endIsolation(r) {
			j.cleared, s.dirty = now, true
		}
		p.isolate = j.crashes(t) >= failAfterCrashesAlone
	}
	if age < p.trial(r.step) {
		return
	}
	for _, c := range slices.Clone(j.entry.Task(t).Crashes) {
		s.clearCrash(j, t, incarnation{c.Worker, c.Life})
	}
	delete(j.suspicions, t)
}

// waitingTasks returns the tasks of a step that are neither done nor running, and need wait neither for an earlier start nor for a
// suspected task.
func (s *Scheduler) waitingTasks(j *job, at ledger.StepKey, pool fleet.PoolName, now time.Time) taskList {
	suspected := len(j.suspicions) > 0 && !j.entry.Job.Steps[at.Step].Gang
	var canary work.Task
	canaryOnly := false
	if suspected {
		canary, canaryOnly = s.canary(j, now)
	}
	t := work.Task{Job: j.entry.Job.ID, Occurrence: at.Occurrence, Step: at.Step}
	st := j.entry.Step(at)
	var others []int
	// A task without logged changes has neither been started nor suspected.
	for i, state := range st.Recorded {
		t.Index = i
		if state.Done || len(state.Live) > 0 || len(s.lateStarts) > 0 && s.heldByLateStart(j, t, now) ||
			suspected && (!canaryOnly || t == canary) && s.waitsForIsolation(j, t, pool, now) {
			others = append(others, i)
		}
	}
	list := tasksUpTo(st.Count).without(others)
	if !canaryOnly {
		return list
	}
	if t.Index = canary.Index; t != canary {
		return taskList{}
	}

	return list.only(canary.Index)
}

// canary returns the task of a job that runs before all others, since several workers crashed under the job's tasks. It
// reports whether there is one, or none may start for now.
func (s *Scheduler) canary(j *job, now time.Time) (work.Task, bool) {
	if j.earlyCrashes() < 2 || !j.lastCrash.After(j.cleared) || now.Sub(j.lastCrash) > maxCanaryWait {
		return work.Task{}, false
	}
	var first work.Task
	crashes := 0
	for t := range j.suspicions {
		st := j.entry.Task(t)
		if st.Done {
			continue
		}
		if len(st.Live) > 0 && s.isolatedRun(t, st) {
			return work.Task{}, true
		}
		if n := j.crashes(t); j.suspicions[t].early && (n > crashes || n == crashes && compareTasks(t, first) < 0) {
			first, crashes = t, n
		}
	}

	if crashes > 0 {
		j.suspicions[first].isolate = true
	}

	return first, crashes > 0
}

// earlyCrashes returns how many workers crashed shortly after they had started tasks of the job.
func (j *job) earlyCrashes() int {
	workers := map[incarnation]bool{}
	for _, p := range j.suspicions {
		if p.early {
			workers[p.last] = true
		}
	}

	return len(workers)
}

// isolatedRun reports whether a task has an isolated run.
func (s *Scheduler) isolatedRun(t work.Task, st *ledger.TaskState) bool {
	return slices.ContainsFunc(st.Live, func(l ledger.LiveAttempt) bool {
		w, ok := s.workers[l.Worker]

		return ok && slices.ContainsFunc(w.isolated, func(r *run) bool { return r.attempt.Task == t })
	})
}

// waitsForIsolation reports whether a suspected task waits for a worker to be isolated on.
func (s *Scheduler) waitsForIsolation(j *job, t work.Task, pool fleet.PoolName, now time.Time) bool {
	p := j.suspicions[t]
	if p == nil || !p.isolate || j.crashes(t) >= failAfterCrashesAlone {
		return false
	}
	if now.Sub(p.since) > maxIsolationWait {
		p.isolate = false
		return false
	}

	return s.isolationSlots(pool) <= 0
}

// mustIsolate reports whether the next run of a task must be isolated. The members of a gang start together, so none is.
func (j *job) mustIsolate(t work.Task) bool {
	p := j.suspicions[t]

	return p != nil && p.isolate && !j.entry.Job.Steps[t.Step].Gang
}

// mayStart reports whether a task may start on the worker, given the isolated runs there.
func (w *worker) mayStart(isolate bool, now time.Time) bool {
	return len(w.isolated) == 0 && (isolate || !now.Before(w.isolationDue))
}

// endIsolation lets other tasks start beside a run, and reports whether it was isolated.
func (w *worker) endIsolation(r *run) bool {
	before := len(w.isolated)
	w.isolated = slices.DeleteFunc(w.isolated, func(o *run) bool { return o == r })

	return len(w.isolated) < before
}

// provenAge returns how long the run had lasted when its worker last answered.
func (r *run) provenAge() time.Duration {
	if r.phase != confirmed {
		return 0
	}

	return r.worker.AnsweredAt().Sub(r.confirmedAt)
}

// youngRuns returns how many runs on the worker are not known to have lasted for a time, or are of suspected tasks that may crash
// it yet. The others are hardly the cause of a crash from now on.
func (s *Scheduler) youngRuns(w *worker, age time.Duration) int {
	n := 0
	for _, r := range w.runs {
		if r.provenAge() < age || s.onTrial(r) {
			n++
		}
	}

	return n
}

// onTrial reports whether a run is of a suspected task and has not lasted long enough to clear it, or as long as an isolated run
// may wait for that.
func (s *Scheduler) onTrial(r *run) bool {
	j, open := s.jobs[r.attempt.Job]
	if !open {
		return false
	}
	p, suspected := j.suspicions[r.attempt.Task]

	return suspected && r.provenAge() < min(p.trial(r.step), maxTrialWait)
}

// isolationWorker returns the worker for an isolated run, or nil while the best one has runs younger than the task was at the
// last crash.
func (s *Scheduler) isolationWorker(r *readyStep, task work.Task, p *workerSet, now time.Time) *worker {
	age := r.job.suspicions[task].isolation()
	if best := s.bestIsolationWorker(r, task, age, p, now); best != nil && s.youngRuns(best, age) == 0 {
		return best
	}

	return nil
}

// bestIsolationWorker returns the worker for an isolated run with few young runs and few others, which a crash would end too, or
// nil if none has room.
func (s *Scheduler) bestIsolationWorker(r *readyStep, task work.Task, age time.Duration, p *workerSet, now time.Time) *worker {
	step := &r.job.entry.Job.Steps[task.Step]
	var workers []*worker
	for _, w := range p.workers {
		if w.mayStart(true, now) && s.obstacle(r, step, step.Reserved(), w, now) == noObstacle {
			workers = append(workers, w)
		}
	}
	if len(workers) == 0 {
		return nil
	}

	return slices.MinFunc(workers, func(a, b *worker) int {
		return cmp.Or(
			cmp.Compare(s.youngRuns(a, age), s.youngRuns(b, age)), cmp.Compare(s.youngRuns(a, maxIsolation), s.youngRuns(b, maxIsolation)),
			cmp.Compare(len(a.runs), len(b.runs)), cmp.Compare(score(r, step, a), score(r, step, b)),
		)
	})
}

// keepFree lets the best worker for a task that must be isolated start no others, until its runs are old enough.
func (s *Scheduler) keepFree(r *readyStep, index int, p *workerSet, now time.Time) {
	task := work.Task{Job: r.job.entry.Job.ID, Occurrence: r.step.Occurrence, Step: r.step.Step, Index: index}
	if !r.job.mustIsolate(task) || !s.withinLimit(r.job.entry.Job.Workspace, r.job.entry.Job.Steps[task.Step].Size) {
		return
	}
	age := r.job.suspicions[task].isolation()
	if best := s.bestIsolationWorker(r, task, age, p, now); best != nil {
		best.isolationDue = now.Add(age)
	}
}
