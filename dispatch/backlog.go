package dispatch

import (
	"time"

	"lycheehook.example/lycheehook/backlog"
)

// backlogInterval is the time between two digests of the backlog. Hosts ask for a newer one after backlog.RefreshAge.
const backlogInterval = 200 * time.Millisecond

// WithBacklog sets a function that is called with a digest of the backlog some times a second.
func WithBacklog(f func(term uint64, d backlog.Digest)) Option {
	return func(d *Dispatcher) { d.backlog = f }
}

// publishBacklog makes a digest of the backlog if one is due.
func (t *term) publishBacklog(now time.Time) {
	if t.backlog == nil || now.Sub(t.backlogPublished) < backlogInterval {
		return
	}
	t.backlogPublished = now
	t.backlog(t.ownership.Revision, t.sched.Backlog(now))
}
