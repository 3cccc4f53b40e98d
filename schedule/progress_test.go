package schedule

import (
	"fmt"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// runFor advances all runs for up to limit, at a speed given by worker and job as a fraction of the estimated speed, and
// ends those that are done. It returns the time until no job was open, or limit.
func (b *testbed) runFor(limit time.Duration, speed func(id work.WorkerID, job fleet.JobID) float64) time.Duration {
	const tick = 100 * time.Millisecond
	done := map[work.Attempt]float64{}
	for at := time.Duration(0); at < limit; at += tick {
		b.step()
		busy := b.s.Jobs() > 0
		for id, runs := range b.runs {
			for a := range runs {
				step := b.entries[a.Job].Job.Steps[a.Step]
				done[a] += speed(id, a.Job) * tick.Seconds() / step.Estimate.Seconds()
				b.percent[a] = min(99, int(100*done[a]))
				if done[a] >= 1 {
					b.end(id, a, work.OutcomeDone)
				}
			}
		}
		if !busy {
			return at
		}
	}

	return limit
}

// newProgressTestbed returns a testbed whose runs report the progress that runFor makes.
func newProgressTestbed(t *testing.T, workers int) *testbed {
	t.Helper()
	b := newTestbed(t, workers)
	b.percent = map[work.Attempt]int{}

	return b
}

// Tasks on some workers stall for seconds or run six times slower than estimated. They must be moved and be done within
// their objective, which is 1.6 times the work and 0.6 s, plus some time for the work that was lost.
func TestSlowWorkers(t *testing.T) {
	for _, slow := range []float64{0, 0.15} {
		t.Run(fmt.Sprint("speed ", slow), func(t *testing.T) {
			b := newProgressTestbed(t, 3)
			for i := range 4 {
				b.submit(fleet.JobID(fmt.Sprint("j", i)), work.Step{Count: 4, Size: size(1000), Estimate: time.Second})
			}
			took := b.runFor(10*time.Second, func(id work.WorkerID, _ fleet.JobID) float64 {
				if id == "w0" {
					return slow
				}

				return 1
			})
			if limit := 3 * time.Second; took > limit {
				t.Errorf("all jobs were done after %s, want %s", took, limit)
			}
		})
	}
}

// A task that is slow on every worker, because its job takes far longer than estimated, is moved at most once and
// quarantines no worker.
func TestLongJobStays(t *testing.T) {
	b := newProgressTestbed(t, 3)
	b.submit("long", work.Step{Count: 4, Size: size(1000), Estimate: 200 * time.Millisecond})
	b.submit("other", work.Step{Count: 4, Size: size(1000), Estimate: time.Second})
	b.runFor(10*time.Second, func(_ work.WorkerID, job fleet.JobID) float64 {
		if job == "long" {
			return 0.1
		}

		return 1
	})
	check(t, "state of the long job", ledger.Completed, b.entries["long"].State())
	for i := range 4 {
		if n := b.entries["long"].Task(work.Task{Job: "long", Index: i}).Attempts; n > 2 {
			t.Errorf("task %d was started %d times", i, n)
		}
	}
	for _, d := range b.decisions {
		if d.Kind == DecidedWorkerSlow {
			t.Errorf("worker %s was taken for slow: %s", d.Worker, d.Reason)
		}
	}
}

// A run that resumes from a checkpoint makes no progress while it is restored; this must not count as a stall.
func TestRestoreIsNotStalled(t *testing.T) {
	b := newProgressTestbed(t, 2)
	b.submit("j", work.Step{Count: 1, Size: size(1000), Estimate: 2 * time.Second, Checkpointing: true})
	b.settle()
	for id, runs := range b.runs {
		for a := range runs {
			b.checkpoints = map[work.Attempt]string{a: "half"}
			b.end(id, a, work.OutcomeLapsed)
		}
	}
	began := b.now
	b.runFor(6*time.Second, func(work.WorkerID, fleet.JobID) float64 {
		if b.now.Sub(began) < 900*time.Millisecond {
			return 0
		}

		return 1
	})
	check(t, "attempts", 2, b.entries["j"].Task(work.Task{Job: "j"}).Attempts)
}
