package dispatch

import (
	"context"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

const (
	// maxBatches is the length of the log at which it is compacted; a reader applies some thousand batches in a second.
	maxBatches = 512
	// maxSnapshotChanges limits the snapshot changes in one batch, so that they delay neither the batch nor readers on slow
	// links.
	maxSnapshotChanges = 500
	// maxRemovals is the number of keys removed in one transaction, which also has an expectation on the Owner record.
	maxRemovals = store.MaxTxnEntries - 1
	// expiryInterval is the time between two searches for expired jobs.
	expiryInterval = 10 * time.Second
)

// compaction is the state of a running log compaction, which adds snapshot changes to each batch until they are complete.
type compaction struct {
	// from is the first batch to keep: the log from there on reproduces the whole state.
	from uint64
	// jobs are the jobs without a complete snapshot; that of the first one continues at position.
	jobs     []fleet.JobID
	position int
}

// compact returns the next snapshot changes of a compaction, and whether they are the last. It starts a compaction if the log
// is too long, or damaged, so that other hosts can read it again.
func (t *term) compact(now time.Time) (changes []ledger.Change, last bool) {
	if t.compaction == nil {
		if t.writer.next-t.compacted < maxBatches && !t.logDamaged() {
			return nil, false
		}
		t.compaction = &compaction{from: t.writer.next, jobs: t.sched.Entries()}
	}
	for len(changes) < maxSnapshotChanges && len(t.compaction.jobs) > 0 {
		some, next := t.sched.RestateFrom(t.compaction.jobs[0], t.compaction.position, maxSnapshotChanges-len(changes))
		changes = append(changes, some...)
		if t.compaction.position = next; next == 0 {
			t.compaction.jobs = t.compaction.jobs[1:]
		}
	}
	if len(t.compaction.jobs) > 0 {
		return changes, false
	}

	changes = append(changes, t.sched.RestateHosts(now)...)

	return append(changes, ledger.Change{Kind: ledger.Compacted, Life: work.Life(t.compaction.from)}), true
}

// logDamaged reports whether the log has a batch that can't be decoded, which no compaction has made obsolete yet.
func (t *term) logDamaged() bool {
	if t.follower == nil {
		return false
	}
	n, damaged := t.follower.Damaged()

	return damaged && n >= t.compacted
}

// finishCompaction starts the removal of obsolete batches, once the last snapshot changes are stored.
func (t *term) finishCompaction(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.oldest
	t.compacted, t.compaction = t.compaction.from, nil
	if !t.removing {
		t.removing = true
		go t.removeBatches(ctx, first, t.compacted)
	}
}

// removeBatches removes the batches from first up to, but not including, end. Nothing waits for it: batches that remain don't
// change the state that a reader gets, and the next removal starts with them.
func (t *term) removeBatches(ctx context.Context, first, end uint64) {
	var keys []string
	for n := first; n < end; n++ {
		keys = append(keys, ledger.LogKey(n))
	}
	removed := t.removeKeys(ctx, keys)
	t.log.Info("log compacted", "from", first, "to", end, "removed", removed)
	t.mu.Lock()
	t.oldest, t.removing = first+uint64(removed), false
	t.mu.Unlock()
}

// removeKeys removes keys in order, and returns how many are known to be removed.
func (t *term) removeKeys(ctx context.Context, keys []string) int {
	removed := 0
	for len(keys) > 0 {
		n := min(len(keys), maxRemovals)
		if err := t.tryRemove(ctx, keys[:n]); err != nil {
			t.log.Warn("can't remove old records", "keys", len(keys), "error", err)
			break
		}
		keys = keys[n:]
		removed += n
	}

	return removed
}

func (t *term) tryRemove(ctx context.Context, keys []string) error {
	ctx, cancel := context.WithTimeout(ctx, maxWriteTimeout)
	defer cancel()
	_, err := t.client.Commit(ctx, store.Txn{
		Expect: []store.Expectation{{Key: ledger.OwnerKey, Revision: t.ownership.Revision}}, Removes: keys,
	})

	return err
}

// expireJobs removes jobs after their retention time, until the term ends.
func (t *term) expireJobs(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, expiryInterval)
		t.mu.Lock()
		ids := t.sched.Expired(t.retention, time.Now())
		t.mu.Unlock()
		var keys []string
		for _, id := range ids {
			keys = append(keys, ledger.JobKey(id))
		}
		if len(ids) > 0 && t.ownership.Valid() && t.removeKeys(ctx, keys) == len(keys) {
			t.mu.Lock()
			t.sched.Forget(ids, time.Now())
			t.mu.Unlock()
			t.log.Info("expired jobs removed", "count", len(ids))
		}
	}
}
