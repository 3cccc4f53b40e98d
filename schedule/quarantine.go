package schedule

import (
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

const (
	// failuresToQuarantine is how many jobs in a row may fail on a worker before it gets no tasks for a time.
	failuresToQuarantine = 2
	quarantineTime       = 2 * time.Second
	maxQuarantine        = 16 * time.Second
	// maxElsewhereWait is how long a failed task waits for room on a worker on which it has not failed. It is under the 3 s for which no step
	// may wait while most of its pool is free.
	maxElsewhereWait = 2 * time.Second
	// failurePenalty ranks a worker on which a run has failed below those without failures.
	failurePenalty = 1.5
)

// recordOutcome updates the failure counts of a worker and a job by the outcome of a run.
func (s *Scheduler) recordOutcome(w *worker, a work.Attempt, o work.Outcome, now time.Time) {
	switch o {
	case work.OutcomeDone:
		w.failedJobs, w.lastFailedJob, w.noRoomJobs = 0, "", 0
	case work.OutcomeFailed:
		j, ok := s.jobs[a.Job]
		if !ok {
			return
		}
		if j.addFailure(a.Task, w.id, now) {
			// The job fails on several workers, so its failures are no evidence against any of them.
			s.clearFailures(j)
			return
		}
		s.recordFailure(w, a.Job, now)
	}
}

// recordFailure counts a job that failed on a worker. From failuresToQuarantine on it quarantines the worker, for a time
// that doubles with each further job that fails there in a row.
func (s *Scheduler) recordFailure(w *worker, job fleet.JobID, now time.Time) {
	if w.lastFailedJob == job {
		return
	}
	w.failedJobs++
	w.lastFailedJob = job
	if w.failedJobs < failuresToQuarantine {
		return
	}
	pause := min(maxQuarantine, quarantineTime<<(w.failedJobs-failuresToQuarantine))
	w.quarantinedUntil, w.lastResortFrom = now.Add(pause), now.Add(quarantineTime)
	s.observe(Decision{Kind: DecidedWorkerSuspected, Worker: w.id, Reason: pause.String()})
}

// lastResort reports whether a worker that is usable but for its quarantine may take tasks for which no other has room.
func (w *worker) lastResort(now time.Time) bool {
	return w.obstacle(now) == Quarantined && !w.lastResortFrom.IsZero() && !now.Before(w.lastResortFrom)
}

// clearFailures removes a job's failures from the counts of the workers on which it failed.
func (s *Scheduler) clearFailures(j *job) {
	for _, on := range j.failedOnWorkers {
		for _, id := range on {
			if w, ok := s.workers[id]; ok && w.lastFailedJob == j.entry.Job.ID {
				w.failedJobs, w.lastFailedJob = w.failedJobs-1, ""
			}
		}
	}
}

// addFailure records that a task failed on a worker, and reports whether tasks of the job have failed on other workers.
func (j *job) addFailure(t work.Task, id work.WorkerID, now time.Time) bool {
	if j.failedOnWorkers == nil {
		j.failedOnWorkers, j.failedAt = map[work.Task][]work.WorkerID{}, map[work.Task]time.Time{}
	}
	j.failedAt[t] = now
	elsewhere := false
	for _, on := range j.failedOnWorkers {
		elsewhere = elsewhere || slices.ContainsFunc(on, func(o work.WorkerID) bool { return o != id })
	}
	j.failedOnWorkers[t] = append(j.failedOnWorkers[t], id)

	return elsewhere
}

// failedOn reports whether a task has failed on a worker.
func (j *job) failedOn(t work.Task, id work.WorkerID) bool {
	return len(j.failedOnWorkers) > 0 && slices.Contains(j.failedOnWorkers[t], id)
}

// waitsElsewhere reports whether a task waits for a worker on which it has not failed, if one could take it once others end.
func (r *readyStep) waitsElsewhere(task work.Task, p *workerSet, now time.Time) bool {
	return now.Sub(r.job.failedAt[task]) <= maxElsewhereWait && r.mayRunElsewhere(task, p)
}

// mayRunElsewhere reports whether a worker on which the task has not failed could take it once tasks that end by themselves have.
func (r *readyStep) mayRunElsewhere(task work.Task, p *workerSet) bool {
	step := &r.job.entry.Job.Steps[task.Step]

	return slices.ContainsFunc(p.workers, func(w *worker) bool {
		return r.allows(step, w) && !r.job.failedOn(task, w.id) && step.Reserved().FitsIn(w.reg.Capacity.Minus(w.heldByLasting()))
	})
}
