package schedule

import (
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// A job whose record had been removed after its retention time was started again, if a read of the ledger that had begun before
// the removal told of it afterwards.
func TestExpiredJobIsNotStartedAgain(t *testing.T) {
	const retention = time.Minute
	b := newTestbed(t, 1)
	b.submit("j", work.Step{Count: 1, Size: size(1000)})
	b.settle()
	b.endAll(work.OutcomeDone)
	b.settle()
	b.s.Expired(retention, b.now)
	b.now = b.now.Add(retention)
	check(t, "expired", []fleet.JobID{"j"}, b.s.Expired(retention, b.now))
	b.s.Forget([]fleet.JobID{"j"}, b.now)
	b.submit("j", work.Step{Count: 1, Size: size(1000)})
	b.settle()
	check(t, "running after an older record", 0, b.running())
	check(t, "jobs", 0, b.s.Jobs())

	b.s.AddJob(work.Job{ID: "j", Queue: "q", Pool: testPool, Steps: []work.Step{{Count: 1, Size: size(1000)}}}, 2, b.now)
	b.settle()
	check(t, "running after a new submission under the same ID", 1, b.running())
}

// What is kept of removed jobs is dropped after another retention time.
func TestExpiredJobsAreDropped(t *testing.T) {
	const retention = time.Minute
	b := newTestbed(t, 1)
	b.submit("j", work.Step{Count: 1, Size: size(1000)})
	b.s.Forget([]fleet.JobID{"j"}, b.now)
	b.s.Expired(retention, b.now.Add(retention-time.Second))
	check(t, "kept", 1, len(b.s.removed))
	b.s.Expired(retention, b.now.Add(retention))
	check(t, "kept after the retention time", 0, len(b.s.removed))
}
