package dispatch

import (
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/work"
)

// ErrNotOwner means that this process does not own the workers, or has not read the ledger yet.
var ErrNotOwner = merry.Sentinel("this process does not own the workers")

// Explain returns where a job that is not submitted would go now, by the state of the current term.
func (d *Dispatcher) Explain(j work.Job) (schedule.Explanation, error) {
	t := d.current.Load()
	if t == nil || t.ownership.Ended() {
		return schedule.Explanation{}, ErrNotOwner
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x, err := t.sched.Explain(j, time.Now())
	x.Confirmed = t.ownership.Valid()

	return x, err
}
