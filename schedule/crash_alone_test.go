package schedule

import (
	"fmt"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// A task that crashed the worker on which it was isolated once got a third worker, and ended the runs there too, unless it had
// run on an empty one.
func TestCrashInIsolation(t *testing.T) {
	for _, delay := range crashDelays {
		want := failAfterCrashesAlone
		if delay > maxFirstIsolation {
			want = failAfterCrashes
		}
		t.Run(fmt.Sprint("after ", delay), func(t *testing.T) {
			b := newCrashbed(t)
			b.poisonFirst(delay)
			for i := range 2 * crashWorkers {
				b.submit(fleet.JobID(fmt.Sprint("old", i)), work.Step{Count: 1, Size: size(7000)})
			}
			b.pass(time.Second)
			b.submit("poison", work.Step{Count: 1, Size: taskSize})
			b.until(30*time.Second, func() bool { return b.state("poison") == ledger.Failed })
			check(t, "state of the crashing job", ledger.Failed, b.state("poison"))
			check(t, "crashes", want, b.crashesBy("poison"))
			b.pass(8 * time.Second)
			check(t, "runs of the other jobs", 2*crashWorkers, b.running())
		})
	}
}

// Guards against a sound job that is given up since its whole rack crashed while its task was isolated.
func TestRackCrashInIsolation(t *testing.T) {
	b := newCrashbed(t)
	b.submit("j", work.Step{Count: 1, Size: taskSize})
	b.pass(300 * time.Millisecond)
	b.crashUnder("j", 1, 0)
	b.crashRack(b.workerOf("j"))
	b.pass(10 * time.Second)
	check(t, "state", ledger.InProgress, b.state("j"))
	check(t, "running", 1, b.running())
}

// Guards against a sound job that is given up for crashes long after its task started, when others are more likely the cause.
func TestLateCrashesByChance(t *testing.T) {
	b := newCrashbed(t)
	b.submit("j", work.Step{Count: 1, Size: taskSize})
	for i, age := range []time.Duration{500 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		b.pass(age)
		b.crashUnder("j", 1, i)
	}
	b.pass(10 * time.Second)
	check(t, "state", ledger.InProgress, b.state("j"))
	check(t, "running", 1, b.running())
}

// Hosts that were away by an order once counted as crashed with a rack of which two hosts crashed, so that the crashes were
// not kept for the next owner.
func TestOrderedHostsAreNoRackFailure(t *testing.T) {
	for _, state := range []work.HostState{work.HostMoving, work.HostMaintenance} {
		t.Run(fmt.Sprint(state), func(t *testing.T) {
			b := newCrashbed(t)
			b.submit("j", work.Step{Count: 1, Size: taskSize})
			b.pass(300 * time.Millisecond)
			id := b.workerOf("j")
			rack, ordered := b.hostOf(id).Rack, 0
			for _, h := range b.hosts {
				switch {
				case h.Rack != rack || h.Worker == id:
				case ordered < minRackHosts:
					ordered++
					b.terminate(h.Worker, state)
				default:
					b.crash(h.Worker)
				}
			}
			b.crash(id)
			b.untilListedDown(id)
			check(t, "crashes in the ledger", 1, len(b.entries["j"].Task(work.Task{Job: "j"}).Crashes))
		})
	}
}
