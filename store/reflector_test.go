package store_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

const checkInterval = 500 * time.Millisecond

// replica is the copy that a reflector keeps in a test.
type replica struct {
	mu     sync.Mutex
	values map[string]string
	// invalid is a value that can't be applied.
	invalid string
}

var errInvalid = errors.New("invalid value")

func (r *replica) apply(u store.Update) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.Full {
		r.values = map[string]string{}
	}
	for _, ev := range u.Events {
		switch value := string(ev.Record.Value); {
		case ev.Deleted:
			delete(r.values, ev.Record.Key)
		case r.invalid != "" && value == r.invalid:
			return errInvalid
		default:
			r.values[ev.Record.Key] = value
		}
	}

	return nil
}

func (r *replica) value(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.values[key]
}

// checkOf returns a check that reads one key into the replica.
func (r *replica) checkOf(c *store.Client, key string) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		rec, err := c.Get(ctx, key)
		if err != nil {
			return err
		}

		return r.apply(store.Update{Events: []store.Event{{Record: rec}}})
	}
}

func put(t *testing.T, s *standin.Store, key, value string) {
	t.Helper()
	if _, err := s.Client().Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

// deaf returns a client whose watches hear of no change while deaf is set, but of those to other keys if others is set too.
func deaf(c *store.Client, others bool) *store.Client {
	d := *c
	d.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Events, error) {
		ev, err := c.Watch(ctx, prefix, after, wait)
		var heard []store.Event
		for _, e := range ev.Events {
			if others && e.Record.Key != "a/1" {
				heard = append(heard, e)
			}
		}
		ev.Events = heard
		if err == nil && len(heard) == 0 {
			pause.For(ctx, wait)
		}

		return ev, err
	}

	return &d
}

