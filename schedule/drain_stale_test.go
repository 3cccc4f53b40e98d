package schedule

import (
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// Guards against a lasting task that is stopped for a drain although the host on which room is kept for it has begun to drain too.
func TestDestinationDrainsToo(t *testing.T) {
	b := drainBeside(t, work.Step{Count: 1, Size: size(8000), Estimate: time.Minute})

	b.s.SetWave(work.WaveOrder{Number: 1, Hosts: []fleet.HostName{"h0", "h1"}, MaxDown: 2, Duration: time.Second}, b.now)
	least := 2
	for end := b.now.Add(4 * time.Second); b.now.Before(end); b.step() {
		b.s.HostOrders(b.now)
		least = min(least, b.lastingRunning())
	}
	check(t, "least running without room elsewhere", 2, least)
}
