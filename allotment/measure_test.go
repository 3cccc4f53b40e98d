package allotment_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/allotment"
	"lycheehook.example/lycheehook/fleet"
)

// transferTarget is the specified time within which idle allocations of other entry hosts must
// meet the demand of one.
const transferTarget = 3 * time.Second

// TestIdleAllocationsMeetDemand measures how long one entry host takes until it runs all that the
// limit allows.
func TestIdleAllocationsMeetDemand(t *testing.T) {
	for _, tc := range []struct {
		name  string
		busy  string
		hosts int
	}{
		{name: "allocations evenly idle", hosts: 3},
		{name: "all allocated to one that was busy", busy: "b", hosts: 3},
		{name: "seven entry hosts", busy: "b", hosts: 7},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, testLimit)
				defer c.stop()
				for i := range tc.hosts {
					c.startNode(string(rune('a'+i)), 1, testLimit)
				}
				c.store.SetDelay(3 * time.Millisecond)
				time.Sleep(3 * time.Second)
				if tc.busy != "" {
					c.fill(tc.busy, 4*time.Second)
					time.Sleep(c.timing.MaxRequestTime)
				}

				took := c.timeToFill("a", testLimit)
				t.Logf("%v until a runs all %d", took, testLimit)
				if took > transferTarget {
					t.Errorf("took %v, want at most %v", took, transferTarget)
				}
			})
		})
	}
}

// timeToFill returns how long one entry host takes until it runs want, or a minute if it does not
// get there.
func (c *cluster) timeToFill(name string, want int64) time.Duration {
	start := time.Now()
	for ; time.Since(start) < time.Minute; time.Sleep(10 * time.Millisecond) {
		for c.nodes[name].tryWork(1, time.Minute) {
		}
		c.mu.Lock()
		running := c.nodes[name].running
		c.mu.Unlock()
		if running >= want {
			break
		}
	}

	return time.Since(start)
}

// TestReclaimAfterCrash measures how long after a crash the allocation of the dead holder is in
// use again, and checks that it is not reclaimed too early.
func TestReclaimAfterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, testLimit)
		defer c.stop()
		for _, name := range []string{"a", "b", "c"} {
			c.startNode(name, 1, testLimit)
		}
		time.Sleep(3 * time.Second)
		if got := c.fill("b", 4*time.Second); got != testLimit {
			t.Fatalf("b runs %d", got)
		}
		for c.nodes["b"].tryWork(1, c.timing.MaxRequestTime) {
		}
		c.nodes["b"].kill()
		died := time.Now()

		for !c.nodes["a"].tryWork(1, time.Second) {
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(died)
		minimum := c.timing.ReclaimAfter()
		bound := minimum + c.timing.LeaseTTL + transferTarget
		t.Logf("in use again %v after the crash; minimum %v, bound %v", took, minimum, bound)
		if took < minimum || took > bound {
			t.Errorf("took %v, want between %v and %v", took, minimum, bound)
		}
		if c.violation != nil {
			t.Error(c.violation)
		}
	})
}

// TestStoreCallRateIsBounded counts store calls as the request rate and the number of busy teams
// grow.
func TestStoreCallRateIsBounded(t *testing.T) {
	const (
		duration = 20 * time.Second
		hosts    = 7
	)
	for _, tc := range []struct{ teams, factor int }{{1, 1}, {1, 10}, {1, 100}, {43, 1}, {43, 10}} {
		t.Run(fmt.Sprintf("%d teams, load times %d", tc.teams, tc.factor), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, testLimit*int64(tc.teams))
				defer c.stop()
				upper := map[string]fleet.Resources{}
				keys := make([]allotment.Key, tc.teams)
				for i := range keys {
					keys[i] = allotment.Key{Set: allotment.Limits, Name: fmt.Sprintf("team-%d", i)}
					upper[keys[i].Name] = slots(testLimit)
				}
				holders := make([]*allotment.Holder, hosts)
				for i := range holders {
					name := string(rune('a' + i))
					c.startNode(name, 1, testLimit)
					holders[i] = c.nodes[name].holder
					holders[i].SetLimits(allotment.Limits, 2, upper)
				}
				c.store.SetDelay(3 * time.Millisecond)
				time.Sleep(5 * time.Second)

				before := c.store.Calls()
				requests := c.rotateLoad(holders, keys, tc.factor, duration)
				after := c.store.Calls()
				writes := float64(after["CompareAndSwap"]-before["CompareAndSwap"]) / duration.Seconds()
				reads := float64(after["Get"]+after["List"]-before["Get"]-before["List"]) / duration.Seconds()
				t.Logf("%.0f requests/s: %.1f writes/s, %.1f reads/s (14 of them the test's own membership)",
					float64(requests)/duration.Seconds(), writes, reads)
				bound := hosts * (c.timing.WriteRate + float64(c.timing.WriteBurst)/duration.Seconds()) * 3
				if writes > bound {
					t.Errorf("%.1f writes a second, want at most %.1f", writes, bound)
				}
			})
		})
	}
}

// rotateLoad sends requests for every team; the requests of each team go to one entry host for 2 s
// and then to the next.
func (c *cluster) rotateLoad(holders []*allotment.Holder, keys []allotment.Key, factor int, duration time.Duration) int {
	requests := 0
	start := time.Now()
	for ; time.Since(start) < duration; time.Sleep(10 * time.Millisecond) {
		for i, k := range keys {
			hot := (i + int(time.Since(start)/(2*time.Second))) % len(holders)
			for range factor {
				requests++
				if hold, err := holders[hot].Acquire(k, slots(1)); err == nil {
					time.AfterFunc(300*time.Millisecond, hold.Release)
				}
			}
		}
	}

	return requests
}
