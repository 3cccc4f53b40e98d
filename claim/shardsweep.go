package claim

import (
	"context"
	"slices"
	"time"

	"lycheehook.example/lycheehook/store"
)

// finish drops outcomes that are in the store.
func (s *shard) finish(settles []Entry) {
	s.mu.Lock()
	s.settles = slices.Delete(s.settles, 0, len(settles))
	s.mu.Unlock()
	for _, e := range settles {
		s.book.forget(e)
	}
}

// deliver answers the waiters; claims of those that were abandoned meanwhile stay in doubt.
func (s *shard) deliver(results map[*waiter]result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w, r := range results {
		if w.abandoned {
			continue
		}
		if r.verdict == granted || r.verdict == owned {
			s.book.keep(w.entry)
		}
		w.answered = true
		w.done <- r
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return w.answered })
	if len(s.waiting) > 0 {
		s.hurry()
	}
}

// remove deletes segments that the head no longer names; a failure leaves them to the next sweep.
func (s *shard) remove(ctx context.Context, gone []Segment) {
	for _, seg := range gone {
		delete(s.cache, seg.Revision)
		s.drop(ctx, s.segmentKey(seg.Revision))
	}
}

func (s *shard) drop(ctx context.Context, key string) {
	if r, err := s.get(ctx, key); err == nil {
		_ = s.swap(ctx, store.Write{Key: key, Base: r.Revision, Delete: true})
	}
}

// sweep deletes, once in Retention, segments that no head names and none can come to name.
//
// The head is read after the keys: a segment of an older revision that it does
// not name was left by a sealing that failed, whose head can't land any more.
func (s *shard) sweep(ctx context.Context) error {
	now := time.Now()
	if s.swept.IsZero() {
		s.swept = now
	}
	if now.Sub(s.swept) < s.book.timing.Retention {
		return nil
	}

	call, cancel := context.WithTimeout(ctx, s.book.timing.CallTimeout)
	defer cancel()
	l, err := s.book.client.List(call, s.key+"/")
	if err != nil {
		return err
	}
	head, revision, err := s.read(ctx)
	if err != nil {
		return err
	}
	named := map[string]bool{}
	for _, seg := range head.Sealed {
		named[s.segmentKey(seg.Revision)] = true
	}
	for _, r := range l.Records {
		if !named[r.Key] && r.Key < s.segmentKey(revision) {
			s.drop(ctx, r.Key)
		}
	}
	s.swept = now

	return nil
}
