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

// TestRandomFaults lets faults come and go at random, several at once, while the limit is edited and load goes on.
func TestRandomFaults(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := storm{site: newSite(t, siteLimit), rng: rand.New(rand.NewPCG(seed, 4)), revision: 1, limit: siteLimit}
				defer st.site.stop()
				for _, name := range stormHosts {
					st.site.boot(name, st.revision, st.limit)
				}
				time.Sleep(2 * time.Second)
				for range 60 {
					st.event()
					st.site.load(time.Duration(st.rng.Int64N(int64(3*time.Second))), stormHosts...)
				}

				st.calm()
				time.Sleep(settleTime)
				got := st.site.fill("a", 5*time.Second)
				if st.site.violated != nil {
					t.Error(st.site.violated)
				}
				if got != st.limit {
					t.Errorf("a runs %d of %d after the faults\n%s", got, st.limit, st.site.state())
				}
			})
		})
	}
}

var stormHosts = []string{"a", "b", "c", "d"}

type storm struct {
	site     *site
	rng      *rand.Rand
	revision uint64
	limit    int64
}

// event brings about a fault, ends one, or edits the limit.
func (st *storm) event() {
	n := st.site.nodes[stormHosts[st.rng.IntN(len(stormHosts))]]
	on := st.rng.IntN(2) == 0
	switch st.rng.IntN(9) {
	case 0:
		n.set(func(n *node) { n.noStore = on })
	case 1:
		n.set(func(n *node) { n.noPeers = on })
	case 2:
		n.set(func(n *node) { n.loseAnswers = on })
	case 3:
		n.set(func(n *node) { n.late = on })
	case 4:
		n.set(func(n *node) { n.loseReplies = on })
	case 5:
		st.pauseOrResume(n)
	case 6:
		n.kill()
		st.site.boot(n.name, st.revision, st.limit)
	case 7:
		st.revision++
		st.limit = 1 + st.rng.Int64N(2*siteLimit)
		st.site.setLimit(st.revision, st.limit, stormHosts...)
	default:
		faults := []standin.Fault{standin.FaultNone, standin.FaultNone, standin.FaultDown, standin.FaultAnswerLost, standin.FaultSilent}
		st.site.store.SetFault(faults[st.rng.IntN(len(faults))])
		st.site.store.SetDelay(time.Duration(st.rng.Int64N(int64(100 * time.Millisecond))))
	}
}

func (st *storm) pauseOrResume(n *node) {
	n.mu.Lock()
	paused := n.paused != nil
	n.mu.Unlock()
	if paused {
		n.resume()
		return
	}
	n.pause()
}

// calm ends all faults.
func (st *storm) calm() {
	st.site.store.SetFault(standin.FaultNone)
	st.site.store.SetDelay(0)
	for _, name := range stormHosts {
		n := st.site.nodes[name]
		n.set(func(n *node) {
			n.noStore, n.noPeers, n.loseAnswers, n.late, n.loseReplies = false, false, false, false, false
		})
		n.mu.Lock()
		paused := n.paused != nil
		n.mu.Unlock()
		if paused {
			n.resume()
		}
	}
}
