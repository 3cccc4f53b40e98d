package standin

import (
	"context"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/store"
)

// commit applies a transaction if all its expectations hold.
func (s *Store) commit(ctx context.Context, t store.Txn) (uint64, error) {
	if err := s.enter(ctx, "Commit"); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()

	conflict := &store.ConflictError{}
	failed := false
	for _, e := range t.Expect {
		r, exists := s.records[e.Key]
		failed = failed || r.Revision != e.Revision
		if exists {
			conflict.Records = append(conflict.Records, r)
		}
	}
	if failed {
		return 0, conflict
	}
	for _, p := range t.Puts {
		if len(p.Value) > store.MaxValueSize {
			return 0, merry.Prepend(store.ErrTooLarge, p.Key)
		}
		if _, live := s.leases[p.Lease]; p.Lease != 0 && !live {
			return 0, merry.Prepend(store.ErrLeaseLapsed, p.Key)
		}
	}
	for _, p := range t.Puts {
		s.put(store.Write{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Removes {
		s.remove(key)
	}

	return s.revision, s.answer("Commit")
}
