package schedule

import (
	"testing"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// A worker that the previous owner had ordered away counted as one that crashed under its tasks, if it was gone before the new
// owner's first list of hosts.
func TestOrderCarriedOutBeforeTheTerm(t *testing.T) {
	b := newTestbed(t, 1)
	b.setHosts(upHosts(1))
	b.submit("j", work.Step{Count: 1, Size: size(1000)})
	b.settle()
	b.unreachable["w0"] = true
	delete(b.regs, "w0")
	b.takeOver(2)
	b.s.SetOrdered(map[fleet.HostName]ledger.HostOrder{"h0": {By: "other", Worker: "w0"}}, "self", b.now)
	b.settle()
	moving := upHosts(1)
	moving[0].State, moving[0].Worker = work.HostMoving, ""
	b.setHosts(moving)
	check(t, "crashes", 0, len(b.entries["j"].Task(work.Task{Job: "j"}).Crashes))
}

// Guards against announcements that don't name the worker that an order ends, also once the cloud no longer lists it.
func TestAnnouncedOrdersNameTheWorker(t *testing.T) {
	b := newTestbed(t, 1)
	b.setHosts(upHosts(1))
	h := b.s.hosts["h0"]
	b.s.drain(h, hostPlan{wave: 1}, b.now)
	b.s.queueHostOrder(h, b.now)
	want := []ledger.Change{{Kind: ledger.HostOrdered, Worker: "h0", Live: []ledger.LiveAttempt{{Worker: "w0"}}}}
	changes, _ := b.s.TakePending()
	check(t, "announcement", want, changes)
	list := upHosts(1)
	list[0].State, list[0].Worker = work.HostMaintenance, ""
	b.setHosts(list)
	check(t, "announcement in a compacted log", want, b.s.RestateHosts(b.now))
	b.s.queueHostOrder(h, b.now)
	changes, _ = b.s.TakePending()
	check(t, "announcement of the repeated order", want, changes)
}
