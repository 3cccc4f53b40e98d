package dispatch

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/owner"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

// Writes don't wait for the removal of old batches while the store doesn't answer, and the next removal deletes what is left.
// The store stopped answering the owner just after a compaction (Harambee, trouble-1).
func TestWriteDuringRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		c := s.Client()
		silent := true
		client := *c
		client.Commit = func(ctx context.Context, txn store.Txn) (uint64, error) {
			if silent && len(txn.Removes) > 0 {
				<-ctx.Done()
				return 0, store.ErrOutcomeUnknown
			}

			return c.Commit(ctx, txn)
		}
		l := log.New(io.Discard)
		revision := writeOwner(t, c, "self", 0)
		tm := &term{Dispatcher: &Dispatcher{client: &client, log: l}, ownership: &owner.Term{Revision: revision}}
		tm.writer = newLogWriter(&client, ledger.Owner{Host: "self"}, revision, 0, l, func(store.Record) {})
		write := func() {
			if err := tm.writer.append(t.Context(), []ledger.Change{{Kind: ledger.JobFailed}}); err != nil {
				t.Fatal(err)
			}
		}
		compact := func() {
			tm.compaction = &compaction{from: tm.writer.next}
			write()
			tm.finishCompaction(t.Context())
		}
		for range 5 {
			write()
		}
		began := time.Now()
		compact()
		write()
		if waited := time.Since(began); waited > 0 {
			t.Errorf("writes waited %s for the removal", waited)
		}
		time.Sleep(2 * maxWriteTimeout)
		synctest.Wait()

		silent = false
		compact()
		synctest.Wait()
		list, err := c.List(t.Context(), ledger.LogPrefix)
		if err != nil {
			t.Fatal(err)
		}
		var keys []string
		for _, r := range list.Records {
			keys = append(keys, r.Key)
		}
		if diff := cmp.Diff([]string{ledger.LogKey(7)}, keys); diff != "" {
			t.Errorf("remaining batches (-want +got):\n%s", diff)
		}
	})
}

// checkSame compares the entries of a replica with the expected ones.
func checkSame(t *testing.T, want map[fleet.JobID]*ledger.Entry, replica *ledger.Replica) {
	t.Helper()
	for id, e := range want {
		if diff := cmp.Diff(e.Snapshot(), replica.Entries()[id].Snapshot()); diff != "" {
			t.Fatalf("job %s after the compaction (-want +got):\n%s", id, diff)
		}
	}
}

func encodeBatch(t *testing.T, b ledger.Batch) []byte {
	t.Helper()
	value, err := ledger.EncodeBatch(b)
	if err != nil {
		t.Fatal(err)
	}

	return value
}

func appendBatch(t *testing.T, tm *term, changes []ledger.Change) {
	t.Helper()
	if err := tm.writer.append(t.Context(), changes); err != nil {
		t.Fatal(err)
	}
}

