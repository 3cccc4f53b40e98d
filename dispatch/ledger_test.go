package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/owner"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

// Guards against a new owner that reads the whole ledger a second time beside the follower's first read, which takes seconds on a
// slow link.
func TestOwnerWaitsForTheFirstRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		slow := *s.Client()
		var reads atomic.Int64
		slow.List = func(ctx context.Context, prefix string) (store.Listing, error) {
			if prefix == ledger.Prefix {
				reads.Add(1)
				time.Sleep(readTimeout - time.Second)
			}

			return s.Client().List(ctx, prefix)
		}
		began := make(chan time.Time, 1)
		runCandidate(ctx, &slow, ledger.Host{Name: "a", PeerAddress: "a"}, func(ctx context.Context, d *Dispatcher, tm *owner.Term) {
			began <- time.Now()
			d.Serve(ctx, tm)
		})
		start := time.Now()
		time.Sleep(readTimeout - 500*time.Millisecond)
		if took := (<-began).Sub(start); took > time.Second {
			t.Errorf("the term began after %s, with the read nearly over", took)
		}
		if n := reads.Load(); n != 1 {
			t.Errorf("%d reads of the whole ledger, want 1", n)
		}
		cancel()
		synctest.Wait()
		time.Sleep(10 * time.Second)
	})
}

// Guards against an owner that goes on reading the ledger after its term has ended, and so does not bid for the next one.
func TestReadOfTheLedgerEndsWithTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		var lapsed atomic.Bool
		blind := withoutLedger(s.Client())
		blind.KeepAlive = func(ctx context.Context, id store.LeaseID) error {
			if lapsed.Load() {
				return store.ErrLeaseLapsed
			}

			return s.Client().KeepAlive(ctx, id)
		}
		first, returned := make(chan *owner.Term, 1), make(chan time.Time, 1)
		runCandidate(ctx, blind, ledger.Host{Name: "a", PeerAddress: "a"}, func(ctx context.Context, d *Dispatcher, tm *owner.Term) {
			select {
			case first <- tm:
				d.Serve(ctx, tm)
				returned <- time.Now()
			default:
				<-ctx.Done()
			}
		})
		time.Sleep(readTimeout + 2*time.Second)
		lapsed.Store(true)
		tm := <-first
		first <- tm
		for !tm.Ended() {
			time.Sleep(time.Millisecond)
		}
		ended := time.Now()
		if late := (<-returned).Sub(ended); late > retryPause {
			t.Errorf("reads the ledger for %s after the end of its term", late)
		}
		cancel()
		synctest.Wait()
		time.Sleep(10 * time.Second)
	})
}

// Guards against a term that ends since the store takes no writes of any host for longer than a host may need for a batch, and
// whose lease is valid again afterwards, since a store that is down expires no leases.
func TestTermOutlastsTheStoreBeingDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		var isDown atomic.Bool
		c := *s.Client()
		c.Commit = func(ctx context.Context, x store.Txn) (uint64, error) {
			if isDown.Load() {
				return 0, store.ErrUnavailable
			}

			return s.Client().Commit(ctx, x)
		}
		c.KeepAlive = func(ctx context.Context, id store.LeaseID) error {
			if err := s.Client().KeepAlive(ctx, id); err != nil || !isDown.Load() {
				return err
			}

			return store.ErrUnavailable
		}
		var terms, starts atomic.Int64
		runCandidate(ctx, &c, ledger.Host{Name: "a", PeerAddress: "a"}, func(ctx context.Context, d *Dispatcher, tm *owner.Term) {
			terms.Add(1)
			addWorker(d, &starts)
			d.Serve(ctx, tm)
		})
		time.Sleep(2 * time.Second)
		isDown.Store(true)
		putJob(t, s, "00000000000000a1")
		time.Sleep(2 * maxAppendTime)
		isDown.Store(false)
		time.Sleep(3400 * time.Millisecond)
		if terms.Load() != 1 || starts.Load() != 1 {
			t.Errorf("%d terms and %d starts of the job, want 1 of each", terms.Load(), starts.Load())
		}
		cancel()
		synctest.Wait()
		time.Sleep(10 * time.Second)
	})
}
