package schedule

import (
	"slices"
	"time"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

const (
	// lateStartBound is how long after a start was left unanswered it may still be carried out.
	lateStartBound = 12 * time.Second
	// maxLateStartWait is how long a task waits for a worker that may carry out an earlier start and doesn't answer, which it may never do
	// again.
	maxLateStartWait = 5 * time.Second
	// maxStartsLostOnWorker is how many starts of a task may be lost on a worker on which the next one is tried.
	maxStartsLostOnWorker = 2
)

// lateStart is a start without an answer that its worker is known not to have carried out. The worker's next incarnation may still do so
// until then, since it has seen no token.
type lateStart struct {
	attempt work.Attempt
	worker  work.WorkerID
	// until is when it can't be carried out any more.
	until time.Time
	// repeated reports that the task was assigned to the worker again.
	repeated bool
}

// waitsUntil returns until when the start's task waits for its worker to answer.
func (l lateStart) waitsUntil() time.Time {
	return l.until.Add(maxLateStartWait - lateStartBound)
}

// expectLateStart remembers the start of a run that is taken for over although no worker has answered the start.
func (s *Scheduler) expectLateStart(r *run, now time.Time) {
	if r.phase == assigned || r.phase == confirmed {
		return
	}
	failedAt := r.returnedAt
	switch {
	case !failedAt.IsZero():
	case r.phase != inherited:
		failedAt = now
	case r.entry == nil || r.entry.Begun():
		// Almost all runs of a previous owner had begun long ago, so that only those of jobs that have not begun count if their worker has
		// not answered.
		return
	default:
		failedAt = s.began
	}
	until := failedAt.Add(lateStartBound)
	if !until.After(now) {
		return
	}
	s.addLateStart(r.attempt, r.worker, failedAt)
	if r.entry != nil {
		s.record(r.entry, ledger.Change{Kind: ledger.StartLost, Attempt: r.attempt, Worker: r.worker.id, Life: r.life})
	}
	s.observe(Decision{
		Kind: DecidedLateStartExpected, Attempt: r.attempt, Worker: r.worker.id, Token: r.token, Life: r.life,
		Reason: "until " + until.Sub(now).Round(time.Millisecond).String() + " from now",
	})
}

// adoptLateStarts remembers the starts that previous owners expected to be carried out late.
func (s *Scheduler) adoptLateStarts(e *ledger.Entry, now time.Time) {
	for a, l := range e.LostStarts {
		w := s.ensureWorker(l.Worker)
		// The restarts that a previous owner saw are not known.
		w.NoteUnsteady(now)
		s.addLateStart(a, w, now)
	}
}

// addLateStart remembers a start that was left unanswered at lostAt.
func (s *Scheduler) addLateStart(a work.Attempt, w *worker, lostAt time.Time) {
	l := lateStart{attempt: a, worker: w.id, until: lostAt.Add(lateStartBound)}
	s.lateStarts[a.Task] = append(s.lateStarts[a.Task], l)
	w.ExpectLateStart(l.until)
}

// keepDoneEnd withholds the acknowledgement of an end as done while an earlier start of its task may reach the worker late and the worker is
// likely to restart. Its next incarnation would begin the task again; an end that is not acknowledged is lost with the incarnation that
// listed it. On a steady worker it would delay the acknowledgement of all ends for a start that a probe fences in time.
func (s *Scheduler) keepDoneEnd(w *worker, end work.End, now time.Time) {
	if end.Outcome != work.OutcomeDone || !w.Unsteady(now) {
		return
	}
	for _, l := range s.lateStarts[end.Attempt.Task] {
		if l.worker == w.id {
			w.KeepEnd(end.Number, l.until)
		}
	}
}

// lateStartDone forgets a start that a worker has carried out.
func (s *Scheduler) lateStartDone(a work.Attempt) {
	if s.lateStarts[a.Task] != nil {
		s.forgetLateStarts(func(l lateStart) bool { return l.attempt == a })
	}
}

// awaitsLateStart reports whether an earlier start of a task may be carried out by an incarnation of a worker that has not answered yet, so
// that the task must not start elsewhere.
func (s *Scheduler) awaitsLateStart(t work.Task, now time.Time) bool {
	return slices.ContainsFunc(s.lateStarts[t], func(l lateStart) bool {
		w, ok := s.workers[l.worker]

		return now.Before(l.waitsUntil()) && (!ok || w.ended || w.Silent())
	})
}

// heldByLateStart reports whether a task of a job must not start because of an earlier start. Only when it may does its wait for a worker to
// be isolated on begin.
func (s *Scheduler) heldByLateStart(j *job, t work.Task, now time.Time) bool {
	if !s.awaitsLateStart(t, now) {
		return false
	}
	if p := j.suspicions[t]; p != nil {
		p.since = now
	}

	return true
}

// lostStartOn returns the worker that may carry out all late starts of a task. The task is best started there again: if the worker
// restarts, the run that it has ends before the next incarnation can begin a late one.
func (s *Scheduler) lostStartOn(t work.Task) work.WorkerID {
	list := s.lateStarts[t]
	if len(list) == 0 || len(list) > maxStartsLostOnWorker {
		return ""
	}
	last := list[len(list)-1]
	elsewhere := func(l lateStart) bool { return l.worker != last.worker }
	if last.repeated || slices.ContainsFunc(list, elsewhere) {
		return ""
	}

	return last.worker
}

// noteRepeated notes that a task was assigned to a worker, so that it prefers that one no more if the start is refused or lost again.
func (s *Scheduler) noteRepeated(t work.Task, id work.WorkerID) {
	for i := range s.lateStarts[t] {
		if l := &s.lateStarts[t][i]; l.worker == id {
			l.repeated = true
		}
	}
}

// forgetStartsOfReplaced forgets the late starts of workers in whose place their host has another one: starts name the ID, which that one refuses.
func (s *Scheduler) forgetStartsOfReplaced() {
	s.forgetLateStarts(func(l lateStart) bool {
		w, ok := s.workers[l.worker]
		if !ok || w.host == "" || s.hosts[w.host] == nil {
			return false
		}
		now := s.hosts[w.host].Worker

		return now != "" && now != l.worker
	})
}

// forgetLateStarts forgets the late starts for which gone is true, so that their tasks may start.
func (s *Scheduler) forgetLateStarts(gone func(lateStart) bool) {
	for t, list := range s.lateStarts {
		left := slices.DeleteFunc(list, gone)
		s.dirty = s.dirty || len(left) < len(list)
		s.lateStarts[t] = left
		if len(left) == 0 {
			delete(s.lateStarts, t)
		}
	}
}
