package schedule

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/session"
	"lycheehook.example/lycheehook/work"
)

const (
	// stopRetryPause is the pause before a stop is sent again while its run has not ended.
	stopRetryPause = 400 * time.Millisecond
)

// Start is a run or an order to a host that must be stored in the ledger before it is sent.
type Start struct {
	run  *run
	host *host
}

// Order is a start, a stop or a pace change to send to a worker.
type Order struct {
	Worker work.Registration
	Start  *work.Start
	Stop   *work.Stop
	Pace   *work.Pace
	run    *run
	// asked is when the order was made.
	asked time.Time
}

// Attempt returns the attempt that the order concerns.
func (o Order) Attempt() work.Attempt {
	return o.run.attempt
}

// Stored notes that the ledger has stored all changes taken so far, and returns the orders that waited for it.
func (s *Scheduler) Stored(starts []Start, now time.Time) []Order {
	s.ackStoredEnds()
	s.cancelOversized(starts)
	orders := make([]Order, 0, len(starts))
	for _, st := range starts {
		if st.host != nil {
			st.host.orderStored = true
			continue
		}
		if o, ok := s.startOrder(st.run, now); ok {
			orders = append(orders, o)
		}
	}

	return orders
}

// ackStoredEnds lets the next polls acknowledge the ends that are stored, after which workers may forget them.
func (s *Scheduler) ackStoredEnds() {
	pending := map[work.WorkerID]bool{}
	for _, c := range s.changes {
		pending[c.Worker] = true
	}
	for _, w := range s.workers {
		if !pending[w.id] {
			w.EndsStored()
		}
	}
}

// startOrder returns the start of a stored run, or false if the run must not begin any more.
func (s *Scheduler) startOrder(r *run, now time.Time) (Order, bool) {
	w := r.worker
	if w.runs[r.attempt] != r {
		return Order{}, false
	}
	if r.stopRequested || r.life != w.Life() || !w.TokenSeen() || s.awaitsLateStart(r.attempt.Task, now) || !s.mayStartIn(w.reg.Zone, now) {
		s.endRun(r, ending{source: NeverSent, outcome: work.OutcomeNotStarted, reason: "cancelled before its start was sent"})
		return Order{}, false
	}
	e := s.entries[r.attempt.Job]
	s.setPhase(r, sent)
	r.token, r.startedAt = w.Token(), now

	return Order{Worker: w.reg, run: r, asked: now, Start: &work.Start{
		Attempt: r.attempt, Spec: e.Job.Spec, Checkpoint: resumeCheckpoint(e, r.attempt), Token: r.token, Ticket: r.ticket, Until: w.Lease(now),
	}}, true
}

// resumeCheckpoint returns the checkpoint that an attempt resumes from, which is the same for all members of a gang.
func resumeCheckpoint(e *ledger.Entry, a work.Attempt) string {
	if !e.Job.Steps[a.Step].Gang {
		return e.Task(a.Task).Checkpoint
	}
	for _, t := range e.Step(ledger.StepKey{Occurrence: a.Occurrence, Step: a.Step}).Recorded {
		if t.Checkpoint != "" {
			return t.Checkpoint
		}
	}

	return ""
}

// Answered handles the answer to an order.
func (s *Scheduler) Answered(o Order, a work.Answer, err error, now time.Time) {
	r, w := o.run, o.run.worker
	if err == nil {
		s.heard(w, o, a.Clock, now)
	}
	if w.runs[r.attempt] != r {
		return
	}
	if o.Pace != nil {
		if err != nil {
			// The run's pace is unknown now, so this value must differ from the next pace for that to be sent.
			r.pace = o.Pace.Percent + 1
		}
		return
	}
	if o.Stop != nil {
		// The room of a stopped run is freed only once its worker lists its end.
		if err == nil {
			w.RequestPoll()
		}
		return
	}
	if r.phase != sent {
		return
	}

	r.returnedAt = now
	switch {
	case err == nil:
		s.setPhase(r, confirmed)
		r.confirmedAt = now
	case errors.Is(err, work.ErrNoAnswer), errors.Is(err, work.ErrAnotherLife):
		s.setPhase(r, unanswered)
		w.RaiseToken()
		s.observe(Decision{Kind: DecidedUnanswered, Attempt: r.attempt, Worker: w.id, Reason: err.Error(), Token: r.token, Life: r.life})
	default:
		s.startRefused(r, err, now)
	}
}

