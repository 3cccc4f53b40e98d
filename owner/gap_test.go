package owner

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

// Guards against a fleet in which each weak host in turn hands over to a strong one that never bids: handoverInterval bounds the
// handovers of one process, not those of the fleet.
func TestHandoversOfManyWeakHosts(t *testing.T) {
	inStore(t, func(ctx context.Context, s *standin.Store) {
		go NewSession(s.Client(), hostWith("f", 0.8), log.New(io.Discard)).Run(ctx)
		time.Sleep(30 * time.Millisecond)
		var weak []*contender
		for i := range 20 {
			name := fmt.Sprint("a", i)
			weak = append(weak, startContenderOn(ctx, s, hostWith(name, 0.192), "p-"+name))
		}
		const steps = 1200
		without := stepsWithoutOwner(weak, steps)
		if limit := steps * int(2*(deferLimit+leaseTime)/time.Second) / 60; without > limit {
			t.Errorf("no owner in %d of %d steps, want at most %d, as with one weak host", without, steps, limit)
		}
	})
}

// Guards against strong hosts that can't bid after a restart of all hosts within the old owner's lease: they read its record,
// and don't learn of its end before they have read the whole ledger.
func TestRestartWithinTheOldLease(t *testing.T) {
	inStore(t, func(ctx context.Context, s *standin.Store) {
		var off atomic.Bool
		first, kill := context.WithCancel(ctx)
		startContenderWith(first, withPower(s.Client(), &off), hostWith("z", 0.8), "p-z")
		time.Sleep(time.Second)
		off.Store(true)
		kill()
		time.Sleep(500 * time.Millisecond)
		strong := startContenderWith(ctx, withLongLedger(s.Client(), 5*time.Second), hostWith("f", 0.8), "p-f")
		for i := range 4 {
			name := fmt.Sprint("a", i)
			patience := ledger.WithPatience(func() time.Duration { return 20 * time.Second })
			startContenderWith(ctx, s.Client(), hostWith(name, 0.192), "p-"+name, patience)
		}
		time.Sleep(leaseTime + time.Second)
		if !strong.valid() {
			t.Error("no strong host owns the workers a second after the end of the old lease")
		}
	})
}

// withPower returns a client whose writes fail once its host has lost power.
func withPower(c *store.Client, off *atomic.Bool) *store.Client {
	p := *c
	p.Commit = func(ctx context.Context, tx store.Txn) (uint64, error) {
		if off.Load() {
			return 0, store.ErrUnavailable
		}

		return c.Commit(ctx, tx)
	}
	p.KeepAlive = func(ctx context.Context, id store.LeaseID) error {
		if off.Load() {
			return store.ErrUnavailable
		}

		return c.KeepAlive(ctx, id)
	}

	return &p
}
