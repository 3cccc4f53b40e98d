package owner

import (
	"sync/atomic"
	"time"

	"lycheehook.example/lycheehook/store"
)

// maxLag is how late a pass may begin at an owner that keeps pace.
const maxLag = 500 * time.Millisecond

// Term is a period in which this process owns the workers.
type Term struct {
	// Revision is the store revision at which the term began; it is the fencing token of all writes and orders.
	Revision uint64
	// Unowned is how long this process, with a valid lease, has seen the workers without an owner before the term.
	Unowned time.Duration
	lease   store.LeaseID
	session *Session
	began   time.Time
	// inTime is the time from the start of the term to the last pass that began in time, in nanoseconds.
	inTime atomic.Int64
	// over is set when the process gives up the term, whose lease it keeps.
	over atomic.Bool
}

func newTerm(s *Session, lease store.LeaseID, revision uint64) *Term {
	return &Term{Revision: revision, lease: lease, session: s, began: time.Now()}
}

// Began returns when the term began.
func (t *Term) Began() time.Time {
	return t.began
}

// Valid reports whether the process still owns the workers and the lease of the term is valid now.
func (t *Term) Valid() bool {
	id, valid := t.session.Lease()

	return valid && id == t.lease && !t.over.Load()
}

// Ended reports whether the term has ended; unlike Valid, it stays false while renewals of the lease fail.
func (t *Term) Ended() bool {
	id, _ := t.session.Lease()

	return id != t.lease || t.over.Load()
}

// Pass notes that a pass of the owner's work begins now, lag after it was due.
func (t *Term) Pass(lag time.Duration) {
	if lag <= maxLag {
		t.inTime.Store(int64(time.Since(t.began)))
	}
}

// lateFor returns how long no pass has begun in time.
func (t *Term) lateFor() time.Duration {
	return time.Since(t.began) - time.Duration(t.inTime.Load())
}
