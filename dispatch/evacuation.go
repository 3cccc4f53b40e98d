package dispatch

import (
	"slices"
	"time"

	"lycheehook.example/lycheehook/evacuation"
	"lycheehook.example/lycheehook/work"
)

// WithEvacuations sets the function that returns the evacuated availability zones.
func WithEvacuations(read func() work.Evacuations) Option {
	return func(d *Dispatcher) { d.evacuations = read }
}

// applyEvacuations gives the scheduler what is known of the evacuated zones.
func (t *term) applyEvacuations(now time.Time) {
	if t.evacuations != nil {
		t.sched.SetEvacuations(t.evacuations(), now)
	}
}

// mayStart reports whether a start may be sent to a worker now. It is asked right before a start is sent, since that may have been
// delayed after the scheduler's decision, and uses a clock that includes time in suspend.
func (d *Dispatcher) mayStart(w work.Registration) bool {
	if d.evacuations == nil {
		return true
	}
	e := d.evacuations()

	return e.Known && e.Age <= evacuation.MaxAge(d.bounds.EvacuationTime) && !slices.Contains(e.Zones, w.Zone)
}
