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

// What a caller is told of a record is true under each fault of the store.
func TestPut(t *testing.T) {
	tests := []struct {
		name   string
		fault  standin.Fault
		there  string
		base   uint64
		err    error
		stored bool
	}{
		{"stored", standin.FaultNone, "", 0, nil, true},
		{"there already", standin.FaultNone, "value", 0, nil, true},
		{"another is there", standin.FaultNone, "other", 0, store.ErrConflict, false},
		{"changed since", standin.FaultNone, "other", 99, store.ErrConflict, false},
		{"the store is down", standin.FaultDown, "", 0, ErrNotStored, false},
		{"the answer is lost", standin.FaultAnswerLost, "", 0, nil, true},
		{"the store is silent", standin.FaultSilent, "", 0, ErrUnknown, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.NewStore()
				if tt.there != "" {
					if _, err := s.Client().Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "k", Value: []byte(tt.there)}}}); err != nil {
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
					t.Error("what was said not to be stored is stored later")
				}
			})
		})
	}
}

// Many records go into few transactions, and one that conflicts does not hold up the others.
func TestGroups(t *testing.T) {
	s := standin.NewStore()
	if _, err := s.Client().Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "k7", Value: []byte("taken")}}}); err != nil {
		t.Fatal(err)
	}
	s.SetDelay(20 * time.Millisecond)
	d := NewCommitter(s.Client(), log.New(io.Discard))
	const records = 40
	var all sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[bool]int{}
	for i := range records {
		all.Go(func() {
			_, _, err := d.Put(t.Context(), fmt.Sprint("k", i), []byte("mine"), 0)
			mu.Lock()
			defer mu.Unlock()
			outcomes[err == nil]++
		})
	}
	all.Wait()
	check(t, "outcomes", map[bool]int{true: records - 1, false: 1}, outcomes)
	if n := s.Calls()["Commit"]; n > 10 {
		t.Errorf("%d transactions for %d records", n, records)
	}
}

// Harambee, inc-3815: while the store takes longer than the shortest wait, records are not written twice for ever.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		s.SetDelay(2 * minStoreWait)
		d := NewCommitter(s.Client(), log.New(io.Discard))
		const records = 20
		for i := range records {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			if _, _, err := d.Put(ctx, fmt.Sprint("k", i), []byte("v"), 0); err != nil {
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

// Once the store is known to be away for some time, a job is refused at once rather than when its caller's time is over.
func TestRefusedAtOnceInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		s.SetFault(standin.FaultDown)
		d := NewCommitter(s.Client(), log.New(io.Discard))
		file := func(key string) (time.Duration, error) {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			began := time.Now()
			_, _, err := d.Put(ctx, key, []byte("v"), 0)

			return time.Since(began), err
		}
		if took, err := file("first"); !errors.Is(err, ErrNotStored) || took > outagePatience+retryPause {
			t.Errorf("first: %v after %v", err, took)
		}
		if took, err := file("second"); !errors.Is(err, ErrNotStored) || took > retryPause {
			t.Errorf("second: %v after %v", err, took)
		}
		s.SetFault(standin.FaultNone)
		time.Sleep(time.Second)
		if _, err := file("third"); err != nil {
			t.Errorf("after the outage: %v", err)
		}
		for _, key := range []string{"first", "second"} {
			if _, err := s.Client().Get(t.Context(), key); err == nil {
				t.Errorf("%s was refused and is stored", key)
			}
		}
	})
}
