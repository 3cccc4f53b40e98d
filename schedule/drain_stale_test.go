package schedule

import (
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// Guards against a lasting task that is stopped for a drain although the host on which room is kept for it has begun to drain too.
func TestDestinationDrainsToo(t *testing.T) {
	b := newTestbed(t, 2)
	b.setHosts(upHosts(2))
	b.s.workers["w1"].cordoned = true
	b.submit("l", work.Step{Count: 2, Size: size(2000), Lasting: true, MaxAway: 1})
	b.settle()
	b.s.workers["w0"].cordoned, b.s.workers["w1"].cordoned = true, false
	b.submit("j", work.Step{Count: 1, Size: size(8000), Estimate: time.Minute})
	b.settle()
	b.s.markCordons()
	check(t, "running on the hosts", []int{2, 1}, []int{len(b.runs["w0"]), len(b.runs["w1"])})

	b.s.SetWave(work.WaveOrder{Number: 1, Hosts: []fleet.HostName{"h0", "h1"}, MaxDown: 2, Duration: time.Second}, b.now)
	least := 2
	for end := b.now.Add(4 * time.Second); b.now.Before(end); b.step() {
		b.s.HostOrders(b.now)
		least = min(least, b.lastingRunning())
	}
	check(t, "least running without room elsewhere", 2, least)
}
