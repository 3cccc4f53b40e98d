package owner

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/standin"
)

func startWeakHosts(ctx context.Context, s *standin.Store, n int) []*contender {
	var weak []*contender
	for i := range n {
		name := fmt.Sprint("a", i)
		weak = append(weak, startContenderOn(ctx, s, hostWith(name, 0.192), "p-"+name))
	}

	return weak
}

// Guards against a strong host that comes and goes and costs a period without an owner each time.
func TestStrongHostThatComesAndGoes(t *testing.T) {
	for _, bids := range []bool{true, false} {
		t.Run(fmt.Sprint("bids=", bids), func(t *testing.T) {
			inStore(t, func(ctx context.Context, s *standin.Store) {
				weak := startWeakHosts(ctx, s, 5)
				time.Sleep(3 * time.Second)
				without := 0
				for i := range 30 {
					up, stop := context.WithCancel(ctx)
					all := weak
					if bids {
						all = append(all, startContenderOn(up, s, hostWith("f", 0.8), fmt.Sprint("p-f", i)))
					} else {
						go NewSession(s.Client(), hostWith("f", 0.8), log.New(io.Discard)).Run(up)
					}
					without += stepsWithoutOwner(all, 70)
					stop()
					without += stepsWithoutOwner(weak, 30)
				}
				if without > 100 {
					t.Errorf("no owner in %d of 3000 steps, want at most 100", without)
				}
			})
		})
	}
}

// Guards against a host that counts as not bidding because it waited for a stronger one that didn't bid.
func TestHostThatWaitedOwnsTheWorkers(t *testing.T) {
	inStore(t, func(ctx context.Context, s *standin.Store) {
		go NewSession(s.Client(), hostWith("f", 0.8), log.New(io.Discard)).Run(ctx)
		time.Sleep(30 * time.Millisecond)
		startWeakHosts(ctx, s, 5)
		middle := startContenderOn(ctx, s, hostWith("m", 0.4), "p-m")
		time.Sleep(2*deferLimit + handoverDelay)
		if !middle.valid() {
			t.Error("the strongest host that bids does not own the workers")
		}
	})
}

// Guards against a host that never owns the workers again since its last process did not bid, and against a handover to such a
// host while nothing has changed.
func TestHostThatDidNotBidIsRestarted(t *testing.T) {
	inStore(t, func(ctx context.Context, s *standin.Store) {
		up, stop := context.WithCancel(ctx)
		go NewSession(s.Client(), hostWith("f", 0.8), log.New(io.Discard)).Run(up)
		time.Sleep(30 * time.Millisecond)
		weak := startWeakHosts(ctx, s, 5)
		time.Sleep(deferLimit + time.Second)
		if without := stepsWithoutOwner(weak, 600); without > 0 {
			t.Errorf("no owner in %d of 600 steps, want 0", without)
		}
		stop()
		time.Sleep(leaseTime)
		strong := startContenderOn(ctx, s, hostWith("f", 0.8), "p-f")
		time.Sleep(2*handoverDelay + 3*time.Second)
		if !strong.valid() {
			t.Error("the restarted host does not own the workers")
		}
	})
}
