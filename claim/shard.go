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
	// keptSegments bounds the sealed segments that a shard keeps decoded.
	keptSegments = 64
	// retryWait is the mean wait after a conflict; it varies by half.
	retryWait = 20 * time.Millisecond
)

// result is what a shard says to a waiter.
type result struct {
	verdict verdict
	earlier Entry
}

// waiter is an attempt that waits for its claim to be written.
type waiter struct {
	entry Entry
	done  chan result
	// abandoned and answered are guarded by the shard; at most one of them becomes true.
	abandoned, answered bool
	// base is the revision that the last write of the claim was based on; zero before the first.
	base uint64
	sent bool
}

// shard is one head of the store with what this process wants of it.
type shard struct {
	book *Book
	key  string
	wake chan struct{}
	// op holds a token while a round runs.
	op chan struct{}

	mu      sync.Mutex
	waiting []*waiter
	settles []Entry

	// Only the round in progress uses these.
	cache   map[uint64][]Entry
	doubted []*waiter
	swept   time.Time
	// seen is the head's newest revision; a head that was seen never vanishes.
	seen uint64
}

func newShard(b *Book, i int) *shard {
	return &shard{
		book: b, key: fmt.Sprintf("claim/%d", i), wake: make(chan struct{}, 1), op: make(chan struct{}, 1),
		cache: map[uint64][]Entry{},
	}
}

func (s *shard) segmentKey(revision uint64) string {
	return fmt.Sprintf("%s/%020d", s.key, revision)
}

func (s *shard) enqueue(w *waiter) {
	s.mu.Lock()
	s.waiting = append(s.waiting, w)
	s.mu.Unlock()
	s.hurry()
}

func (s *shard) settle(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settles = append(s.settles, e)
}

func (s *shard) hurry() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// abandon reports whether the waiter was given up before it had a result.
func (s *shard) abandon(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.abandoned = !w.answered

	return w.abandoned
}

// run writes what waits, at most once in GroupEvery.
func (s *shard) run(ctx context.Context) {
	settle := time.NewTicker(s.book.timing.SettleEvery)
	defer settle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-settle.C:
		}
		if s.idle() {
			continue
		}

		next := time.Now().Add(s.book.timing.GroupEvery)
		if err := s.flush(ctx); err != nil {
			s.hurry()
			if errors.Is(err, store.ErrConflict) {
				next = time.Now().Add(retryWait/2 + rand.N(retryWait))
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

	return len(s.waiting) == 0 && len(s.settles) == 0 && len(s.doubted) == 0
}

func (s *shard) unsettled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.settles) > 0
}

// flush runs one round, alone.
func (s *shard) flush(ctx context.Context) error {
	select {
	case s.op <- struct{}{}:
		defer func() { <-s.op }()
	case <-ctx.Done():
		return ctx.Err()
	}

	return s.round(ctx)
}

// round reads the head, judges all that waits, and writes what was granted with the outcomes, in one write.
//
// After a lost answer the claims still wait: the next round finds them in the
// head, or else writes them again on a head on which the lost write can't land.
func (s *shard) round(ctx context.Context) error {
	head, revision, err := s.read(ctx)
	if err != nil {
		return err
	}
	waiting, settles := s.batch()
	index := indexOf(head.Entries)
	added, err := s.current(ctx, head, index, settles)
	if err != nil {
		return err
	}
	withdrawals, err := s.withdrawals(ctx, head, index, revision)
	if err != nil {
		return err
	}
	results, granted, err := s.judge(ctx, head, index, revision, waiting)
	if err != nil {
		return err
	}
	added = append(append(added, withdrawals...), granted...)

	next := head
	if len(next.Entries) > 0 && next.size() >= s.book.timing.SealSize {
		if err := s.seal(ctx, head, revision); err != nil {
			return err
		}
		next = next.WithSealed(revision)
	}
	next, gone := next.WithoutExpired(time.Now().Add(-s.book.timing.Retention - 2*s.book.timing.MaxSkew).UnixMilli())
	for _, e := range added {
		next = next.With(e)
	}
	if len(added) > 0 {
		if err := s.write(ctx, next, revision); err != nil {
			return err
		}
		s.remove(ctx, gone)
	}
	s.finish(settles)
	s.deliver(results)

	return s.sweep(ctx)
}

// current returns the outcomes of claims that still stand; a claim that was withdrawn and made anew is another's.
func (s *shard) current(ctx context.Context, head Head, index map[uuid.UUID]Entry, settles []Entry) ([]Entry, error) {
	var out []Entry
	for _, e := range settles {
		earlier, found, err := s.find(ctx, head, index, e.ID)
		if err != nil {
			return nil, err
		}
		if found && head.accepts(e, earlier) {
			index[e.ID] = e
			out = append(out, e)
		}
	}

	return out, nil
}