// TestReflectorFollows checks that a copy holds a change in time however the reads of the store fail.
func TestReflectorFollows(t *testing.T) {
	tests := []struct {
		name string
		// client wraps the store's client, and fault disturbs the store before the change.
		client func(c *store.Client) *store.Client
		fault  func(s *standin.Store)
		within time.Duration
	}{
		{"well", nil, nil, 10 * time.Millisecond},
		{"watches hear nothing", func(c *store.Client) *store.Client { return deaf(c, false) }, nil, 1100 * time.Millisecond},
		// Guards against a watch that is trusted as long as it brings other changes.
		{"watches hear of other keys only", func(c *store.Client) *store.Client { return deaf(c, true) }, nil, 1500 * time.Millisecond},
		{"history compacted", nil, func(s *standin.Store) { s.Compact() }, 1100 * time.Millisecond},
		{"down before", nil, func(s *standin.Store) {
			s.SetFault(standin.FaultDown)
			time.Sleep(5 * time.Second)
			s.SetFault(standin.FaultNone)
		}, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := standin.NewStore()
				put(t, s, "a/1", "old")
				c := s.Client()
				if tt.client != nil {
					c = tt.client(c)
				}
				r := &replica{}
				f := store.NewReflector(c, "a/", log.New(io.Discard), r.apply, store.WithCheck(r.checkOf(c, "a/1"), checkInterval))
				go f.Run(ctx)
				go func() {
					for pause.For(ctx, 300*time.Millisecond) {
						// While the store is down, the write fails.
						_, _ = s.Client().Commit(ctx, store.Txn{Puts: []store.Put{{Key: "a/2", Value: []byte("other")}}})
					}
				}()
				time.Sleep(3300 * time.Millisecond)
				if tt.fault != nil {
					tt.fault(s)
				}
				put(t, s, "a/1", "new")
				time.Sleep(tt.within)
				if diff := cmp.Diff("new", r.value("a/1")); diff != "" {
					t.Errorf("after %v (-want +got):\n%s", tt.within, diff)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestReflectorListInterval checks that a reflector without a check finds what its watches miss by its lists.
func TestReflectorListInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := standin.NewStore()
		put(t, s, "a/1", "old")
		put(t, s, "a/2", "old")
		r := &replica{}
		f := store.NewReflector(deaf(s.Client(), false), "a/", log.New(io.Discard), r.apply, store.WithListInterval(10*time.Second))
		if !f.Confirm(ctx, time.Second) || r.value("a/1") != "old" {
			t.Errorf("confirmed without a list, value %q", r.value("a/1"))
		}
		go f.Run(ctx)
		time.Sleep(time.Second)
		put(t, s, "a/1", "new")
		if _, err := s.Client().Commit(ctx, store.Txn{Removes: []string{"a/2"}}); err != nil {
			t.Error(err)
		}
		time.Sleep(11 * time.Second)
		if diff := cmp.Diff([]string{"new", ""}, []string{r.value("a/1"), r.value("a/2")}); diff != "" {
			t.Errorf("values (-want +got):\n%s", diff)
		}
		cancel()
		synctest.Wait()
	})
}

// TestReflectorAge checks that the age of a copy stays low while the store answers, also without changes, and grows while it
// doesn't, while its answers can't be applied, and before the first read.
func TestReflectorAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := standin.NewStore()
		put(t, s, "a/1", "old")
		r := &replica{invalid: "invalid"}
		f := store.NewReflector(s.Client(), "a/", log.New(io.Discard), r.apply, store.WithCheck(r.checkOf(s.Client(), "a/1"), checkInterval))
		_, confirmed := f.Age()
		if diff := cmp.Diff(false, confirmed); diff != "" {
			t.Errorf("confirmed before the first read (-want +got):\n%s", diff)
		}
		go f.Run(ctx)
		checkAge := func(when string, atLeast, atMost time.Duration) {
			t.Helper()
			if age, confirmed := f.Age(); !confirmed || age < atLeast || age > atMost {
				t.Errorf("%s: age %v, confirmed %t, want %v to %v", when, age, confirmed, atLeast, atMost)
			}
		}
		time.Sleep(5500 * time.Millisecond)
		checkAge("without changes", 0, 1100*time.Millisecond)
		s.SetFault(standin.FaultSilent)
		time.Sleep(5 * time.Second)
		checkAge("silent store", 5*time.Second, 6100*time.Millisecond)
		s.SetFault(standin.FaultDown)
		time.Sleep(time.Second)
		s.SetFault(standin.FaultNone)
		time.Sleep(time.Second)
		checkAge("store back", 0, 1100*time.Millisecond)
		put(t, s, "a/1", "invalid")
		time.Sleep(3 * time.Second)
		checkAge("invalid value", 3*time.Second, 4100*time.Millisecond)
		cancel()
		synctest.Wait()
	})
}

// TestConfirm checks that a copy counts as confirmed only by a read that began late enough, and that many callers share a read.
func TestConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, maxAge = 20, 100 * time.Millisecond
		s := standin.NewStore()
		put(t, s, "a/1", "old")
		s.SetDelay(20 * time.Millisecond)
		r := &replica{values: map[string]string{}}
		f := store.NewReflector(s.Client(), "a/", log.New(io.Discard), r.apply, store.WithCheck(r.checkOf(s.Client(), "a/1"), checkInterval))
		confirm := func() []bool {
			got := make([]bool, callers)
			var wg sync.WaitGroup
			for i := range got {
				wg.Go(func() { got[i] = f.Confirm(t.Context(), maxAge) })
			}
			wg.Wait()

			return got
		}
		all := make([]bool, callers)
		for i := range all {
			all[i] = true
		}
		if diff := cmp.Diff(all, confirm()); diff != "" {
			t.Errorf("store well (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(int64(1), s.Calls()["Get"]); diff != "" {
			t.Errorf("reads (-want +got):\n%s", diff)
		}
		s.SetFault(standin.FaultDown)
		time.Sleep(2 * maxAge)
		if diff := cmp.Diff(make([]bool, callers), confirm()); diff != "" {
			t.Errorf("store down (-want +got):\n%s", diff)
		}
	})
}
