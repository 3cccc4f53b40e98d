package ledger

import (
	"slices"
	"strings"

	"lycheehook.example/lycheehook/store"
)

// logRange returns the numbers of the oldest batch in a sorted list of records, and of the first one to apply. They differ if
// batches are missing in between and the log says that it reproduces the whole state from the later one on: a write that the
// store carries out late restores a batch that a compaction has removed since.
func logRange(records []store.Record) (oldest, first uint64) {
	var numbers []uint64
	for _, r := range records {
		if !strings.HasPrefix(r.Key, LogPrefix) {
			continue
		}
		if n, err := batchNumber(r.Key); err == nil {
			numbers = append(numbers, n)
		}
	}
	if len(numbers) == 0 {
		return 0, 0
	}
	last := len(numbers) - 1
	for last > 0 && numbers[last-1]+1 == numbers[last] {
		last--
	}
	if last > 0 && slices.ContainsFunc(records, func(r store.Record) bool { return reproducesFrom(r, numbers[last]) }) {
		return numbers[0], numbers[last]
	}

	return numbers[0], numbers[0]
}

// reproducesFrom reports whether a record is a batch that says that the log reproduces the whole state from a batch on that is
// not before first.
func reproducesFrom(r store.Record, first uint64) bool {
	n, err := batchNumber(r.Key)
	if err != nil || n < first || !strings.HasPrefix(r.Key, LogPrefix) {
		return false
	}
	b, err := DecodeBatch(r.Key, r.Value)

	return err == nil && slices.ContainsFunc(b.Changes, func(c Change) bool {
		return c.Kind == Compacted && uint64(c.Life) >= first
	})
}

// reproducedFrom returns the last batch from first on from which the log says that it reproduces the whole state, if there is
// one.
func reproducedFrom(records []store.Record, first uint64) (from uint64, ok bool) {
	for _, r := range records {
		n, err := batchNumber(r.Key)
		if err != nil || n < first || !strings.HasPrefix(r.Key, LogPrefix) {
			continue
		}
		b, err := DecodeBatch(r.Key, r.Value)
		if err != nil {
			continue
		}
		for _, c := range b.Changes {
			if c.Kind == Compacted && uint64(c.Life) >= first {
				from, ok = max(from, uint64(c.Life)), true
			}
		}
	}

	return from, ok
}
