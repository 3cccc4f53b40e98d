package ledger_test

import (
	"context"
	"errors"
	"io"
	"strings"
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

// putDamaged stores a batch that can't be decoded.
func putDamaged(t *testing.T, c *store.Client, n uint64) {
	t.Helper()
	if _, err := c.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: ledger.LogKey(n), Value: []byte{0xff}}}}); err != nil {
		t.Fatal(err)
	}
}

// doneSnapshots returns the changes by which a compaction restates that both tasks of a job are done.
func doneSnapshots(id fleet.JobID) []ledger.Change {
	var list []ledger.Change
	for i := range 2 {
		list = append(list, ledger.Change{
			Kind: ledger.TaskSnapshot, Attempt: work.Attempt{Task: work.Task{Job: id, Index: i}, Number: 1}, Done: true,
		})
	}

	return list
}

// Guards against a damaged batch of the log that is passed over as if it were the end of the log, or that keeps the log from
// being read after a compaction has made it obsolete.
func TestReadDamagedLog(t *testing.T) {
	for _, tt := range []struct {
		name string
		// batches is the number of batches after the damaged one, the last of which says that the log reproduces the state from
		// batch mark on if that is not zero.
		batches, mark uint64
		want          error
	}{
		{"last batch", 0, 0, ledger.ErrDamaged},
		{"before other batches", 3, 0, ledger.ErrDamaged},
		{"compacted from an earlier batch", 3, 2, ledger.ErrDamaged},
		{"compacted from a later batch", 3, 5, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := standin.NewStore().Client()
			putJob(t, c, "j")
			putBatch(t, c, ledger.Batch{Number: 2})
			putDamaged(t, c, 3)
			for n := range tt.batches {
				b := ledger.Batch{Number: 4 + n}
				if n == 1 {
					b.Changes = doneSnapshots("j")
				}
				if n+1 == tt.batches && tt.mark > 0 {
					b.Changes = []ledger.Change{{Kind: ledger.Compacted, Life: work.Life(tt.mark)}}
				}
				putBatch(t, c, b)
			}
			b, _, err := ledger.Read(t.Context(), c)
			if !errors.Is(err, tt.want) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
			if tt.want != nil {
				check(t, "the error names the record", true, strings.Contains(err.Error(), ledger.LogKey(3)))
				return
			}
			state, _ := b.Status("j")
			check(t, "state", ledger.Completed, state)
			first, next := b.Batches()
			check(t, "batches", [2]uint64{2, 7}, [2]uint64{first, next})
		})
	}
}

// Guards against a host that never follows the log again after a damaged batch, while other changes keep it from a full read,
// and against one that learns of no jobs meanwhile.
func TestFollowDamagedLog(t *testing.T) {
	for _, busy := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := standin.NewStore().Client()
			putJob(t, c, "j")
			putBatch(t, c, ledger.Batch{Number: 0})
			f := ledger.NewFollower(c, log.New(io.Discard))
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); f.Run(ctx) }()
			pass := func(seconds int) {
				for range 10 * seconds {
					time.Sleep(100 * time.Millisecond)
					if busy {
						put(t, c, ledger.OwnerKey, ledger.Owner{Host: "e1"})
					}
				}
			}
			pass(1)
			putDamaged(t, c, 1)
			pass(1)
			if _, err := f.Copy(ctx, 0); !errors.Is(err, ledger.ErrDamaged) {
				t.Errorf("copy while the log is damaged: %v", err)
			}
			pass(8)
			putJob(t, c, "k")
			pass(2)
			_, known := f.Replica().Status("k")
			check(t, "a new job is known while the log is damaged", true, known)

			putBatch(t, c, ledger.Batch{Number: 2, Changes: doneSnapshots("j")})
			putBatch(t, c, ledger.Batch{Number: 3, Changes: []ledger.Change{{Kind: ledger.Compacted, Life: 2}}})
			pass(6)
			state, _ := f.Replica().Status("j")
			check(t, "state after the compaction", ledger.Completed, state)
			cancel()
			<-done
		})
	}
}

// countReads returns a client that counts full reads of the ledger.
func countReads(c *store.Client, reads *int) *store.Client {
	counting := *c
	counting.List = func(ctx context.Context, prefix string) (store.Listing, error) {
		if prefix == ledger.Prefix {
			*reads++
		}

		return c.List(ctx, prefix)
	}

	return &counting
}

// Guards against a host that starts while the log is damaged and reads all of it without a pause, knows no owner, or does not
// read it once it has been compacted.
func TestStartWithDamagedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := standin.NewStore().Client()
		putJob(t, c, "j")
		putDamaged(t, c, 0)
		putBatch(t, c, ledger.Batch{Number: 1, Changes: doneSnapshots("j")})
		reads := 0
		counting := countReads(c, &reads)
		f := ledger.NewFollower(counting, log.New(io.Discard))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(time.Second)
		put(t, c, ledger.OwnerKey, ledger.Owner{Host: "e1"})
		time.Sleep(10 * time.Second)
		o, _ := f.Replica().Owner()
		check(t, "owner", ledger.Owner{Host: "e1"}, o)
		check(t, "at most one full read in two seconds", true, reads <= 5)

		putBatch(t, c, ledger.Batch{Number: 2, Changes: []ledger.Change{{Kind: ledger.Compacted, Life: 1}}})
		time.Sleep(6 * time.Second)
		state, _ := f.Replica().Status("j")
		check(t, "state after the compaction", ledger.Completed, state)
		cancel()
		<-done
	})
}