// A long log is compacted in parts, each part of limited size in a regular batch, and the remaining log reproduces the same
// state. The log has many jobs, and one job with thousands of tasks (harambee-ledgers-large: 55,000 tasks).
func TestCompactionInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := standin.NewStore().Client()
		l := log.New(io.Discard)
		revision := writeOwner(t, c, "self", 0)
		entries := map[fleet.JobID]*ledger.Entry{}
		for n := range 1200 {
			j := work.Job{ID: fleet.JobID(fmt.Sprintf("%016x", n)), Steps: []work.Step{{Count: 8}}}
			if n == 0 {
				j.Steps = []work.Step{{Count: 1000}, {Count: 2000}}
			}
			value, err := ledger.Encode(j)
			if err != nil {
				t.Fatal(err)
			}
			r, err := c.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: ledger.JobKey(j.ID), Value: value}}})
			if err != nil {
				t.Fatal(err)
			}
			entries[j.ID] = ledger.NewEntry(j, r)
		}
		now := time.Now()
		tm := &term{Dispatcher: &Dispatcher{client: c, log: l}, ownership: &owner.Term{Revision: revision}}
		tm.sched = schedule.New(revision, schedule.Bounds{}, entries, now)
		tm.writer = newLogWriter(c, ledger.Owner{Host: "self"}, revision, 0, l, func(store.Record) {})
		var changes []ledger.Change
		large := entries[fleet.JobID(fmt.Sprintf("%016x", 0))]
		for step, st := range large.Job.Steps {
			for i := range st.Count {
				task := work.Task{Job: large.Job.ID, Step: step, Index: i}
				change := ledger.Change{Kind: ledger.Assigned, Attempt: work.Attempt{Task: task, Number: 1}, Worker: "w", Life: 7}
				large.Apply(change)
				changes = append(changes, change)
			}
		}
		appendBatch(t, tm, changes)
		changes = nil
		for id, e := range entries {
			if e == large {
				continue
			}
			change := ledger.Change{Kind: ledger.Assigned, Attempt: work.Attempt{Task: work.Task{Job: id, Index: 3}, Number: 1}, Worker: "w", Life: 7}
			e.Apply(change)
			if changes = append(changes, change); len(changes) == 3 {
				appendBatch(t, tm, changes)
				changes = nil
			}
		}
		for tm.writer.next < maxBatches {
			appendBatch(t, tm, []ledger.Change{{Kind: ledger.HostOrdered, Worker: "h"}})
		}
		parts := 0
		for last := false; !last; parts++ {
			changes, last = tm.compact(now)
			appendBatch(t, tm, changes)
			if len(changes) > maxSnapshotChanges {
				t.Errorf("%d changes in part %d", len(changes), parts)
			}
		}
		tm.finishCompaction(t.Context())
		synctest.Wait()
		replica, _, err := ledger.Read(t.Context(), c)
		if err != nil {
			t.Fatal(err)
		}
		if first, next := replica.Batches(); first != maxBatches || next != first+uint64(parts) || parts != 9 {
			t.Errorf("the log has batches %d to %d after %d parts", first, next-1, parts)
		}
		checkSame(t, entries, replica)

		// A write of a removed batch that is carried out late doesn't make the log unreadable.
		late := store.Put{Key: ledger.LogKey(7), Value: encodeBatch(t, ledger.Batch{Number: 7})}
		if _, err := c.Commit(t.Context(), store.Txn{Puts: []store.Put{late}}); err != nil {
			t.Fatal(err)
		}
		replica, _, err = ledger.Read(t.Context(), c)
		if err != nil {
			t.Fatal(err)
		}
		checkSame(t, entries, replica)
	})
}

// Guards against an owner that leaves a damaged batch in the log for as long as the log is short, while no other host can read
// it.
func TestDamagedLogIsCompacted(t *testing.T) {
	for _, reread := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := standin.NewStore().Client()
			l := log.New(io.Discard)
			writeOwner(t, c, "self", 0)
			client := *c
			var forgotten atomic.Bool
			client.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Events, error) {
				if forgotten.Load() {
					return store.Events{}, store.ErrCompacted
				}

				return c.Watch(ctx, prefix, after, wait)
			}
			f := ledger.NewFollower(&client, l)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); f.Run(ctx) }()
			tm := &term{Dispatcher: &Dispatcher{client: c, log: l, follower: f}, ownership: &owner.Term{}}
			tm.sched = schedule.New(1, schedule.Bounds{}, map[fleet.JobID]*ledger.Entry{}, time.Now())
			tm.writer = &logWriter{next: 2}
			time.Sleep(time.Second)
			_, before := tm.compact(time.Now())
			forgotten.Store(reread)
			if _, err := c.Commit(ctx, store.Txn{Puts: []store.Put{{Key: ledger.LogKey(0), Value: []byte{0xff}}}}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			_, damaged := tm.compact(time.Now())
			tm.compacted, tm.compaction, tm.writer.next = 2, nil, 4
			_, after := tm.compact(time.Now())
			if diff := cmp.Diff([]bool{false, true, false}, []bool{before, damaged, after}); diff != "" {
				t.Errorf("compacts before a batch is damaged, then, and once that is obsolete (-want +got):\n%s", diff)
			}
			cancel()
			<-done
		})
	}
}
