package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"lycheehook.example/lycheehook/store"
)

const (
	// conflictBackoff is the mean delay after a conflict, with a jitter of half of it either way.
	conflictBackoff = 20 * time.Millisecond
)

// result is the answer of a shard to a waiter.
type result struct {
	decision decision
	earlier  Entry
}

// waiter is a claim attempt whose write is pending.
type waiter struct {
	entry Entry
	done  chan result
	// abandoned and answered are guarded by shard.mu; at most one of them becomes true.
	abandoned, answered bool
	// base is the head revision that the last write of the claim was based on; zero before the first write.
	base uint64
	// submitted is set once the claim was part of a write.
	submitted bool
}

// shard is the client side of one shard: its claims and outcomes that are yet to be written.
type shard struct {
	registry *Registry
	key      string
	wake     chan struct{}
	// flushing serialises flushes; it holds a value during a flush.
	flushing chan struct{}

	mu       sync.Mutex
	waiting  []*waiter
	outcomes []Entry

	// The fields below are used only by the flush in progress.

	// cache has decoded segments.
	cache segmentCache
	// unconfirmed are abandoned attempts whose write may still take effect; they are set under mu, since idle reads them.
	unconfirmed []*waiter
	lastSweep   time.Time
	// lastRevision is the newest head revision that was read. A head is never deleted, so not finding it is an error
	// once it has been read.
	lastRevision uint64
}

func newShard(b *Registry, i int) *shard {
	return &shard{
		registry: b, key: fmt.Sprintf("claim/%d", i), wake: make(chan struct{}, 1), flushing: make(chan struct{}, 1),
		cache: newSegmentCache(b.cacheBytes / shardCount),
	}
}

func (s *shard) segmentKey(revision uint64) string {
	return fmt.Sprintf("%s/%020d", s.key, revision)
}

func (s *shard) enqueue(w *waiter) {
	s.mu.Lock()
	s.waiting = append(s.waiting, w)
	s.mu.Unlock()
	s.signal()
}

func (s *shard) addOutcome(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, e)
}

func (s *shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// abandon marks a waiter as abandoned, and reports false if it already has a result.
func (s *shard) abandon(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.abandoned = !w.answered

	return w.abandoned
}

// run writes pending claims and outcomes, at most once per WriteInterval except after conflicts.
func (s *shard) run(ctx context.Context) {
	ticker := time.NewTicker(s.registry.timing.OutcomeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-ticker.C:
		}
		if s.idle() {
			continue
		}

		next := time.Now().Add(s.registry.timing.WriteInterval)
		if err := s.flush(ctx); err != nil {
			s.signal()
			if errors.Is(err, store.ErrConflict) {
				next = time.Now().Add(conflictBackoff/2 + rand.N(conflictBackoff))
			}
		}
		if !sleepUntil(ctx, next) {
			return
		}
	}
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

func (s *shard) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.waiting) == 0 && len(s.outcomes) == 0 && len(s.unconfirmed) == 0
}

func (s *shard) hasOutcomes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.outcomes) > 0
}

// flush calls flushBatch with no other flush of the shard in progress.
func (s *shard) flush(ctx context.Context) error {
	select {
	case s.flushing <- struct{}{}:
		defer func() { <-s.flushing }()
	case <-ctx.Done():
		return ctx.Err()
	}

	return s.flushBatch(ctx)
}

