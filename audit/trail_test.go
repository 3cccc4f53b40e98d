package audit_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

func keyEntry(i int) audit.Entry {
	return audit.Entry{Who: "wanjiru", Action: audit.GiveKey, Subject: fmt.Sprintf("Keys/%04d", i), Result: audit.Accepted}
}

func subjects(t *testing.T, c *store.Client, f audit.Filter) []string {
	t.Helper()
	entries, err := audit.Read(t.Context(), c, f)
	if err != nil {
		t.Fatal(err)
	}
	list := make([]string, len(entries))
	for i, e := range entries {
		list[i] = e.Subject
	}

	return list
}

// faulty returns a client of whose writes some lose their response and some never reach the store.
func faulty(c *store.Client, seed uint64) *store.Client {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 1))
	f := *c
	f.CompareAndSwap = func(ctx context.Context, w store.Write) (uint64, error) {
		mu.Lock()
		n := r.IntN(10)
		mu.Unlock()
		switch {
		case n < 3:
			_, _ = c.CompareAndSwap(ctx, w)
			return 0, store.ErrOutcomeUnknown
		case n < 5:
			return 0, store.ErrOutcomeUnknown
		}

		return c.CompareAndSwap(ctx, w)
	}

	return &f
}

// Hosts that write concurrently and lose responses write each entry exactly once.
func TestEachEntryWrittenOnce(t *testing.T) {
	const hosts, entries = 4, 25
	for seed := range uint64(8) {
		s := standin.NewStore()
		var wg sync.WaitGroup
		for h := range hosts {
			trail := audit.New(faulty(s.Client(), seed*hosts+uint64(h)), fleet.EntryName(fmt.Sprintf("entry-%d", h)),
				audit.WithRetention(0, 1000))
			wg.Go(func() {
				for i := range entries {
					e := keyEntry(h*entries + i)
					// Large entries cause rotations during the concurrent writes.
					for range 90 {
						e.Changes = append(e.Changes, strings.Repeat("x", 250))
					}
					trail.Record(e)
					if i%5 == 4 {
						_ = trail.Flush(t.Context())
					}
				}
				for range 50 {
					_ = trail.Flush(t.Context())
				}
			})
		}
		wg.Wait()

		count := map[string]int{}
		for _, subject := range subjects(t, s.Client(), audit.Filter{}) {
			count[subject]++
		}
		for i := range hosts * entries {
			if n := count[keyEntry(i).Subject]; n != 1 {
				t.Errorf("seed %d: Read returns entry %d %d times", seed, i, n)
			}
		}
	}
}

func TestStoreFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault standin.Fault
	}{
		{"down", standin.FaultDown},
		{"silent", standin.FaultSilent},
		{"responses lost", standin.FaultAnswerLost},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			s := standin.NewStore()
			trail := audit.New(s.Client(), "entry-1")
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { trail.Run(ctx); close(done) }()
			trail.Record(keyEntry(0))
			time.Sleep(time.Minute)

			s.SetFault(tt.fault)
			trail.Record(keyEntry(1))
			if err := trail.Flush(t.Context()); tt.fault != standin.FaultAnswerLost && !errors.Is(err, audit.ErrNotWritten) {
				t.Errorf("%s: Flush returned %v", tt.name, err)
			}
			time.Sleep(time.Hour)
			trail.Record(keyEntry(2))
			s.SetFault(standin.FaultNone)
			time.Sleep(time.Minute)
			trail.Record(keyEntry(3))
			stop()
			<-done

			want := []string{"Keys/0000", "Keys/0001", "Keys/0002", "Keys/0003"}
			if diff := cmp.Diff(want, subjects(t, s.Client(), audit.Filter{})); diff != "" {
				t.Errorf("%s (-want +got):\n%s", tt.name, diff)
			}
			if diff := cmp.Diff(audit.Counts{Recorded: 4, Written: 4}, trail.Counts()); diff != "" {
				t.Errorf("%s (-want +got):\n%s", tt.name, diff)
			}
		})
	}
}

func TestOverflowIsReported(t *testing.T) {
	s := standin.NewStore()
	s.SetFault(standin.FaultDown)
	trail := audit.New(s.Client(), "entry-1", audit.WithBufferSize(3))
	for i := range 5 {
		trail.Record(keyEntry(i))
		_ = trail.Flush(t.Context())
	}
	if diff := cmp.Diff(audit.Counts{Recorded: 5, Lost: 2, Waiting: 3}, trail.Counts()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}

	s.SetFault(standin.FaultNone)
	if err := trail.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	entries, err := audit.Read(t.Context(), s.Client(), audit.Filter{Action: audit.LoseEntries})
	if err != nil || len(entries) != 1 || !strings.HasPrefix(entries[0].Reason, "2 entries") {
		t.Errorf("the trail reports %+v, %v; want one entry that reports 2 lost ones", entries, err)
	}
}

