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

// Beside load an operator's edit was refused as a conflict though nobody else had edited: news of a newer head came from a
// peer while the edit's own read of the head was on its way. An overtaken read is made again.
func TestOvertakenRead(t *testing.T) {
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
		_, err := g.hosts["e3"].book.Apply(t.Context(), func(cur revision.Revision) (revision.Revision, error) {
			return cur.WithLists(lists(7)), nil
		})
		if err != nil {
			t.Errorf("the edit was refused: %v", err)
		}
		if armed.Load() {
			t.Error("no read was overtaken, so nothing was shown")
		}
	})
}
