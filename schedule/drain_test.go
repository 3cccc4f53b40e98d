package schedule

import (
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// A host whose maintenance began while the rest of its pool was full of lasting tasks drained for ever: the first of its lasting
// tasks that was stopped found no room, and no other one of the step may be stopped before it runs.
func TestDrainWithoutRoomElsewhere(t *testing.T) {
	b := newTestbed(t, 2)
	var list []work.HostStatus
	for _, n := range []string{"0", "1"} {
		list = append(list, work.HostStatus{
			Host: fleet.HostName("h" + n), Pool: testPool, Worker: work.WorkerID("w" + n), State: work.HostUp, Capacity: fleet.Resources{Cores: 16000, Memory: 32768},
		})
	}
	b.s.SetHosts(list, b.now, b.now)
	b.submit("l", work.Step{Count: 4, Size: size(8000), Lasting: true, MaxAway: 1})
	b.settle()
	check(t, "running before", 4, b.running())
	b.s.SetWave(work.WaveOrder{Number: 1, Hosts: []fleet.HostName{"h0"}, MaxDown: 1, Duration: time.Minute}, b.now)
	ordered := 0
	for range 600 {
		ordered += len(b.s.HostOrders(b.now))
		b.step()
	}
	if ordered == 0 {
		t.Errorf("after a minute no order was given and %d of 4 lasting tasks run", b.running())
	}
}
