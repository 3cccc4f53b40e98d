package schedule

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

const (
	// stopRetry is the pause before an unfulfilled stop is ordered again.
	stopRetry = 400 * time.Millisecond
)

// Start is a run, or an order to a host, that is to be stored before its order goes out.
type Start struct {
	run  *run
	host *host
}

// Order is an order to a worker.
type Order struct {
	Worker work.Registration
	Start  *work.Start
	Stop   *work.Stop
	Pace   *work.Pace
	run    *run
}

// Attempt returns the run that the order is about.
func (o Order) Attempt() work.Attempt {
	return o.run.attempt
}

// Stored takes in that all changes taken so far are stored, and returns the orders that waited for them.
func (s *Scheduler) Stored(starts []Start, now time.Time) []Order {
	s.acknowledge()
	orders := make([]Order, 0, len(starts))
	for _, st := range starts {
		if st.host != nil {
			st.host.announced = true
			continue
		}
		if o, ok := s.order(st.run, now); ok {
			orders = append(orders, o)
		}
	}

	return orders
}

// acknowledge lets workers forget the ends that are stored.
func (s *Scheduler) acknowledge() {
	pending := map[work.WorkerID]bool{}
	for _, c := range s.changes {
		pending[c.Worker] = true
	}
	for _, w := range s.workers {
		if !pending[w.id] {
			w.stored = w.seen
		}
	}
}

// order returns the start of a stored run, unless it has become needless.
func (s *Scheduler) order(r *run, now time.Time) (Order, bool) {
	w := r.worker
	if w.runs[r.attempt] != r {
		return Order{}, false
	}
	if r.stop || r.life != w.life || !w.met {
		s.end(r, work.OutcomeNotStarted, "", "withdrawn before its order")
		return Order{}, false
	}
	e := s.entries[r.attempt.Job]
	r.phase, r.token = ordered, s.token(w)

	return Order{Worker: w.reg, run: r, Start: &work.Start{
		Attempt: r.attempt, Spec: e.Job.Spec, Checkpoint: checkpoint(e, r.attempt), Token: r.token, Ticket: r.ticket, Until: s.lease(w, now),
	}}, true
}

// checkpoint returns where an attempt resumes; all members of a gang carry the same.
func checkpoint(e *ledger.Entry, a work.Attempt) string {
	if !e.Job.Steps[a.Step].Gang {
		return e.Task(a.Task).Checkpoint
	}
	tasks := e.Step(ledger.StepOf{Occurrence: a.Occurrence, Step: a.Step}).Tasks
	for i := range tasks {
		if tasks[i].Checkpoint != "" {
			return tasks[i].Checkpoint
		}
	}

	return ""
}

// Answered takes in the answer to an order.
func (s *Scheduler) Answered(o Order, a work.Answer, err error, now time.Time) {
	r, w := o.run, o.run.worker
	if w.runs[r.attempt] != r {
		return
	}
	if o.Pace != nil {
		if err != nil {
			// What the run's pace is now is unknown, so the next change sets it anew.
			r.pace = o.Pace.Percent + 1
		}
		return
	}
	if o.Stop != nil {
		// Only the list of ends frees the room of a run that was stopped.
		w.wake = w.wake || err == nil
		return
	}
	if r.phase != ordered {
		return
	}

	switch {
	case err == nil:
		r.phase, r.since = confirmed, now
	case errors.Is(err, work.ErrNoAnswer), errors.Is(err, work.ErrAnotherLife):
		r.phase = unanswered
		w.raise()
		s.observe(Decision{What: DecidedUnanswered, Attempt: r.attempt, Worker: w.id, Reason: err.Error()})
	default:
		s.refused(r, err, now)
	}
}

// refused takes in that a worker surely did not begin a run.
func (s *Scheduler) refused(r *run, err error, now time.Time) {
	w := r.worker
	switch {
	case errors.Is(err, work.ErrUnhealthy), errors.Is(err, work.ErrNoRoom):
		s.suspect(w, r.attempt.Job, now)
	case errors.Is(err, work.ErrNotSent):
		w.unheard = max(w.unheard, silentAfter)
		w.wake = true
	case errors.Is(err, work.ErrFenced), errors.Is(err, work.ErrLate):
		w.raise()
	case errors.Is(err, work.ErrTicket):
		if a, ok := s.advice[r.attempt.StepName()]; ok {
			delete(a.tickets, w.id)
			delete(a.asked, w.id)
		}
	}
	s.end(r, work.OutcomeNotStarted, "", err.Error())
}

