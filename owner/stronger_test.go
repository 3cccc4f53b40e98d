package owner

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

func hostWith(name string, cores float64) ledger.Host {
	return ledger.Host{Name: fleet.EntryName(name), PeerAddress: name, Cores: cores}
}

// inStore calls f with a store and a context for processes, in virtual time, and stops the processes afterwards.
func inStore(t *testing.T, f func(ctx context.Context, s *standin.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(ctx, standin.NewStore())
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}

// Guards against a host that can't bid until it has read the whole ledger.
func TestBidBeforeTheLedgerIsRead(t *testing.T) {
	inStore(t, func(ctx context.Context, s *standin.Store) {
		c := startContenderWith(ctx, withLongLedger(s.Client(), 30*time.Second), hostWith("f", 0.8), "p-f")
		time.Sleep(time.Second)
		if !c.valid() {
			t.Error("a host does not own the workers a second after its start")
		}
	})
}

// Guards against a weak host that leaves a new term to a stronger one for a fraction of a second only.
func TestWeakHostWaitsForALateBid(t *testing.T) {
	inStore(t, func(ctx context.Context, s *standin.Store) {
		late := *s.Client()
		late.List = func(ctx context.Context, prefix string) (store.Listing, error) {
			time.Sleep(1500 * time.Millisecond)
			return s.Client().List(ctx, prefix)
		}
		strong := startContenderWith(ctx, &late, hostWith("f", 0.8), "p-f")
		time.Sleep(30 * time.Millisecond)
		weak := startContenderOn(ctx, s, hostWith("a", 0.192), "p-a")
		for range 25 {
			time.Sleep(100 * time.Millisecond)
			if weak.valid() {
				t.Fatal("a weak host became the owner although a stronger one was about to bid")
			}
		}
		if !strong.valid() {
			t.Error("the strong host does not own the workers")
		}
	})
}

// Guards against a wait for stronger hosts that leaves the workers without an owner for longer than five seconds.
func TestWaitForStrongerHostIsShort(t *testing.T) {
	inStore(t, func(ctx context.Context, s *standin.Store) {
		go NewSession(s.Client(), hostWith("f", 0.8), log.New(io.Discard)).Run(ctx)
		time.Sleep(30 * time.Millisecond)
		weak := startContenderOn(ctx, s, hostWith("a", 0.192), "p-a")
		time.Sleep(5 * time.Second)
		if !weak.valid() {
			t.Error("there is no owner five seconds after a host started")
		}
	})
}

// Guards against handovers to stronger hosts that come and go.
func TestNoHandoverToHostThatComesAndGoes(t *testing.T) {
	inStore(t, func(ctx context.Context, s *standin.Store) {
		weak := startContenderOn(ctx, s, hostWith("a", 0.192), "p-a")
		time.Sleep(time.Second)
		for range 6 {
			up, stop := context.WithCancel(ctx)
			session := NewSession(s.Client(), hostWith("f", 0.8), log.New(io.Discard))
			go session.Run(up)
			without := stepsWithoutOwner([]*contender{weak}, 25)
			stop()
			session.Leave(ctx)
			if without += stepsWithoutOwner([]*contender{weak}, 15); without > 0 {
				t.Fatal("the owner handed over to a host that held its lease for two and a half seconds")
			}
		}
	})
}

// Guards against handovers to hosts that are hardly stronger, and against owners that keep the workers beside hosts with twice
// their cores.
func TestHandoverByCores(t *testing.T) {
	tests := []struct {
		name         string
		owner, other float64
		handsOver    bool
	}{
		{"equal", 0.8, 0.8, false},
		{"a third more", 0.6, 0.8, false},
		{"twice", 0.4, 0.8, true},
		{"unknown", 0, 0, false},
		{"weaker", 0.8, 0.192, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inStore(t, func(ctx context.Context, s *standin.Store) {
				first := startContenderOn(ctx, s, hostWith("a", tt.owner), "p-a")
				time.Sleep(time.Second)
				other := startContenderOn(ctx, s, hostWith("f", tt.other), "p-f")
				time.Sleep(8 * time.Second)
				if first.valid() == tt.handsOver || other.valid() != tt.handsOver {
					t.Errorf("owner valid %t, other host valid %t", first.valid(), other.valid())
				}
			})
		})
	}
}

// Guards against a term that goes on after it was handed over, while its process is still ending what it does in it.
func TestHandedOverTermEndsAtOnce(t *testing.T) {
	inStore(t, func(ctx context.Context, s *standin.Store) {
		l := log.New(io.Discard)
		session := NewSession(s.Client(), hostWith("a", 0.192), l, WithUptime(steadyUptime()))
		f := ledger.NewFollower(s.Client(), l)
		go f.Run(ctx)
		go session.Run(ctx)
		var cancelled, valid, ended atomic.Bool
		go NewCandidate(s.Client(), session, f, "p-a", l).Run(ctx, func(serving context.Context, term *Term) {
			if cancelled.Load() {
				<-serving.Done()
				return
			}
			<-serving.Done()
			time.Sleep(300 * time.Millisecond)
			valid.Store(term.Valid())
			ended.Store(term.Ended())
			cancelled.Store(true)
		})
		time.Sleep(time.Second)
		startContenderOn(ctx, s, hostWith("f", 0.8), "p-f")
		time.Sleep(8 * time.Second)
		if !cancelled.Load() || valid.Load() || !ended.Load() {
			t.Errorf("context of the term ended %t, term valid %t, term ended %t", cancelled.Load(), valid.Load(), ended.Load())
		}
	})
}

// Guards against a process that removes the record of the owner after it.
func TestRecordOfTheNextOwnerStays(t *testing.T) {
	inStore(t, func(ctx context.Context, s *standin.Store) {
		l := log.New(io.Discard)
		session := NewSession(s.Client(), hostWith("a", 0), l, WithUptime(steadyUptime()))
		f := ledger.NewFollower(s.Client(), l)
		go f.Run(ctx)
		go session.Run(ctx)
		next, err := ledger.Encode(ledger.Owner{Host: "b", Process: "p-b", PeerAddress: "b"})
		if err != nil {
			t.Fatal(err)
		}
		go NewCandidate(s.Client(), session, f, "p-a", l).Run(ctx, func(context.Context, *Term) {
			if _, err := s.Client().Commit(ctx, store.Txn{Puts: []store.Put{{Key: ledger.OwnerKey, Value: next}}}); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(5 * time.Second)
		r, err := s.Client().Get(ctx, ledger.OwnerKey)
		if err != nil || string(r.Value) != string(next) {
			t.Errorf("owner record %q, error %v", r.Value, err)
		}
	})
}

// stepsWithoutOwner returns in how many of the given steps of 100 ms none of the contenders is the owner.
func stepsWithoutOwner(all []*contender, steps int) int {
	without := 0
	for range steps {
		time.Sleep(100 * time.Millisecond)
		owners := 0
		for _, c := range all {
			if c.valid() {
				owners++
			}
		}
		if owners == 0 {
			without++
		}
	}

	return without
}
