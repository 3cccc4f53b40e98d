package audit_test

import (
	"context"
	"strings"
	"testing"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

// large fills most of a segment of the least size.
func large() audit.Entry {
	e := given(9999)
	for range 100 {
		e.Changes = append(e.Changes, strings.Repeat("\x00", 256))
	}

	return e
}

// cutOff returns a client whose next write is done by write, after which it reaches the store again only when back is called.
func cutOff(c *store.Client, write func(store.Write)) (client *store.Client, back func()) {
	f, cut := *c, false
	f.Get = func(ctx context.Context, key string) (store.Record, error) {
		if cut {
			return store.Record{}, store.ErrUnavailable
		}

		return c.Get(ctx, key)
	}
	f.CompareAndSwap = func(ctx context.Context, w store.Write) (uint64, error) {
		if write == nil {
			return c.CompareAndSwap(ctx, w)
		}
		write(w)
		write, cut = nil, true

		return 0, store.ErrOutcomeUnknown
	}

	return &f, func() { cut = false }
}

func flush(t *testing.T, trail *audit.Trail, entries ...audit.Entry) {
	t.Helper()
	for _, e := range entries {
		trail.Record(e)
	}
	if err := trail.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// The write of an entry took effect, its answer was lost, and others moved on by two segments before it could be read back.
func TestLostAnswerIsSettledAfterRotations(t *testing.T) {
	s := standin.NewStore()
	client, back := cutOff(s.Client(), func(w store.Write) { _, _ = s.Client().CompareAndSwap(context.Background(), w) })
	trail, busy := audit.New(client, "entry-1", audit.WithRetention(0, 100)), audit.New(s.Client(), "entry-2", audit.WithRetention(0, 100))
	trail.Record(given(0))
	if err := trail.Flush(t.Context()); err == nil {
		t.Fatal("the lost answer was not noticed")
	}
	for range 4 {
		flush(t, busy, large())
	}
	back()
	flush(t, trail)

	listing, err := s.Client().List(t.Context(), "audit/segment/")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, r := range listing.Records {
		n += strings.Count(string(r.Value), "Keys/0000")
	}
	if n != 1 {
		t.Errorf("the entry is in the store %d times, want once", n)
	}
}

// A write that was given up for lost takes effect after the entry was written again.
func TestLateWriteCountsOnce(t *testing.T) {
	s := standin.NewStore()
	var held store.Write
	client, back := cutOff(s.Client(), func(w store.Write) { held = w })
	trail, busy := audit.New(client, "entry-1", audit.WithRetention(0, 100)), audit.New(s.Client(), "entry-2", audit.WithRetention(0, 100))
	flush(t, busy, large())
	trail.Record(given(0))
	if err := trail.Flush(t.Context()); err == nil {
		t.Fatal("the lost write was not noticed")
	}
	flush(t, busy, large())
	back()
	flush(t, trail)
	if _, err := s.Client().CompareAndSwap(t.Context(), held); err != nil {
		t.Fatalf("the late write did not land: %v", err)
	}

	if list := subjects(t, s.Client(), audit.Filter{Subject: "Keys/0000"}); len(list) != 1 {
		t.Errorf("the entry stands %d times, want once", len(list))
	}
}
