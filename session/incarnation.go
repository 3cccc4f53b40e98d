package session

import (
	"time"

	"lycheehook.example/lycheehook/work"
)

// clockRounding is the most by which the difference of two readings of a worker's clock, in whole milliseconds, is too small.
const clockRounding = 2 * time.Millisecond

// Life returns the known incarnation; zero if there is none.
func (s *Session) Life() work.Life {
	return s.life
}

// Assume sets the incarnation of a worker that has not answered yet.
func (s *Session) Assume(l work.Life) {
	s.life = l
}

// Claim notes a registration that names another incarnation than the known one, and reports whether the worker is asked for it. That of
// an incarnation that the worker has refuted is passed over.
func (s *Session) Claim(r work.Registration) bool {
	if r.Life == s.refuted {
		return false
	}
	asked := s.claimed.Life == r.Life
	s.claimed = r
	if asked {
		return false
	}
	s.retryAt = time.Time{}
	s.RaiseToken()

	return true
}

// Settle ends a claim once the worker has answered. It returns the registration if the worker has confirmed it.
func (s *Session) Settle() (work.Registration, bool) {
	r := s.claimed
	s.claimed = work.Registration{}
	if r.Life == 0 {
		return r, false
	}
	if r.Life != s.life {
		s.refuted = r.Life
	}

	return r, r.Life == s.life
}

// Target returns the registration to poll: a claimed one, and by turns the known one while the worker does not answer.
func (s *Session) Target(known work.Registration) work.Registration {
	if s.claimed.Address == "" || known.Address != "" && s.missed%2 == 1 {
		return known
	}

	return s.claimed
}

// Answered notes the answer to an order that was sent at asked. It reports whether its clock is behind the worker's, so that
// another incarnation has answered.
func (s *Session) Answered(clock time.Duration, asked, now time.Time) bool {
	s.heardAt = now
	if clock == 0 || s.answeredAt.IsZero() {
		return false
	}
	since := asked.Sub(s.answeredAt)
	if since > 0 {
		since = time.Duration(float64(since) * (1 - maxClockDrift))
	}

	return clock < s.clock+since-clockRounding
}

// restart begins the session with another incarnation.
func (s *Session) restart(l work.Life, now time.Time) {
	s.life = l
	s.NoteUnsteady(now)
	s.handled, s.stored, s.acked, s.withheldSince = 0, 0, 0, time.Time{}
	s.kept = nil
	// An order whose lease was meant for an earlier incarnation gives the new one its longest lease.
	s.HoldLeases(now)
}
