package schedule

import (
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// Guards against a lasting task that is stopped for a drain although it can't start elsewhere for want of a ticket.
func TestDrainWithoutTicketElsewhere(t *testing.T) {
	b := newTestbed(t, 2)
	c := testConfig
	c.Queues = append([]work.Queue{{
		Name: "advised", Pool: testPool, Advice: &work.Advice{Decision: time.Millisecond, PerWorker: time.Millisecond, Validity: 3 * time.Second},
	}}, c.Queues...)
	b.s.SetConfig(c)
	b.setHosts(upHosts(2))
	b.settle()
	b.s.AddJob(work.Job{ID: "l", Queue: "advised", Pool: testPool, Submitted: b.now, Steps: []work.Step{{Count: 2, Size: size(4000), Lasting: true, MaxAway: 1}}}, 1, b.now)
	b.s.workers["w1"].cordoned = true
	for range 100 {
		b.step()
		if q, ok := b.s.Question(b.now); ok {
			b.s.Advised(q, map[work.WorkerID]string{"w0": "t", "w1": "t"}, nil, b.now)
		}
	}
	b.s.markCordons()
	check(t, "running on the hosts", []int{2, 0}, []int{len(b.runs["w0"]), len(b.runs["w1"])})

	b.s.SetWave(work.WaveOrder{Number: 1, Hosts: []fleet.HostName{"h0"}, MaxDown: 1, Duration: time.Minute}, b.now)
	least := 2
	for range 100 {
		b.s.HostOrders(b.now)
		b.step()
		if q, ok := b.s.Question(b.now); ok {
			b.s.Advised(q, nil, work.ErrNoAnswer, b.now)
		}
		least = min(least, b.lastingRunning())
	}
	check(t, "least running without an answer", 2, least)
	check(t, "running in the end", 2, b.lastingRunning())
}
