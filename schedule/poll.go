package schedule

import (
	"cmp"
	"slices"
	"time"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

const (
	// lateStartPollWait is how long a worker that may carry out a start late may delay its answer: a poll that waits at a worker which loses
	// power keeps the next one from its next incarnation.
	lateStartPollWait = 100 * time.Millisecond
	// keptEndsPollInterval is the least time between two polls of a worker that answers at once, since ends are kept there.
	keptEndsPollInterval = 100 * time.Millisecond
)

// Poll is a poll of a worker that is due.
type Poll struct {
	Worker work.Registration
	Order  work.Poll
	asked  time.Time
}

// DuePolls returns the polls that are due, the most useful first. Each must be passed to Polled with its answer before its worker is polled again.
func (s *Scheduler) DuePolls(now time.Time) []Poll {
	var polls []Poll
	for _, w := range s.workers {
		if wait, due := w.pollDue(now); due {
			polls = append(polls, Poll{Worker: w.Target(w.reg), asked: now, Order: w.Poll(now, wait, len(w.runs) > 0, !w.owesAnswer(now))})
		}
	}
	s.orderPolls(polls, now)

	return polls
}

// owesAnswer reports whether a start has not been answered in time, so that the worker may have restarted and begun it. A poll that was
// sent lately and is answered shows that it had not until then.
func (w *worker) owesAnswer(now time.Time) bool {
	if now.Sub(w.UpAt()) <= usualAnswerTime {
		return false
	}
	for _, r := range w.runs {
		if r.phase == sent && now.Sub(r.startedAt) > usualAnswerTime {
			return true
		}
	}

	return false
}

// pollDue reports whether a worker must be polled now, and how long it may delay its answer.
func (w *worker) pollDue(now time.Time) (time.Duration, bool) {
	// A worker that may carry out a start late is polled like one with runs, so that its next incarnation soon knows the token.
	busy := len(w.runs) > 0 || w.LateStartExpected(now)
	if !w.MayPoll(now) || w.Target(w.reg).Address == "" || !busy && (w.cordoned || w.ended) {
		return 0, false
	}
	switch {
	case !w.TokenSeen():
		return 0, w.present() || busy
	case w.StoringEnds():
		return 0, false
	case w.PollRequested():
		return 0, true
	case w.KeepsEnds(now):
		return 0, now.Sub(w.AnsweredAt()) >= keptEndsPollInterval
	case w.warmingUp():
		return warmUpPollWait, true
	case len(w.isolated) > 0 || now.Before(w.isolationDue):
		return isolationPollWait, true
	case w.LateStartExpected(now):
		return min(w.pollWait(), lateStartPollWait), true
	case busy:
		return w.pollWait(), true
	default:
		return 0, w.AckDue(now)
	}
}

// pollWait returns how long a worker with runs may delay its answer.
func (w *worker) pollWait() time.Duration {
	_, shared := w.tailRatio()
	switch {
	case shared:
		return pacePollWait
	case len(w.runs) > w.lastingTasks:
		return progressPollWait
	default:
		return pollWait
	}
}

// warmingUp reports whether a lasting task on the worker has not reached full pace yet.
func (w *worker) warmingUp() bool {
	if w.lastingTasks == 0 {
		return false
	}
	for _, r := range w.runs {
		if r.phase == confirmed && r.percent < fullPace && r.step != nil && r.step.Lasting {
			return true
		}
	}

	return false
}

// Polled handles the answer to a poll.
func (s *Scheduler) Polled(l Poll, reply work.PollReply, err error, now time.Time) {
	w, ok := s.workers[l.Worker.ID]
	if !ok {
		return
	}
	if !w.PollEnded(l.Order) {
		return
	}
	if err != nil {
		if w.PollFailed(err, now) {
			s.silenced(w, err)
		}
		return
	}
	restarted := w.Restarted(reply.Answer)
	if restarted {
		s.restarted(w, reply, now)
	}
	if w.PollAnswered(l.Order, reply.Answer, l.asked, now) {
		s.dirty = true
	}
	w.settleClaim()
	s.withdrawCrash(w)
	if l.Order.Until == 0 && len(w.runs) > 0 {
		// The first poll of a worker only reads its clock; the next one renews the leases.
		w.RequestPoll()
	}
	s.handleEnds(w, l, reply.Ended, now)
	s.handleActive(w, l, reply.Active, len(reply.Ended) >= work.MaxListedEnds, now)
	s.measureSpeed(w, now)
	if restarted {
		// Orders to the earlier incarnation that are still under way must have no effect.
		w.RaiseToken()
	}
}

// silenced notes that a worker has left too many calls unanswered, the last of which failed with err.
func (s *Scheduler) silenced(w *worker, err error) {
	s.observe(Decision{Kind: DecidedWorkerSilent, Worker: w.id, Reason: err.Error()})
	s.dirty = true
}

// handleEnds handles the ends that are newer than the last one handled.
func (s *Scheduler) handleEnds(w *worker, l Poll, ends []work.End, now time.Time) {
	slices.SortFunc(ends, func(a, b work.End) int { return cmp.Compare(a.Number, b.Number) })
	for _, end := range ends {
		if !w.NewEnd(end.Number) {
			continue
		}
		s.lateStartDone(end.Attempt)
		s.keepDoneEnd(w, end, now)
		r, ok := w.runs[end.Attempt]
		if ok {
			s.recordOutcome(w, end.Attempt, end.Outcome, now)
			s.endRun(r, ending{source: EndListed, outcome: end.Outcome, checkpoint: end.Checkpoint, reason: "listed by the worker", age: now.Sub(l.asked)})
			continue
		}
		s.handleStrayEnd(w, end)
	}
}

// handleStrayEnd handles the end of a run that was believed over; completed work counts nevertheless, and so does the failure of a late start.
func (s *Scheduler) handleStrayEnd(w *worker, end work.End) {
	e := s.entryOf(end.Attempt.Task)
	if e == nil || e.Task(end.Attempt.Task).Done {
		return
	}
	done := end.Outcome == work.OutcomeDone
	if !done && (end.Outcome != work.OutcomeFailed || !e.Task(end.Attempt.Task).LostStart(end.Attempt.Number)) {
		return
	}
	s.observe(Decision{Kind: DecidedStrayEnd, Attempt: end.Attempt, Worker: w.id, Outcome: end.Outcome, Token: w.Token(), Life: w.Life()})
	if !done {
		// Only the failure of an attempt that is live in the ledger counts.
		s.record(e, ledger.Change{Kind: ledger.Found, Attempt: end.Attempt, Worker: w.id, Life: w.Life()})
	}
	s.record(e, ledger.Change{Kind: ledger.Ended, Attempt: end.Attempt, Worker: w.id, Life: w.Life(), Outcome: end.Outcome})
	if done {
		s.stopOtherAttempts(e, end.Attempt)
	} else {
		s.failIfExhausted(e, end.Attempt)
	}
	s.closeIfOver(e)
}

// handleActive updates the runs that the worker lists as active, settles those that it does not list, and adds those that are not in the
// tables. If full is set, the list of ends was at its limit.
func (s *Scheduler) handleActive(w *worker, l Poll, active []work.Activity, full bool, now time.Time) {
	listed := make(map[work.Attempt]bool, len(active))
	var strays []work.Activity
	for _, act := range active {
		listed[act.Attempt] = true
		s.lateStartDone(act.Attempt)
		if r, ok := w.runs[act.Attempt]; ok {
			s.update(r, act, now)
		} else {
			strays = append(strays, act)
		}
	}
	if full {
		// The runs that are not listed may have ended with ends that did not fit into the list.
		w.RequestPoll()
	} else {
		s.endUnlisted(w, l, listed, now)
	}
	for _, act := range strays {
		s.update(s.addStrayRun(w, act), act, now)
	}
}

// update takes note of what a worker lists of an active run.
func (s *Scheduler) update(r *run, act work.Activity, now time.Time) {
	if r.phase != confirmed && r.phase != assigned {
		s.setPhase(r, confirmed)
		r.confirmedAt = now
	}
	r.life = r.worker.Life()
	r.percent, r.tailLatency, r.missingSince = act.Percent, act.Tail, time.Time{}
	r.lastCheckpoint = cmp.Or(act.Checkpoint, r.lastCheckpoint)
	s.recordBegun(r)
}

// endUnlisted ends the runs that the worker does not list.
func (s *Scheduler) endUnlisted(w *worker, l Poll, listed map[work.Attempt]bool, now time.Time) {
	age := now.Sub(l.asked)
	for a, r := range w.runs {
		if listed[a] {
			continue
		}
		if len(s.changes) >= maxPendingChanges {
			// The others end with a later poll, once the ledger has stored these.
			w.RequestPoll()
			return
		}
		switch {
		case r.phase == unanswered || r.phase == inherited:
			// The worker has seen a higher token than that of the start, so this incarnation can no longer begin the run.
			if r.phase == inherited {
				// Its owner may have sent the start until this one took over.
				r.returnedAt = now
			}
			s.expectLateStart(r, now)
			s.endRun(r, ending{source: NotListed, outcome: work.OutcomeNotStarted, reason: "not listed under a newer token", age: age})
		case r.phase == confirmed && r.confirmedAt.Before(l.asked) && s.waitsForGang(r, now):
		case r.phase == confirmed && r.confirmedAt.Before(l.asked):
			s.endRun(r, ending{source: NotListed, outcome: work.OutcomeLapsed, reason: "no longer listed by the worker", age: age})
		}
	}
}

// waitsForGang reports whether a missing gang member is still kept, since one end reported by another member's worker
// counts for the whole gang. One that an earlier incarnation ran is not.
func (s *Scheduler) waitsForGang(r *run, now time.Time) bool {
	if r.step == nil || !r.step.Gang || r.life != r.worker.Life() {
		return false
	}
	if r.missingSince.IsZero() {
		r.missingSince = now
	}

	return now.Sub(r.missingSince) < gangEndGrace
}