func TestRetention(t *testing.T) {
	const kept = 3
	s := standin.NewStore()
	idle := audit.New(s.Client(), "entry-2", audit.WithRetention(0, kept))
	trail := audit.New(s.Client(), "entry-1", audit.WithRetention(0, kept))
	for i := range 200 {
		e := keyEntry(i)
		for range 500 {
			// Characters that JSON escapes yield the largest entries.
			e.Changes = append(e.Changes, strings.Repeat("\x00", 1000))
		}
		trail.Record(e)
		if i == 0 {
			idle.Record(e)
		}
		if err := errors.Join(trail.Flush(t.Context()), idle.Flush(t.Context())); err != nil {
			t.Fatal(err)
		}
	}

	listing, err := s.Client().List(t.Context(), "audit/segment/")
	if err != nil || len(listing.Records) != kept {
		t.Fatalf("%d segments, %v; want %d", len(listing.Records), err, kept)
	}
	for _, r := range listing.Records {
		if len(r.Value) > store.MaxValueSize/2 {
			t.Errorf("%s has %d bytes", r.Key, len(r.Value))
		}
	}
	list := subjects(t, s.Client(), audit.Filter{})
	if len(list) == 0 || list[len(list)-1] != "Keys/0199" {
		t.Errorf("the newest entry is missing of %v", list)
	}
}

// A host that has not written for a long time must not append to a segment that is about to be deleted.
func TestIdleHostAppendsToNewestSegment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		idle, busy := audit.New(s.Client(), "entry-1", audit.WithRetention(0, 2)), audit.New(s.Client(), "entry-2", audit.WithRetention(0, 2))
		large := keyEntry(1)
		for range 100 {
			large.Changes = append(large.Changes, strings.Repeat("\x00", 256))
		}
		busy.Record(large)
		idle.Record(keyEntry(0))
		if err := errors.Join(busy.Flush(t.Context()), idle.Flush(t.Context())); err != nil {
			t.Fatal(err)
		}
		busy.Record(large)
		if err := busy.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}

		time.Sleep(time.Hour)
		idle.Record(keyEntry(2))
		if err := idle.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		busy.Record(large)
		if err := busy.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		if list := subjects(t, s.Client(), audit.Filter{Subject: "Keys/0002"}); len(list) != 1 {
			t.Errorf("Read returns the entry of the idle host %d times, want once", len(list))
		}
	})
}

func TestEntriesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		trail := audit.New(s.Client(), "entry-1")
		go trail.Run(t.Context())
		for i := range 200 {
			trail.Record(keyEntry(i))
		}
		time.Sleep(time.Minute)
		if n := s.Calls()["CompareAndSwap"]; n != 1 {
			t.Errorf("200 entries took %d writes, want 1", n)
		}
		if n := len(subjects(t, s.Client(), audit.Filter{})); n != 200 {
			t.Errorf("the trail has %d entries, want 200", n)
		}
	})
}

func TestFilter(t *testing.T) {
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	s := standin.NewStore()
	trail := audit.New(s.Client(), "entry-1")
	for i, e := range []audit.Entry{
		{Who: "wanjiru", Action: audit.ApplyLists, Subject: "Lists"},
		{Who: "kiri", Action: audit.GiveKey, Subject: "Keys/a"},
		{Who: "wanjiru", Action: audit.WithdrawKey, Subject: "Keys/a"},
		{Who: "entry-1", Action: audit.DrainHost, Subject: "Hosts/worker-01"},
	} {
		e.Time = start.Add(time.Duration(i) * time.Minute)
		trail.Record(e)
	}
	if err := trail.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}

	tests := []struct {
		filter audit.Filter
		want   []string
	}{
		{audit.Filter{}, []string{"Lists", "Keys/a", "Keys/a", "Hosts/worker-01"}},
		{audit.Filter{Who: "wanjiru"}, []string{"Lists", "Keys/a"}},
		{audit.Filter{Subject: "Keys/"}, []string{"Keys/a", "Keys/a"}},
		{audit.Filter{Action: audit.DrainHost}, []string{"Hosts/worker-01"}},
		{audit.Filter{Since: start.Add(2 * time.Minute)}, []string{"Keys/a", "Hosts/worker-01"}},
		{audit.Filter{Limit: 1}, []string{"Hosts/worker-01"}},
		{audit.Filter{Who: "nobody"}, []string{}},
	}
	for _, tt := range tests {
		if diff := cmp.Diff(tt.want, subjects(t, s.Client(), tt.filter)); diff != "" {
			t.Errorf("%+v (-want +got):\n%s", tt.filter, diff)
		}
	}
}
