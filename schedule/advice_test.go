package schedule

import (
	"fmt"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// TestAdvice checks that tasks of an advised queue start only on permitted workers and carry the ticket, and that an
// expired ticket is requested again.
func TestAdvice(t *testing.T) {
	b := newTestbed(t, 3)
	c := testConfig
	c.Queues = []work.Queue{testConfig.Queues[0]}
	c.Queues[0].Advice = &work.Advice{Decision: 10 * time.Millisecond, PerWorker: time.Millisecond, Validity: time.Second}
	b.s.SetConfig(c)
	b.settle()
	b.submit("j", work.Step{Count: 2, Size: size(1000)})
	b.settle()
	check(t, "running before advice", 0, b.running())

	q, ok := b.s.Question(b.now)
	if !ok {
		t.Fatal("no question")
	}
	check(t, "workers asked about", 3, len(q.Workers))
	if _, again := b.s.Question(b.now); again {
		t.Error("two questions at a time")
	}
	b.s.Advised(q, map[work.WorkerID]string{"w1": "ticket"}, nil, b.now)
	b.s.Place(b.now)
	_, starts := b.s.TakePending()
	for _, o := range b.s.Stored(starts, b.now) {
		check(t, "worker", work.WorkerID("w1"), o.Worker.ID)
		check(t, "ticket", "ticket", o.Start.Ticket)
		b.order(o)
	}
	check(t, "running", 2, b.running())

	b.endAll(work.OutcomeLapsed)
	b.now = b.now.Add(2 * time.Second)
	b.settle()
	check(t, "running with an expired ticket", 0, b.running())
	q, ok = b.s.Question(b.now)
	check(t, "asked again", true, ok)
	check(t, "workers asked about again, without those that were refused", []work.WorkerID{"w1"}, q.Workers)
}

// Workers that had shrunk below the size of a task were once asked about, and first, as nothing ran there.
func TestAdviceFollowsCapacity(t *testing.T) {
	b := newTestbed(t, 3)
	c := testConfig
	c.Queues = []work.Queue{testConfig.Queues[0]}
	c.Queues[0].Advice = &work.Advice{Decision: 10 * time.Millisecond, PerWorker: time.Millisecond, Validity: time.Minute}
	b.s.SetConfig(c)
	b.settle()
	b.resize("w0", 0)
	b.resize("w2", 3000)
	b.submit("j", work.Step{Count: 8, Size: size(4000)})
	b.settle()
	q, ok := b.s.Question(b.now)
	check(t, "asked", true, ok)
	check(t, "workers asked about", []work.WorkerID{"w1"}, q.Workers)
	b.s.Advised(q, nil, nil, b.now)
	_, ok = b.s.Question(b.now)
	check(t, "asked while nothing has changed", false, ok)

	b.resize("w2", 16000)
	b.settle()
	q, ok = b.s.Question(b.now)
	check(t, "asked once a worker has grown", true, ok)
	check(t, "workers asked about then", []work.WorkerID{"w2"}, q.Workers)
}

// Room was reserved for a lasting task on a worker that is not allowed to run it, and kept all
// other tasks from it for ever.
func TestNoRoomKeptWithoutTicket(t *testing.T) {
	b := newTestbed(t, 1)
	c := testConfig
	c.Queues = append([]work.Queue{{Name: "advised", Pool: testPool, Advice: &work.Advice{Decision: time.Millisecond, PerWorker: time.Millisecond, Validity: time.Minute}}}, c.Queues...)
	b.s.SetConfig(c)
	b.settle()
	b.s.AddJob(work.Job{ID: "l", Queue: "advised", Pool: testPool, Submitted: b.now, Steps: []work.Step{{Count: 1, Size: size(12000), Lasting: true}}}, 1, b.now)
	b.settle()
	if q, ok := b.s.Question(b.now); ok {
		b.s.Advised(q, nil, nil, b.now)
	} else {
		t.Fatal("no question")
	}
	b.submit("small", work.Step{Count: 1, Size: size(6000)})
	b.settle()
	check(t, "running", 1, b.running())
}

// Steps that wait for room were asked about again and again as their tickets ran out, and kept a step that fits from being asked
// about.
func TestAdviceByTurns(t *testing.T) {
	b := newTestbed(t, 1)
	c := testConfig
	c.Queues = []work.Queue{testConfig.Queues[0]}
	c.Queues[0].Advice = &work.Advice{Decision: 300 * time.Millisecond, PerWorker: time.Millisecond, Validity: time.Second}
	b.s.SetConfig(c)
	b.settle()
	ask := func() string {
		b.s.Tick()
		b.s.Place(b.now)
		q, ok := b.s.Question(b.now)
		b.now = b.now.Add(300 * time.Millisecond)
		if !ok {
			return ""
		}
		tickets := map[work.WorkerID]string{}
		for _, id := range q.Workers {
			tickets[id] = "t"
		}
		b.s.Advised(q, tickets, nil, b.now)

		return q.Step
	}
	b.submit("first", work.Step{Count: 1, Size: size(10000)})
	ask()
	b.settle()
	check(t, "running", 1, b.running())
	for i := range 4 {
		b.submit(fleet.JobID(fmt.Sprint("a", i)), work.Step{Count: 1, Size: size(12000)})
	}
	b.submit("b", work.Step{Count: 1, Size: size(1000)})
	for range 60 {
		if ask() == "b.0.0" {
			return
		}
	}
	t.Error("a step that fits was not asked about in 60 questions")
}
