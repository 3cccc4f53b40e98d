package revision_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/store"
)

// TestReadOvertakenByPeer guards against refusing an edit as a conflict when nobody else is editing. Under load, a newer head
// arrived from a peer while the edit's own read of the head was in progress, which made that read stale. The read must be repeated.
func TestReadOvertakenByPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2)
		g.hosts["e1"].put(t, 5)
		var armed atomic.Bool
		client := *g.store.ClientFor("e3")
		get := client.Get
		client.Get = func(ctx context.Context, key string) (store.Record, error) {
			r, err := get(ctx, key)
			if strings.HasSuffix(key, "head") && armed.CompareAndSwap(true, false) {
				g.hosts["e1"].put(t, 6)
				time.Sleep(2 * time.Second)
			}

			return r, err
		}
		g.startWith("e3", &client)
		time.Sleep(5 * time.Second)

		armed.Store(true)
		_, err := g.hosts["e3"].repo.Apply(t.Context(), func(cur revision.Revision) (revision.Revision, error) {
			return cur.WithLists(lists(7)), nil
		})
		if err != nil {
			t.Errorf("edit refused: %v", err)
		}
		if armed.Load() {
			t.Error("no read was overtaken, so the test checked nothing")
		}
	})
}
