package manager

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

// versions records the versions that a watcher puts in force.
type versions struct {
	mu   sync.Mutex
	seen []int64
}

func (v *versions) add(c work.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seen = append(v.seen, c.Version)
}

func (v *versions) list() []int64 {
	v.mu.Lock()
	defer v.mu.Unlock()

	return append([]int64{}, v.seen...)
}

// watchConfigs runs a watcher on a store and returns the versions that it puts in force.
func watchConfigs(ctx context.Context, c *store.Client) *versions {
	v := &versions{}
	go NewConfigWatcher(c, log.New(io.Discard), v.add, WithUptime(steadyClock())).Run(ctx)

	return v
}

// steadyClock returns a clock that a synctest bubble advances.
func steadyClock() func() time.Duration {
	began := time.Now()

	return func() time.Duration { return time.Since(began) }
}

func writeConfig(t *testing.T, s *standin.Store, value string) {
	t.Helper()
	if _, err := s.Client().Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: platform.KeyConfig, Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

// configOf returns a configuration with one queue.
func configOf(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"a.example","pathPrefix":"/r/","service":"s"}]}`, version)
}

// Guards against versions that are in force for a moment although a newer one was read with them, and against a change that is
// missed for as long as the watch brings other records (CONFIG).
func TestVersionsInForce(t *testing.T) {
	type watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Events, error)
	tests := []struct {
		name string
		// watch replaces the watch of a client.
		watch func(c *store.Client) watch
		// last is the last version that is written; all follow the first one at once.
		last int
		want []int64
	}{
		{"several in one answer", func(c *store.Client) watch {
			return func(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Events, error) {
				pause.For(ctx, 100*time.Millisecond)
				return c.Watch(ctx, prefix, after, wait)
			}
		}, 5, []int64{1, 5}},
		{"watch that hears of waves only", func(*store.Client) watch {
			return func(ctx context.Context, _ string, after uint64, wait time.Duration) (store.Events, error) {
				pause.For(ctx, wait/2)
				wave := store.Record{Key: platform.WavePrefix + "1", Value: []byte(`{"cohort":1}`), Revision: after + 1}

				return store.Events{Events: []store.Event{{Record: wave}}, Revision: after + 1}, ctx.Err()
			}
		}, 2, []int64{1, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := standin.NewStore()
				writeConfig(t, s, configOf(1))
				c := *s.Client()
				c.Watch = tt.watch(s.Client())
				v := watchConfigs(ctx, &c)
				synctest.Wait()
				for version := 2; version <= tt.last; version++ {
					writeConfig(t, s, configOf(version))
				}
				time.Sleep(maxConfigDelay)
				if diff := cmp.Diff(tt.want, v.list()); diff != "" {
					t.Errorf("versions in force (-want +got):\n%s", diff)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against an invalid configuration or an older version that comes into force because it was written later, and against a
// host that takes the one before for confirmed then (CONFIG).
func TestConfigThatCannotBeInForce(t *testing.T) {
	for _, value := range []string{"null", "{}", "[", configOf(6), configOf(0)} {
		t.Run(value, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var malformed atomic.Int64
				s, v := standin.NewStore(), &versions{}
				writeConfig(t, s, configOf(7))
				w := NewConfigWatcher(s.Client(), log.New(io.Discard), v.add, WithUptime(steadyClock()), WithMalformed(func() { malformed.Add(1) }))
				go w.Run(ctx)
				time.Sleep(5 * time.Second)
				writeConfig(t, s, value)
				time.Sleep(5 * time.Second)
				if diff := cmp.Diff([]int64{7}, v.list()); diff != "" {
					t.Errorf("versions in force (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(int64(1), malformed.Load()); diff != "" {
					t.Errorf("times that the configuration was counted (-want +got):\n%s", diff)
				}
				if w.Confirm(ctx, time.Second) || w.Age() < 5*time.Second {
					t.Errorf("confirmed, %v old", w.Age())
				}

				writeConfig(t, s, configOf(8))
				time.Sleep(time.Second)
				if diff := cmp.Diff([]int64{7, 8}, v.list()); diff != "" || !w.Confirm(ctx, time.Second) {
					t.Errorf("confirmed %t, versions in force (-want +got):\n%s", w.Confirm(ctx, time.Second), diff)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