// flushBatch reads the head, decides on the waiting claims, and writes the granted ones and the outcomes in one write.
//
// If the store's answer is lost, the claims stay pending: the next flush either
// finds them in the head or writes them again, on a head revision that makes the
// lost write conflict if it arrives later.
func (s *shard) flushBatch(ctx context.Context) error {
	head, revision, err := s.read(ctx)
	if err != nil {
		return err
	}
	waiting, outcomes := s.nextBatch()
	index := indexByID(head.Entries)
	added, err := s.validOutcomes(ctx, head, index, outcomes)
	if err != nil {
		return err
	}
	withdrawals, err := s.withdrawals(ctx, head, index, revision)
	if err != nil {
		return err
	}
	results, claims, err := s.decide(ctx, head, index, revision, waiting)
	if err != nil {
		return err
	}
	added = append(append(added, withdrawals...), claims...)

	next := head
	if len(next.Entries) > 0 && next.size() >= s.registry.timing.SealThreshold {
		if err := s.seal(ctx, head, revision); err != nil {
			return err
		}
		next = next.WithSealed(revision)
	}
	next, removed := next.WithoutExpired(time.Now().Add(-s.registry.timing.Retention - 2*s.registry.timing.MaxSkew).UnixMilli())
	for _, e := range added {
		next = next.With(e)
	}
	if len(added) > 0 {
		if err := s.writeHead(ctx, next, revision); err != nil {
			return err
		}
		s.deleteSegments(ctx, removed)
	}
	s.removeOutcomes(outcomes)
	s.deliver(results)

	return s.sweep(ctx)
}

// validOutcomes returns the outcomes whose claim is still the last entry of its ID; an ID that was withdrawn and
// claimed again belongs to another attempt.
func (s *shard) validOutcomes(ctx context.Context, head Head, index map[uuid.UUID]Entry, outcomes []Entry) ([]Entry, error) {
	var out []Entry
	for _, e := range outcomes {
		earlier, found, err := s.find(ctx, head, index, e.ID)
		if err != nil {
			return nil, err
		}
		if found && head.acceptsOutcome(e, earlier) {
			index[e.ID] = e
			out = append(out, e)
		}
	}

	return out, nil
}

