package schedule

import (
	"fmt"
	"testing"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// endEach ends all runs with the outcomes that outcome returns.
func (b *testbed) endEach(outcome func(id work.WorkerID, a work.Attempt) work.Outcome) {
	for id, runs := range b.runs {
		for a := range runs {
			b.end(id, a, outcome(id, a))
		}
	}
}

// A worker that fails all its runs must exhaust no job's attempts, as each second attempt runs on another worker, and
// must get less than a quarter of the tasks, its share.
func TestWorkerFailsAll(t *testing.T) {
	b := newTestbed(t, 4)
	failed := 0
	for round := range 6 {
		for i := range 1 + 3*(round%2) {
			b.submit(fleet.JobID(fmt.Sprintf("%d-%d", round, i)), work.Step{Count: 1 + 3*i, Size: size(1000)})
		}
		for range 3 {
			b.settle()
			b.endEach(func(id work.WorkerID, _ work.Attempt) work.Outcome {
				if id == "w0" {
					failed++
					return work.OutcomeFailed
				}

				return work.OutcomeDone
			})
		}
		b.settle()
	}
	for id, e := range b.entries {
		if e.State() != ledger.Completed {
			t.Errorf("job %s is %s", id, e.State())
		}
	}
	if failed > 69/4 {
		t.Errorf("%d of 69 tasks began on the worker that fails all", failed)
	}
}

// Jobs that can never succeed, one in twenty for some seconds, fail on one worker after another; this must not
// quarantine any worker.
func TestFailingJobsQuarantineNoWorker(t *testing.T) {
	b := newTestbed(t, 3)
	for round := range 5 {
		poison := fleet.JobID(fmt.Sprint("poison-", round))
		b.submit(poison, work.Step{Count: 8, Size: size(1000)})
		b.submit(fleet.JobID(fmt.Sprint("sound-", round)), work.Step{Count: 8, Size: size(1000)})
		for range 3 {
			b.settle()
			for id, w := range b.s.workers {
				if !w.usable(b.now) {
					t.Fatalf("round %d: worker %s is not usable", round, id)
				}
			}
			b.endEach(func(_ work.WorkerID, a work.Attempt) work.Outcome {
				if a.Job == poison {
					return work.OutcomeFailed
				}

				return work.OutcomeDone
			})
		}
		b.settle()
		check(t, "state of the failing job", ledger.Failed, b.entries[poison].State())
	}
}

// A task is retried on the only worker if there is no other.
func TestOnlyWorkerFails(t *testing.T) {
	b := newTestbed(t, 1)
	b.submit("j", work.Step{Count: 1, Size: size(1000)})
	b.settle()
	b.endAll(work.OutcomeFailed)
	b.settle()
	check(t, "running after a failure", 1, b.running())
}

// A task that failed is retried on the same worker if no other may take it, and otherwise elsewhere. In the
// harambee-ledgers mix of seed 545837265845 two tasks of a step could share a worker, five of them had three workers, and
// one worker was stalled for twelve seconds, so a task had to return to the worker on which it failed.
func TestRetryOnSameWorker(t *testing.T) {
	spread := work.Step{Count: 5, Size: size(2000), Lasting: true, MaxPerWorker: 2}
	tests := []struct {
		name     string
		workers  int
		step     work.Step
		labelled work.WorkerID
		again    bool
	}{
		{"lasting, no other may take it", 3, spread, "", true},
		{"lasting, another may take it", 4, spread, "", false},
		{"one worker has the label", 3, work.Step{Count: 1, Size: size(2000), Label: "l"}, "w1", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestbed(t, tt.workers)
			if tt.labelled != "" {
				r := b.regs[tt.labelled]
				r.Labels = []string{"l"}
				b.regs[tt.labelled] = r
				b.s.Register(r, b.now)
			}
			b.submit("j", tt.step)
			b.settle()
			check(t, "running at first", tt.step.Count, b.running())
			var failedOn work.WorkerID
			for id, runs := range b.runs {
				for a := range runs {
					if len(runs) == 1 && failedOn == "" {
						failedOn = id
						b.end(id, a, work.OutcomeFailed)
					}
				}
			}
			b.settle()
			check(t, "running after a failure", tt.step.Count, b.running())
			check(t, "it runs where it failed", tt.again, len(b.runs[failedOn]) > 0)
		})
	}
}
