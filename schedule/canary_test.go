package schedule

import (
	"testing"
	"time"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// canaryBed returns a testbed with four workers and a job of three tasks under the first two of which a worker each has just
// crashed 300 ms after its start.
func canaryBed(t *testing.T) (*testbed, *job) {
	t.Helper()
	b := newTestbed(t, 4)
	b.settle()
	b.submit("j", work.Step{Count: 3, Size: size(1000)})
	j := b.s.jobs["j"]
	for i, id := range []work.WorkerID{"a", "b"} {
		task := work.Task{Job: "j", Index: i}
		j.entry.Apply(ledger.Change{Kind: ledger.TaskCrashed, Attempt: work.Attempt{Task: task, Number: 1}, Worker: id, Life: 1})
		p := j.suspect(task)
		p.early, p.last, p.age, p.since = true, incarnation{id, 1}, 300*time.Millisecond, b.now
	}
	j.lastCrash = b.now

	return b, j
}

// Guards against tasks of a job that start beside the one that runs ahead of them, and against tasks that wait although that one
// has lasted longer than before.
func TestOneTaskRunsAheadOfItsJob(t *testing.T) {
	b, _ := canaryBed(t)
	b.step()
	check(t, "running at first", 1, b.running())
	for range 3 {
		b.step()
	}
	check(t, "running while it may crash its worker", 1, b.running())
	for range 8 {
		b.step()
	}
	check(t, "running a second later", 3, b.running())
}

// Guards against a job of which no task starts because the one that is to run ahead of them can't, and against one that waits
// after a task has outlived its isolation.
func TestWaitForTheTaskAheadIsBounded(t *testing.T) {
	tests := []struct {
		name    string
		change  func(j *job)
		after   time.Duration
		waiting bool
	}{
		{"at once", func(*job) {}, 0, true},
		{"at the limit", func(*job) {}, 3 * time.Second, true},
		{"beyond the limit", func(*job) {}, 3*time.Second + time.Millisecond, false},
		{"cleared since", func(j *job) { j.cleared = j.lastCrash.Add(time.Second) }, time.Second, false},
		{"crashed since it was cleared", func(j *job) { j.cleared = j.lastCrash.Add(-time.Second) }, time.Second, true},
		{"a single worker", func(j *job) { j.suspicions[work.Task{Job: "j", Index: 1}].last = incarnation{"a", 1} }, 0, false},
		{"worker of which the start was long ago", func(j *job) { j.suspicions[work.Task{Job: "j", Index: 1}].early = false }, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, j := canaryBed(t)
			tt.change(j)
			_, waiting := b.s.canary(j, b.now.Add(tt.after))
			check(t, "the others wait", tt.waiting, waiting)
		})
	}
}

// Guards against a task that is isolated again, or counted as suspected of the failure of a rack, after a run has lasted longer
// than the one that crashed.
func TestOutlivedIsolation(t *testing.T) {
	b, j := canaryBed(t)
	task := work.Task{Job: "j"}
	p := j.suspicions[task]
	p.isolate, p.withRack = true, 1
	check(t, "crashes before", 2, j.crashes(task))
	for range 10 {
		b.step()
	}
	check(t, "isolated", false, j.mustIsolate(task))
	check(t, "crashes after", 1, j.crashes(task))
}

// Guards against a gang of which one member waits to be isolated, while the others wait for it.
func TestGangMembersAreNotIsolated(t *testing.T) {
	b := newTestbed(t, 2)
	b.settle()
	b.submit("j", work.Step{Count: 2, Size: size(1000), Gang: true})
	b.s.jobs["j"].suspect(work.Task{Job: "j"}).isolate = true
	b.settle()
	check(t, "running", 2, b.running())
	for id, w := range b.s.workers {
		if w.isolated != nil {
			t.Errorf("%s is kept free for a gang member", id)
		}
	}
}
