package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
)

// memory is what is known of a host after some sights.
type memory struct {
	Known, Refuses       bool
	Refusals, Departures int
}

// Guards against hosts that are blamed for longer than their reason lasts, more than once for one reason, or by an observer that
// could not see for some time.
func TestMemoryOfHosts(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name   string
		sights []sight
		want   memory
	}{
		{"a term left to a weaker host", []sight{{0, 1, 0, 2, "", 0, 1}, {4 * s, 1, 0, 2, "a", 3, 1}}, memory{true, true, 1, 0}},
		{"an observer with a new lease", []sight{
			{0, 1, 0, 2, "", 0, 1}, {2 * s, 1, 0, 2, "", 0, 2}, {4 * s, 1, 0, 2, "a", 3, 2},
		}, memory{Known: true}},
		{"left twice, while it was not expected", []sight{
			{0, 1, 0, 2, "", 0, 1}, {4 * s, 1, 0, 2, "a", 3, 1}, {5 * s, 1, 0, 2, "", 0, 1}, {9 * s, 1, 0, 2, "a", 4, 1},
		}, memory{true, true, 1, 0}},
		{"given up and taken again", []sight{
			{0, 1, 0, 2, "f", 3, 1}, {12 * s, 1, 0, 2, "", 0, 1}, {13 * s, 1, 0, 2, "f", 4, 1},
		}, memory{Known: true}},
		{"restarted after it gave up", []sight{
			{0, 1, 0, 2, "f", 3, 1}, {12 * s, 1, 0, 2, "", 0, 1}, {13 * s, 4, 0, 2, "", 0, 1},
		}, memory{Known: true, Departures: 1}},
		{"there for long since it went away", []sight{
			{0, 1, 0, 2, "a", 3, 1}, {5 * s, 0, 0, 2, "a", 3, 1}, {6 * s, 4, 0, 2, "a", 3, 1}, {6*s + settleTime, 4, 0, 2, "a", 3, 1},
		}, memory{Known: true}},
		{"gone", []sight{{0, 1, 0, 2, "a", 3, 1}, {5 * s, 0, 0, 2, "a", 3, 1}, {6 * s, 0, 0, 2, "a", 3, 1}}, memory{Known: true, Departures: 1}},
		{"gone for long", []sight{{0, 1, 0, 2, "a", 3, 1}, {5 * s, 0, 0, 2, "a", 3, 1}, {5*s + settleTime, 0, 0, 2, "a", 3, 1}}, memory{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Now()
			var st standings
			for _, sight := range tt.sights {
				st.observe(sight.view(start))
			}
			var got memory
			if h, ok := st.hosts[fleet.EntryName("f")]; ok {
				got = memory{true, h.refuses(start.Add(tt.sights[len(tt.sights)-1].at)), h.refusals, h.departures}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("what is known of the strongest host (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a process that gives up term after term and takes the next one as soon as after the first, against one that
// rests for long after a term that was long enough, and against one that rests since it handed over.
func TestRestAfterTermsThatWereGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Candidate{}
		var got []time.Duration
		for _, length := range []time.Duration{5 * time.Second, 5 * time.Second, 5 * time.Second, 5 * time.Second, provenTime, 5 * time.Second} {
			tm := &Term{began: time.Now()}
			time.Sleep(length)
			c.noteEnd(tm)
			got = append(got, max(0, time.Until(c.restUntil)))
			time.Sleep(time.Hour)
		}
		tm := &Term{began: time.Now()}
		time.Sleep(time.Second)
		c.handedOver = time.Now()
		c.noteEnd(tm)
		got = append(got, max(0, time.Until(c.restUntil)))
		want := []time.Duration{restTime, 2 * restTime, 4 * restTime, 4 * restTime, 0, restTime, 0}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("rests (-want +got):\n%s", diff)
		}
	})
}
