package audit_test

import (
	"context"
	"strings"
	"testing"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

// largeEntry returns an entry that fills most of a segment of the minimum size.
func largeEntry() audit.Entry {
	e := keyEntry(9999)
	for range 100 {
		e.Changes = append(e.Changes, strings.Repeat("\x00", 256))
	}

	return e
}

// disconnectOnWrite returns a client whose next write calls write, returns an unknown outcome and disconnects it from the store
// until reconnect is called.
func disconnectOnWrite(c *store.Client, write func(store.Write)) (client *store.Client, reconnect func()) {
	f, disconnected := *c, false
	f.Get = func(ctx context.Context, key string) (store.Record, error) {
		if disconnected {
			return store.Record{}, store.ErrUnavailable
		}

		return c.Get(ctx, key)
	}
	f.CompareAndSwap = func(ctx context.Context, w store.Write) (uint64, error) {
		if write == nil {
			return c.CompareAndSwap(ctx, w)
		}
		write(w)
		write, disconnected = nil, true

		return 0, store.ErrOutcomeUnknown
	}

	return &f, func() { disconnected = false }
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

// A write takes effect but its response is lost, and other hosts start two more segments before it can be read back.
func TestUnknownOutcomeAfterRotations(t *testing.T) {
	s := standin.NewStore()
	client, back := disconnectOnWrite(s.Client(), func(w store.Write) { _, _ = s.Client().CompareAndSwap(context.Background(), w) })
	trail, busy := audit.New(client, "entry-1", audit.WithRetention(0, 100)), audit.New(s.Client(), "entry-2", audit.WithRetention(0, 100))
	trail.Record(keyEntry(0))
	if err := trail.Flush(t.Context()); err == nil {
		t.Fatal("Flush reported success although the response was lost")
	}
	for range 4 {
		flush(t, busy, largeEntry())
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

// A delayed write takes effect after the entry was written a second time.
func TestLateWriteIsDeduplicated(t *testing.T) {
	s := standin.NewStore()
	var held store.Write
	client, back := disconnectOnWrite(s.Client(), func(w store.Write) { held = w })
	trail, busy := audit.New(client, "entry-1", audit.WithRetention(0, 100)), audit.New(s.Client(), "entry-2", audit.WithRetention(0, 100))
	flush(t, busy, largeEntry())
	trail.Record(keyEntry(0))
	if err := trail.Flush(t.Context()); err == nil {
		t.Fatal("Flush reported success although the write was delayed")
	}
	flush(t, busy, largeEntry())
	back()
	flush(t, trail)
	if _, err := s.Client().CompareAndSwap(t.Context(), held); err != nil {
		t.Fatalf("the delayed write failed: %v", err)
	}

	if list := subjects(t, s.Client(), audit.Filter{Subject: "Keys/0000"}); len(list) != 1 {
		t.Errorf("Read returns the entry %d times, want once", len(list))
	}
}
