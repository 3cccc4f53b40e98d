package schedule

import (
	"testing"
	"time"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// A lasting task was given up because five workers crashed under it within ten seconds, though it had outlived its isolation
// each time and other tasks were the cause.
func TestLastingTaskAmongCrashingJobs(t *testing.T) {
	b := newCrashbed(t)
	b.submit("lasting", work.Step{Count: 4, Size: taskSize, Lasting: true})
	b.pass(2 * time.Second)
	for i := range 12 {
		b.crash(b.workerOf("lasting"))
		if !b.until(4*time.Second, func() bool { return b.runningOf("lasting") == 4 }) {
			t.Errorf("%d of 4 tasks run 4s after crash %d", b.runningOf("lasting"), i+1)
		}
		b.pass(2500 * time.Millisecond)
	}
	check(t, "state", ledger.InProgress, b.state("lasting"))
}
