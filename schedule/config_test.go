package schedule

import (
	"testing"

	"lycheehook.example/lycheehook/work"
)

// Guards against an owner that starts a job of a queue that its own configuration does not have yet, and then refuses the
// callers of that queue by that older configuration (CONFIG).
func TestJobAwaitsConfigOfItsAcceptance(t *testing.T) {
	b := newTestbed(t, 2)
	config := testConfig
	config.Revision = 10
	b.s.SetConfig(config)
	b.s.AddJob(work.Job{
		ID: "new", Queue: "added", Pool: testPool, ConfigRevision: 11, Submitted: b.now,
		Steps: []work.Step{{Count: 1, Size: size(100)}},
	}, 1, b.now)
	b.s.AddJob(work.Job{
		ID: "old", Queue: "q", Pool: testPool, ConfigRevision: 10, Submitted: b.now, Steps: []work.Step{{Count: 1, Size: size(100)}},
	}, 2, b.now)
	b.settle()
	check(t, "runs before the configuration", []int{0, 1}, []int{b.runningOf("new"), b.runningOf("old")})
	config.Revision = 11
	b.s.SetConfig(config)
	b.settle()
	check(t, "runs under the configuration", 1, b.runningOf("new"))
}
