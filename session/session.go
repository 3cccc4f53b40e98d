package session

import (
	"time"

	"lycheehook.example/lycheehook/work"
)

const (
	// MaxMissed is the number of unanswered calls in a row from which on a worker counts as silent.
	MaxMissed = 2
	// tokensPerTerm is how many times a term can raise the token of one worker.
	tokensPerTerm = 1 << 12
	// retryPause is the pause after an unanswered poll; it grows with each further one, up to maxRetryPause.
	retryPause    = 150 * time.Millisecond
	maxRetryPause = 600 * time.Millisecond
	// lateRetryPause is the pause while a start may be carried out late: an incarnation that knows no token would begin it.
	lateRetryPause = 30 * time.Millisecond
)

// Session is the owner's session with one worker in one term.
type Session struct {
	maxLease time.Duration
	// token is the fencing token of the next orders; seen reports that the worker has answered a poll under it.
	token uint64
	seen  bool
	// inFlight is the token of the poll under way, or zero.
	inFlight uint64
	// requested requests a poll now, and retryAt is when the next one may be sent.
	requested bool
	retryAt   time.Time
	// missed counts the unanswered calls in a row, the first of which failed at silentSince.
	missed      int
	silentSince time.Time
	// life is the incarnation that the worker named itself, or, until it has answered, the one that is recorded or registered.
	life work.Life
	// claimed is a registration of another incarnation that is not confirmed yet, refuted the last one that was refuted.
	claimed work.Registration
	refuted work.Life
	// clock is the worker's clock in its newest answer, to a poll that was sent at askedAt and answered at answeredAt. heardAt is
	// when it last answered any call.
	clock                        time.Duration
	askedAt, answeredAt, heardAt time.Time
	// lateUntil is until when a start that got no answer may be carried out.
	lateUntil time.Time
	// leasesEnd is when every lease given to the worker has surely ended.
	leasesEnd time.Time
	// handled is the number of the last end that was handled, stored the last one whose change is stored, and acked the last one
	// that the worker was told of.
	handled, stored, acked uint64
	// unsteadyUntil is until when the worker is likely to restart.
	unsteadyUntil time.Time
	// withheldSince is when a poll first withheld an acknowledgement that is still due; zero if none is.
	withheldSince time.Time
	// kept has the ends that are not to be acknowledged yet.
	kept []keptEnd
}

// New returns the session with a worker in the term that begins at a store revision; its leases last at most maxLease.
func New(term uint64, maxLease time.Duration) *Session {
	return &Session{token: term * tokensPerTerm, maxLease: maxLease}
}

// Token returns the fencing token, which grows with each term and each raise.
func (s *Session) Token() uint64 {
	return s.token
}

// TokenSeen reports whether the worker has answered a poll under the present token.
func (s *Session) TokenSeen() bool {
	return s.seen
}

// RaiseToken invalidates all orders sent so far, once the worker has seen the new token in a poll.
func (s *Session) RaiseToken() {
	s.token++
	s.seen, s.requested = false, true
}

// Doubt requests a poll under a newer token than that of the last answer, since the worker may have restarted.
func (s *Session) Doubt() {
	s.requested = true
	if s.seen {
		s.RaiseToken()
	}
}

// ExpectLateStart notes that until a time the worker may carry out a start that it has left unanswered.
func (s *Session) ExpectLateStart(until time.Time) {
	if until.After(s.lateUntil) {
		s.lateUntil = until
	}
}

// LateStartExpected reports whether the worker may still carry out a start that it has left unanswered.
func (s *Session) LateStartExpected(now time.Time) bool {
	return now.Before(s.lateUntil)
}

// Missed returns the number of calls in a row that the worker has left unanswered.
func (s *Session) Missed() int {
	return s.missed
}

// SetMissed sets the number of unanswered calls in a row and reports whether the worker counts as silent from now on.
func (s *Session) SetMissed(n int, now time.Time) bool {
	before := s.missed
	s.missed = n
	if before == 0 {
		s.silentSince = now
	}

	return before < MaxMissed && n >= MaxMissed
}

// SilentSince returns when the first of the unanswered calls failed.
func (s *Session) SilentSince() time.Time {
	return s.silentSince
}

// Silent reports whether the worker has not answered its last poll, or none under the present token.
func (s *Session) Silent() bool {
	return s.missed > 0 || !s.seen
}

// AnsweredAt returns when the worker last answered a poll in its incarnation; zero if it has not.
func (s *Session) AnsweredAt() time.Time {
	return s.answeredAt
}

// UpAt returns when the newest answered poll was sent, at which time or later the known incarnation was up.
func (s *Session) UpAt() time.Time {
	return s.askedAt
}

// Heard notes that the worker has answered a call.
func (s *Session) Heard(now time.Time) {
	s.heardAt = now
}

// SilentFor returns for how long the worker has answered no call.
func (s *Session) SilentFor(now time.Time) time.Duration {
	return now.Sub(s.heardAt)
}

// HeardSince reports whether the worker has answered a call since t.
func (s *Session) HeardSince(t time.Time) bool {
	return !s.heardAt.Before(t)
}
