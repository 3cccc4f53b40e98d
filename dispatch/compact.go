package dispatch

import (
	"context"
	"time"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/store"
)

const (
	// maxBatches is how many batches the log may have before it is restated; a reader takes in some thousand in a second.
	maxBatches = 512
	// restatedChanges bounds a restating batch; at some 60 bytes a change it stays far under the store's bound.
	restatedChanges = 4000
	// removals is how many keys go in one transaction beside the expectation of the owner's record.
	removals = store.MaxTxnEntries - 1
	// forgetInterval is the time between two searches for jobs that need not be kept any more.
	forgetInterval = 10 * time.Second
)

// compact restates the log in few batches, and has those before removed meanwhile. The caller must have set writing.
func (t *term) compact(ctx context.Context, changes []ledger.Change) error {
	restated := t.writer.next
	for {
		// An empty log would let numbers begin anew, so at least one batch is written.
		n := min(len(changes), restatedChanges)
		if err := t.writer.append(ctx, changes[:n]); err != nil {
			return err
		}
		changes = changes[n:]
		if len(changes) == 0 {
			break
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.oldest
	t.restated = restated
	if !t.removing {
		t.removing = true
		go t.removeBatches(ctx, first, restated)
	}

	return nil
}

// removeBatches removes the batches from first to before end. Nothing waits for it: a reader takes in what is left of them
// to no effect, and the next removal begins with it.
func (t *term) removeBatches(ctx context.Context, first, end uint64) {
	var keys []string
	for n := first; n < end; n++ {
		keys = append(keys, ledger.LogKey(n))
	}
	removed := t.remove(ctx, keys)
	t.log.Info("log restated", "from", first, "to", end, "removed", removed)
	t.mu.Lock()
	t.oldest, t.removing = first+uint64(removed), false
	t.mu.Unlock()
}

// remove removes keys in their order, and returns how many are surely gone.
func (t *term) remove(ctx context.Context, keys []string) int {
	removed := 0
	for len(keys) > 0 {
		n := min(len(keys), removals)
		if err := t.removeSome(ctx, keys[:n]); err != nil {
			t.log.Warn("old records not removed", "keys", len(keys), "error", err)
			break
		}
		keys = keys[n:]
		removed += n
	}

	return removed
}

func (t *term) removeSome(ctx context.Context, keys []string) error {
	ctx, cancel := context.WithTimeout(ctx, maxStoreWait)
	defer cancel()
	_, err := t.client.Commit(ctx, store.Txn{
		Expect: []store.Expectation{{Key: ledger.OwnerKey, Revision: t.owned.Revision}}, Removes: keys,
	})

	return err
}

// forget removes the jobs that ended long ago until the term is over.
func (t *term) forget(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, forgetInterval)
		t.mu.Lock()
		ids := t.sched.Expired(t.keep, time.Now())
		t.mu.Unlock()
		var keys []string
		for _, id := range ids {
			keys = append(keys, ledger.JobKey(id))
		}
		if len(ids) > 0 && t.owned.Valid() && t.remove(ctx, keys) == len(keys) {
			t.mu.Lock()
			t.sched.Forget(ids)
			t.mu.Unlock()
			t.log.Info("jobs forgotten", "count", len(ids))
		}
	}
}
