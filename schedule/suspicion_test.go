package schedule

import (
	"fmt"
	"testing"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// endAll ends all that runs on each worker as outcome says.
func (b *bench) endAll(outcome func(id work.WorkerID, a work.Attempt) work.Outcome) {
	for id, runs := range b.runs {
		for a := range runs {
			b.end(id, a, outcome(id, a))
		}
	}
}

// Workers that fail all that they start (both sites): their failures use up no job's attempts, as each second attempt is
// made elsewhere, and the worker gets less than its part of the tasks, a quarter.
func TestWorkerFailsAll(t *testing.T) {
	b := newBench(t, 4)
	failed := 0
	for round := range 6 {
		for i := range 1 + 3*(round%2) {
			b.submit(fleet.JobID(fmt.Sprintf("%d-%d", round, i)), work.Step{Count: 1 + 3*i, Size: size(1000)})
		}
		for range 3 {
			b.settle()
			b.endAll(func(id work.WorkerID, _ work.Attempt) work.Outcome {
				if id == "w0" {
					failed++
					return work.OutcomeFailed
				}

				return work.OutcomeDone
			})
		}
		b.settle()
	}
	for id, e := range b.book {
		if e.State() != ledger.Completed {
			t.Errorf("job %s is %s", id, e.State())
		}
	}
	if failed > 69/4 {
		t.Errorf("%d of 69 tasks began on the worker that fails all", failed)
	}
}

// Jobs that can never be done (poison, one in twenty for some seconds): their failures follow them from worker to worker and
// leave the workers in use.
func TestPoisonLeavesWorkersAlone(t *testing.T) {
	b := newBench(t, 3)
	for round := range 5 {
		poison := fleet.JobID(fmt.Sprint("poison-", round))
		b.submit(poison, work.Step{Count: 8, Size: size(1000)})
		b.submit(fleet.JobID(fmt.Sprint("sound-", round)), work.Step{Count: 8, Size: size(1000)})
		for range 3 {
			b.settle()
			for id, w := range b.s.workers {
				if !w.usable(b.now) {
					t.Fatalf("round %d: worker %s is left alone", round, id)
				}
			}
			b.endAll(func(_ work.WorkerID, a work.Attempt) work.Outcome {
				if a.Job == poison {
					return work.OutcomeFailed
				}

				return work.OutcomeDone
			})
		}
		b.settle()
		check(t, "the poison job", ledger.Failed, b.book[poison].State())
	}
}

// A task is tried again on the only worker that there is.
func TestOnlyWorkerFails(t *testing.T) {
	b := newBench(t, 1)
	b.submit("j", work.Step{Count: 1, Size: size(1000)})
	b.settle()
	b.finish(work.OutcomeFailed)
	b.settle()
	check(t, "running after a failure", 1, b.running())
}

// A task failed on the only worker that may take it (harambee-ledgers, mix of seed 545837265845: two tasks of a step may
// share a worker, five of them had three workers, and one stood still for twelve seconds): it starts there again, and
// elsewhere where it can.
func TestFailedWhereItMustRun(t *testing.T) {
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
			b := newBench(t, tt.workers)
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
