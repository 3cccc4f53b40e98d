package allotment_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/allotment"
	"lycheehook.example/lycheehook/fleet"
)

// moveTarget is the stated time within which idle parts elsewhere meet the demand of one entry host.
const moveTarget = 3 * time.Second

// TestIdlePartsMeetDemand measures how long one entry host needs until it runs all that the limit allows.
func TestIdlePartsMeetDemand(t *testing.T) {
	for _, c := range []struct {
		name  string
		busy  string
		hosts int
	}{
		{name: "parts evenly idle", hosts: 3},
		{name: "all parts held by one that was busy", busy: "b", hosts: 3},
		{name: "seven entry hosts", busy: "b", hosts: 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 1, siteLimit)
				defer s.stop()
				for i := range c.hosts {
					s.boot(string(rune('a'+i)), 1, siteLimit)
				}
				s.store.SetDelay(3 * time.Millisecond)
				time.Sleep(3 * time.Second)
				if c.busy != "" {
					s.fill(c.busy, 4*time.Second)
					time.Sleep(s.timing.MaxRequestTime)
				}

				took := s.timeToFill("a", siteLimit)
				t.Logf("%v until a runs all %d", took, siteLimit)
				if took > moveTarget {
					t.Errorf("took %v, want at most %v", took, moveTarget)
				}
			})
		})
	}
}

// timeToFill returns how long one entry host needs until it runs want, or a minute if it does not get there.
func (s *site) timeToFill(name string, want int64) time.Duration {
	began := time.Now()
	for ; time.Since(began) < time.Minute; time.Sleep(10 * time.Millisecond) {
		for s.nodes[name].try(1, time.Minute) {
		}
		s.mu.Lock()
		running := s.nodes[name].running
		s.mu.Unlock()
		if running >= want {
			break
		}
	}

	return time.Since(began)
}

// TestDeadPartsReturn measures how long after a death the dead holder's part is in use again, and that it is not too soon.
func TestDeadPartsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, siteLimit)
		defer s.stop()
		for _, name := range []string{"a", "b", "c"} {
			s.boot(name, 1, siteLimit)
		}
		time.Sleep(3 * time.Second)
		if got := s.fill("b", 4*time.Second); got != siteLimit {
			t.Fatalf("b runs %d", got)
		}
		for s.nodes["b"].try(1, s.timing.MaxRequestTime) {
		}
		s.nodes["b"].kill()
		died := time.Now()

		for !s.nodes["a"].try(1, time.Second) {
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(died)
		least := s.timing.ReclaimAfter()
		bound := least + s.timing.LeaseTTL + moveTarget
		t.Logf("in use again %v after the death; the wait is %v, the bound %v", took, least, bound)
		if took < least || took > bound {
			t.Errorf("took %v, want between %v and %v", took, least, bound)
		}
		if s.violated != nil {
			t.Error(s.violated)
		}
	})
}

// TestStoreCallsStayFlat counts the store's calls as requests and hot teams grow.
func TestStoreCallsStayFlat(t *testing.T) {
	const (
		lasts = 20 * time.Second
		hosts = 7
	)
	for _, c := range []struct{ teams, factor int }{{1, 1}, {1, 10}, {1, 100}, {43, 1}, {43, 10}} {
		t.Run(fmt.Sprintf("%d teams, load times %d", c.teams, c.factor), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 1, siteLimit*int64(c.teams))
				defer s.stop()
				upper := map[string]fleet.Resources{}
				keys := make([]allotment.Key, c.teams)
				for i := range keys {
					keys[i] = allotment.Key{Set: allotment.Limits, Name: fmt.Sprintf("team-%d", i)}
					upper[keys[i].Name] = slots(siteLimit)
				}
				holders := make([]*allotment.Holder, hosts)
				for i := range holders {
					name := string(rune('a' + i))
					s.boot(name, 1, siteLimit)
					holders[i] = s.nodes[name].holder
					holders[i].SetLimits(allotment.Limits, 2, upper)
				}
				s.store.SetDelay(3 * time.Millisecond)
				time.Sleep(5 * time.Second)

				before := s.store.Calls()
				requests := s.turns(holders, keys, c.factor, lasts)
				after := s.store.Calls()
				writes := float64(after["CompareAndSwap"]-before["CompareAndSwap"]) / lasts.Seconds()
				reads := float64(after["Get"]+after["List"]-before["Get"]-before["List"]) / lasts.Seconds()
				t.Logf("%.0f requests/s: %.1f writes/s, %.1f reads/s (14 of them the test's own membership)",
					float64(requests)/lasts.Seconds(), writes, reads)
				bound := hosts * (s.timing.WriteRate + float64(s.timing.WriteBurst)/lasts.Seconds()) * 3
				if writes > bound {
					t.Errorf("%.1f writes a second, want at most %.1f", writes, bound)
				}
			})
		})
	}
}

// turns asks on all entry hosts for every team, of which each is hot on one entry host for 2 s and then on the next.
func (s *site) turns(holders []*allotment.Holder, keys []allotment.Key, factor int, lasts time.Duration) int {
	requests := 0
	began := time.Now()
	for ; time.Since(began) < lasts; time.Sleep(10 * time.Millisecond) {
		for i, k := range keys {
			hot := (i + int(time.Since(began)/(2*time.Second))) % len(holders)
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
