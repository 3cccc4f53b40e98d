package manager

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/dispatch"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

// Guards against a watch of the registrations that drops those in which only the capacity differs.
func TestRegistryFollowsCapacity(t *testing.T) {
	s, w := standin.NewStore(), standin.NewTaskWorker(0)
	register := func(cores int) {
		w.SetCores(cores)
		if _, err := s.Client().Commit(t.Context(), store.Txn{
			Puts: []store.Put{{Key: "servers/i-0", Value: w.Registration("s-post", "10.0.0.9:80", "r0")}},
		}); err != nil {
			t.Fatal(err)
		}
	}
	register(16000)

	ctx, cancel := context.WithCancel(t.Context())
	changes, done := make(chan dispatch.RegistryChange), make(chan struct{})
	go func() {
		defer close(done)
		watchRegistry(s.Client(), log.New(io.Discard), func() {})(ctx, func(r dispatch.RegistryChange) {
			select {
			case changes <- r:
			case <-ctx.Done():
			}
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	var got []fleet.MilliCores
	for _, next := range []int{6000, 9000, 0} {
		got = append(got, coresOf(t, <-changes))
		register(next)
	}
	got = append(got, coresOf(t, <-changes))
	if diff := cmp.Diff([]fleet.MilliCores{16000, 6000, 9000, 0}, got); diff != "" {
		t.Errorf("cores (-want +got):\n%s", diff)
	}
}

// coresOf returns the capacity of the only worker of a change.
func coresOf(t *testing.T, r dispatch.RegistryChange) fleet.MilliCores {
	t.Helper()
	if len(r.Registered) != 1 || len(r.Deregistered) != 0 {
		t.Fatalf("change %+v", r)
	}

	return r.Registered[0].Capacity.Cores
}

// Guards against a worker that counts as gone although it has registered again: a watch returns several changes of one
// registration together.
func TestRegistryAfterNewRegistration(t *testing.T) {
	const id = "i-0"
	put := store.Event{Record: store.Record{Key: "servers/" + id, Value: standin.NewTaskWorker(0).Registration("s-post", "10.0.0.9:80", "r0")}}
	remove := store.Event{Record: store.Record{Key: "servers/" + id}, Deleted: true}
	foreign := store.Event{Record: store.Record{Key: "servers/" + id, Value: []byte("?")}}
	for _, tt := range []struct {
		name          string
		events        []store.Event
		present, gone int
	}{
		{"removed", []store.Event{put, remove}, 1, 1},
		{"registered again", []store.Event{remove, put}, 1, 0},
		{"registered again after another", []store.Event{put, remove, put}, 2, 0},
		{"removed, and written by another writer", []store.Event{put, remove, foreign}, 1, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newRegistryReader(log.New(io.Discard), func() {}).read(store.Update{Events: tt.events})
			if diff := cmp.Diff([]int{tt.present, tt.gone}, []int{len(r.Registered), len(r.Deregistered)}); diff != "" {
				t.Errorf("registered and removed workers (-want +got):\n%s", diff)
			}
		})
	}
}

// Processes that read the list of workers ended or stopped following it because of one malformed entry: the others must be followed
// beside it, it must be named once, and what is known of a worker whose entry becomes malformed must stay.
func TestRegistryBesideMalformedEntries(t *testing.T) {
	sound := standin.NewTaskWorker(0).Registration("s-post", "10.0.0.9:80", "r0")
	entry := func(id string, value []byte) store.Event {
		return store.Event{Record: store.Record{Key: "servers/" + id, Value: value}}
	}
	for _, malformed := range []string{
		"", "null", "\xff\xfe", strings.Repeat("[", 200_000), strings.Repeat(`{"a":`, 20_000), `{"born":1e400}`,
		strings.Replace(string(sound), "10.0.0.9:80", "10.0.0.9:99999", 1), strings.Replace(string(sound), `"born":`, `"born":900000000000`, 1),
	} {
		t.Run(fmt.Sprintf("%.20q", malformed), func(t *testing.T) {
			const others = 500
			list := store.Update{Full: true, Events: []store.Event{entry("malformed", []byte(malformed))}}
			for i := range others {
				list.Events = append(list.Events, entry(fmt.Sprint("i-", i), sound))
			}
			named := 0
			m := newRegistryReader(log.New(io.Discard), func() { named++ })
			for range 3 {
				r := m.read(list)
				if diff := cmp.Diff([]int{others, 1, 0}, []int{len(r.Registered), len(r.Unreadable), len(r.Deregistered)}); diff != "" {
					t.Errorf("sound, malformed and removed entries (-want +got):\n%s", diff)
				}
				m.read(store.Update{Events: list.Events[:2]})
			}
			if diff := cmp.Diff(1, named); diff != "" {
				t.Errorf("times that the entry was named (-want +got):\n%s", diff)
			}
			m.read(store.Update{Events: []store.Event{entry("malformed", sound)}})
			m.read(list)
			if diff := cmp.Diff(2, named); diff != "" {
				t.Errorf("times that it was named after it was sound (-want +got):\n%s", diff)
			}
		})
	}
}
