package schedule

import (
	"testing"

	"lycheehook.example/lycheehook/work"
)

// A worker started no more tasks for as long as a lasting task ran there that had been isolated after a crash that then proved
// to be a cut link.
func TestIsolationEndsWhenItsCrashIsWithdrawn(t *testing.T) {
	const workers = 4
	b := newTestbed(t, workers)
	b.settle()
	b.submit("lasting", work.Step{Count: 1, Size: size(1000), Lasting: true})
	b.step()
	var cut work.WorkerID
	for id, runs := range b.runs {
		if len(runs) > 0 {
			cut = id
		}
	}
	b.unreachable[cut] = true
	b.s.Deregister(cut)
	for range 100 {
		if b.step(); b.running() > 1 {
			break
		}
	}
	check(t, "running, with the one whose lease ends", 2, b.running())
	clear(b.runs[cut])
	delete(b.unreachable, cut)
	b.s.Register(b.regs[cut], b.now)
	for range 50 {
		b.step()
	}
	b.submit("batch", work.Step{Count: workers, Size: size(15000)})
	b.settle()
	check(t, "running beside the lasting task", workers+1, b.running())
}
