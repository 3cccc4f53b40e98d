package intake

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/store"
)

// Sentinel errors of the committer.
var (
	// ErrNotStored says that a record surely is not stored, and won't be.
	ErrNotStored = merry.Sentinel("intake: not stored")
	// ErrUnknown says that a record may have been stored, or may be later.
	ErrUnknown = merry.Sentinel("intake: outcome unknown")
)

const (
	// maxBatch is how many records go into one transaction: each takes an expectation and a put.
	maxBatch = store.MaxTxnEntries / 2
	// The wait for the store's answer starts low, since an answer may be lost, and doubles with each try.
	minStoreWait = 150 * time.Millisecond
	maxStoreWait = 1200 * time.Millisecond
	retryPause   = 60 * time.Millisecond
	// outagePatience is how long the store may refuse all writes until callers are refused without waiting for it.
	outagePatience = 600 * time.Millisecond
	// lastWait is how long a write that is under way is waited for after its caller's time has passed; it fits in what is
	// kept for the way of the answer.
	lastWait = 80 * time.Millisecond
)

// Committer writes records under conditions, many in one transaction.
type Committer struct {
	client *store.Client
	log    *log.Logger
	mu     sync.Mutex
	queue  []*pending
	busy   bool
	// wait is how long the store gets to answer.
	wait time.Duration
	// failing is since when the store has refused every write; zero while it does not.
	failing time.Time
}

// pending is one record that is to be written if the key still has a revision.
type pending struct {
	key   string
	value []byte
	base  uint64
	// sent says that a write may have taken effect, or may yet.
	sent bool
	// unsettled says that an earlier write was not answered.
	unsettled bool
	// abandoned says that nobody waits any more.
	abandoned bool
	done      chan struct{}
	// refused is closed when an abandoned pending is surely not written.
	refused  chan struct{}
	revision uint64
	err      error
	// conflict is what stood at the key instead.
	conflict *store.Record
}

// NewCommitter returns a committer without work.
func NewCommitter(c *store.Client, l *log.Logger) *Committer {
	return &Committer{client: c, log: l, wait: minStoreWait}
}

// Put writes a value if the key still has revision base, and returns the new revision. Another state of the key is
// returned as a record with store.ErrConflict; a value that is there already counts as written.
func (d *Committer) Put(ctx context.Context, key string, value []byte, base uint64) (uint64, *store.Record, error) {
	f := &pending{key: key, value: value, base: base, done: make(chan struct{}), refused: make(chan struct{})}
	d.mu.Lock()
	d.queue = append(d.queue, f)
	if !d.busy {
		d.busy = true
		go d.work(context.WithoutCancel(ctx))
	}
	d.mu.Unlock()
	select {
	case <-f.done:
		return f.revision, f.conflict, f.err
	case <-ctx.Done():
		return d.giveUp(f)
	}
}

// giveUp ends the wait for a pending; one that was never sent is surely not written. One that is being written is waited
// for a little longer, since a refusal of the store says that it was not.
func (d *Committer) giveUp(f *pending) (uint64, *store.Record, error) {
	d.mu.Lock()
	f.abandoned = true
	sent := f.sent
	d.mu.Unlock()
	if !sent {
		return 0, nil, ErrNotStored
	}

	late := time.NewTimer(lastWait)
	defer late.Stop()
	select {
	case <-f.done:
		return f.revision, f.conflict, f.err
	case <-f.refused:
		return 0, nil, ErrNotStored
	case <-late.C:
		return 0, nil, ErrUnknown
	}
}

// work writes batches until nothing waits.
func (d *Committer) work(ctx context.Context) {
	for {
		batch, wait := d.take()
		if len(batch) == 0 {
			return
		}
		asked := time.Now()
		answered := d.write(ctx, batch, wait)
		d.learn(answered, time.Since(asked))
		if !answered {
			time.Sleep(retryPause)
		}
	}
}

// learn sets how long the store gets to answer: four times what it took, and longer after a try without an answer.
func (d *Committer) learn(answered bool, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if answered {
		d.failing = time.Time{}
		d.wait = max(minStoreWait, min(maxStoreWait, (d.wait+4*took)/2))
		return
	}
	d.wait = min(maxStoreWait, 2*d.wait)
}

// take returns the next batch and how long the store gets for it, without those whose callers have gone; an empty one ends the work.
func (d *Committer) take() ([]*pending, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var batch []*pending
	keys := map[string]bool{}
	rest := d.queue[:0]
	for _, f := range d.queue {
		switch {
		case f.abandoned:
		case len(batch) < maxBatch && !keys[f.key]:
			keys[f.key] = true
			f.sent = true
			batch = append(batch, f)
		default:
			rest = append(rest, f)
		}
	}
	d.queue = rest
	d.busy = len(batch) > 0

	return batch, d.wait
}

// write writes a batch and reports whether the store answered; what is not settled goes back into the queue.
func (d *Committer) write(ctx context.Context, batch []*pending, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var t store.Txn
	for _, f := range batch {
		t.Expect = append(t.Expect, store.Expectation{Key: f.key, Revision: f.base})
		t.Puts = append(t.Puts, store.Put{Key: f.key, Value: f.value})
	}
	revision, err := d.client.Commit(ctx, t)
	var c *store.ConflictError
	switch {
	case err == nil:
		for _, f := range batch {
			f.settle(revision, nil, nil)
		}

		return true
	case errors.As(err, &c):
		d.split(batch, c.Records)
		return true
	}
	if errors.Is(err, store.ErrUnavailable) {
		batch = d.unsend(batch)
	} else {
		d.doubt(batch)
	}
	d.log.Warn("jobs not stored yet", "records", len(batch), "wait", wait, "error", err)
	d.putBack(batch)

	return false
}

// split settles the filings whose keys have another revision, and puts the others back.
func (d *Committer) split(batch []*pending, found []store.Record) {
	byKey := make(map[string]store.Record, len(found))
	for _, r := range found {
		byKey[r.Key] = r
	}
	var again []*pending
	for _, f := range batch {
		r, exists := byKey[f.key]
		switch {
		case exists && bytes.Equal(r.Value, f.value):
			f.settle(r.Revision, nil, nil)
		case exists && r.Revision != f.base:
			f.settle(0, &r, store.ErrConflict)
		case !exists && f.base != 0:
			f.settle(0, nil, store.ErrConflict)
		default:
			again = append(again, f)
		}
	}
	d.putBack(again)
}

// doubt notes that the last write of a batch may have taken effect, or may yet.
func (d *Committer) doubt(batch []*pending) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range batch {
		f.unsettled = true
	}
}

// unsend notes that the last write of a batch surely had no effect; an earlier one may have had. It returns what is to be
// tried again: once the store has refused all for a while, callers are told so at once.
func (d *Committer) unsend(batch []*pending) []*pending {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failing.IsZero() {
		d.failing = time.Now()
	}
	away := time.Since(d.failing) >= outagePatience
	again := batch[:0]
	for _, f := range batch {
		f.sent = f.unsettled
		switch {
		case f.sent:
			again = append(again, f)
		case f.abandoned:
			close(f.refused)
		case away:
			f.settle(0, nil, ErrNotStored)
		default:
			again = append(again, f)
		}
	}

	return again
}

func (d *Committer) putBack(batch []*pending) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue = append(batch, d.queue...)
}

func (f *pending) settle(revision uint64, found *store.Record, err error) {
	f.revision, f.conflict, f.err = revision, found, err
	close(f.done)
}
