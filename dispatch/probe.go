package dispatch

import (
	"context"
	"time"

	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/work"
)

// probe probes a worker until the scheduler ends that. Probes don't wait for each other, since those to a host without power get no answer.
func (t *term) probe(ctx context.Context, id work.WorkerID) {
	for ctx.Err() == nil {
		t.mu.Lock()
		p, rest, ok := t.sched.NextProbe(id, time.Now())
		t.mu.Unlock()
		if !ok {
			return
		}
		if t.ownership.Valid() {
			go t.sendProbe(p)
		}
		pause.For(ctx, rest)
	}
}

func (t *term) sendProbe(p schedule.Probe) {
	// Failures are counted in the metrics of the calls. They are the rule here and mean nothing.
	a, _ := t.workers.Probe(p.Worker, p.Token)
	t.mu.Lock()
	t.sched.Probed(p, a, time.Now())
	t.mu.Unlock()
	t.signal()
}
