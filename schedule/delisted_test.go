package schedule

import (
	"testing"

	"lycheehook.example/lycheehook/work"
)

// A worker that started again under its ID got no tasks until the next list of hosts, which is read only every five seconds once
// no run is left on a silent worker.
func TestRestartedWorkerIsUsedBeforeTheNextList(t *testing.T) {
	b := newTestbed(t, 1)
	b.setHosts(upHosts(1))
	b.submit("j", work.Step{Count: 1, Size: size(1000)})
	b.settle()
	b.unreachable["w0"] = true
	for range 20 {
		b.step()
	}
	down := upHosts(1)
	down[0].State, down[0].Worker = work.HostDown, ""
	b.setHosts(down)
	check(t, "the list is read often", false, b.s.HostsAway() || b.s.HostsSilent())
	clear(b.runs["w0"])
	delete(b.unreachable, "w0")
	b.register("w0", 2)
	for range 30 {
		b.step()
	}
	check(t, "running 3 s after the registration", 1, b.running())
}
