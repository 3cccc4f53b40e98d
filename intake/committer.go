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
	// ErrNotStored means that the record is not stored and will not be stored later.
	ErrNotStored = merry.Sentinel("intake: not stored")
	// ErrOutcomeUnknown means that the record may be stored already or may be stored later.
	ErrOutcomeUnknown = merry.Sentinel("intake: outcome unknown")
)

const (
	// maxBatch is the maximum number of records in one transaction; each needs an expectation and a put.
	maxBatch = store.MaxTxnEntries / 2
	// The timeout of a commit starts low, because a response may be lost, and doubles with each failed attempt.
	minCommitTimeout = 150 * time.Millisecond
	maxCommitTimeout = 1200 * time.Millisecond
	retryDelay       = 60 * time.Millisecond
	// outageThreshold is how long the store may reject all writes before callers are refused without waiting for it.
	outageThreshold = 600 * time.Millisecond
	// lateCommitWait is how long to wait for a write in progress after the caller's deadline. It is shorter than
	// responseMargin, which is reserved for sending the response.
	lateCommitWait = 80 * time.Millisecond
)

// Committer writes records conditionally and batches concurrent writes into one transaction.
type Committer struct {
	client  *store.Client
	log     *log.Logger
	mu      sync.Mutex
	queue   []*pendingPut
	running bool
	// timeout is the current timeout of a commit.
	timeout time.Duration
	// failingSince is the time of the first rejected commit since the last success or conflict; zero if there was none.
	failingSince time.Time
}

// pendingPut is a record to be written if its key still has revision base.
type pendingPut struct {
	key   string
	value []byte
	base  uint64
	// sent reports whether a write may have taken effect or may still do so.
	sent bool
	// unanswered reports whether an earlier write got no response.
	unanswered bool
	// abandoned reports whether the caller has stopped waiting.
	abandoned bool
	done      chan struct{}
	// rejected is closed once an abandoned record is known not to be written.
	rejected chan struct{}
	revision uint64
	err      error
	// conflict is the record found at the key instead.
	conflict *store.Record
}

// NewCommitter returns a committer that writes through the given client.
func NewCommitter(c *store.Client, l *log.Logger) *Committer {
	return &Committer{client: c, log: l, timeout: minCommitTimeout}
}

// Put writes a value if the key still has revision base, and returns the new revision. If the key has another revision,
// Put returns the current record and store.ErrConflict, unless the record already holds the same value.
func (c *Committer) Put(ctx context.Context, key string, value []byte, base uint64) (uint64, *store.Record, error) {
	p := &pendingPut{key: key, value: value, base: base, done: make(chan struct{}), rejected: make(chan struct{})}
	c.mu.Lock()
	c.queue = append(c.queue, p)
	if !c.running {
		c.running = true
		go c.run(context.WithoutCancel(ctx))
	}
	c.mu.Unlock()
	select {
	case <-p.done:
		return p.revision, p.conflict, p.err
	case <-ctx.Done():
		return c.abandon(p)
	}
}

// abandon stops waiting for a record. A record that was never sent is not written. A write in progress is awaited for
// lateCommitWait, because a rejection by the store would show that the record is not written.
func (c *Committer) abandon(p *pendingPut) (uint64, *store.Record, error) {
	c.mu.Lock()
	p.abandoned = true
	sent := p.sent
	c.mu.Unlock()
	if !sent {
		return 0, nil, ErrNotStored
	}

	timer := time.NewTimer(lateCommitWait)
	defer timer.Stop()
	select {
	case <-p.done:
		return p.revision, p.conflict, p.err
	case <-p.rejected:
		return 0, nil, ErrNotStored
	case <-timer.C:
		return 0, nil, ErrOutcomeUnknown
	}
}

// run writes batches until the queue is empty.
func (c *Committer) run(ctx context.Context) {
	for {
		batch, timeout := c.nextBatch()
		if len(batch) == 0 {
			return
		}
		start := time.Now()
		answered := c.commit(ctx, batch, timeout)
		c.adjustTimeout(answered, time.Since(start))
		if !answered {
			time.Sleep(retryDelay)
		}
	}
}

