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
	b.s.SetOrdered(map[fleet.HostName]ledger.HostOrder{"h0": {By: "other"}}, "self", b.now)
	b.settle()
	moving := upHosts(1)
	moving[0].State, moving[0].Worker = work.HostMoving, ""
	b.setHosts(moving)
	check(t, "crashes", 0, len(b.entries["j"].Task(work.Task{Job: "j"}).Crashes))
}
