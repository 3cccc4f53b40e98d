package schedule

import (
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// Guards against a host that is out of service, and holds up the other hosts of its wave, for as long as a long task runs on the
// worker to which its lasting tasks are to move.
func TestDrainBehindLongTask(t *testing.T) {
	b := drainBeside(t, work.Step{Count: 1, Size: size(16000), Estimate: time.Hour})

	b.s.SetWave(work.WaveOrder{Number: 1, Hosts: []fleet.HostName{"h0", "h1"}, MaxDown: 1, Duration: 5 * time.Minute}, b.now)
	b.s.HostOrders(b.now)
	b.submit("k", work.Step{Count: 1, Size: size(12000), Estimate: time.Second})
	orders, least := b.drainFor(10 * time.Minute)
	check(t, "orders", 1, len(orders))
	check(t, "least lasting tasks running", 2, least)
	check(t, "state of the host with room", inService, b.s.hosts["h0"].phase)
	check(t, "the other job runs", true, b.running() > 3)
}
