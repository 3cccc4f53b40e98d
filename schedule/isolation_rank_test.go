package schedule

import (
	"fmt"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// A task under which two workers had crashed was never started again on a pool's only worker, which was nearly empty, while jobs
// that can still be in time went on arriving, and these waited too.
func TestSuspectedTaskBehindJobsInTime(t *testing.T) {
	b := newTestbed(t, 1)
	e := ledger.NewEntry(work.Job{ID: "suspect", Queue: "q", Pool: testPool, Submitted: b.now, Steps: []work.Step{{Count: 1, Size: size(1000)}}}, 1)
	for n, id := range []work.WorkerID{"a", "b"} {
		a := work.Attempt{Task: work.Task{Job: "suspect"}, Number: n + 1}
		e.Apply(ledger.Change{Kind: ledger.Assigned, Attempt: a, Worker: id, Life: 1})
		e.Apply(ledger.Change{Kind: ledger.TaskCrashed, Attempt: a, Worker: id, Life: 1})
		e.Apply(ledger.Change{Kind: ledger.Ended, Attempt: a, Worker: id, Life: 1, Outcome: work.OutcomeLapsed})
	}
	b.entries["suspect"] = e
	b.now = b.now.Add(10 * time.Second)
	b.takeOver(2)
	const steps, every = 200, 4
	most := 0
	for i := range steps {
		if b.runningOf("suspect") > 0 {
			return
		}
		if i%every == 0 {
			b.submit(fleet.JobID(fmt.Sprintf("sound%03d", i)), work.Step{Count: 1, Size: size(1000), Estimate: time.Second})
		}
		if i%every == every-1 {
			b.endAll(work.OutcomeDone)
		}
		most = max(most, b.running())
		b.step()
	}
	t.Errorf("the task does not run after 20 s, in which at most %d of 16 cores were in use", most)
}

// A search for the reason why a suspected task waits kept a worker free for it, as only a placement may.
func TestSearchKeepsNoWorkerFree(t *testing.T) {
	b := newTestbed(t, 1)
	b.submit("sound", work.Step{Count: 1, Size: size(1000)})
	b.settle()
	b.submit("suspect", work.Step{Count: 1, Size: size(1000)})
	j := b.s.jobs["suspect"]
	for n, id := range []work.WorkerID{"a", "b"} {
		a := work.Attempt{Task: work.Task{Job: "suspect"}, Number: n + 1}
		j.entry.Apply(ledger.Change{Kind: ledger.Assigned, Attempt: a, Worker: id, Life: 1})
		j.entry.Apply(ledger.Change{Kind: ledger.TaskCrashed, Attempt: a, Worker: id, Life: 1})
		j.entry.Apply(ledger.Change{Kind: ledger.Ended, Attempt: a, Worker: id, Life: 1, Outcome: work.OutcomeLapsed})
	}
	j.suspect(work.Task{Job: "suspect"}).isolate = true
	w := b.s.workers["w0"]
	for _, r := range b.s.readySteps(b.now) {
		b.s.refusal(r, b.s.usableWorkers(b.now)[testPool], b.now)
	}
	check(t, "kept free by the search until", time.Time{}, w.isolationDue)
	b.s.Tick()
	b.s.Place(b.now)
	check(t, "kept free by the placement", true, w.isolationDue.After(b.now))
}
