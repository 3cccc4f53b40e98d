package schedule

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// Poll is a poll of a worker that is due.
type Poll struct {
	Worker work.Registration
	Order  work.Poll
	life   work.Life
	asked  time.Time
	stored uint64
}

// Polls returns the polls that are due; each must be answered by Polled before the worker is polled again.
func (s *Scheduler) Polls(now time.Time) []Poll {
	var polls []Poll
	for _, w := range s.workers {
		if wait, due := s.pollDue(w, now); due {
			w.polling, w.wake = s.token(w), false
			polls = append(polls, Poll{
				Worker: w.reg, life: w.life, asked: now, stored: w.stored,
				Order: work.Poll{Token: s.token(w), Acked: w.stored, Until: s.renewal(w, now), Wait: wait},
			})
		}
	}

	return polls
}

// renewal returns the end of a new lease for a poll. A worker that has not answered gets none, so that its leases end.
func (s *Scheduler) renewal(w *worker, now time.Time) time.Duration {
	if w.unheard > 0 || len(w.runs) == 0 {
		return 0
	}

	return s.lease(w, now)
}

// pollDue reports whether a worker is to be polled now, and how long it may hold back its answer.
func (s *Scheduler) pollDue(w *worker, now time.Time) (time.Duration, bool) {
	if w.polling == s.token(w) || w.reg.Address == "" || now.Before(w.nextTry) || len(w.runs) == 0 && (w.cordoned || w.over) {
		return 0, false
	}
	switch {
	case !w.met:
		return 0, w.present || len(w.runs) > 0
	case w.stored != w.seen:
		// The worker would answer at once with ends that are being stored.
		return 0, false
	case w.wake:
		return 0, true
	case w.warmingUp():
		return warmUpWait, true
	case len(w.runs) > 0:
		return w.patience(), true
	default:
		return 0, w.acked < w.stored && now.Sub(w.heard) > ackWait
	}
}

// patience returns how long a worker that runs something may hold back its answer.
func (w *worker) patience() time.Duration {
	_, both := w.shares()
	switch {
	case both:
		return pacePollWait
	case len(w.runs) > w.lasting:
		return progressPollWait
	default:
		return pollWait
	}
}

// warmingUp reports whether a lasting task on the worker is not at work yet.
func (w *worker) warmingUp() bool {
	if w.lasting == 0 {
		return false
	}
	for _, r := range w.runs {
		if r.phase == confirmed && r.percent < fullPace && r.step != nil && r.step.Lasting {
			return true
		}
	}

	return false
}

// Polled takes in the answer to a poll.
func (s *Scheduler) Polled(l Poll, reply work.PollReply, err error, now time.Time) {
	w, ok := s.workers[l.Worker.ID]
	if !ok {
		return
	}
	if w.polling == l.Order.Token {
		w.polling = 0
	}
	if l.life != w.life || l.Order.Token != s.token(w) {
		// The answer is about an earlier life, or to an earlier token, and proves nothing any more.
		w.wake = true
		return
	}
	if err != nil {
		s.unpolled(w, err, now)
		return
	}
	if reply.Life != 0 && reply.Life != w.life {
		if reply.Life > w.life {
			s.reborn(w, reply.Life)
		}

		return
	}
	w.unheard, w.acked = 0, max(w.acked, l.stored)
	w.clock, w.asked, w.heard = reply.Clock, l.asked, now
	if !w.met {
		w.met, s.dirty = true, true
	}
	if l.Order.Until == 0 && len(w.runs) > 0 {
		// The first poll of a worker only teaches its clock; the next one renews the leases.
		w.wake = true
	}
	s.takeEnds(w, reply.Ended, now)
	s.takeActive(w, l, reply.Active, len(reply.Ended) >= work.MaxListedEnds, now)
	s.gauge(w, now)
}

