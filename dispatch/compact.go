package dispatch

import (
	"context"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/store"
)

const (
	// maxBatches is how many batches the log may have before it is restated; a reader takes in some thousand in a second.
	maxBatches = 512
	// restatedChanges is how many restating changes go with a batch, so that they hold up neither it nor a narrow link.
	restatedChanges = 500
	// removals is how many keys go in one transaction beside the expectation of the owner's record.
	removals = store.MaxTxnEntries - 1
	// forgetInterval is the time between two searches for jobs that need not be kept any more.
	forgetInterval = 10 * time.Second
)

// restatement is the restating of the log under way: a part of it goes with each batch.
type restatement struct {
	// from is the batch from which on the log will tell all.
	from uint64
	// jobs have not been restated yet, the first of them only up to position.
	jobs     []fleet.JobID
	position int
}

// restate returns the next part of the changes that restate the log, and whether it is the last; none while the log is
// short.
func (t *term) restate(now time.Time) (changes []ledger.Change, last bool) {
	if t.restating == nil {
		if t.writer.next-t.restated < maxBatches {
			return nil, false
		}
		t.restating = &restatement{from: t.writer.next, jobs: t.sched.Entries()}
	}
	for len(changes) < restatedChanges && len(t.restating.jobs) > 0 {
		some, next := t.sched.RestateFrom(t.restating.jobs[0], t.restating.position, restatedChanges-len(changes))
		changes = append(changes, some...)
		if t.restating.position = next; next == 0 {
			t.restating.jobs = t.restating.jobs[1:]
		}
	}
	if len(t.restating.jobs) > 0 {
		return changes, false
	}

	return append(changes, t.sched.RestateHosts(now)...), true
}

// finishRestating has the batches removed that are needless once the last part is stored.
func (t *term) finishRestating(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.oldest
	t.restated, t.restating = t.restating.from, nil
	if !t.removing {
		t.removing = true
		go t.removeBatches(ctx, first, t.restated)
	}
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
