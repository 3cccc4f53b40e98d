package schedule

import (
	"fmt"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// Sound jobs were given up, and the task that crashes its workers was started three times more after three crashes, where it does
// so later than an isolation lasts: the crash counted against a sound task that was isolated beside it.
func TestTaskThatCrashesAfterItsIsolation(t *testing.T) {
	for _, delay := range []time.Duration{2500 * time.Millisecond, 3500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			b := newCrashbed(t)
			b.poisonFirst(delay)
			b.submit("poison", work.Step{Count: 1, Size: taskSize})
			var sound []fleet.JobID
			b.until(60*time.Second, func() bool {
				sound = append(sound, fleet.JobID(fmt.Sprintf("sound%03d", len(sound))))
				b.submit(sound[len(sound)-1], work.Step{Count: 1, Size: size(300)})

				return b.state("poison") == ledger.Failed
			})
			check(t, "state of the job", ledger.Failed, b.state("poison"))
			if got := b.crashesBy("poison"); got > failAfterLateCrashes {
				t.Errorf("%d crashes, at most %d are allowed", got, failAfterLateCrashes)
			}
			for _, id := range sound {
				if b.state(id) == ledger.Failed {
					t.Errorf("%s was given up", id)
				}
			}
		})
	}
}

// Guards against a suspected task that doesn't start again for as long as all workers of its pool run suspected tasks that had
// lasted for long when their workers crashed.
func TestIsolationAmongLongTrials(t *testing.T) {
	b := newTestbed(t, 2)
	b.submit("long", work.Step{Count: 2, Size: size(12000)})
	b.settle()
	for i := range 2 {
		b.s.jobs["long"].suspect(work.Task{Job: "long", Index: i}).age = time.Minute
	}
	b.submit("suspect", work.Step{Count: 1, Size: size(1000)})
	j, task := b.s.jobs["suspect"], work.Task{Job: "suspect"}
	for n, id := range []work.WorkerID{"a", "b"} {
		a := work.Attempt{Task: task, Number: n + 1}
		j.entry.Apply(ledger.Change{Kind: ledger.Assigned, Attempt: a, Worker: id, Life: 1})
		j.entry.Apply(ledger.Change{Kind: ledger.TaskCrashed, Attempt: a, Worker: id, Life: 1})
		j.entry.Apply(ledger.Change{Kind: ledger.Ended, Attempt: a, Worker: id, Life: 1, Outcome: work.OutcomeLapsed})
	}
	j.suspect(task).isolate = true
	b.step()
	check(t, "running beside the trials", 0, b.runningOf("suspect"))
	for end := b.now.Add(maxTrialWait + maxIsolation); b.now.Before(end) && b.runningOf("suspect") == 0; {
		b.step()
	}
	check(t, "running after the wait", 1, b.runningOf("suspect"))
}

// A lasting task that crashes its workers later than an isolation lasts was cleared by each isolation, and started again for
// ever.
func TestLastingTaskThatCrashesLate(t *testing.T) {
	b := newCrashbed(t)
	b.poisonFirst(3500 * time.Millisecond)
	b.submit("poison", work.Step{Count: 1, Size: taskSize, Lasting: true})
	b.until(2*time.Minute, func() bool { return b.state("poison") == ledger.Failed })
	check(t, "state of the job", ledger.Failed, b.state("poison"))
	if got := b.crashesBy("poison"); got > failAfterLateCrashes {
		t.Errorf("%d crashes, at most %d are allowed", got, failAfterLateCrashes)
	}
}

// Guards against a sound lasting task that is given up because workers crashed by chance while it was alone on them.
func TestLastingTaskAloneAmongChanceCrashes(t *testing.T) {
	tests := []struct {
		name string
		ages []time.Duration
	}{
		{"irregular", []time.Duration{3 * time.Second, 5 * time.Second, 7 * time.Second, 3 * time.Second, 5 * time.Second, 7 * time.Second}},
		{"regular but old", []time.Duration{12 * time.Second, 12 * time.Second, 12 * time.Second, 12 * time.Second, 12 * time.Second, 12 * time.Second}},
		{"fewer than the limit, then a long run", []time.Duration{
			4 * time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second, 20 * time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second,
		}},
		{"fewer than the limit, then another age", []time.Duration{
			4 * time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second, 9 * time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newCrashbed(t)
			b.submit("lasting", work.Step{Count: 1, Size: taskSize, Lasting: true})
			for i, age := range tt.ages {
				b.pass(age)
				b.crashUnder("lasting", 1, i)
			}
			check(t, "state", ledger.InProgress, b.state("lasting"))
		})
	}
}
