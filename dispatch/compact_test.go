package dispatch

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/owner"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

// Harambee, trouble-1: the store goes silent for the owner just when the log was restated. Writes do not wait until the
// removal of old batches is given up, and what it left is removed the next time.
func TestRemovalDelaysNoWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		c := s.Client()
		silent := true
		client := *c
		client.Commit = func(ctx context.Context, txn store.Txn) (uint64, error) {
			if silent && len(txn.Removes) > 0 {
				<-ctx.Done()
				return 0, store.ErrOutcomeUnknown
			}

			return c.Commit(ctx, txn)
		}
		l := log.New(io.Discard)
		revision := own(t, c, "self", 0)
		tm := &term{Dispatcher: &Dispatcher{client: &client, log: l}, owned: &owner.Term{Revision: revision}}
		tm.writer = newLogWriter(&client, ledger.Owner{Host: "self"}, revision, 0, l, func(store.Record) {})
		write := func() {
			if err := tm.writer.append(t.Context(), []ledger.Change{{Kind: ledger.JobFailed}}); err != nil {
				t.Fatal(err)
			}
		}
		compact := func() {
			if err := tm.compact(t.Context(), nil); err != nil {
				t.Fatal(err)
			}
		}
		for range 5 {
			write()
		}
		began := time.Now()
		compact()
		write()
		if waited := time.Since(began); waited > 0 {
			t.Errorf("writes waited %s for the removal", waited)
		}
		time.Sleep(2 * maxStoreWait)
		synctest.Wait()

		silent = false
		compact()
		synctest.Wait()
		list, err := c.List(t.Context(), ledger.LogPrefix)
		if err != nil {
			t.Fatal(err)
		}
		var keys []string
		for _, r := range list.Records {
			keys = append(keys, r.Key)
		}
		if diff := cmp.Diff([]string{ledger.LogKey(7)}, keys); diff != "" {
			t.Errorf("batches that are left (-want +got):\n%s", diff)
		}
	})
}
