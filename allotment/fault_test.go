package allotment_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/standin"
)

const (
	siteLimit = 40
	// settleTime is enough for every lease, reclaim and move after the last fault.
	settleTime = 90 * time.Second
)

// faultCases bring about a fault in the middle of a load far beyond the limit.
//
// In each the checker sums what runs on all entry hosts at every start of work.
// After the fault a must be able to run all that the limit allows.
var faultCases = []struct {
	name string
	// during runs the load with the fault.
	during func(s *site)
	// want is the limit at the end.
	want int64
}{
	{"no fault", func(s *site) { s.load(20*time.Second, "a", "b", "c") }, siteLimit},
	{"holder dies with work running", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.nodes["b"].kill()
		s.load(60*time.Second, "a", "c")
	}, siteLimit},
	{"two holders die at once", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.nodes["b"].kill()
		s.nodes["c"].kill()
		s.load(60*time.Second, "a")
	}, siteLimit},
	{"holder restarts empty under the same name", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.nodes["b"].kill()
		s.boot("b", 1, siteLimit)
		s.load(60*time.Second, "a", "b", "c")
	}, siteLimit},
	{"holder pauses past its lease and wakes", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.nodes["b"].pause()
		s.load(8*time.Second, "a", "c")
		s.nodes["b"].resume()
		s.load(20*time.Second, "a", "b", "c")
	}, siteLimit},
	{"holder pauses past the reclaim of its parts and wakes", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.nodes["b"].pause()
		s.load(60*time.Second, "a", "c")
		s.nodes["b"].resume()
		s.load(20*time.Second, "b", "a", "c")
	}, siteLimit},
	{"two holders pause by turns", func(s *site) {
		for range 3 {
			s.load(4*time.Second, "a", "b", "c")
			s.nodes["b"].pause()
			s.load(12*time.Second, "a", "c")
			s.nodes["c"].pause()
			s.nodes["b"].resume()
			s.load(25*time.Second, "a", "b")
			s.nodes["c"].resume()
		}
	}, siteLimit},
	{"holder is cut off from the store", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.nodes["b"].set(func(n *node) { n.noStore = true })
		s.load(60*time.Second, "a", "b", "c")
		s.nodes["b"].set(func(n *node) { n.noStore = false })
		s.load(10*time.Second, "a", "b", "c")
	}, siteLimit},
	{"holder is cut off from its peers", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.nodes["b"].set(func(n *node) { n.noPeers = true })
		s.load(30*time.Second, "a", "b", "c")
		s.nodes["b"].set(func(n *node) { n.noPeers = false })
	}, siteLimit},
	{"holder is cut off from the store and its peers", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.nodes["b"].set(func(n *node) { n.noStore, n.noPeers = true, true })
		s.load(60*time.Second, "a", "b", "c")
		s.nodes["b"].set(func(n *node) { n.noStore, n.noPeers = false, false })
	}, siteLimit},
	{"limit is lowered below what runs", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.setLimit(2, 10, "b", "a", "c")
		s.load(30*time.Second, "a", "b", "c")
	}, 10},
	{"limit is lowered while the store is down", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.store.SetFault(standin.FaultDown)
		s.setLimit(2, 10, "a", "b", "c")
		s.load(10*time.Second, "a", "b", "c")
		s.store.SetFault(standin.FaultNone)
		s.load(20*time.Second, "a", "b", "c")
	}, 10},
	{"limit is lowered while a holder is dead", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.nodes["c"].kill()
		s.setLimit(2, 10, "a", "b")
		s.load(60*time.Second, "a", "b")
	}, 10},
	{"limit is raised", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.setLimit(2, 60, "a", "b", "c")
		s.load(10*time.Second, "a", "b", "c")
	}, 60},
	{"limit is lowered and raised again at once", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.setLimit(2, 10, "a", "b", "c")
		s.setLimit(3, 50, "a", "b", "c")
		s.load(10*time.Second, "a", "b", "c")
	}, 50},
	{"an older revision comes late", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.setLimit(5, 10, "a", "b", "c")
		s.nodes["b"].holder.SetLimits("limit", 4, nil)
		s.boot("d", 3, siteLimit)
		s.load(20*time.Second, "a", "b", "c", "d")
		s.nodes["d"].kill()
		s.load(60*time.Second, "a", "b", "c")
	}, 10},
	{"limit is deleted", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.setLimit(2, 0, "a", "b", "c")
		s.load(20*time.Second, "a", "b", "c")
	}, 0},
	{"answers of the store are lost on one holder", func(s *site) {
		s.load(time.Second, "a", "b", "c")
		s.nodes["b"].set(func(n *node) { n.loseAnswers = true })
		s.load(30*time.Second, "a", "b", "c")
		s.nodes["b"].set(func(n *node) { n.loseAnswers = false })
	}, siteLimit},
	{"answers of the store are lost everywhere by turns", func(s *site) {
		for range 20 {
			s.store.SetFault(standin.FaultAnswerLost)
			s.load(time.Second, "a", "b", "c")
			s.store.SetFault(standin.FaultNone)
			s.load(time.Second, "a", "b", "c")
		}
	}, siteLimit},
	{"answers of the store are lost during a reclaim", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.nodes["b"].kill()
		s.nodes["a"].set(func(n *node) { n.loseAnswers = true })
		s.nodes["c"].set(func(n *node) { n.loseAnswers = true })
		s.load(60*time.Second, "a", "c")
		s.nodes["a"].set(func(n *node) { n.loseAnswers = false })
		s.nodes["c"].set(func(n *node) { n.loseAnswers = false })
	}, siteLimit},
	{"writes of one holder arrive late", func(s *site) {
		for range 8 {
			s.load(2*time.Second, "a", "b", "c")
			s.nodes["b"].set(func(n *node) { n.late = true })
			s.load(time.Second, "a", "c")
			s.nodes["b"].set(func(n *node) { n.late = false })
			s.load(time.Second, "b")
		}
	}, siteLimit},
	{"writes of all holders arrive late", func(s *site) {
		for range 8 {
			for _, late := range []bool{true, false} {
				for _, name := range []string{"a", "b", "c"} {
					s.nodes[name].set(func(n *node) { n.late = late })
				}
				s.load(2*time.Second, "a", "b", "c")
			}
		}
	}, siteLimit},
	{"replies of a peer are lost after it moved its part", func(s *site) {
		s.nodes["b"].set(func(n *node) { n.loseReplies = true })
		s.load(20*time.Second, "a", "b", "c")
	}, siteLimit},
	{"six holders fight for one record", func(s *site) {
		for _, name := range []string{"d", "e", "f"} {
			s.boot(name, 1, siteLimit)
		}
		s.store.SetDelay(20 * time.Millisecond)
		s.load(30*time.Second, "a", "b", "c", "d", "e", "f")
		s.store.SetDelay(0)
	}, siteLimit},
	{"store is down for an hour", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.store.SetFault(standin.FaultDown)
		s.load(10*time.Second, "a", "b", "c")
		time.Sleep(time.Hour)
		s.load(time.Second, "a", "b", "c")
		s.store.SetFault(standin.FaultNone)
		s.load(20*time.Second, "a", "b", "c")
	}, siteLimit},
	{"store is silent", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.store.SetFault(standin.FaultSilent)
		s.load(20*time.Second, "a", "b", "c")
		s.store.SetFault(standin.FaultNone)
		s.load(20*time.Second, "a", "b", "c")
	}, siteLimit},
	{"store is slow", func(s *site) {
		s.store.SetDelay(400 * time.Millisecond)
		s.load(30*time.Second, "a", "b", "c")
		s.store.SetDelay(0)
	}, siteLimit},
	{"store is slower than the timeout", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.store.SetDelay(1500 * time.Millisecond)
		s.load(30*time.Second, "a", "b", "c")
		s.store.SetDelay(0)
	}, siteLimit},
	{"death, a lowered limit and lost answers together", func(s *site) {
		s.load(5*time.Second, "a", "b", "c")
		s.nodes["b"].kill()
		s.store.SetFault(standin.FaultAnswerLost)
		s.setLimit(2, 20, "a", "c")
		s.load(5*time.Second, "a", "c")
		s.store.SetFault(standin.FaultDown)
		s.load(5*time.Second, "a", "c")
		s.store.SetFault(standin.FaultNone)
		s.boot("b", 2, 20)
		s.load(60*time.Second, "a", "b", "c")
	}, 20},
}

func TestNeverMoreThanTheLimit(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 1, siteLimit)
				defer s.stop()
				for _, name := range []string{"a", "b", "c"} {
					s.boot(name, 1, siteLimit)
				}
				time.Sleep(3 * time.Second)

				c.during(s)
				time.Sleep(settleTime)
				got := s.fill("a", 5*time.Second)
				if s.violated != nil {
					t.Error(s.violated)
				}
				if got != c.want {
					t.Errorf("a runs %d of %d after the fault\n%s", got, c.want, s.state())
				}
			})
		})
	}
}
