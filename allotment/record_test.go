package allotment_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/allotment"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/standin"
)

func amount(rng *rand.Rand) fleet.Resources {
	return fleet.Resources{Slots: rng.Int64N(12), Cores: fleet.MilliCores(rng.Int64N(12)), Memory: fleet.Mebibytes(rng.Int64N(12))}
}

// TestAllocationsStayWithinLimit applies random transitions and checks the invariant of Limit
// after each.
func TestAllocationsStayWithinLimit(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		holders := []fleet.Incarnation{"a#1", "b#1", "b#2", "c#1"}
		var l allotment.Limit
		for step := range 2000 {
			from, to := holders[rng.IntN(4)], holders[rng.IntN(4)]
			before := l
			var did string
			switch rng.IntN(10) {
			case 0:
				l, did = l.WithUpper(amount(rng).Times(2)), "upper"
			case 1:
				l, did = l.WithoutHolder(from), "reclaim"
			case 2, 3:
				l, did = l.WithReleased(from, amount(rng)), "release"
			case 4, 5, 6:
				l, did = l.WithTransferred(from, to, amount(rng)), "transfer"
			default:
				l, did = l.WithAcquired(from, amount(rng)), "acquire"
			}
			if err := checkStep(before, l, did); err != nil {
				t.Fatalf("seed %d, step %d, %s from %s to %s: %v\nbefore %v\nafter %v", seed, step, did, from, to, err, before, l)
			}
		}
	}
}

func checkStep(before, after allotment.Limit, did string) error {
	if did != "upper" && !after.Allocated().FitsIn(before.Allocated().Max(after.Upper)) {
		return errors.New("the allocations grew beyond the limit")
	}
	if did == "transfer" && after.Allocated() != before.Allocated() {
		return errors.New("a transfer changed the sum")
	}
	for _, p := range after.Allocations {
		if p.Amount.IsNegative() {
			return fmt.Errorf("allocation of %s is negative", p.Holder)
		}
		grown := p.Amount.Minus(before.Allocation(p.Holder)).Max(fleet.Resources{})
		if !grown.Min(after.Excess()).IsZero() && did != "upper" {
			return fmt.Errorf("allocation of %s grew in excess", p.Holder)
		}
	}

	return nil
}

func TestRecordWithLimits(t *testing.T) {
	upper := func(n int64) map[string]fleet.Resources { return map[string]fleet.Resources{"t": slots(n)} }
	held := allotment.Record{}.WithLimits(5, upper(10)).
		WithLimit("t", allotment.Limit{Upper: slots(10)}.WithAcquired("a#1", slots(4)))
	for _, c := range []struct {
		name     string
		revision uint64
		upper    map[string]fleet.Resources
		want     int64
		known    bool
	}{
		{"newer", 6, upper(3), 3, true},
		{"equal", 5, upper(3), 10, true},
		{"older", 4, upper(3), 10, true},
		{"older without it", 4, nil, 10, true},
		{"newer without it", 6, nil, 0, true},
	} {
		l, ok := held.WithLimits(c.revision, c.upper).Limits.Get("t")
		if ok != c.known || l.Upper != slots(c.want) || l.Allocation("a#1") != slots(4) {
			t.Errorf("%s: got %v, %t", c.name, l, ok)
		}
	}
	if r := held.WithLimits(6, nil).WithoutHolder("a#1"); r.Limits.Len() != 0 {
		t.Errorf("a deleted limit remains after its last allocation was freed: %v", r)
	}
}

func TestRecordRoundTrip(t *testing.T) {
	want := allotment.Record{}.WithLimits(5, map[string]fleet.Resources{"t": slots(10), "u": {Cores: 500, Memory: 7}})
	l, _ := want.Limits.Get("t")
	want = want.WithLimit("t", l.WithAcquired("b#1", slots(4)).WithAcquired("a#1", slots(3)))
	value, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := allotment.Decode(value)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want.Limits.Values(), got.Limits.Values()); diff != "" || got.Revision != want.Revision {
		t.Errorf("revision %d, %s", got.Revision, diff)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Revision":3,"Limits":[{"Name":"t","Upper":{"Slots":4},"Parts":[{"Holder":"a#1","Amount":{"Slots":2}}]}]}`))
	f.Add([]byte(`{"Limits":[{"Name":"t"},{"Name":"t"}]}`))
	f.Add([]byte(`{"Limits":[{"Name":"t","Parts":[{"Holder":"b","Amount":{"Slots":-2}},{"Holder":"a"}]}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := allotment.Decode(value)
		if err != nil {
			return
		}
		again, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := allotment.Decode(again); err != nil && len(value) > 0 {
			t.Errorf("decoded %s, then %v", value, err)
		}
	})
}

// TestAcquireRefusals checks the refusal code for each state in which a holder can't admit work.
func TestAcquireRefusals(t *testing.T) {
	h := allotment.New(standin.NewStore().Client(), "a#1")
	for _, c := range []struct {
		name       string
		leaseValid bool
		key        allotment.Key
		size       fleet.Resources
		want       refusal.Code
	}{
		{"unknown limit", true, allotment.Key{Set: allotment.Limits, Name: "other"}, slots(1), refusal.UpperLimit},
		{"no valid lease", false, teamKey, slots(1), refusal.NotFresh},
		{"no allocation", true, teamKey, slots(1), refusal.UpperLimit},
		{"negative size", true, teamKey, slots(-1), refusal.RequestInvalid},
	} {
		h.LeaseValid = func(time.Time) bool { return c.leaseValid }
		h.SetLimits(allotment.Limits, 1, map[string]fleet.Resources{teamKey.Name: slots(5)})
		_, err := h.Acquire(c.key, c.size)
		if !errors.Is(err, &refusal.NotRunError{Code: c.want}) {
			t.Errorf("%s: got %v, want %s", c.name, err, c.want)
		}
	}
}
