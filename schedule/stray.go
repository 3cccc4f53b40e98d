package schedule

import (
	"slices"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// addStrayRun adds an active run that is not in the tables. It holds its resources and its task until it has ended, which it is ordered to
// unless it can go on as the task's only run.
func (s *Scheduler) addStrayRun(w *worker, act work.Activity) *run {
	a := act.Attempt
	s.observe(Decision{Kind: DecidedStrayRun, Attempt: a, Worker: w.id, Token: w.Token(), Life: w.Life()})
	r := &run{attempt: a, worker: w, life: w.Life(), phase: unanswered, pace: fullPace}
	e := s.entryOf(a.Task)
	if e == nil {
		w.runs[a] = r
		r.requestStop()

		return r
	}
	s.reserve(e, r)
	if e.Finished() || e.Task(a.Task).Done {
		r.requestStop()
		return r
	}
	s.cancelUnsent(e, a)
	if !s.mayGoOn(e, r, act.Checkpoint) {
		r.superseded = true
		r.requestStop()
	}
	s.record(e, ledger.Change{Kind: ledger.Found, Attempt: a, Worker: w.id, Life: w.Life()})

	return r
}

// cancelUnsent ends the runs of a task whose starts were not sent, since another run of it is at work.
func (s *Scheduler) cancelUnsent(e *ledger.Entry, a work.Attempt) {
	for _, l := range slices.Clone(e.Task(a.Task).Live) {
		r := s.runOf(work.Attempt{Task: a.Task, Number: l.Number}, l.Worker)
		if r != nil && r.phase == assigned {
			s.endRun(r, ending{source: NeverSent, outcome: work.OutcomeNotStarted, reason: "an earlier run of the task is at work"})
		}
	}
}

// mayGoOn reports whether a run that was believed over may go on: it is the only one of its task, and no other run has saved progress that it
// lacks.
func (s *Scheduler) mayGoOn(e *ledger.Entry, r *run, checkpoint string) bool {
	st := e.Task(r.attempt.Task)
	j, open := s.jobs[e.Job.ID]

	return open && !r.step.Gang && len(st.Live) == 0 && (st.Checkpoint == "" || st.Checkpoint == checkpoint) && !j.mustIsolate(r.attempt.Task)
}