// end takes in that a run is over and what follows from it.
func (s *Scheduler) end(r *run, o work.Outcome, checkpoint, reason string) {
	checkpoint = cmp.Or(checkpoint, r.saved)
	e := s.release(r)
	d := Decision{What: DecidedEnded, Attempt: r.attempt, Worker: r.worker.id, Outcome: o, Reason: reason, Token: s.token(r.worker)}
	if !r.since.IsZero() {
		d.Age = r.worker.heard.Sub(r.since)
	}
	s.observe(d)
	if e == nil {
		return
	}
	s.record(e, ledger.Change{
		Kind: ledger.Ended, Attempt: r.attempt, Worker: r.worker.id, Life: r.life, Outcome: o, Checkpoint: checkpoint,
	})
	if o == work.OutcomeDone {
		s.stopOthers(e, r.attempt)
	}
	if e.Job.Steps[r.attempt.Step].Gang {
		s.endGang(e, r.attempt, o)
	}
	s.exhaust(e, r.attempt)
	s.finish(e)
}

// endGang carries the end of a member over to the others: done stands for all, and after any other end all start anew.
func (s *Scheduler) endGang(e *ledger.Entry, a work.Attempt, o work.Outcome) {
	tasks := e.Step(ledger.StepOf{Occurrence: a.Occurrence, Step: a.Step}).Tasks
	for i := range tasks {
		for _, l := range slices.Clone(tasks[i].Live) {
			member := work.Attempt{Task: work.Task{Job: a.Job, Occurrence: a.Occurrence, Step: a.Step, Index: i}, Number: l.Number}
			w, ok := s.workers[l.Worker]
			if !ok || w.runs[member] == nil {
				continue
			}
			if o == work.OutcomeDone {
				s.end(w.runs[member], o, "", "another member of its gang is done")
				continue
			}
			w.runs[member].halt()
			w.wake = true
		}
	}
}

// exhaust fails the job of a task that used up its attempts.
func (s *Scheduler) exhaust(e *ledger.Entry, a work.Attempt) {
	q := s.queueOf(&e.Job)
	st := e.Task(a.Task)
	if e.Over() || st.Done || e.Job.Steps[a.Step].Lasting || q.MaxAttempts <= 0 || st.Failures < q.MaxAttempts {
		return
	}
	s.observe(Decision{What: DecidedJobFailed, Attempt: a, Reason: "attempts used up"})
	s.record(e, ledger.Change{Kind: ledger.JobFailed, Attempt: a})
}

// finish closes a job that is over.
func (s *Scheduler) finish(e *ledger.Entry) {
	if e.Over() && s.jobs[e.Job.ID] != nil {
		s.observe(Decision{What: DecidedJobOver, Attempt: work.Attempt{Task: work.Task{Job: e.Job.ID}}, Reason: e.State().String()})
		s.close(e)
	}
}

// stopOthers ends the other attempts of a task that is done.
func (s *Scheduler) stopOthers(e *ledger.Entry, a work.Attempt) {
	for _, l := range e.Task(a.Task).Live {
		w, ok := s.workers[l.Worker]
		if !ok {
			continue
		}
		if r, ok := w.runs[work.Attempt{Task: a.Task, Number: l.Number}]; ok {
			r.halt()
		}
	}
}

// Stops returns the orders that end runs.
func (s *Scheduler) Stops(now time.Time) []Order {
	var orders []Order
	for _, w := range s.workers {
		if !w.met || w.reg.Address == "" {
			continue
		}
		if w.reg.Draining && w.present {
			s.moveLasting(w)
		}
		if w.stopping == 0 {
			continue
		}
		for _, r := range w.runs {
			if r.stop && r.phase != assigned && now.Sub(r.stopSent) >= stopRetry {
				r.stopSent = now
				orders = append(orders, Order{Worker: w.reg, run: r, Stop: &work.Stop{Attempt: r.attempt, Token: s.token(w)}})
			}
		}
	}

	return orders
}

// Lapse ends the runs on silent workers whose leases have surely ended, and forgets workers that are gone.
func (s *Scheduler) Lapse(now time.Time) {
	for id, w := range s.workers {
		if w.unheard > 0 || !w.met {
			for _, r := range w.runs {
				if r.phase != assigned && now.After(w.lapse) {
					s.end(r, work.OutcomeLapsed, "", "lease ended on a silent worker")
				}
			}
		}
		if !w.present && len(w.runs) == 0 && now.After(w.lapse) && w.polling == 0 {
			delete(s.workers, id)
		}
	}
}
