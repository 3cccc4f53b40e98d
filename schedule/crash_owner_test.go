package schedule

import (
	"fmt"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// A new owner once started other tasks at once beside an isolated one, so that a sound lasting job was given up for the crash
// that one of them caused.
func TestIsolationOutlivesTheOwner(t *testing.T) {
	for _, width := range []int{1, 2} {
		for _, compact := range []bool{false, true} {
			for _, delay := range crashDelays[:3] {
				t.Run(fmt.Sprintf("%d tasks, compacted %t, after %s", width, compact, delay), func(t *testing.T) {
					b := newCrashbed(t)
					b.poisonFirst(delay)
					b.submit("lasting", work.Step{Count: width, Size: taskSize, Lasting: true})
					b.pass(200 * time.Millisecond)
					for i := range failAfterLastingCrashes - 1 {
						b.crashUnder("lasting", width, i)
						b.pass(200 * time.Millisecond)
					}
					b.replaceOwner(1, compact)
					b.submit("poison", work.Step{Count: 1, Size: taskSize})
					b.until(30*time.Second, func() bool { return b.state("poison") == ledger.Failed })
					b.pass(2 * time.Second)
					check(t, "state of the crashing job", ledger.Failed, b.state("poison"))
					check(t, "state of the lasting job", ledger.InProgress, b.state("lasting"))
					check(t, "lasting tasks that run", width, b.runningOf("lasting"))
					if got := b.crashesBy("poison"); got > maxCrashes {
						t.Errorf("%d crashes, at most %d are allowed", got, maxCrashes)
					}
				})
			}
		}
	}
}

// Guards against a sound job that is given up since the previous owner had isolated its task, one after the other, on the same
// worker as the one that crashes it.
func TestSeveralIsolatedOfPreviousOwner(t *testing.T) {
	b := newCrashbed(t)
	for _, id := range []fleet.JobID{"a", "b"} {
		b.submit(id, work.Step{Count: 1, Size: taskSize})
	}
	b.pass(time.Second)
	for n := range failAfterCrashesAlone {
		b.record("a", ledger.Change{Kind: ledger.TaskCrashed, Attempt: attemptOf("a", 1), Worker: "gone", Life: work.Life(n + 1)})
		b.record("b", ledger.Change{Kind: ledger.TaskCrashed, Attempt: attemptOf("b", 1), Worker: "gone", Life: work.Life(n + 1)})
	}
	b.poison = func(a work.Attempt) time.Duration {
		switch {
		case a.Job != "b":
			return never
		case a.Number == 1:
			return 2 * time.Second
		default:
			return 500 * time.Millisecond
		}
	}
	b.step()
	b.changeOwner()
	b.until(30*time.Second, func() bool { return b.state("b") == ledger.Failed })
	b.pass(time.Second)
	check(t, "state of the crashing job", ledger.Failed, b.state("b"))
	check(t, "state of the sound job", ledger.InProgress, b.state("a"))
	check(t, "crashes", 2, len(b.crashes))
}

// attemptOf returns an attempt of a job's first task.
func attemptOf(id fleet.JobID, number int) work.Attempt {
	return work.Attempt{Task: work.Task{Job: id}, Number: number}
}

// record adds a change to the ledger, as the owner stores it.
func (b *crashbed) record(id fleet.JobID, c ledger.Change) {
	b.s.record(b.entries[id], c)
}
