package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/store"
)

// sight is a view in short: the revisions of the records of f, m and a, whose cores fall in this order, and the owner.
type sight struct {
	at      time.Duration
	f, m, a uint64
	owner   fleet.EntryName
	owned   uint64
	lease   store.LeaseID
}

func (s sight) view(start time.Time) view {
	v := view{at: start.Add(s.at), revisions: map[fleet.EntryName]uint64{}, owner: s.owner, owned: s.owned, lease: s.lease}
	for _, h := range []struct {
		host     ledger.Host
		revision uint64
	}{{hostWith("f", 0.8), s.f}, {hostWith("m", 0.4), s.m}, {hostWith("a", 0.192), s.a}} {
		if h.revision != 0 {
			v.hosts, v.revisions[h.host.Name] = append(v.hosts, h.host), h.revision
		}
	}

	return v
}

// Guards against hosts that are blamed for what they could not help, and against hosts that are waited for although they have
// failed.
func TestObserve(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name   string
		sights []sight
		// refusing are the hosts that are expected not to take a term, and departed those that went away.
		refusing, departed []fleet.EntryName
	}{
		{"a term left to a weaker host", []sight{
			{0, 1, 0, 2, "", 0, 1}, {4 * s, 1, 0, 2, "a", 3, 1},
		}, []fleet.EntryName{"f"}, nil},
		{"a host that had to wait as well", []sight{
			{0, 1, 2, 3, "", 0, 1}, {4 * s, 1, 2, 3, "a", 4, 1},
		}, []fleet.EntryName{"f"}, nil},
		{"a short period without an owner", []sight{
			{0, 1, 0, 2, "", 0, 1}, {2 * s, 1, 0, 2, "a", 3, 1},
		}, nil, nil},
		{"a host that came late", []sight{
			{0, 0, 0, 2, "", 0, 1}, {2 * s, 1, 0, 2, "", 0, 1}, {4 * s, 1, 0, 2, "a", 3, 1},
		}, nil, nil},
		{"an observer without a lease", []sight{
			{0, 1, 0, 2, "", 0, 0}, {3 * s, 1, 0, 2, "", 0, 1}, {4 * s, 1, 0, 2, "a", 3, 1},
		}, nil, nil},
		{"an observer that never had a lease", []sight{
			{0, 1, 0, 2, "", 0, 0}, {4 * s, 1, 0, 2, "a", 3, 0},
		}, nil, nil},
		{"given up early", []sight{
			{0, 1, 0, 2, "f", 3, 1}, {12 * s, 1, 0, 2, "", 0, 1},
		}, []fleet.EntryName{"f"}, nil},
		{"given up early for a weaker host, seen at once", []sight{
			{0, 1, 0, 2, "f", 3, 1}, {12 * s, 1, 0, 2, "a", 4, 1},
		}, []fleet.EntryName{"f"}, nil},
		{"given up early for a stronger host", []sight{
			{0, 1, 2, 0, "m", 3, 1}, {12 * s, 1, 2, 0, "", 0, 1}, {13 * s, 1, 2, 0, "f", 4, 1},
		}, nil, nil},
		{"given up after a long term", []sight{
			{0, 1, 0, 2, "f", 3, 1}, {40 * s, 1, 0, 2, "", 0, 1}, {41 * s, 1, 0, 2, "a", 4, 1},
		}, nil, nil},
		{"an owner that was restarted", []sight{
			{0, 1, 0, 2, "f", 3, 1}, {12 * s, 4, 0, 2, "", 0, 1}, {13 * s, 4, 0, 2, "a", 5, 1},
		}, nil, []fleet.EntryName{"f"}},
		{"an owner that died", []sight{
			{0, 1, 0, 2, "f", 3, 1}, {12 * s, 0, 0, 2, "", 0, 1}, {13 * s, 0, 0, 2, "a", 5, 1},
		}, nil, []fleet.EntryName{"f"}},
		{"all leases lost", []sight{
			{0, 1, 0, 2, "a", 3, 1}, {12 * s, 1, 0, 2, "a", 3, 0}, {13 * s, 4, 0, 5, "", 0, 2},
		}, nil, nil},
		{"refusal forgotten after a long term", []sight{
			{0, 1, 0, 2, "", 0, 1}, {4 * s, 1, 0, 2, "a", 3, 1}, {5 * s, 1, 0, 2, "f", 4, 1}, {40 * s, 1, 0, 2, "f", 4, 1},
		}, nil, nil},
		{"refusal at its end", []sight{
			{0, 1, 0, 2, "", 0, 1}, {4 * s, 1, 0, 2, "a", 3, 1}, {4*s + refusalEffect, 1, 0, 2, "a", 3, 1},
		}, nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Now()
			var st standings
			var now time.Time
			for _, sight := range tt.sights {
				v := sight.view(start)
				st.observe(v)
				now = v.at
			}
			var refusing, departed []fleet.EntryName
			for name, h := range st.hosts {
				if h.refuses(now) {
					refusing = append(refusing, name)
				}
				if h.departures > 0 {
					departed = append(departed, name)
				}
			}
			slices.Sort(refusing)
			slices.Sort(departed)
			if diff := cmp.Diff(tt.refusing, refusing); diff != "" {
				t.Errorf("refusing (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.departed, departed); diff != "" {
				t.Errorf("departed (-want +got):\n%s", diff)
			}
		})
	}
}
