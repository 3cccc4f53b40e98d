package schedule

import (
	"fmt"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// work lets every run make progress for some time, at a speed of its worker and job, in parts of its estimate, and ends
// those that are done. It returns how long it took until nothing ran and nothing waited, or the whole time.
func (b *bench) work(most time.Duration, speed func(id work.WorkerID, job fleet.JobID) float64) time.Duration {
	const tick = 100 * time.Millisecond
	done := map[work.Attempt]float64{}
	for at := time.Duration(0); at < most; at += tick {
		b.step()
		busy := b.s.Jobs() > 0
		for id, runs := range b.runs {
			for a := range runs {
				step := b.book[a.Job].Job.Steps[a.Step]
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

	return most
}

func newWorkBench(t *testing.T, workers int) *bench {
	t.Helper()
	b := newBench(t, workers)
	b.percent = map[work.Attempt]int{}

	return b
}

// Tasks on some workers stand still for seconds (both sites), or go six times slower: they go on elsewhere and are done
// within their objective, 1.6 times the work and 0.6 s, and a while for what was done in vain.
func TestSlowWorkers(t *testing.T) {
	for _, slow := range []float64{0, 0.15} {
		t.Run(fmt.Sprint("speed ", slow), func(t *testing.T) {
			b := newWorkBench(t, 3)
			for i := range 4 {
				b.submit(fleet.JobID(fmt.Sprint("j", i)), work.Step{Count: 4, Size: size(1000), Estimate: time.Second})
			}
			took := b.work(10*time.Second, func(id work.WorkerID, _ fleet.JobID) float64 {
				if id == "w0" {
					return slow
				}

				return 1
			})
			if most := 3 * time.Second; took > most {
				t.Errorf("all jobs were done after %s, want %s", took, most)
			}
		})
	}
}

// A task that is slow wherever it runs (jobs that take far longer than they say) moves once at most, and costs no worker.
func TestLongJobStays(t *testing.T) {
	b := newWorkBench(t, 3)
	b.submit("long", work.Step{Count: 4, Size: size(1000), Estimate: 200 * time.Millisecond})
	b.submit("other", work.Step{Count: 4, Size: size(1000), Estimate: time.Second})
	b.work(10*time.Second, func(_ work.WorkerID, job fleet.JobID) float64 {
		if job == "long" {
			return 0.1
		}

		return 1
	})
	check(t, "state of the long job", ledger.Completed, b.book["long"].State())
	for i := range 4 {
		if n := b.book["long"].Task(work.Task{Job: "long", Index: i}).Attempts; n > 2 {
			t.Errorf("task %d was started %d times", i, n)
		}
	}
	for _, d := range b.seen {
		if d.What == DecidedWorkerSlow {
			t.Errorf("worker %s was taken for slow: %s", d.Worker, d.Reason)
		}
	}
}

// A run that goes on from a checkpoint stands still while it is restored.
func TestRestoringIsNoStandstill(t *testing.T) {
	b := newWorkBench(t, 2)
	b.submit("j", work.Step{Count: 1, Size: size(1000), Estimate: 2 * time.Second, Checkpointing: true})
	b.settle()
	for id, runs := range b.runs {
		for a := range runs {
			b.saved = map[work.Attempt]string{a: "half"}
			b.end(id, a, work.OutcomeLapsed)
		}
	}
	began := b.now
	b.work(6*time.Second, func(work.WorkerID, fleet.JobID) float64 {
		if b.now.Sub(began) < 900*time.Millisecond {
			return 0
		}

		return 1
	})
	check(t, "attempts", 2, b.book["j"].Task(work.Task{Job: "j"}).Attempts)
}
