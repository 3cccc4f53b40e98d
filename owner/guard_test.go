package owner

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

// Guards against a host that bids as if there were no owner while it waits for a stronger one, which has become the owner.
func TestHostThatWaitsSeesTheOwner(t *testing.T) {
	for _, owned := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := standin.NewStore()
			ctx, cancel := context.WithCancel(t.Context())
			l := log.New(io.Discard)
			session := NewSession(s.Client(), hostWith("a", 0.192), l, WithUptime(steadyUptime()))
			f := ledger.NewFollower(s.Client(), l)
			go f.Run(ctx)
			go session.Run(ctx)
			if owned {
				value, err := ledger.Encode(ledger.Owner{Host: "f", Process: "p-f", PeerAddress: "f"})
				if err != nil {
					t.Fatal(err)
				}
				if _, err := s.Client().Commit(ctx, store.Txn{Puts: []store.Put{{Key: ledger.OwnerKey, Value: value}}}); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(time.Second)
			if bids := NewCandidate(s.Client(), session, f, "p-a", l).deferToStronger(ctx); bids == owned {
				t.Errorf("another host owns the workers: %t, bids: %t", owned, bids)
			}
			cancel()
			synctest.Wait()
			time.Sleep(5 * time.Second)
		})
	}
}

// Guards against a process that takes its own term for a period without an owner, or for that of the last owner, until its
// follower learns of the term.
func TestOwnTermIsKnownBeforeTheFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		l := log.New(io.Discard)
		session := NewSession(s.Client(), hostWith("a", 0.192), l, WithUptime(steadyUptime()))
		f := ledger.NewFollower(s.Client(), l)
		go f.Run(ctx)
		go session.Run(ctx)
		time.Sleep(time.Second)
		c := NewCandidate(s.Client(), session, f, "p-a", l)
		c.observe(0)
		c.observe(7)
		if c.standings.owner != "a" || c.standings.owned != 7 || !c.standings.vacant.IsZero() {
			t.Errorf("owner %q in term %d, vacant since %s; want a in term 7", c.standings.owner, c.standings.owned, c.standings.vacant)
		}
		cancel()
		synctest.Wait()
		time.Sleep(5 * time.Second)
	})
}

// Guards against a process that hands over again within handoverInterval, to another host that does not bid either, and against
// one that never hands over again.
func TestHandoversOfOneProcessAreRare(t *testing.T) {
	inStore(t, func(ctx context.Context, s *standin.Store) {
		weak := []*contender{startContenderOn(ctx, s, hostWith("a", 0.192), "p-a")}
		time.Sleep(time.Second)
		join := func(name string) { go NewSession(s.Client(), hostWith(name, 0.8), log.New(io.Discard)).Run(ctx) }
		var without []bool
		join("f")
		without = append(without, stepsWithoutOwner(weak, 150) > 0)
		join("g")
		without = append(without, stepsWithoutOwner(weak, 400) > 0, stepsWithoutOwner(weak, 200) > 0)
		if diff := cmp.Diff([]bool{true, false, true}, without); diff != "" {
			t.Errorf("handed over to f, to g within handoverInterval, to g after it (-want +got):\n%s", diff)
		}
	})
}
