package allotment_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/standin"
)

var seeds = flag.Uint64("seeds", 12, "number of random interleavings to run")

// TestRandomFaults starts and ends faults at random, several at once, while the limit is edited
// and load continues.
func TestRandomFaults(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := faultInjector{cluster: newCluster(t, testLimit), rng: rand.New(rand.NewPCG(seed, 4)), revision: 1, limit: testLimit}
				defer f.cluster.stop()
				for _, name := range injectorNodes {
					f.cluster.startNode(name, f.revision, f.limit)
				}
				time.Sleep(2 * time.Second)
				for range 60 {
					f.inject()
					f.cluster.load(time.Duration(f.rng.Int64N(int64(3*time.Second))), injectorNodes...)
				}

				f.clearFaults()
				time.Sleep(recoveryTime)
				got := f.cluster.fill("a", 5*time.Second)
				if f.cluster.violation != nil {
					t.Error(f.cluster.violation)
				}
				if got != f.limit {
					t.Errorf("a runs %d of %d after the faults\n%s", got, f.limit, f.cluster.state())
				}
			})
		})
	}
}

var injectorNodes = []string{"a", "b", "c", "d"}

type faultInjector struct {
	cluster  *cluster
	rng      *rand.Rand
	revision uint64
	limit    int64
}

// inject starts a fault, ends one, or edits the limit.
func (f *faultInjector) inject() {
	n := f.cluster.nodes[injectorNodes[f.rng.IntN(len(injectorNodes))]]
	on := f.rng.IntN(2) == 0
	switch f.rng.IntN(9) {
	case 0:
		n.set(func(n *node) { n.noStore = on })
	case 1:
		n.set(func(n *node) { n.noPeers = on })
	case 2:
		n.set(func(n *node) { n.dropStoreResponses = on })
	case 3:
		n.set(func(n *node) { n.delayWrites = on })
	case 4:
		n.set(func(n *node) { n.dropPeerResponses = on })
	case 5:
		f.pauseOrResume(n)
	case 6:
		n.kill()
		f.cluster.startNode(n.name, f.revision, f.limit)
	case 7:
		f.revision++
		f.limit = 1 + f.rng.Int64N(2*testLimit)
		f.cluster.setLimit(f.revision, f.limit, injectorNodes...)
	default:
		faults := []standin.Fault{standin.FaultNone, standin.FaultNone, standin.FaultDown, standin.FaultAnswerLost, standin.FaultSilent}
		f.cluster.store.SetFault(faults[f.rng.IntN(len(faults))])
		f.cluster.store.SetDelay(time.Duration(f.rng.Int64N(int64(100 * time.Millisecond))))
	}
}

func (f *faultInjector) pauseOrResume(n *node) {
	n.mu.Lock()
	paused := n.paused != nil
	n.mu.Unlock()
	if paused {
		n.resume()
		return
	}
	n.pause()
}

// clearFaults ends all faults.
func (f *faultInjector) clearFaults() {
	f.cluster.store.SetFault(standin.FaultNone)
	f.cluster.store.SetDelay(0)
	for _, name := range injectorNodes {
		n := f.cluster.nodes[name]
		n.set(func(n *node) {
			n.noStore, n.noPeers, n.dropStoreResponses, n.delayWrites, n.dropPeerResponses = false, false, false, false, false
		})
		n.mu.Lock()
		paused := n.paused != nil
		n.mu.Unlock()
		if paused {
			n.resume()
		}
	}
}
