package allotment_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/standin"
)

const (
	testLimit = 40
	// recoveryTime is long enough for every lease expiry, reclaim and transfer after the last
	// fault.
	recoveryTime = 90 * time.Second
)

// faultCases inject a fault under a load far in excess of the limit.
//
// In each case the checker sums the work running on all entry hosts whenever work starts. After
// the fault, entry host a must be able to run all that the limit allows.
var faultCases = []struct {
	name string
	// during runs the load and injects the fault.
	during func(c *cluster)
	// want is the limit at the end.
	want int64
}{
	{"no fault", func(c *cluster) { c.load(20*time.Second, "a", "b", "c") }, testLimit},
	{"holder dies with work running", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.nodes["b"].kill()
		c.load(60*time.Second, "a", "c")
	}, testLimit},
	{"two holders die at once", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.nodes["b"].kill()
		c.nodes["c"].kill()
		c.load(60*time.Second, "a")
	}, testLimit},
	{"holder restarts without state under the same name", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.nodes["b"].kill()
		c.startNode("b", 1, testLimit)
		c.load(60*time.Second, "a", "b", "c")
	}, testLimit},
	{"holder pauses past its lease and resumes", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.nodes["b"].pause()
		c.load(8*time.Second, "a", "c")
		c.nodes["b"].resume()
		c.load(20*time.Second, "a", "b", "c")
	}, testLimit},
	{"holder pauses past the reclaim of its allocations and resumes", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.nodes["b"].pause()
		c.load(60*time.Second, "a", "c")
		c.nodes["b"].resume()
		c.load(20*time.Second, "b", "a", "c")
	}, testLimit},
	{"two holders pause in turn", func(c *cluster) {
		for range 3 {
			c.load(4*time.Second, "a", "b", "c")
			c.nodes["b"].pause()
			c.load(12*time.Second, "a", "c")
			c.nodes["c"].pause()
			c.nodes["b"].resume()
			c.load(25*time.Second, "a", "b")
			c.nodes["c"].resume()
		}
	}, testLimit},
	{"holder can't reach the store", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.nodes["b"].set(func(n *node) { n.noStore = true })
		c.load(60*time.Second, "a", "b", "c")
		c.nodes["b"].set(func(n *node) { n.noStore = false })
		c.load(10*time.Second, "a", "b", "c")
	}, testLimit},
	{"holder can't reach its peers", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.nodes["b"].set(func(n *node) { n.noPeers = true })
		c.load(30*time.Second, "a", "b", "c")
		c.nodes["b"].set(func(n *node) { n.noPeers = false })
	}, testLimit},
	{"holder can't reach the store and its peers", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.nodes["b"].set(func(n *node) { n.noStore, n.noPeers = true, true })
		c.load(60*time.Second, "a", "b", "c")
		c.nodes["b"].set(func(n *node) { n.noStore, n.noPeers = false, false })
	}, testLimit},
	{"limit is lowered below what runs", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.setLimit(2, 10, "b", "a", "c")
		c.load(30*time.Second, "a", "b", "c")
	}, 10},
	{"limit is lowered while the store is down", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.store.SetFault(standin.FaultDown)
		c.setLimit(2, 10, "a", "b", "c")
		c.load(10*time.Second, "a", "b", "c")
		c.store.SetFault(standin.FaultNone)
		c.load(20*time.Second, "a", "b", "c")
	}, 10},
	{"limit is lowered while a holder is dead", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.nodes["c"].kill()
		c.setLimit(2, 10, "a", "b")
		c.load(60*time.Second, "a", "b")
	}, 10},
	{"limit is raised", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.setLimit(2, 60, "a", "b", "c")
		c.load(10*time.Second, "a", "b", "c")
	}, 60},
	{"limit is lowered and raised again at once", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.setLimit(2, 10, "a", "b", "c")
		c.setLimit(3, 50, "a", "b", "c")
		c.load(10*time.Second, "a", "b", "c")
	}, 50},
	{"limit is raised and lowered unseen by a holder", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.nodes["a"].set(func(n *node) { n.noStore = true })
		c.setLimit(2, 80, "b", "c", "a")
		c.load(2*time.Second, "b", "c")
		c.setLimit(3, 50, "a", "b", "c")
		c.load(time.Second, "a", "b", "c")
		c.nodes["a"].set(func(n *node) { n.noStore = false })
		c.load(20*time.Second, "a", "b", "c")
	}, 50},
	{"an older revision arrives late", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.setLimit(5, 10, "a", "b", "c")
		c.nodes["b"].holder.SetLimits("limit", 4, nil)
		c.startNode("d", 3, testLimit)
		c.load(20*time.Second, "a", "b", "c", "d")
		c.nodes["d"].kill()
		c.load(60*time.Second, "a", "b", "c")
	}, 10},
	{"limit is deleted", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.setLimit(2, 0, "a", "b", "c")
		c.load(20*time.Second, "a", "b", "c")
	}, 0},
	{"store responses are lost on one holder", func(c *cluster) {
		c.load(time.Second, "a", "b", "c")
		c.nodes["b"].set(func(n *node) { n.dropStoreResponses = true })
		c.load(30*time.Second, "a", "b", "c")
		c.nodes["b"].set(func(n *node) { n.dropStoreResponses = false })
	}, testLimit},
	{"store responses are lost on all holders at intervals", func(c *cluster) {
		for range 20 {
			c.store.SetFault(standin.FaultAnswerLost)
			c.load(time.Second, "a", "b", "c")
			c.store.SetFault(standin.FaultNone)
			c.load(time.Second, "a", "b", "c")
		}
	}, testLimit},
	{"store responses are lost during a reclaim", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.nodes["b"].kill()
		c.nodes["a"].set(func(n *node) { n.dropStoreResponses = true })
		c.nodes["c"].set(func(n *node) { n.dropStoreResponses = true })
		c.load(60*time.Second, "a", "c")
		c.nodes["a"].set(func(n *node) { n.dropStoreResponses = false })
		c.nodes["c"].set(func(n *node) { n.dropStoreResponses = false })
	}, testLimit},
	{"writes of one holder are delayed", func(c *cluster) {
		for range 8 {
			c.load(2*time.Second, "a", "b", "c")
			c.nodes["b"].set(func(n *node) { n.delayWrites = true })
			c.load(time.Second, "a", "c")
			c.nodes["b"].set(func(n *node) { n.delayWrites = false })
			c.load(time.Second, "b")
		}
	}, testLimit},
	{"writes of all holders are delayed", func(c *cluster) {
		for range 8 {
			for _, late := range []bool{true, false} {
				for _, name := range []string{"a", "b", "c"} {
					c.nodes[name].set(func(n *node) { n.delayWrites = late })
				}
				c.load(2*time.Second, "a", "b", "c")
			}
		}
	}, testLimit},
	{"responses of a peer are lost after its transfer", func(c *cluster) {
		c.nodes["b"].set(func(n *node) { n.dropPeerResponses = true })
		c.load(20*time.Second, "a", "b", "c")
	}, testLimit},
	{"six holders contend for one record", func(c *cluster) {
		for _, name := range []string{"d", "e", "f"} {
			c.startNode(name, 1, testLimit)
		}
		c.store.SetDelay(20 * time.Millisecond)
		c.load(30*time.Second, "a", "b", "c", "d", "e", "f")
		c.store.SetDelay(0)
	}, testLimit},
	{"store is down for an hour", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.store.SetFault(standin.FaultDown)
		c.load(10*time.Second, "a", "b", "c")
		time.Sleep(time.Hour)
		c.load(time.Second, "a", "b", "c")
		c.store.SetFault(standin.FaultNone)
		c.load(20*time.Second, "a", "b", "c")
	}, testLimit},
	{"store does not respond", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.store.SetFault(standin.FaultSilent)
		c.load(20*time.Second, "a", "b", "c")
		c.store.SetFault(standin.FaultNone)
		c.load(20*time.Second, "a", "b", "c")
	}, testLimit},
	{"store is slow", func(c *cluster) {
		c.store.SetDelay(400 * time.Millisecond)
		c.load(30*time.Second, "a", "b", "c")
		c.store.SetDelay(0)
	}, testLimit},
	{"store is slower than the timeout", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.store.SetDelay(1500 * time.Millisecond)
		c.load(30*time.Second, "a", "b", "c")
		c.store.SetDelay(0)
	}, testLimit},
	{"crash, lowered limit and lost responses together", func(c *cluster) {
		c.load(5*time.Second, "a", "b", "c")
		c.nodes["b"].kill()
		c.store.SetFault(standin.FaultAnswerLost)
		c.setLimit(2, 20, "a", "c")
		c.load(5*time.Second, "a", "c")
		c.store.SetFault(standin.FaultDown)
		c.load(5*time.Second, "a", "c")
		c.store.SetFault(standin.FaultNone)
		c.startNode("b", 2, 20)
		c.load(60*time.Second, "a", "b", "c")
	}, 20},
}

func TestLimitHoldsUnderFaults(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, testLimit)
				defer c.stop()
				for _, name := range []string{"a", "b", "c"} {
					c.startNode(name, 1, testLimit)
				}
				time.Sleep(3 * time.Second)

				tc.during(c)
				time.Sleep(recoveryTime)
				got := c.fill("a", 5*time.Second)
				if c.violation != nil {
					t.Error(c.violation)
				}
				if got != tc.want {
					t.Errorf("a runs %d of %d after the fault\n%s", got, tc.want, c.state())
				}
			})
		})
	}
}
