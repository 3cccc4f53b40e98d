package schedule

import (
	"fmt"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// drainBed returns a testbed of hosts that run the steps, each a job of its own, and need maintenance of the first host.
func drainBed(t *testing.T, hosts int, steps ...work.Step) *testbed {
	t.Helper()
	b := newTestbed(t, hosts)
	b.setHosts(upHosts(hosts))
	count := 0
	for i, step := range steps {
		b.submit(fleet.JobID(fmt.Sprint("l", i)), step)
		count += step.Count
	}
	b.settle()
	check(t, "running before", count, b.running())
	b.s.SetWave(work.WaveOrder{Number: 1, Hosts: []fleet.HostName{"h0"}, MaxDown: 1, Duration: time.Minute}, b.now)

	return b
}

// drainBeside returns a testbed of two hosts, the first of which runs two lasting tasks of one step and the other a task of a
// step that is not lasting.
func drainBeside(t *testing.T, other work.Step) *testbed {
	t.Helper()
	b := newTestbed(t, 2)
	b.setHosts(upHosts(2))
	b.s.workers["w1"].cordoned = true
	b.submit("l", work.Step{Count: 2, Size: size(2000), Lasting: true, MaxAway: 1})
	b.settle()
	b.s.workers["w0"].cordoned, b.s.workers["w1"].cordoned = true, false
	b.submit("j", other)
	b.settle()
	b.s.markCordons()
	check(t, "running on the hosts", []int{2, 1}, []int{len(b.runs["w0"]), len(b.runs["w1"])})

	return b
}

// lastingRunning returns how many of the lasting tasks run.
func (b *testbed) lastingRunning() int {
	n := 0
	for _, runs := range b.runs {
		for a := range runs {
			if a.Job[0] == 'l' {
				n++
			}
		}
	}

	return n
}

// drainFor runs the scheduler until the first order to a host, at most for d, and returns the orders and the least number of
// lasting tasks that ran meanwhile.
func (b *testbed) drainFor(d time.Duration) (orders []HostOrder, least int) {
	least = b.lastingRunning()
	for end := b.now.Add(d); b.now.Before(end) && len(orders) == 0; {
		orders = b.s.HostOrders(b.now)
		b.step()
		least = min(least, b.lastingRunning())
	}

	return orders, least
}

// addHost registers one more worker, on a host of its own.
func (b *testbed) addHost() {
	n := len(b.regs)
	b.register(work.WorkerID(fmt.Sprint("w", n)), 1)
	b.setHosts(upHosts(n + 1))
}

// count returns how many decisions of one kind were made.
func (b *testbed) count(what DecisionKind) int {
	n := 0
	for _, d := range b.decisions {
		if d.Kind == what {
			n++
		}
	}

	return n
}

func serving(count, maxAway int) work.Step {
	return work.Step{Count: count, Size: size(8000), Lasting: true, MaxAway: maxAway}
}

// A host whose maintenance began while the rest of its pool was full of lasting tasks drained for ever: the first of its lasting
// tasks that was stopped found no room, and no other one of the step may be stopped before it runs.
func TestDrainWithoutRoomElsewhere(t *testing.T) {
	b := drainBed(t, 2, serving(4, 1))
	orders, least := b.drainFor(time.Minute)
	check(t, "orders without room elsewhere", 0, len(orders))
	check(t, "least running without room elsewhere", 4, least)
	check(t, "drains without room elsewhere", 0, b.count(DecidedHostDraining))

	b.addHost()
	orders, least = b.drainFor(5 * time.Second)
	check(t, "orders with room elsewhere", 1, len(orders))
	check(t, "least running with room elsewhere", 3, least)
	check(t, "running on the host that is ordered down", 0, len(b.runs["w0"]))
	check(t, "running in the end", 4, b.lastingRunning())
}

// Guards against a drain that waits for room elsewhere although its lasting tasks may be away until the host is back.
func TestDrainWithinMaxAway(t *testing.T) {
	spread := serving(2, 1)
	spread.MaxPerWorker = 1
	for _, tt := range []struct {
		name  string
		hosts int
		steps []work.Step
		least int
	}{
		{"all of one step", 2, []work.Step{serving(4, 2)}, 2},
		{"one of each of several steps", 2, []work.Step{spread, spread}, 2},
		{"room for one, the other may be away", 3, []work.Step{serving(4, 1), serving(1, 1)}, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := drainBed(t, tt.hosts, tt.steps...)
			orders, least := b.drainFor(10 * time.Second)
			check(t, "orders", 1, len(orders))
			check(t, "least running", tt.least, least)
		})
	}
}

