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
