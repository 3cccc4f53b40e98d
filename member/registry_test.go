package member_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/member"
	"lycheehook.example/lycheehook/peer"
	"lycheehook.example/lycheehook/standin"
)

type process struct {
	*member.Registry
	mesh *peer.Mesh
	stop func()
}

func startProcess(t *testing.T, s *standin.Store, n *standin.Network, name fleet.EntryName) process {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	mesh := n.Mesh(ctx, name, "1")
	mesh.SetStatus(func() peer.Status { return peer.Status{StoreReachable: true} })
	r := member.New(s.ClientFor(string(name)), mesh, "zone-a", "region-1")
	var wg sync.WaitGroup
	wg.Go(func() { mesh.Run(ctx) })
	wg.Go(func() { r.Run(ctx) })
	p := process{Registry: r, mesh: mesh, stop: func() {
		cancel()
		wg.Wait()
	}}
	t.Cleanup(p.stop)

	return p
}

// TestMembership checks who is a member 30 s after a fault of one of three processes began.
func TestMembership(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   func(*standin.Store, *standin.Network, process)
		members int
		// kept means that the process keeps its lease and therefore its seat.
		kept bool
	}{
		{"none", func(*standin.Store, *standin.Network, process) {}, 3, true},
		{"crash", func(_ *standin.Store, _ *standin.Network, p process) { p.stop() }, 2, false},
		{"cut off from the store", func(s *standin.Store, _ *standin.Network, _ process) { s.SetClientFault("e1", standin.FaultDown) }, 3, true},
		{"store silent for one", func(s *standin.Store, _ *standin.Network, _ process) { s.SetClientFault("e1", standin.FaultSilent) }, 2, false},
		{"cut off from the store and the peers", func(s *standin.Store, n *standin.Network, _ process) {
			s.SetClientFault("e1", standin.FaultDown)
			n.Cut("e1", "e2", true)
			n.Cut("e1", "e3", true)
		}, 2, false},
		{"answers lost", func(s *standin.Store, _ *standin.Network, _ process) { s.SetClientFault("e1", standin.FaultAnswerLost) }, 3, true},
		{"watches silent", func(s *standin.Store, _ *standin.Network, _ process) {
			s.SetClientFault("e1", standin.FaultWatchSilent)
		}, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, n := standin.NewStore(), standin.NewNetwork()
				e1, e2 := startProcess(t, s, n, "e1"), startProcess(t, s, n, "e2")
				startProcess(t, s, n, "e3")
				time.Sleep(3 * time.Second)
				seat := e1.Self().Seat
				c.fault(s, n, e1)
				time.Sleep(30 * time.Second)
				if got := e2.Members(); len(got) != c.members {
					t.Errorf("members %v, want %d", got, c.members)
				}
				if _, gone := e2.GoneSince()[seat]; gone == c.kept {
					t.Errorf("seat gone: %v", gone)
				}
				if remaining := e1.Remaining(time.Now()); (remaining > 0) != c.kept {
					t.Errorf("remaining time of the lease: %v", remaining)
				}
			})
		})
	}
}

// TestExpiredLeaseGetsNewSeat guards against a seat that survives its lease: a process that can't renew gets a new seat when it joins again.
func TestExpiredLeaseGetsNewSeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := standin.NewStore(), standin.NewNetwork()
		e1 := startProcess(t, s, n, "e1")
		time.Sleep(3 * time.Second)
		first := e1.Self().Seat
		s.SetClientFault("e1", standin.FaultDown)
		time.Sleep(20 * time.Second)
		if _, err := e1.Lease(time.Now()); err == nil {
			t.Error("Lease returned an expired lease")
		}
		s.SetClientFault("e1", standin.FaultNone)
		time.Sleep(5 * time.Second)
		if second := e1.Self().Seat; second == first || second == "" {
			t.Errorf("seat %q after %q", second, first)
		}
	})
}

func TestOwnerReassignsOnlyKeysOfLeaver(t *testing.T) {
	members := make([]member.Member, 7)
	for i := range members {
		members[i].Seat = member.Seat(fmt.Sprint("e", i))
	}
	count := map[member.Seat]int{}
	for i := range 7000 {
		key := fmt.Sprint("pool/", i)
		before, after := member.Owner(members, key), member.Owner(members[1:], key)
		count[before.Seat]++
		if before.Seat != members[0].Seat && before.Seat != after.Seat {
			t.Fatalf("owner of %s changed from %s to %s", key, before.Seat, after.Seat)
		}
	}
	for seat, n := range count {
		if n < 800 || n > 1200 {
			t.Errorf("%s owns %d of 7000 keys", seat, n)
		}
	}
}