// Guards against steps whose lasting tasks would be away together, since another step on the host keeps it from being emptied.
func TestDrainHeldUpByAnotherStep(t *testing.T) {
	b := drainBed(t, 2, serving(2, 1), work.Step{Count: 4, Size: size(4000), Lasting: true, MaxAway: 1})
	orders, least := b.drainFor(time.Minute)
	check(t, "orders", 0, len(orders))
	check(t, "least running", 6, least)
}

// Guards against lasting tasks that are stopped while the room elsewhere is still in use by tasks that end by themselves, and
// against such tasks that take that room one after another.
func TestDrainWaitsForRoomThatBecomesFree(t *testing.T) {
	b := newTestbed(t, 2)
	b.setHosts(upHosts(2))
	b.s.workers["w1"].cordoned = true
	b.submit("l", serving(2, 1))
	b.settle()
	b.s.workers["w1"].cordoned = false
	check(t, "lasting tasks on the first host", 2, len(b.runs["w0"]))
	b.submit("j", work.Step{Count: 60, Size: size(4000), Estimate: 5 * time.Second})
	b.settle()
	b.s.SetWave(work.WaveOrder{Number: 1, Hosts: []fleet.HostName{"h0"}, MaxDown: 1, Duration: time.Minute}, b.now)

	orders, least := b.drainFor(20 * time.Second)
	check(t, "orders while the other host is full", 0, len(orders))
	check(t, "least running while the other host is full", 2, least)
	for range 6 {
		for a := range b.runs["w1"] {
			if a.Job == "j" {
				b.end("w1", a, work.OutcomeDone)
				break
			}
		}
		orders, least = b.drainFor(2 * drainSearchPause)
		check(t, "least running while tasks end", true, least >= 1)
		if len(orders) > 0 {
			break
		}
	}
	check(t, "orders once tasks there have ended", 1, len(orders))
	check(t, "drains", 1, b.count(DecidedHostDraining))
	check(t, "running on the host that is ordered down", 0, len(b.runs["w0"]))
}

// Guards against a host that drains without end after other lasting tasks have taken the room that its own were to get.
func TestDrainGivenUp(t *testing.T) {
	b := drainBed(t, 3, serving(4, 1))
	b.s.HostOrders(b.now)
	check(t, "phase once the drain has begun", draining, b.s.hosts["h0"].phase)
	b.submit("l-other", serving(2, 1))
	orders, _ := b.drainFor(7 * time.Second)
	check(t, "orders", 0, len(orders))
	check(t, "phase of the host", inService, b.s.hosts["h0"].phase)
	check(t, "running", 6, b.lastingRunning())
	orders, least := b.drainFor(30 * time.Second)
	check(t, "orders afterwards", 0, len(orders))
	check(t, "least running afterwards", 6, least)
}

// Guards against a host that drains without end for a move, whose lasting tasks would not return to it.
func TestMoveWithoutRoomElsewhere(t *testing.T) {
	for _, tt := range []struct {
		name                   string
		hosts, maxAway, orders int
	}{{"no room", 2, 1, 0}, {"no room, and all may be away", 2, 4, 0}, {"room", 3, 1, 1}} {
		t.Run(tt.name, func(t *testing.T) {
			b := drainBed(t, tt.hosts, serving(4, tt.maxAway))
			clear(b.s.waves)
			b.s.drain(b.s.hosts["h0"], hostPlan{pool: "other"}, b.now)
			orders, least := b.drainFor(10 * time.Second)
			check(t, "orders", tt.orders, len(orders))
			check(t, "least running", 4-tt.orders, least)
			check(t, "in service", tt.orders == 0, b.s.hosts["h0"].phase == inService)
		})
	}
}

// Guards against maintenance that is never begun as the pool seems large enough, though no host has room for the tasks of one
// that needs it.
func TestBalancerReplacesHostThatCannotDrain(t *testing.T) {
	b := drainBed(t, 2, serving(4, 1))
	hosts := func() int {
		b.s.HostOrders(b.now)
		return b.s.poolStates(b.now)[0].Hosts
	}
	check(t, "hosts for the balancer while there is no room", 1, hosts())
	b.addHost()
	b.now = b.now.Add(2 * drainSearchPause)
	check(t, "hosts for the balancer while one drains", 2, hosts())
}
