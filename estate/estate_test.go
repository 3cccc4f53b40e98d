package estate_test

import (
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/allotment"
	"lycheehook.example/lycheehook/estate"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/member"
)

// An entry host that stops gracefully returns its allocations and its seat and leaves the membership. Otherwise the others would
// wait for its confirmation and could not be fresh during an outage of the store.
func TestGracefulStopReleasesAllocationsAndSeat(t *testing.T) {
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
		t.Fatalf("%s holds no allocation before the stop, so the test would prove nothing", leaving)
	}

	e.StopEntry()
	if got := holders(t, e); slices.Contains(got, leaving) {
		t.Errorf("%s has stopped but still holds allocations; holders: %v", leaving, got)
	}
	// The others may write the seat once more before they notice that the member has left.
	deadline := time.Now().Add(member.DefaultFreshFor)
	for named := keysNaming(t, e, leaving); len(named) > 0; named = keysNaming(t, e, leaving) {
		if time.Now().After(deadline) {
			t.Fatalf("%s has stopped, but %v still name it", leaving, named)
		}
		<-time.After(10 * time.Millisecond)
	}
}

// keysNaming returns the store keys that name an entry host as a member or as the holder of a seat.
func keysNaming(t *testing.T, e *estate.Estate, name fleet.EntryName) []string {
	t.Helper()
	var keys []string
	for _, prefix := range []string{"member/", "config/head"} {
		l, err := e.Store.Client().List(t.Context(), prefix)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range l.Records {
			if strings.Contains(r.Key+string(r.Value), string(name)+"#") {
				keys = append(keys, r.Key)
			}
		}
	}

	return keys
}

// holders returns the entry hosts that hold an allocation of any limit.
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