func (s *Scheduler) unpolled(w *worker, err error, now time.Time) {
	w.unheard++
	w.nextTry = now.Add(min(maxRetryWait, retryWait*time.Duration(w.unheard)))
	if errors.Is(err, work.ErrFenced) {
		w.raise()
	}
	if w.unheard == silentAfter {
		s.observe(Decision{What: DecidedWorkerSilent, Worker: w.id, Reason: err.Error()})
		s.dirty = true
	}
}

// takeEnds takes in the ends that were not taken in before.
func (s *Scheduler) takeEnds(w *worker, ends []work.End, now time.Time) {
	slices.SortFunc(ends, func(a, b work.End) int { return cmp.Compare(a.Number, b.Number) })
	for _, end := range ends {
		if end.Number <= w.seen {
			continue
		}
		w.seen = end.Number
		r, ok := w.runs[end.Attempt]
		if ok {
			s.judge(w, end.Attempt, end.Outcome, now)
			s.end(r, end.Outcome, end.Checkpoint, "listed by the worker")
			continue
		}
		s.strayEnd(w, end)
	}
}

// strayEnd takes in the end of a run that was believed over; work that is done counts all the same.
func (s *Scheduler) strayEnd(w *worker, end work.End) {
	e, ok := s.entries[end.Attempt.Job]
	if !ok || !e.Has(end.Attempt.Task) || end.Outcome != work.OutcomeDone || e.Task(end.Attempt.Task).Done {
		return
	}
	s.observe(Decision{What: DecidedStrayEnd, Attempt: end.Attempt, Worker: w.id, Outcome: end.Outcome})
	s.record(e, ledger.Change{Kind: ledger.Ended, Attempt: end.Attempt, Worker: w.id, Life: w.life, Outcome: end.Outcome})
	s.stopOthers(e, end.Attempt)
	s.finish(e)
}

// takeActive takes in what runs, and settles the runs that are not listed.
func (s *Scheduler) takeActive(w *worker, l Poll, active []work.Activity, full bool, now time.Time) {
	listed := make(map[work.Attempt]bool, len(active))
	for _, act := range active {
		listed[act.Attempt] = true
		r, ok := w.runs[act.Attempt]
		if !ok {
			r = s.stray(w, act.Attempt)
		}
		if r.phase != confirmed && r.phase != assigned {
			r.phase, r.since = confirmed, now
		}
		r.percent, r.tail, r.missing = act.Percent, act.Tail, time.Time{}
		r.saved = cmp.Or(act.Checkpoint, r.saved)
	}
	if full {
		// Ends that did not fit into the list may be those of runs that are not listed.
		w.wake = true
		return
	}
	for a, r := range w.runs {
		if listed[a] {
			continue
		}
		switch {
		case r.phase == unanswered || r.phase == inherited:
			// The worker has seen a higher token than the order had, so the order can't begin any more.
			s.end(r, work.OutcomeNotStarted, "", "not listed under a newer token")
		case r.phase == confirmed && r.since.Before(l.asked) && s.waitsForGang(r, now):
		case r.phase == confirmed && r.since.Before(l.asked):
			s.end(r, work.OutcomeLapsed, "", "no longer listed")
		}
	}
}

// waitsForGang reports whether a member that is not listed any more is still given time, since one end that another
// worker lists stands for the whole gang.
func (s *Scheduler) waitsForGang(r *run, now time.Time) bool {
	if r.step == nil || !r.step.Gang {
		return false
	}
	if r.missing.IsZero() {
		r.missing = now
	}

	return now.Sub(r.missing) < gangPatience
}

// stray holds room for a run that nobody should have started, until it is stopped.
func (s *Scheduler) stray(w *worker, a work.Attempt) *run {
	s.observe(Decision{What: DecidedStrayRun, Attempt: a, Worker: w.id})
	r := &run{attempt: a, worker: w, life: w.life, phase: confirmed, pace: fullPace}
	r.halt()
	if e := s.entryOf(a.Task); e != nil {
		s.hold(e, r)
		return r
	}
	w.runs[a] = r

	return r
}
