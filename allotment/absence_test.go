package allotment

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/store"
)

// TestAbsentForNeedsContinuousReads checks which holders may have their allocations reclaimed
// after a series of membership reads.
func TestAbsentForNeedsContinuousReads(t *testing.T) {
	type reading struct {
		at   time.Duration
		live []fleet.Incarnation
	}
	every := func(from, to, step time.Duration, live ...fleet.Incarnation) []reading {
		var rs []reading
		for at := from; at <= to; at += step {
			rs = append(rs, reading{at, live})
		}
		return rs
	}
	const s = time.Second
	for _, c := range []struct {
		name  string
		given [][]reading
		knows bool
		want  []fleet.Incarnation
	}{
		{"present", [][]reading{every(0, 100*s, s, "b")}, true, nil},
		{"not absent long enough", [][]reading{every(0, 40*s, s)}, true, nil},
		{"absent long enough", [][]reading{every(0, 41*s, s)}, true, []fleet.Incarnation{"b"}},
		{"seen again in between", [][]reading{every(0, 30*s, s), every(31*s, 31*s, s, "b"), every(32*s, 60*s, s)}, true, nil},
		{"gap between reads", [][]reading{every(0, 30*s, s), every(33*s, 60*s, s)}, true, nil},
		{"a stale read arrives late", [][]reading{every(0, 30*s, s), every(10*s, 10*s, s, "b"), every(31*s, 41*s, s)}, true, []fleet.Incarnation{"b"}},
		{"absent long enough but may not have seen this process", [][]reading{every(0, 100*s, s)}, false, nil},
		{"absent beyond the outage limit", [][]reading{every(0, 3641*s, s)}, false, []fleet.Incarnation{"b"}},
	} {
		h := New(&store.Client{}, "a")
		h.KnownBy = func(fleet.Incarnation) bool { return c.knows }
		start := time.Now()
		for _, rs := range c.given {
			for _, r := range rs {
				h.absences = h.absences.with(Membership{Live: r.live, Confirmed: start.Add(r.at)}, []fleet.Incarnation{"b"}, h.timing.LeaseTTL/2)
			}
		}
		if diff := cmp.Diff(c.want, h.absences.absentFor(h.reclaimWait)); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}
