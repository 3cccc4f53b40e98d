package schedule

import (
	"fmt"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// A lasting task was given up because five workers crashed under it within ten seconds, though it had outlived its isolation
// each time and other tasks were the cause.
func TestLastingTaskAmongCrashingJobs(t *testing.T) {
	b := newCrashbed(t)
	b.submit("lasting", work.Step{Count: 4, Size: taskSize, Lasting: true})
	b.pass(2 * time.Second)
	for i := range 12 {
		b.crash(b.workerOf("lasting"))
		if !b.until(4*time.Second, func() bool { return b.runningOf("lasting") == 4 }) {
			t.Errorf("%d of 4 tasks run 4s after crash %d", b.runningOf("lasting"), i+1)
		}
		b.pass(2500 * time.Millisecond)
	}
	check(t, "state", ledger.InProgress, b.state("lasting"))
}

// A lasting task was given up for the crash of a worker on which it had run for seconds, for one that another task caused, and
// for two by chance, since it was isolated then for as long as it had run before the first.
func TestLastingTaskThatOutlivedItsTrial(t *testing.T) {
	b := newCrashbed(t)
	b.submit("lasting", work.Step{Count: 1, Size: taskSize, Lasting: true})
	for i, age := range []time.Duration{8 * time.Second, 100 * time.Millisecond, 700 * time.Millisecond, 700 * time.Millisecond} {
		b.pass(age)
		b.crashUnder("lasting", 1, i)
	}
	b.pass(10 * time.Second)
	check(t, "state", ledger.InProgress, b.state("lasting"))
	check(t, "running", 1, b.runningOf("lasting"))
}

// Guards against a standing service that is given up for a crash that struck by chance while its task was isolated.
func TestLastingTaskWithChanceCrash(t *testing.T) {
	b := newCrashbed(t)
	b.submit("lasting", work.Step{Count: 1, Size: taskSize, Lasting: true})
	b.pass(200 * time.Millisecond)
	for i := range failAfterCrashes {
		b.crashUnder("lasting", 1, i)
	}
	b.pass(10 * time.Second)
	check(t, "state", ledger.InProgress, b.state("lasting"))
	check(t, "running", 1, b.runningOf("lasting"))
}

// Guards against a lasting task that crashes each of its workers and is started for ever.
func TestLastingTaskThatCrashes(t *testing.T) {
	const maxLastingCrashes = 4
	for _, delay := range crashDelays {
		t.Run(fmt.Sprint("after ", delay), func(t *testing.T) {
			b := newCrashbed(t)
			b.poisonFirst(delay)
			sound := b.submitSound(0, 20)
			b.step()
			b.submit("poison", work.Step{Count: 3, Size: taskSize, Lasting: true})
			b.until(40*time.Second, func() bool { return b.state("poison") == ledger.Failed && b.allIn(ledger.Completed, sound) })
			check(t, "state of the job", ledger.Failed, b.state("poison"))
			check(t, "sound jobs completed", true, b.allIn(ledger.Completed, sound))
			if got := b.crashesBy("poison"); got > maxLastingCrashes {
				t.Errorf("%d crashes, at most %d are allowed", got, maxLastingCrashes)
			}
		})
	}
}

// crashUnder crashes the worker of a lasting job, the crash of that number, and waits until its tasks run again.
func (b *crashbed) crashUnder(id fleet.JobID, tasks, number int) {
	b.t.Helper()
	w := b.workerOf(id)
	b.crash(w)
	b.untilListedDown(w)
	if !b.until(4*time.Second, func() bool { return b.runningOf(id) == tasks }) {
		b.t.Errorf("%d of %d tasks run 4s after crash %d", b.runningOf(id), tasks, number+1)
	}
}
