package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

// unknownBed is a term whose scheduler has no jobs and whose follower follows the store.
type unknownBed struct {
	*term
	t *testing.T
	s *standin.Store
}

// withUnknownBed runs a scenario in a synctest bubble.
func withUnknownBed(t *testing.T, scenario func(b unknownBed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		l := log.New(io.Discard)
		follower := ledger.NewFollower(s.Client(), l)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); follower.Run(ctx) }()
		d := &Dispatcher{client: s.Client(), follower: follower, log: l, observe: func(schedule.Decision) {}}
		sched := schedule.New(1, schedule.Bounds{}, map[fleet.JobID]*ledger.Entry{}, time.Now())
		scenario(unknownBed{t: t, s: s, term: &term{Dispatcher: d, wake: make(chan struct{}, 1), sched: sched}})
		cancel()
		<-done
	})
}

// Guards against a job that runs twice, since an owner that does not have it takes it up although another owner has started it.
func TestUnknownJobThatHasRun(t *testing.T) {
	withUnknownBed(t, func(b unknownBed) {
		t := b.t
		putJob(t, b.s, "ran")
		putJob(t, b.s, "waits")
		a := work.Attempt{Task: work.Task{Job: "ran"}, Number: 1}
		value, err := ledger.EncodeBatch(ledger.Batch{Changes: []ledger.Change{{Kind: ledger.Assigned, Attempt: a, Worker: "w", Life: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := b.s.Client().Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: ledger.LogKey(0), Value: value}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		got := map[fleet.JobID]bool{}
		for _, id := range []fleet.JobID{"ran", "waits", "removed"} {
			b.addUnknown(t.Context(), id)
			got[id] = b.sched.Has(id)
		}
		if diff := cmp.Diff(map[fleet.JobID]bool{"ran": false, "waits": true, "removed": false}, got); diff != "" {
			t.Errorf("jobs taken up (-want +got):\n%s", diff)
		}
	})
}

// Guards against jobs that count as unknown before their notice has had the time to arrive, and against a search that reads any
// number of jobs from the store.
func TestUnknownJobsAreFoundByAndBy(t *testing.T) {
	withUnknownBed(t, func(b unknownBed) {
		t := b.t
		const jobs = maxUnknownReads + 5
		for i := range jobs {
			putJob(t, b.s, fleet.JobID(fmt.Sprint("j", i)))
		}
		time.Sleep(3 * time.Second)
		now := time.Now()
		type found struct{ Read, Counted int }
		var got []found
		for _, after := range []time.Duration{0, unknownAfter - time.Millisecond, unknownAfter} {
			read := len(b.searchUnknown(now.Add(after)))
			got = append(got, found{read, b.unknownJobs})
		}
		if diff := cmp.Diff([]found{{}, {}, {maxUnknownReads, jobs}}, got); diff != "" {
			t.Errorf("jobs found (-want +got):\n%s", diff)
		}
	})
}

// Guards against a term that ends as soon as its lease is valid again after the store was down for all.
func TestWriteAfterTheLeaseIsValidAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		term := writeOwner(t, s.Client(), "self", 0)
		s.SetFault(standin.FaultDown)
		w := newLogWriter(s.Client(), ledger.Owner{Host: "self"}, term, 0, log.New(io.Discard), func(store.Record) {})
		began := time.Now()
		const down = 2 * maxAppendTime
		w.valid = func() bool { return time.Since(began) > down }
		go func() {
			time.Sleep(down + maxAppendTime/2)
			s.SetFault(standin.FaultNone)
		}()
		if err := w.append(t.Context(), []ledger.Change{{Kind: ledger.JobFailed}}); err != nil {
			t.Errorf("the batch was not written: %v, which ends the term: %t", err, errors.Is(err, errNotWritten))
		}
	})
}
