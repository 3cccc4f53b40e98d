package dispatch

import (
	"context"
	"time"

	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/work"
)

func (t *term) requestAdvice(ctx context.Context, q schedule.Question) {
	tickets, err := t.advise(ctx, q.Step, q.Workers, q.Timeout)
	t.mu.Lock()
	t.sched.Advised(q, tickets, err, time.Now())
	t.mu.Unlock()
	t.signal()
}

func (t *term) sendPoll(l schedule.Poll) {
	reply, err := t.workers.Poll(l.Worker, l.Order)
	if err == nil {
		t.recovery.reach(StageWorker, time.Now())
	}
	t.mu.Lock()
	t.sched.Polled(l, reply, err, time.Now())
	t.mu.Unlock()
	t.signal()
}

func (t *term) sendOrder(o schedule.Order) {
	if o.Start != nil {
		// What follows must hold when the start is called, not when it began to wait for that.
		t.startCalls <- struct{}{}
		defer func() { <-t.startCalls }()
	}
	var a work.Answer
	var err error
	switch {
	case !t.ownership.Valid():
		err = work.ErrNotSent
	case o.Start != nil && !t.mayStart(o.Worker):
		err = work.ErrEvacuated
	case o.Start != nil:
		a, err = t.workers.Start(o.Worker, *o.Start)
		if err == nil {
			t.recovery.started(time.Now())
		}
	case o.Pace != nil:
		a, err = t.workers.Pace(o.Worker, *o.Pace)
	default:
		a, err = t.workers.Stop(o.Worker, *o.Stop)
	}
	t.mu.Lock()
	t.sched.Answered(o, a, err, time.Now())
	t.mu.Unlock()
	t.signal()
}