// mayBeginAfter reports whether the worker may have begun the run after t, as far as its answers tell.
func (r *run) mayBeginAfter(t time.Time) bool {
	switch r.phase {
	case sent:
		return true
	case unanswered:
		return r.returnedAt.After(t)
	case confirmed:
		return r.confirmedAt.After(t)
	default:
		return false
	}
}

// startRefused handles the start of a run that surely did not begin.
func (s *Scheduler) startRefused(r *run, err error, now time.Time) {
	w := r.worker
	switch {
	case errors.Is(err, work.ErrNoRoom):
		s.recordNoRoom(w, r.attempt.Job, now)
	case errors.Is(err, work.ErrUnhealthy):
		s.recordFailure(w, r.attempt.Job, now)
	case errors.Is(err, work.ErrNotSent):
		if w.SetMissed(max(w.Missed(), session.MaxMissed), now) {
			s.silenced(w, err)
		}
		// An answer to a poll of before may be from before the worker went away.
		w.Doubt()
	case errors.Is(err, work.ErrFenced), errors.Is(err, work.ErrLate):
		w.RaiseToken()
	case errors.Is(err, work.ErrTicket):
		if a, ok := s.advice[r.attempt.StepName()]; ok {
			delete(a.tickets, w.id)
			delete(a.asked, w.id)
		}
	}
	s.clearCrashOf(r)
	s.endRun(r, ending{source: StartRefused, outcome: work.OutcomeNotStarted, reason: err.Error(), age: now.Sub(r.startedAt)})
}

// endRun ends a run, records its outcome, and applies the consequences for its gang, its task and its job.
func (s *Scheduler) endRun(r *run, end ending) {
	o := end.outcome
	e := s.release(r)
	d := Decision{
		Kind: DecidedEnded, Attempt: r.attempt, Worker: r.worker.id, Outcome: o, Reason: end.reason, Token: r.worker.Token(),
		Source: end.source, SourceAge: end.age, Life: r.worker.Life(),
	}
	if !r.confirmedAt.IsZero() {
		d.Age = max(0, r.worker.AnsweredAt().Sub(r.confirmedAt))
	}
	s.observe(d)
	if e == nil {
		return
	}
	s.recordRunTime(r, end)
	if r.phase == confirmed {
		s.recordBegun(r)
	}
	checkpoint := cmp.Or(end.checkpoint, r.lastCheckpoint)
	if r.superseded && e.Task(r.attempt.Task).Checkpoint != "" {
		checkpoint = ""
	}
	s.record(e, ledger.Change{
		Kind: ledger.Ended, Attempt: r.attempt, Worker: r.worker.id, Life: r.life, Outcome: o, Checkpoint: checkpoint,
	})
	if o == work.OutcomeDone {
		s.stopOtherAttempts(e, r.attempt)
	}
	if e.Job.Steps[r.attempt.Step].Gang {
		s.endGang(e, r.attempt, end)
	}
	s.failIfExhausted(e, r.attempt)
	s.closeIfOver(e)
}

// recordBegun records that a run has begun, if it is the first of its job that is known to have. That follows the next list of its
// worker rather than the answer to its start, so that it mostly shares a batch of the log with other changes.
func (s *Scheduler) recordBegun(r *run) {
	if r.entry != nil && !r.entry.Begun() {
		s.record(r.entry, ledger.Change{Kind: ledger.Begun, Attempt: r.attempt})
	}
}

