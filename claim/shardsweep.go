package claim

import (
	"context"
	"slices"
	"time"

	"lycheehook.example/lycheehook/store"
)

// removeOutcomes removes outcomes that are stored or no longer valid.
func (s *shard) removeOutcomes(outcomes []Entry) {
	s.mu.Lock()
	s.outcomes = slices.Delete(s.outcomes, 0, len(outcomes))
	s.mu.Unlock()
	for _, e := range outcomes {
		s.registry.removeOwn(e)
	}
}

// deliver sends the results to the waiters; claims of waiters abandoned in the meantime remain unconfirmed.
func (s *shard) deliver(results map[*waiter]result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w, r := range results {
		if w.abandoned {
			continue
		}
		if r.decision == granted || r.decision == alreadyGranted {
			s.registry.addOwn(w.entry)
		}
		w.answered = true
		w.done <- r
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return w.answered })
	if len(s.waiting) > 0 {
		s.signal()
	}
}

// deleteSegments deletes segments that the head no longer references; the next sweep deletes those that fail here.
func (s *shard) deleteSegments(ctx context.Context, removed []Segment) {
	for _, seg := range removed {
		s.cache.remove(seg.Revision)
		s.deleteKey(ctx, s.segmentKey(seg.Revision))
	}
}

func (s *shard) deleteKey(ctx context.Context, key string) {
	if r, err := s.get(ctx, key); err == nil {
		_ = s.compareAndSwap(ctx, store.Write{Key: key, Base: r.Revision, Delete: true})
	}
}

// sweep deletes, once per Retention, segments that no head references or can reference later.
//
// The head is read after the keys are listed. An unreferenced segment of an older
// revision than this head's was either expired or written by a process whose head
// write failed and can only conflict by now.
func (s *shard) sweep(ctx context.Context) error {
	now := time.Now()
	if s.lastSweep.IsZero() {
		s.lastSweep = now
	}
	if now.Sub(s.lastSweep) < s.registry.timing.Retention {
		return nil
	}

	call, cancel := context.WithTimeout(ctx, s.registry.timing.CallTimeout)
	defer cancel()
	listing, err := s.registry.client.List(call, s.key+"/")
	if err != nil {
		return err
	}
	head, revision, err := s.read(ctx)
	if err != nil {
		return err
	}
	referenced := map[string]bool{}
	for _, seg := range head.Sealed {
		referenced[s.segmentKey(seg.Revision)] = true
	}
	for _, r := range listing.Records {
		if !referenced[r.Key] && r.Key < s.segmentKey(revision) {
			s.deleteKey(ctx, r.Key)
		}
	}
	s.lastSweep = now

	return nil
}
