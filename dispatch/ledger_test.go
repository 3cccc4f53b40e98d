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
