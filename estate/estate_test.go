package estate_test

import (
	"io"
	"slices"
	"testing"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/allotment"
	"lycheehook.example/lycheehook/estate"
	"lycheehook.example/lycheehook/fleet"
)

// TestStoppedEntryHostHoldsNoParts checks that an entry host which leaves in good order hands back all that it held.
func TestStoppedEntryHostHoldsNoParts(t *testing.T) {
	e := estate.New(log.New(io.Discard))
	if err := e.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	if err := e.Prepare(t.Context()); err != nil {
		t.Fatal(err)
	}
	leaving := e.Entries()[0].Name
	if !slices.Contains(holders(t, e), leaving) {
		t.Fatalf("%s holds nothing, so nothing would be shown", leaving)
	}

	e.StopEntry()
	if got := holders(t, e); slices.Contains(got, leaving) {
		t.Errorf("%s left, but parts are held by %v", leaving, got)
	}
}

// holders returns the entry hosts that hold a part of any limit.
func holders(t *testing.T, e *estate.Estate) []fleet.EntryName {
	t.Helper()
	var names []fleet.EntryName
	for _, prefix := range []string{"limit/", "slots/"} {
		l, err := e.Store.Client().List(t.Context(), prefix)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range l.Records {
			rec, err := allotment.Decode(r.Value)
			if err != nil {
				t.Fatal(err)
			}
			for _, h := range rec.Holders() {
				names = append(names, h.Entry())
			}
		}
	}

	return names
}

func TestCheck(t *testing.T) {
	samples := map[string]func() estate.Sample{"ledger": estate.Ledger, "sleeves": estate.Sleeves}
	for name, sample := range samples {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := estate.New(log.New(io.Discard), estate.WithSample(sample()))
			if err := e.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			defer e.Stop()

			if err := e.Check(t.Context(), t.Output()); err != nil {
				t.Error(err)
			}
		})
	}
}
