package schedule

import (
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

const (
	// failuresToQuarantine is how many jobs in a row may fail on a worker before it is left alone for a time.
	failuresToQuarantine = 2
	quarantineTime       = 2 * time.Second
	maxQuarantine        = 16 * time.Second
	// suspectPenalty puts a worker on which a run has failed behind those on which none has.
	suspectPenalty = 1.5
)

// judge learns from an end how sound a worker and a job are.
func (s *Scheduler) judge(w *worker, a work.Attempt, o work.Outcome, now time.Time) {
	switch o {
	case work.OutcomeDone:
		w.failures, w.failedJob = 0, ""
	case work.OutcomeFailed:
		j, ok := s.jobs[a.Job]
		if !ok {
			return
		}
		if j.failOn(a.Task, w.id) {
			// The job fails wherever it runs, which says nothing of the workers.
			s.clear(j)
			return
		}
		s.suspect(w, a.Job, now)
	}
}

// suspect notes that a job failed on a worker, and leaves the worker alone for a time that doubles with each other job that
// fails there in a row.
func (s *Scheduler) suspect(w *worker, job fleet.JobID, now time.Time) {
	if w.failedJob == job {
		return
	}
	w.failures++
	w.failedJob = job
	if w.failures < failuresToQuarantine {
		return
	}
	pause := min(maxQuarantine, quarantineTime<<(w.failures-failuresToQuarantine))
	w.quarantine = now.Add(pause)
	s.observe(Decision{What: DecidedWorkerSuspected, Worker: w.id, Reason: pause.String()})
}

// clear takes back what a job's failures made of the workers on which it failed.
func (s *Scheduler) clear(j *job) {
	for _, on := range j.failed {
		for _, id := range on {
			if w, ok := s.workers[id]; ok && w.failedJob == j.entry.Job.ID {
				w.failures, w.failedJob = w.failures-1, ""
			}
		}
	}
}

// failOn notes that a task failed on a worker, and reports whether tasks of the job have failed on others.
func (j *job) failOn(t work.Task, id work.WorkerID) bool {
	if j.failed == nil {
		j.failed = map[work.Task][]work.WorkerID{}
	}
	elsewhere := false
	for _, on := range j.failed {
		elsewhere = elsewhere || slices.ContainsFunc(on, func(o work.WorkerID) bool { return o != id })
	}
	j.failed[t] = append(j.failed[t], id)

	return elsewhere
}

// failedOn reports whether a task has failed on a worker.
func (j *job) failedOn(t work.Task, id work.WorkerID) bool {
	return len(j.failed) > 0 && slices.Contains(j.failed[t], id)
}
