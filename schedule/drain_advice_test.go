package schedule

import (
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// advisedDrain returns a testbed whose first host runs two lasting tasks of an advised queue, one of which may be away, and needs
// maintenance; the tickets are about to run out.
func advisedDrain(t *testing.T) *testbed {
	t.Helper()
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

	return b
}

// Guards against a drain that never asks whether its lasting tasks may run elsewhere.
func TestDrainAsksForTickets(t *testing.T) {
	b := advisedDrain(t)
	for range 50 {
		b.step()
	}
	var orders []HostOrder
	for range 100 {
		orders = append(orders, b.s.HostOrders(b.now)...)
		b.step()
		if q, ok := b.s.Question(b.now); ok {
			b.s.Advised(q, map[work.WorkerID]string{"w1": "t"}, nil, b.now)
		}
	}
	check(t, "orders", 1, len(orders))
	check(t, "running on the hosts", []int{0, 2}, []int{len(b.runs["w0"]), len(b.runs["w1"])})
}

// Guards against a lasting task that is stopped for a drain although it can't start elsewhere for want of a ticket.
func TestDrainWithoutTicketElsewhere(t *testing.T) {
	b := advisedDrain(t)
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
