package session

import (
	"errors"
	"time"

	"lycheehook.example/lycheehook/work"
)

const (
	// maxAckDelay is how long the stored ends of an idle worker may wait for a poll that acknowledges them.
	maxAckDelay = 400 * time.Millisecond
	// maxAckWait is how long polls may withhold acknowledgements.
	maxAckWait = time.Second
)

// RequestPoll requests an immediate poll.
func (s *Session) RequestPoll() {
	s.requested = true
}

// PollRequested reports whether an immediate poll is requested.
func (s *Session) PollRequested() bool {
	return s.requested
}

// MayPoll reports whether a poll may be sent: none is under way under the present token, and the pause after a failed one is over.
func (s *Session) MayPoll(now time.Time) bool {
	return s.inFlight != s.token && !now.Before(s.retryAt)
}

// PollInFlight reports whether a poll is under way.
func (s *Session) PollInFlight() bool {
	return s.inFlight != 0
}

// Poll returns the poll to send now. It renews the leases if renew is set, and acknowledges the stored ends if ack is set or they have
// waited too long for it, unless the worker is silent.
func (s *Session) Poll(now time.Time, wait time.Duration, renew, ack bool) work.Poll {
	s.inFlight, s.requested = s.token, false
	p := work.Poll{Token: s.token, Wait: wait, Acked: s.acknowledged(now, ack)}
	// A worker that has missed a poll gets no renewal, so that its leases end, and neither does one whose incarnation is not confirmed.
	if renew && s.missed == 0 && s.claimed.Life == 0 {
		p.Until = s.Lease(now)
	}

	return p
}

// acknowledged returns the number of the last end to acknowledge, or zero. Another incarnation would forget ends of its own by it, so
// nothing is acknowledged twice, nor to a worker that may have restarted. Unless ack is set, the worker owes answers, which may be due to
// slow calls as well, so that its ends are withheld for a limited time only.
func (s *Session) acknowledged(now time.Time, ack bool) uint64 {
	last := s.ackable(now)
	if s.Silent() || last <= s.acked {
		return 0
	}
	if ack {
		return last
	}
	if s.withheldSince.IsZero() {
		s.withheldSince = now
	}
	if now.Sub(s.withheldSince) < maxAckWait {
		return 0
	}

	return last
}

// PollEnded notes that a poll is no longer under way, and reports whether its answer counts: one to an earlier token may be from an
// earlier incarnation and proves nothing.
func (s *Session) PollEnded(p work.Poll) bool {
	if s.inFlight == p.Token {
		s.inFlight = 0
	}
	if p.Token != s.token {
		s.requested = true
		return false
	}

	return true
}

// PollFailed notes a poll that ended with err, and reports whether the worker counts as silent from now on.
func (s *Session) PollFailed(err error, now time.Time) bool {
	silent := s.SetMissed(s.missed+1, now)
	pause := min(maxRetryPause, retryPause*time.Duration(s.missed))
	if s.LateStartExpected(now) {
		// The first failure may be a restart, after which the late start and the next poll race each other.
		pause = min(lateRetryPause, lateRetryPause*time.Duration(s.missed-1))
	}
	s.retryAt = now.Add(pause)
	if errors.Is(err, work.ErrFenced) {
		s.RaiseToken()
	}

	return silent
}

// Restarted reports whether an answer to a poll names another incarnation than the known one.
func (s *Session) Restarted(a work.Answer) bool {
	return a.Life != 0 && a.Life != s.life
}

// PollAnswered notes the answer to a poll that was sent at asked, and reports whether the worker has seen the present token by it for the
// first time.
func (s *Session) PollAnswered(p work.Poll, a work.Answer, asked, now time.Time) bool {
	if s.Restarted(a) {
		s.restart(a.Life, now)
	} else if p.Acked > 0 {
		s.acked, s.withheldSince = max(s.acked, p.Acked), time.Time{}
	}
	first := !s.seen
	s.missed, s.seen = 0, true
	s.clock, s.askedAt, s.answeredAt, s.heardAt = a.Clock, asked, now, now

	return first
}

// NewEnd notes that an end is handled, and reports whether it was not before.
func (s *Session) NewEnd(number uint64) bool {
	if number <= s.handled {
		return false
	}
	s.handled = number

	return true
}

// EndsStored notes that all handled ends are stored, so that the next polls may acknowledge them.
func (s *Session) EndsStored() {
	s.stored = s.handled
}

// StoringEnds reports whether ends are being stored. A poll would be answered at once, with the same ends.
func (s *Session) StoringEnds() bool {
	return s.stored != s.handled
}

// AckDue reports whether the ends of an idle worker have waited long enough to be acknowledged by a poll of their own.
func (s *Session) AckDue(now time.Time) bool {
	return s.acked < s.ackable(now) && now.Sub(s.answeredAt) > maxAckDelay
}