// read returns the head and its revision.
func (s *shard) read(ctx context.Context) (Head, uint64, error) {
	r, err := s.get(ctx, s.key)
	if errors.Is(err, store.ErrNotFound) && s.seen == 0 {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	s.seen = r.Revision
	h, err := DecodeHead(r.Value)

	return h, r.Revision, err
}

func (s *shard) get(ctx context.Context, key string) (store.Record, error) {
	call, cancel := context.WithTimeout(ctx, s.book.timing.CallTimeout)
	defer cancel()

	return s.book.client.Get(call, key)
}

// batch returns what the next write is to carry, bounded in size.
func (s *shard) batch() ([]*waiter, []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()

	size, n := 0, 0
	for ; n < len(s.settles) && size < s.book.timing.BatchSize/2; n++ {
		size += s.settles[n].size()
	}
	settles := slices.Clone(s.settles[:n])
	n = 0
	for ; n < len(s.waiting) && size < s.book.timing.BatchSize; n++ {
		size += s.waiting[n].entry.size()
	}

	return slices.Clone(s.waiting[:n]), settles
}

// judge decides over the waiting attempts in their order, and returns the claims to write.
func (s *shard) judge(
	ctx context.Context, head Head, index map[uuid.UUID]Entry, revision uint64, waiting []*waiter,
) (map[*waiter]result, []Entry, error) {
	results := make(map[*waiter]result, len(waiting))
	var claims []Entry
	for _, w := range waiting {
		earlier, found, err := s.find(ctx, head, index, w.entry.ID)
		if err != nil {
			return nil, nil, err
		}
		v := head.judge(w.entry, earlier, found)
		if v == granted {
			if !s.send(w, revision) {
				continue
			}
			index[w.entry.ID] = w.entry
			claims = append(claims, w.entry)
		}
		results[w] = result{verdict: v, earlier: earlier}
	}

	return results, claims, nil
}

// indexOf returns the last entry of each ID.
func indexOf(entries []Entry) map[uuid.UUID]Entry {
	index := make(map[uuid.UUID]Entry, len(entries))
	for _, e := range entries {
		index[e.ID] = e
	}

	return index
}

// find returns the last entry of an ID in the whole shard; it reads only the segments that can have it.
func (s *shard) find(ctx context.Context, head Head, index map[uuid.UUID]Entry, id uuid.UUID) (Entry, bool, error) {
	if e, ok := index[id]; ok {
		return e, true, nil
	}
	for _, seg := range head.covering(id) {
		entries, err := s.segment(ctx, seg)
		if err != nil {
			return Entry{}, false, err
		}
		if e, ok := last(entries, id); ok {
			return e, true, nil
		}
	}

	return Entry{}, false, nil
}

// segment returns the entries of a sealed segment.
func (s *shard) segment(ctx context.Context, seg Segment) ([]Entry, error) {
	if entries, ok := s.cache[seg.Revision]; ok {
		return entries, nil
	}
	r, err := s.get(ctx, s.segmentKey(seg.Revision))
	if err != nil {
		return nil, merry.Prependf(err, "segment %d", seg.Revision)
	}
	entries, err := decodeEntries(r.Value)
	if err != nil {
		return nil, err
	}
	if len(s.cache) >= keptSegments {
		clear(s.cache)
	}
	s.cache[seg.Revision] = entries

	return entries, nil
}

// seal keeps the head's entries under a key of their own; only then may a head without them be written.
//
// The key names the head's revision. So whoever else seals the same revision
// writes the same value, and a conflict says that it is there.
func (s *shard) seal(ctx context.Context, head Head, revision uint64) error {
	value, err := encodeEntries(head.Entries)
	if err != nil {
		return err
	}
	if err := s.swap(ctx, store.Write{Key: s.segmentKey(revision), Value: value}); !errors.Is(err, store.ErrConflict) {
		return err
	}

	return nil
}

func (s *shard) write(ctx context.Context, next Head, base uint64) error {
	value, err := next.Encode()
	if err != nil {
		return err
	}

	return s.swap(ctx, store.Write{Key: s.key, Value: value, Base: base})
}

func (s *shard) swap(ctx context.Context, w store.Write) error {
	call, cancel := context.WithTimeout(ctx, s.book.timing.CallTimeout)
	defer cancel()
	_, err := s.book.client.CompareAndSwap(call, w)

	return err
}

// send marks a waiter as part of a write, unless it was abandoned.
func (s *shard) send(w *waiter, base uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.abandoned {
		return false
	}
	w.base, w.sent = base, true

	return true
}

// withdrawals returns entries that free the IDs of abandoned attempts whose write took effect after all.
//
// An attempt that is not found is in doubt only while the head is the one that its write was based on.
func (s *shard) withdrawals(ctx context.Context, head Head, index map[uuid.UUID]Entry, revision uint64) ([]Entry, error) {
	s.gatherDoubted()

	var out []Entry
	var still []*waiter
	for _, w := range s.doubted {
		earlier, found, err := s.find(ctx, head, index, w.entry.ID)
		if err != nil {
			return nil, err
		}
		switch {
		case head.judge(w.entry, earlier, found) == owned:
			out = append(out, w.entry.WithState(Withdrawn))
			index[w.entry.ID] = w.entry.WithState(Withdrawn)
			still = append(still, w)
		case revision == w.base:
			still = append(still, w)
		}
	}
	s.setDoubted(still)

	return out, nil
}

// gatherDoubted moves abandoned waiters out of the queue, and keeps those whose claim may be written.
func (s *shard) gatherDoubted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		if w.abandoned && w.sent {
			s.doubted = append(s.doubted, w)
		}
		return w.abandoned
	})
}

func (s *shard) setDoubted(ws []*waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doubted = ws
}