// endGang applies the end of a gang member to the other members: if it is done, so are they, and otherwise all are
// stopped and the gang restarts. Members of another attempt are stopped only if the gang is done.
func (s *Scheduler) endGang(e *ledger.Entry, a work.Attempt, end ending) {
	for i, t := range e.Step(ledger.StepKey{Occurrence: a.Occurrence, Step: a.Step}).Recorded {
		for _, l := range slices.Clone(t.Live) {
			member := work.Attempt{Task: work.Task{Job: a.Job, Occurrence: a.Occurrence, Step: a.Step, Index: i}, Number: l.Number}
			w, ok := s.workers[l.Worker]
			if !ok || w.runs[member] == nil {
				continue
			}
			if l.Number != a.Number && end.outcome != work.OutcomeDone {
				continue
			}
			if l.Number == a.Number && end.outcome == work.OutcomeDone {
				s.endRun(w.runs[member], ending{source: GangDone, outcome: end.outcome, reason: "another gang member is done", age: end.age})
				continue
			}
			w.runs[member].requestStop()
			w.RequestPoll()
		}
	}
}

// failIfExhausted fails the job of a task that has used up its attempts.
func (s *Scheduler) failIfExhausted(e *ledger.Entry, a work.Attempt) {
	q := s.queueOf(&e.Job)
	st := e.Task(a.Task)
	if e.Finished() || st.Done || e.Job.Steps[a.Step].Lasting || q.MaxAttempts <= 0 || st.Failures < q.MaxAttempts {
		return
	}
	s.observe(Decision{Kind: DecidedJobFailed, Attempt: a, Reason: "attempts used up"})
	s.record(e, ledger.Change{Kind: ledger.JobFailed, Attempt: a})
}

// closeIfOver closes a job that is over.
func (s *Scheduler) closeIfOver(e *ledger.Entry) {
	if e.Finished() && s.jobs[e.Job.ID] != nil {
		s.observe(Decision{Kind: DecidedJobOver, Attempt: work.Attempt{Task: work.Task{Job: e.Job.ID}}, Reason: e.State().String()})
		s.closeJob(e)
	}
}

// stopOtherAttempts stops the other attempts of a task that is done.
func (s *Scheduler) stopOtherAttempts(e *ledger.Entry, a work.Attempt) {
	for _, l := range e.Task(a.Task).Live {
		w, ok := s.workers[l.Worker]
		if !ok {
			continue
		}
		if r, ok := w.runs[work.Attempt{Task: a.Task, Number: l.Number}]; ok {
			r.requestStop()
		}
	}
}

// StopOrders returns the stop orders to send now.
func (s *Scheduler) StopOrders(now time.Time) []Order {
	var orders []Order
	for _, w := range s.workers {
		if !w.TokenSeen() || w.reg.Address == "" {
			continue
		}
		if w.reg.Draining && w.present() {
			s.evictLasting(w, func(*run) bool { return true })
		}
		if w.evacuated {
			s.evictLasting(w, func(r *run) bool { return s.mayMove(r, now) })
		}
		if w.stoppingRuns == 0 {
			continue
		}
		for _, r := range w.runs {
			if r.stopRequested && r.phase != assigned && now.Sub(r.stopSentAt) >= stopRetryPause {
				r.stopSentAt = now
				orders = append(orders, Order{Worker: w.reg, run: r, asked: now, Stop: &work.Stop{Attempt: r.attempt, Token: w.Token()}})
			}
		}
	}

	return orders
}

// ExpireLeases ends the runs on unreachable workers whose leases have surely ended, forgets starts that can't be carried out any more,
// and removes deregistered workers without runs.
func (s *Scheduler) ExpireLeases(now time.Time) {
	s.forgetLateStarts(func(l lateStart) bool { return !now.Before(l.until) })
	for id, w := range s.workers {
		if w.Silent() && w.LeasesEnded(now) {
			s.lapseRuns(w, now)
		}
		if !w.registered && len(w.runs) == 0 && w.LeasesEnded(now) && !w.PollInFlight() && !w.LateStartExpected(now) {
			delete(s.workers, id)
		}
	}
}

// lapseRuns ends the runs on a silent worker whose leases have surely ended.
func (s *Scheduler) lapseRuns(w *worker, now time.Time) {
	if !w.ended && !w.present() && !s.listedUp(w) {
		s.crashed(w, "lease ended on a silent worker that is no longer registered", now)
	}
	for _, r := range w.runs {
		if r.phase != assigned {
			s.expectLateStart(r, now)
			s.endRun(r, ending{source: LeaseEnd, outcome: work.OutcomeLapsed, reason: "lease ended on a silent worker"})
		}
	}
}
