package schedule

import (
	"fmt"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// upHosts returns a list of hosts that are up, in which worker i runs on host i.
func upHosts(hosts int) []work.HostStatus {
	var list []work.HostStatus
	for i := range hosts {
		list = append(list, work.HostStatus{
			Host: fleet.HostName(fmt.Sprint("h", i)), Pool: testPool, State: work.HostUp, Worker: work.WorkerID(fmt.Sprint("w", i)),
			Capacity: fleet.Resources{Cores: 16000, Memory: 32768},
		})
	}

	return list
}

func hostNames(list []work.HostStatus) []fleet.HostName {
	var hosts []fleet.HostName
	for _, h := range list {
		hosts = append(hosts, h.Host)
	}

	return hosts
}

// orders returns the orders to hosts that are sent within a second.
func (b *testbed) orders() []HostOrder {
	var all []HostOrder
	for range 10 {
		all = append(all, b.s.HostOrders(b.now)...)
		b.step()
	}

	return all
}

func (b *testbed) setHosts(l []work.HostStatus) {
	b.s.SetHosts(l, b.now, b.now)
}

// A new owner once ordered hosts down while those ordered by the previous owner were still down, and so exceeded the
// MaxDown of the wave.
func TestWaveBoundAfterTakeOver(t *testing.T) {
	b := newTestbed(t, 6)
	b.settle()
	l := upHosts(6)
	l[0].State, l[1].State = work.HostMaintenance, work.HostMaintenance
	b.setHosts(l)
	b.s.SetWave(work.WaveOrder{Number: 1, Hosts: hostNames(l), Duration: 8 * time.Second, MaxDown: 2}, b.now)
	check(t, "orders while two hosts are down", 0, len(b.orders()))

	b.setHosts(upHosts(6))
	check(t, "orders once they are back", 2, len(b.orders()))
}

// An order for maintenance that was carried out under a previous owner is answered as done although it ends nothing now.
// Only the cloud's list shows what has ended, so the runs on the host must be kept.
func TestMaintenanceDoneBefore(t *testing.T) {
	b := newTestbed(t, 2)
	b.settle()
	b.submit("j", work.Step{Count: 2, Size: size(1000)})
	b.settle()
	l := upHosts(2)
	b.setHosts(l)
	b.s.SetWave(work.WaveOrder{Number: 1, Hosts: hostNames(l)[:1], Duration: time.Second, MaxDown: 1}, b.now)
	var orders []HostOrder
	for len(orders) == 0 && b.now.Before(b.s.waves[1].seen.Add(10*time.Second)) {
		orders = append(orders, b.orders()...)
	}
	if len(orders) != 1 {
		t.Fatalf("%d orders", len(orders))
	}
	b.s.HostAnswered(orders[0], nil, b.now)
	b.step()
	b.setHosts(l)
	b.settle()

	check(t, "running tasks", 2, b.running())
	check(t, "attempts", 1, b.entries["j"].Task(work.Task{Job: "j"}).Attempts)
}

// The lasting tasks on a draining host are moved one at a time, as their step allows, before the host is ordered down.
func TestLastingTasksMovedOneByOne(t *testing.T) {
	b := newTestbed(t, 4)
	b.settle()
	b.submit("j", work.Step{Count: 4, Size: size(1000), Lasting: true, MaxAway: 1})
	b.settle()
	l := upHosts(4)
	b.setHosts(l)
	b.s.SetWave(work.WaveOrder{Number: 1, Hosts: hostNames(l)[:1], Duration: 5 * time.Second, MaxDown: 1}, b.now)
	for range 60 {
		orders := b.s.HostOrders(b.now)
		if got := b.running(); got < 3 {
			t.Fatalf("%d of 4 tasks at work", got)
		}
		for _, o := range orders {
			check(t, "tasks on a host that is ordered down", 0, len(b.runs[work.WorkerID("w"+string(o.Host[1:]))]))
			return
		}
		b.step()
	}
	t.Error("the host was never ordered down")
}

// The registration of a worker whose host was moved stays for a while; no task may be placed there any more.
func TestNoTaskOnMovedHost(t *testing.T) {
	b := newTestbed(t, 2)
	b.settle()
	l := upHosts(2)
	b.setHosts(l)
	b.s.SetWave(work.WaveOrder{Number: 1, Hosts: hostNames(l)[:1], Duration: time.Second, MaxDown: 1}, b.now)
	for _, o := range b.orders() {
		b.s.HostAnswered(o, nil, b.now)
	}
	b.step()
	l[0].State, l[0].Worker = work.HostMaintenance, ""
	b.setHosts(l)
	b.s.Register(b.regs["w0"], b.now)
	b.submit("j", work.Step{Count: 20, Size: size(1000)})
	b.orders()
	check(t, "running tasks on the host that is away", 0, len(b.runs["w0"]))
	check(t, "running tasks", 16, b.running())
}

// After a power loss the same host owned the workers again and moved no host for 3.5 s, although the previous orders
// were its own. The quiet time must apply only to the orders of other owners.
func TestHandoverQuietOnlyAfterAnotherHost(t *testing.T) {
	for _, tt := range []struct {
		by     fleet.EntryName
		age    time.Duration
		orders int
	}{{"self", time.Second, 2}, {"other", time.Second, 0}, {"other", 4 * time.Second, 2}} {
		b := newTestbed(t, 2)
		b.settle()
		l := upHosts(2)
		b.s.bounds.HandoverQuiet = 3 * time.Second
		ordered := map[fleet.HostName]ledger.HostOrder{}
		for _, h := range hostNames(l) {
			ordered[h] = ledger.HostOrder{By: tt.by, Age: tt.age}
		}
		b.s.SetOrdered(ordered, "self", b.now)
		b.setHosts(l)
		b.s.SetWave(work.WaveOrder{Number: 1, Hosts: hostNames(l), Duration: time.Second, MaxDown: 2}, b.now)
		check(t, "orders within a second after "+string(tt.by), tt.orders, len(b.orders()))
	}
}

// An unanswered order is stored and sent again, at a bounded rate, until its answer arrives.
func TestUnansweredHostOrder(t *testing.T) {
	b := newTestbed(t, 1)
	b.settle()
	l := upHosts(1)
	b.setHosts(l)
	b.s.SetWave(work.WaveOrder{Number: 1, Hosts: hostNames(l), Duration: time.Second, MaxDown: 1}, b.now)
	orders := 0
	for range 50 {
		for _, o := range b.s.HostOrders(b.now) {
			orders++
			b.s.HostAnswered(o, work.ErrNoAnswer, b.now)
		}
		b.step()
	}
	if orders < 3 || orders > int(5*time.Second/hostOrderRetryPause) {
		t.Errorf("%d orders in five seconds", orders)
	}
}
