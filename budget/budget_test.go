package budget_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/budget"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
)

var at = time.Unix(100, 0).UTC()

func limit(n int) fleet.Budget { return fleet.Budget{Name: "b", MaxUnavailable: n} }

func planned(h fleet.HostName, intent hostapi.IntentID) budget.Hold {
	return budget.Hold{Host: h, Reason: budget.Planned, Intent: intent, Since: at}
}

func unplanned(h fleet.HostName) budget.Hold {
	return budget.Hold{Host: h, Reason: budget.Unplanned, Since: at}
}

func TestTransitions(t *testing.T) {
	spend := func(h fleet.HostName, intent hostapi.IntentID) func(budget.Record) (budget.Record, error) {
		return func(r budget.Record) (budget.Record, error) { return r.WithPlanned(h, intent, at) }
	}
	reconcile := func(s map[fleet.HostName]budget.HostState) func(budget.Record) (budget.Record, error) {
		return func(r budget.Record) (budget.Record, error) { return r.Reconciled(s, at), nil }
	}
	lost := budget.HostState{Unavailable: true, Reason: budget.Unplanned}
	cases := []struct {
		name   string
		max    int
		holds  []budget.Hold
		change func(budget.Record) (budget.Record, error)
		want   []budget.Hold
		err    error
	}{
		{"spend", 1, nil, spend("h1", "i1"), []budget.Hold{planned("h1", "i1")}, nil},
		{"spend again", 1, []budget.Hold{planned("h1", "i1")}, spend("h1", "i1"), []budget.Hold{planned("h1", "i1")}, nil},
		{"spend the last unit twice", 1, []budget.Hold{planned("h1", "i1")}, spend("h2", "i2"), []budget.Hold{planned("h1", "i1")}, budget.ErrExhausted},
		{"spend under another intent", 2, []budget.Hold{planned("h1", "i1")}, spend("h1", "i2"), []budget.Hold{planned("h1", "i1")}, budget.ErrHeld},
		{"unplanned outage uses the unit", 1, []budget.Hold{unplanned("h1")}, spend("h2", "i2"), []budget.Hold{unplanned("h1")}, budget.ErrExhausted},
		{"maximum lowered below the unavailable hosts", 1, []budget.Hold{planned("h1", "i1"), planned("h2", "i2")}, spend("h3", "i3"),
			[]budget.Hold{planned("h1", "i1"), planned("h2", "i2")}, budget.ErrExhausted},
		{"unplanned outage above the maximum", 1, []budget.Hold{planned("h1", "i1")},
			reconcile(map[fleet.HostName]budget.HostState{"h1": {Intent: "i1"}, "h2": lost}), []budget.Hold{planned("h1", "i1"), unplanned("h2")}, nil},
		{"unplanned outage of a draining host keeps its unit", 1, []budget.Hold{planned("h1", "i1")}, reconcile(map[fleet.HostName]budget.HostState{"h1": lost}),
			[]budget.Hold{{Host: "h1", Reason: budget.Unplanned, Intent: "i1", Since: at}}, nil},
		{"reserving host keeps its unit", 1, []budget.Hold{planned("h1", "i1")}, reconcile(map[fleet.HostName]budget.HostState{"h1": {Intent: "i1"}}),
			[]budget.Hold{planned("h1", "i1")}, nil},
		{"unit is freed when the host returns", 1, []budget.Hold{planned("h1", "i1")}, reconcile(nil), []budget.Hold{}, nil},
		{"unit of an older intent is freed", 1, []budget.Hold{planned("h1", "i1")}, reconcile(map[fleet.HostName]budget.HostState{"h1": {Intent: "i2"}}), []budget.Hold{}, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := budget.Record{Name: "b", MaxUnavailable: tc.max, Holds: tc.holds}
			before := fmt.Sprint(r)
			got, err := tc.change(r)
			if !errors.Is(err, tc.err) {
				t.Errorf("error %v, want %v", err, tc.err)
			}
			if diff := cmp.Diff(tc.want, got.Holds); diff != "" {
				t.Errorf("holds (-want +got):\n%s", diff)
			}
			if fmt.Sprint(r) != before {
				t.Errorf("the record changed in place to %v", r)
			}
		})
	}
}

func TestStaleLimit(t *testing.T) {
	r, err := budget.Record{}.WithLimit(limit(1), 7)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.WithLimit(limit(5), 6); !errors.Is(err, budget.ErrStaleLimit) {
		t.Errorf("limit of an older revision: error %v, want ErrStaleLimit", err)
	}
	if r, err = r.WithLimit(limit(5), 8); err != nil || r.Free() != 5 {
		t.Errorf("limit of a newer revision: %v, %d free", err, r.Free())
	}
}

// TestPlannedOutagesStayWithinMaximum checks over random sequences that a unit is spent for a
// planned outage only below the maximum.
func TestPlannedOutagesStayWithinMaximum(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		r, _ := budget.Record{}.WithLimit(limit(rng.IntN(4)), 1)
		for i := range 40 {
			h := fleet.HostName(fmt.Sprint(rng.IntN(8)))
			out := r.Held()
			switch rng.IntN(4) {
			case 0:
				r = r.WithUnavailable(h, budget.Unplanned, "", at)
			case 1:
				r, _ = r.WithLimit(limit(rng.IntN(4)), uint64(i+1))
			case 2:
				r = r.Reconciled(map[fleet.HostName]budget.HostState{h: {Unavailable: true, Reason: budget.Planned}}, at)
			default:
				next, err := r.WithPlanned(h, hostapi.IntentID(fmt.Sprint(h, i)), at)
				if err == nil && next.Held() > out && out >= r.MaxUnavailable {
					t.Fatalf("unit %d of %d spent on a planned outage", next.Held(), r.MaxUnavailable)
				}
				r = next
			}
		}
	}
}
