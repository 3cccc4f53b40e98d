package peer_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/peer"
	"lycheehook.example/lycheehook/standin"
)

type numbered struct {
	N int
}

// TestHeartbeatFaults guards against reports that arrive out of order and against responses that are dated later than they were
// created, under each network fault.
func TestHeartbeatFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		// toA and toB apply in the first part of the run; if lifted is set, they are removed afterwards.
		toA, toB       standin.PathFault
		lifted         bool
		heard, reports bool
	}{
		{"none", standin.PathFault{}, standin.PathFault{}, false, true, true},
		{"requests to b lost", standin.PathFault{}, standin.PathFault{RequestLost: true}, false, false, true},
		{"answers of b lost", standin.PathFault{}, standin.PathFault{AnswerLost: true}, false, false, true},
		{"requests to a lost", standin.PathFault{RequestLost: true}, standin.PathFault{}, false, true, false},
		{"answers of a lost", standin.PathFault{AnswerLost: true}, standin.PathFault{}, false, true, true},
		{"doubled", standin.PathFault{Doubled: true}, standin.PathFault{Doubled: true}, false, true, true},
		{"answers of b late", standin.PathFault{}, standin.PathFault{AnswerDelay: 900 * time.Millisecond}, false, true, true},
		{"all answers too late", standin.PathFault{}, standin.PathFault{AnswerDelay: 3 * time.Second}, false, false, true},
		{"requests of b overtaken", standin.PathFault{RequestDelay: 8 * time.Second}, standin.PathFault{}, true, true, true},
		{"cut for a while", standin.PathFault{RequestLost: true}, standin.PathFault{RequestLost: true}, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := standin.NewNetwork()
				ctx, cancel := context.WithCancel(t.Context())
				a, b := n.Mesh(ctx, "a", "a-1"), n.Mesh(ctx, "b", "b-1")
				n.SetFault("a", "b", c.toB)
				n.SetFault("b", "a", c.toA)

				var mu sync.Mutex
				var made time.Time
				count := 0
				b.SetStatus(func() peer.Status {
					mu.Lock()
					defer mu.Unlock()
					made = time.Now()

					return peer.Status{}
				})
				peer.Report(b, "Numbered", func() numbered {
					count++
					return numbered{count}
				})
				var got []int
				peer.OnReport(a, "Numbered", func(_ peer.Peer, r numbered) {
					mu.Lock()
					defer mu.Unlock()
					got = append(got, r.N)
				})
				heard := 0
				a.OnHeard(func(h peer.Heard) {
					mu.Lock()
					defer mu.Unlock()
					heard++
					if h.Asked.After(made) {
						t.Errorf("dated %v, after the response was created at %v", h.Asked, made)
					}
				})
				a.SetPeers([]peer.Peer{b.Self()})
				b.SetPeers([]peer.Peer{a.Self()})
				var wg sync.WaitGroup
				wg.Go(func() { a.Run(ctx) })
				wg.Go(func() { b.Run(ctx) })
				time.Sleep(6 * time.Second)
				if c.lifted {
					n.Cut("a", "b", false)
				}
				time.Sleep(14 * time.Second)
				cancel()
				wg.Wait()
				time.Sleep(10 * time.Second)
				mu.Lock()
				defer mu.Unlock()

				if (heard > 0) != c.heard {
					t.Errorf("received %d responses, want some: %v", heard, c.heard)
				}
				if (len(got) > 0) != c.reports {
					t.Errorf("reports %v, want some: %v", got, c.reports)
				}
				if !slices.IsSorted(got) || len(slices.Compact(slices.Clone(got))) != len(got) {
					t.Errorf("reports out of order or duplicated: %v", got)
				}
			})
		})
	}
}
