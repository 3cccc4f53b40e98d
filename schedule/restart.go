package schedule

import (
	"time"

	"lycheehook.example/lycheehook/work"
)

// restarted takes note of a new incarnation that has answered a poll, before its lists are handled. Runs that it lists are its own; the
// others were lost with the earlier one.
func (s *Scheduler) restarted(w *worker, reply work.PollReply, now time.Time) {
	w.adoptListed(reply)
	s.crashed(w, "worker restarted", now)
	w.knownSince = now
	w.ended, w.delisted, w.orderedUntil = false, false, time.Time{}
}

// adoptListed assigns the runs that a new incarnation lists to it.
func (w *worker) adoptListed(reply work.PollReply) {
	for _, act := range reply.Active {
		if r, ok := w.runs[act.Attempt]; ok {
			r.life = reply.Life
		}
	}
	for _, end := range reply.Ended {
		if r, ok := w.runs[end.Attempt]; ok {
			r.life = reply.Life
		}
	}
}

// settleClaim puts a registration in force that the worker has confirmed.
func (w *worker) settleClaim() {
	if r, confirmed := w.Settle(); confirmed {
		w.applyCapacity(r.Capacity)
		w.reg = r
	}
}

// heard notes that a worker has answered an order. One whose clock is behind must have restarted, and is polled to learn which runs the
// new incarnation has begun.
func (s *Scheduler) heard(w *worker, o Order, clock time.Duration, now time.Time) {
	if !w.Answered(clock, o.asked, now) {
		return
	}
	if w.TokenSeen() {
		s.observe(Decision{Kind: DecidedRestartSuspected, Attempt: o.Attempt(), Worker: w.id, Token: w.Token(), Life: w.Life()})
	}
	w.Doubt()
}
