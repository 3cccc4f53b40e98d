package ledger_test

import (
	"testing"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// Crashes that a compaction drops, or counts twice when changes are repeated after a snapshot, make the next owner start a
// crashing task once more or give up a sound one.
func TestCrashesInLedger(t *testing.T) {
	job := sampleJob("j")
	at := func(index, number int) work.Attempt {
		return work.Attempt{Task: work.Task{Job: "j", Index: index}, Number: number}
	}
	crash := func(index, number int, w work.WorkerID) ledger.Change {
		return ledger.Change{Kind: ledger.TaskCrashed, Attempt: at(index, number), Worker: w, Life: 7}
	}
	clearing := func(index int, w work.WorkerID) ledger.Change {
		return ledger.Change{Kind: ledger.CrashCleared, Attempt: at(index, 0), Worker: w, Life: 7}
	}
	assigned := []ledger.Change{
		{Kind: ledger.Assigned, Attempt: at(0, 1), Worker: "w0", Life: 7}, {Kind: ledger.Assigned, Attempt: at(1, 1), Worker: "w0", Life: 7},
	}
	tests := []struct {
		name    string
		changes []ledger.Change
		want    map[int][]ledger.Crash
	}{
		{"none", nil, map[int][]ledger.Crash{}},
		{"two tasks on one worker", []ledger.Change{crash(0, 1, "w0"), crash(1, 1, "w0")}, map[int][]ledger.Crash{0: {{1, "w0", 7}}, 1: {{1, "w0", 7}}}},
		{"two workers", []ledger.Change{crash(0, 1, "w0"), crash(0, 2, "w1")}, map[int][]ledger.Crash{0: {{1, "w0", 7}, {2, "w1", 7}}}},
		{"repeated", []ledger.Change{crash(0, 1, "w0"), crash(0, 1, "w0")}, map[int][]ledger.Crash{0: {{1, "w0", 7}}}},
		{"one cleared", []ledger.Change{crash(0, 1, "w0"), crash(0, 2, "w1"), clearing(0, "w0")}, map[int][]ledger.Crash{0: {{2, "w1", 7}}}},
		{"all cleared", []ledger.Change{crash(0, 1, "w0"), clearing(0, "w0")}, map[int][]ledger.Crash{}},
		{"other incarnation cleared", []ledger.Change{
			crash(0, 1, "w0"), {Kind: ledger.CrashCleared, Attempt: at(0, 0), Worker: "w0", Life: 8},
		}, map[int][]ledger.Crash{0: {{1, "w0", 7}}}},
		{"no such task", []ledger.Change{crash(9, 1, "w0")}, map[int][]ledger.Crash{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := ledger.NewEntry(job, 1)
			apply(e, assigned, tt.changes)
			check(t, "crashes", tt.want, crashesOf(e))
			check(t, "crashes of a clone", tt.want, crashesOf(e.Clone()))

			restored := ledger.NewEntry(job, 1)
			for position, done := 0, false; !done; done = position == 0 {
				var changes []ledger.Change
				changes, position = e.RestateFrom(position, 1)
				apply(restored, changes)
			}
			check(t, "crashes from snapshots", tt.want, crashesOf(restored))
			apply(restored, tt.changes)
			check(t, "crashes from snapshots and repeated changes", tt.want, crashesOf(restored))
		})
	}
}

func apply(e *ledger.Entry, lists ...[]ledger.Change) {
	for _, changes := range lists {
		for _, c := range changes {
			e.Apply(c)
		}
	}
}

func crashesOf(e *ledger.Entry) map[int][]ledger.Crash {
	all := map[int][]ledger.Crash{}
	for t, crashes := range e.Crashes {
		all[t.Index] = crashes
	}

	return all
}