// adjustTimeout adapts the commit timeout: towards four times the measured latency after a success or conflict, and to
// twice the present timeout after a failed attempt.
func (c *Committer) adjustTimeout(answered bool, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered {
		c.failingSince = time.Time{}
		c.timeout = max(minCommitTimeout, min(maxCommitTimeout, (c.timeout+4*elapsed)/2))
		return
	}
	c.timeout = min(maxCommitTimeout, 2*c.timeout)
}

// nextBatch returns the next batch and the timeout of its commit, and drops records whose callers have stopped waiting.
// An empty batch ends run.
func (c *Committer) nextBatch() ([]*pendingPut, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []*pendingPut
	keys := map[string]bool{}
	rest := c.queue[:0]
	for _, p := range c.queue {
		switch {
		case p.abandoned:
		case len(batch) < maxBatch && !keys[p.key]:
			keys[p.key] = true
			p.sent = true
			batch = append(batch, p)
		default:
			rest = append(rest, p)
		}
	}
	c.queue = rest
	c.running = len(batch) > 0

	return batch, c.timeout
}

// commit writes a batch and reports whether the store decided on it, with success or a conflict. Records without a final
// outcome are requeued.
func (c *Committer) commit(ctx context.Context, batch []*pendingPut, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var t store.Txn
	for _, p := range batch {
		t.Expect = append(t.Expect, store.Expectation{Key: p.key, Revision: p.base})
		t.Puts = append(t.Puts, store.Put{Key: p.key, Value: p.value})
	}
	revision, err := c.client.Commit(ctx, t)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		for _, p := range batch {
			p.finish(revision, nil, nil)
		}

		return true
	case errors.As(err, &conflict):
		c.resolveConflict(batch, conflict.Records)
		return true
	}
	if errors.Is(err, store.ErrUnavailable) {
		batch = c.markRejected(batch)
	} else {
		c.markUnanswered(batch)
	}
	c.log.Warn("commit to the store failed, retrying the remaining records", "records", len(batch), "wait", timeout, "error", err)
	c.requeue(batch)

	return false
}

// resolveConflict finishes the records whose keys have another revision or the value already, and requeues the others.
func (c *Committer) resolveConflict(batch []*pendingPut, found []store.Record) {
	byKey := make(map[string]store.Record, len(found))
	for _, r := range found {
		byKey[r.Key] = r
	}
	var retry []*pendingPut
	for _, p := range batch {
		r, exists := byKey[p.key]
		switch {
		case exists && bytes.Equal(r.Value, p.value):
			p.finish(r.Revision, nil, nil)
		case exists && r.Revision != p.base:
			p.finish(0, &r, store.ErrConflict)
		case !exists && p.base != 0:
			p.finish(0, nil, store.ErrConflict)
		default:
			retry = append(retry, p)
		}
	}
	c.requeue(retry)
}

// markUnanswered records that the last write of a batch may have taken effect or may still do so.
func (c *Committer) markUnanswered(batch []*pendingPut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range batch {
		p.unanswered = true
	}
}

// markRejected records that the last write of a batch had no effect, although an earlier one may have had, and returns the
// records to retry. Once the store has rejected all writes for outageThreshold, records that cannot have been written by
// an earlier attempt fail at once with ErrNotStored.
func (c *Committer) markRejected(batch []*pendingPut) []*pendingPut {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failingSince.IsZero() {
		c.failingSince = time.Now()
	}
	outage := time.Since(c.failingSince) >= outageThreshold
	retry := batch[:0]
	for _, p := range batch {
		p.sent = p.unanswered
		switch {
		case p.sent:
			retry = append(retry, p)
		case p.abandoned:
			close(p.rejected)
		case outage:
			p.finish(0, nil, ErrNotStored)
		default:
			retry = append(retry, p)
		}
	}

	return retry
}

func (c *Committer) requeue(batch []*pendingPut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(batch, c.queue...)
}

func (p *pendingPut) finish(revision uint64, found *store.Record, err error) {
	p.revision, p.conflict, p.err = revision, found, err
	close(p.done)
}
