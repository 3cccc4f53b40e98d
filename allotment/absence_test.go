package allotment

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/store"
)

// TestAbsencesCountUnbrokenReadings says who may be reclaimed from after a run of membership readings.
func TestAbsencesCountUnbrokenReadings(t *testing.T) {
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
		{"absent too short", [][]reading{every(0, 40*s, s)}, true, nil},
		{"absent long enough", [][]reading{every(0, 41*s, s)}, true, []fleet.Incarnation{"b"}},
		{"seen again in between", [][]reading{every(0, 30*s, s), every(31*s, 31*s, s, "b"), every(32*s, 60*s, s)}, true, nil},
		{"no store contact in between", [][]reading{every(0, 30*s, s), every(33*s, 60*s, s)}, true, nil},
		{"an old reading comes late", [][]reading{every(0, 30*s, s), every(10*s, 10*s, s, "b"), every(31*s, 41*s, s)}, true, []fleet.Incarnation{"b"}},
		{"absent long enough but unknown to it", [][]reading{every(0, 100*s, s)}, false, nil},
		{"absent beyond the limit of an outage", [][]reading{every(0, 3641*s, s)}, false, []fleet.Incarnation{"b"}},
	} {
		h := New(&store.Client{}, "a")
		h.Knows = func(fleet.Incarnation) bool { return c.knows }
		start := time.Now()
		for _, rs := range c.given {
			for _, r := range rs {
				h.absent = h.absent.with(Membership{Live: r.live, Confirmed: start.Add(r.at)}, []fleet.Incarnation{"b"}, h.timing.LeaseTTL/2)
			}
		}
		if diff := cmp.Diff(c.want, h.absent.lasting(h.reclaimWait)); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}