// read returns the head and its revision.
func (s *shard) read(ctx context.Context) (Head, uint64, error) {
	r, err := s.get(ctx, s.key)
	if errors.Is(err, store.ErrNotFound) && s.lastRevision == 0 {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	s.lastRevision = r.Revision
	h, err := DecodeHead(r.Value)

	return h, r.Revision, err
}

func (s *shard) get(ctx context.Context, key string) (store.Record, error) {
	call, cancel := context.WithTimeout(ctx, s.registry.timing.CallTimeout)
	defer cancel()

	return s.registry.client.Get(call, key)
}

// nextBatch returns the claims and outcomes for the next write, bounded in size.
func (s *shard) nextBatch() ([]*waiter, []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()

	size, n := 0, 0
	for ; n < len(s.outcomes) && size < s.registry.timing.MaxBatchSize/2; n++ {
		size += s.outcomes[n].size()
	}
	outcomes := slices.Clone(s.outcomes[:n])
	n = 0
	for ; n < len(s.waiting) && size < s.registry.timing.MaxBatchSize; n++ {
		size += s.waiting[n].entry.size()
	}

	return slices.Clone(s.waiting[:n]), outcomes
}

// decide returns the results of the waiting attempts, in their order, and the claims to write.
func (s *shard) decide(
	ctx context.Context, head Head, index map[uuid.UUID]Entry, revision uint64, waiting []*waiter,
) (map[*waiter]result, []Entry, error) {
	results := make(map[*waiter]result, len(waiting))
	var claims []Entry
	for _, w := range waiting {
		earlier, found, err := s.find(ctx, head, index, w.entry.ID)
		if err != nil {
			return nil, nil, err
		}
		d := head.decide(w.entry, earlier, found)
		if d == granted {
			if !s.markSubmitted(w, revision) {
				continue
			}
			index[w.entry.ID] = w.entry
			claims = append(claims, w.entry)
		}
		results[w] = result{decision: d, earlier: earlier}
	}

	return results, claims, nil
}

// indexByID returns the last entry of each ID.
func indexByID(entries []Entry) map[uuid.UUID]Entry {
	index := make(map[uuid.UUID]Entry, len(entries))
	for _, e := range entries {
		index[e.ID] = e
	}

	return index
}

// find returns the last entry of an ID in the whole shard; it reads only segments that can contain the ID.
func (s *shard) find(ctx context.Context, head Head, index map[uuid.UUID]Entry, id uuid.UUID) (Entry, bool, error) {
	if e, ok := index[id]; ok {
		return e, true, nil
	}
	for _, seg := range head.covering(id) {
		entries, err := s.segment(ctx, seg)
		if err != nil {
			return Entry{}, false, err
		}
		if e, ok := lastEntry(entries, id); ok {
			return e, true, nil
		}
	}

	return Entry{}, false, nil
}

// segment returns the entries of a segment, from the cache if possible.
func (s *shard) segment(ctx context.Context, seg Segment) ([]Entry, error) {
	if entries, ok := s.cache.segments[seg.Revision]; ok {
		return entries, nil
	}
	r, err := s.get(ctx, s.segmentKey(seg.Revision))
	if err != nil {
		return nil, merry.Prependf(err, "read segment %d", seg.Revision)
	}
	entries, err := decodeEntries(r.Value)
	if err != nil {
		return nil, err
	}
	s.cache.add(seg.Revision, entries)

	return entries, nil
}

// seal writes the head's entries as a segment, which must succeed before a head without them is written.
//
// The key contains the head's revision, so every process that seals the same
// revision writes the same value, and a conflict means that the segment exists.
func (s *shard) seal(ctx context.Context, head Head, revision uint64) error {
	value, err := encodeEntries(head.Entries)
	if err != nil {
		return err
	}
	if err := s.compareAndSwap(ctx, store.Write{Key: s.segmentKey(revision), Value: value}); !errors.Is(err, store.ErrConflict) {
		return err
	}

	return nil
}

func (s *shard) writeHead(ctx context.Context, next Head, base uint64) error {
	value, err := next.Encode()
	if err != nil {
		return err
	}

	return s.compareAndSwap(ctx, store.Write{Key: s.key, Value: value, Base: base})
}

func (s *shard) compareAndSwap(ctx context.Context, w store.Write) error {
	call, cancel := context.WithTimeout(ctx, s.registry.timing.CallTimeout)
	defer cancel()
	_, err := s.registry.client.CompareAndSwap(call, w)

	return err
}

// markSubmitted marks a waiter as part of a write, and reports false if it was abandoned.
func (s *shard) markSubmitted(w *waiter, base uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.abandoned {
		return false
	}
	w.base, w.submitted = base, true

	return true
}

// withdrawals returns entries that release the IDs of abandoned attempts whose write took effect.
//
// An attempt that isn't found remains unconfirmed only while the head has the revision that its write was based on,
// since the write conflicts with any newer revision.
func (s *shard) withdrawals(ctx context.Context, head Head, index map[uuid.UUID]Entry, revision uint64) ([]Entry, error) {
	s.collectUnconfirmed()

	var out []Entry
	var remaining []*waiter
	for _, w := range s.unconfirmed {
		earlier, found, err := s.find(ctx, head, index, w.entry.ID)
		if err != nil {
			return nil, err
		}
		switch {
		case head.decide(w.entry, earlier, found) == alreadyGranted:
			out = append(out, w.entry.WithState(Withdrawn))
			index[w.entry.ID] = w.entry.WithState(Withdrawn)
			remaining = append(remaining, w)
		case revision == w.base:
			remaining = append(remaining, w)
		}
	}
	s.setUnconfirmed(remaining)

	return out, nil
}

// collectUnconfirmed removes abandoned waiters from waiting, and adds those to unconfirmed whose claim may be written.
func (s *shard) collectUnconfirmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		if w.abandoned && w.submitted {
			s.unconfirmed = append(s.unconfirmed, w)
		}
		return w.abandoned
	})
}

func (s *shard) setUnconfirmed(ws []*waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unconfirmed = ws
}
