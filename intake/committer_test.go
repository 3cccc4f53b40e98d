package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

func check(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// TestPut checks that the outcome reported to the caller is correct under each fault of the store.
func TestPut(t *testing.T) {
	tests := []struct {
		name     string
		fault    standin.Fault
		existing string
		base     uint64
		err      error
		stored   bool
	}{
		{"stored", standin.FaultNone, "", 0, nil, true},
		{"already stored", standin.FaultNone, "value", 0, nil, true},
		{"key has another value", standin.FaultNone, "other", 0, store.ErrConflict, false},
		{"key changed since", standin.FaultNone, "other", 99, store.ErrConflict, false},
		{"the store is down", standin.FaultDown, "", 0, ErrNotStored, false},
		{"the response is lost", standin.FaultAnswerLost, "", 0, nil, true},
		{"the store does not respond", standin.FaultSilent, "", 0, ErrOutcomeUnknown, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.NewStore()
				if tt.existing != "" {
					if _, err := s.Client().Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "k", Value: []byte(tt.existing)}}}); err != nil {
						t.Fatal(err)
					}
				}
				s.SetFault(tt.fault)
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				_, _, err := NewCommitter(s.Client(), log.New(io.Discard)).Put(ctx, "k", []byte("value"), tt.base)
				if !errors.Is(err, tt.err) || tt.err == nil && err != nil {
					t.Errorf("got %v, want %v", err, tt.err)
				}

				s.SetFault(standin.FaultNone)
				time.Sleep(5 * time.Second)
				r, err := s.Client().Get(t.Context(), "k")
				check(t, "stored", tt.stored, err == nil && string(r.Value) == "value")
				if errors.Is(tt.err, ErrNotStored) && err == nil {
					t.Error("a record reported as not stored was stored later")
				}
			})
		})
	}
}

// TestBatching checks that concurrent writes share few transactions and that a conflicting record does not block the others.
func TestBatching(t *testing.T) {
	s := standin.NewStore()
	if _, err := s.Client().Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "k7", Value: []byte("taken")}}}); err != nil {
		t.Fatal(err)
	}
	s.SetDelay(20 * time.Millisecond)
	c := NewCommitter(s.Client(), log.New(io.Discard))
	const records = 40
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[bool]int{}
	for i := range records {
		wg.Go(func() {
			_, _, err := c.Put(t.Context(), fmt.Sprint("k", i), []byte("mine"), 0)
			mu.Lock()
			defer mu.Unlock()
			outcomes[err == nil]++
		})
	}
	wg.Wait()
	check(t, "outcomes", map[bool]int{true: records - 1, false: 1}, outcomes)
	if n := s.Calls()["Commit"]; n > 10 {
		t.Errorf("%d transactions for %d records", n, records)
	}
}

// TestSlowStore guards against inc-3815: while the store took longer than the minimum commit timeout, every record was
// written again and again.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		s.SetDelay(2 * minCommitTimeout)
		c := NewCommitter(s.Client(), log.New(io.Discard))
		const records = 20
		for i := range records {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			if _, _, err := c.Put(ctx, fmt.Sprint("k", i), []byte("v"), 0); err != nil {
				t.Error(err)
			}
			cancel()
			time.Sleep(time.Second)
		}
		if n := s.Calls()["Commit"]; n > records+3 {
			t.Errorf("%d transactions for %d records", n, records)
		}
	})
}

// TestFailFastDuringOutage checks that, once the store has been unreachable for outageThreshold, a write fails at once
// rather than at its caller's deadline.
func TestFailFastDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		s.SetFault(standin.FaultDown)
		c := NewCommitter(s.Client(), log.New(io.Discard))
		put := func(key string) (time.Duration, error) {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			start := time.Now()
			_, _, err := c.Put(ctx, key, []byte("v"), 0)

			return time.Since(start), err
		}
		if elapsed, err := put("first"); !errors.Is(err, ErrNotStored) || elapsed > outageThreshold+retryDelay {
			t.Errorf("first: %v after %v", err, elapsed)
		}
		if elapsed, err := put("second"); !errors.Is(err, ErrNotStored) || elapsed > retryDelay {
			t.Errorf("second: %v after %v", err, elapsed)
		}
		s.SetFault(standin.FaultNone)
		time.Sleep(time.Second)
		if _, err := put("third"); err != nil {
			t.Errorf("after the outage: %v", err)
		}
		for _, key := range []string{"first", "second"} {
			if _, err := s.Client().Get(t.Context(), key); err == nil {
				t.Errorf("%s was reported as not stored but is stored", key)
			}
		}
	})
}
