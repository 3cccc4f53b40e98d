package audit

import (
	"context"
	"slices"

	"github.com/google/uuid"

	"lycheehook.example/lycheehook/store"
)

// Read returns the entries in the store that match the filter, oldest first.
func Read(ctx context.Context, c *store.Client, f Filter) ([]Entry, error) {
	s := &segments{client: c}
	head, _, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	last, err := s.last(ctx, head)
	if err != nil {
		return nil, err
	}

	var found []Entry
	seen := map[uuid.UUID]bool{}
	for number := last; number >= max(head.First, 1); number-- {
		// An entry can be in an earlier segment than its time implies, so one more segment is read than the limit requires.
		limitReached := f.Limit > 0 && len(found) >= f.Limit
		segment, _, err := s.get(ctx, number)
		if err != nil {
			return nil, err
		}
		for _, e := range segment.Entries {
			// An entry has a second copy if a delayed write takes effect after its retry.
			if f.matches(e) && !seen[e.ID] {
				found = append(found, e)
			}
			seen[e.ID] = true
		}
		if limitReached {
			break
		}
	}

	slices.SortStableFunc(found, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	if f.Limit > 0 && len(found) > f.Limit {
		found = found[len(found)-f.Limit:]
	}

	return found, nil
}

// last returns the number of the newest segment, which can be newer than the head's.
func (s *segments) last(ctx context.Context, head headRecord) (uint64, error) {
	number := max(head.Last, 1)
	for {
		_, revision, err := s.get(ctx, number+1)
		if err != nil {
			return 0, err
		}
		if revision == 0 {
			return number, nil
		}
		number++
	}
}
