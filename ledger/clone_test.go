package ledger_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

// Guards against an owner that changes the crashes of a task in the follower's replica when it clears one of them in its copy.
func TestCrashesOfACopy(t *testing.T) {
	a := work.Attempt{Task: work.Task{Job: "j"}, Number: 1}
	e := ledger.NewEntry(sampleJob("j"), 1)
	for _, id := range []work.WorkerID{"v", "w"} {
		e.Apply(ledger.Change{Kind: ledger.TaskCrashed, Attempt: a, Worker: id, Life: 7})
	}
	e.Clone().Apply(ledger.Change{Kind: ledger.CrashCleared, Attempt: a, Worker: "v", Life: 7})
	check(t, "crashes", []ledger.Crash{{Number: 1, Worker: "v", Life: 7}, {Number: 1, Worker: "w", Life: 7}}, e.Task(a.Task).Crashes)
}

// Guards against a host that counts as present after its record is gone, and against a copy without the revisions of the records.
func TestHostRevisions(t *testing.T) {
	b := ledger.NewReplica()
	for i, name := range []fleet.EntryName{"e1", "e2"} {
		value, err := ledger.Encode(ledger.Host{Name: name})
		if err != nil {
			t.Fatal(err)
		}
		if err := b.ApplyEvent(store.Event{Record: store.Record{Key: ledger.HostPrefix + string(name), Value: value, Revision: uint64(i + 1)}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := b.ApplyEvent(store.Event{Deleted: true, Record: store.Record{Key: ledger.HostPrefix + "e1"}}); err != nil {
		t.Fatal(err)
	}
	want := map[fleet.EntryName]uint64{"e2": 2}
	check(t, "revisions", want, b.HostRevisions())
	c, err := b.Clone()
	if err != nil {
		t.Fatal(err)
	}
	check(t, "revisions in a copy", want, c.HostRevisions())
}

// Guards against a follower that replaces the entry hosts of a quick full read by those that it knew before.
func TestHostsAfterAQuickRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := standin.NewStore().Client()
		put(t, c, ledger.HostPrefix+"e1", ledger.Host{Name: "e1"})
		unwatched := *c
		unwatched.Watch = func(context.Context, string, uint64, time.Duration) (store.Events, error) {
			time.Sleep(time.Second)
			return store.Events{}, store.ErrCompacted
		}
		f := ledger.NewFollower(&unwatched, log.New(io.Discard))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(500 * time.Millisecond)
		put(t, c, ledger.HostPrefix+"e2", ledger.Host{Name: "e2"})
		time.Sleep(3 * time.Second)
		check(t, "hosts", 2, len(f.Replica().Hosts()))
		cancel()
		<-done
	})
}
