package record

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/store"
)

// ErrContended reports an update of which every attempt met a conflict or had an unknown outcome.
var ErrContended = merry.Sentinel("record: too many conflicting writes")

// updateAttempts limits how often Update reads and writes a record.
const updateAttempts = 8

// Versioned is a record with the store revision of its last write. A zero Revision means that the record does not exist.
type Versioned[T any] struct {
	Value    T
	Revision uint64
}

// Page is the set of records under a prefix as of one store revision, keyed by the rest of their keys.
type Page[T any] struct {
	Records  map[string]Versioned[T]
	Revision uint64
}

// Read returns the record at key, or a record of revision zero if there is none.
func Read[T any](ctx context.Context, c *store.Client, key string) (Versioned[T], error) {
	var v Versioned[T]
	r, err := c.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return v, nil
	}
	if err != nil {
		return v, err
	}

	return decode[T](r)
}

// List returns every record under prefix.
func List[T any](ctx context.Context, c *store.Client, prefix string) (Page[T], error) {
	l, err := c.List(ctx, prefix)
	if err != nil {
		return Page[T]{}, err
	}

	p := Page[T]{Records: make(map[string]Versioned[T], len(l.Records)), Revision: l.Revision}
	for _, r := range l.Records {
		v, err := decode[T](r)
		if err != nil {
			return Page[T]{}, err
		}
		p.Records[strings.TrimPrefix(r.Key, prefix)] = v
	}

	return p, nil
}

func decode[T any](r store.Record) (Versioned[T], error) {
	v := Versioned[T]{Revision: r.Revision}
	if err := json.Unmarshal(r.Value, &v.Value); err != nil {
		return v, merry.Prependf(err, "decode %s", r.Key)
	}

	return v, nil
}

// Write replaces the record at key if its revision is still base, and returns the new revision.
func Write[T any](ctx context.Context, c *store.Client, key string, value T, base uint64) (uint64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, merry.Prependf(err, "encode %s", key)
	}

	return c.CompareAndSwap(ctx, store.Write{Key: key, Value: data, Base: base})
}

// Update applies change to the record at key and retries until the result is written. The change function returns false if there is
// nothing to write. It must be idempotent, because after a write of unknown outcome the record is read and changed again.
func Update[T any](ctx context.Context, c *store.Client, key string, change func(T) (T, bool, error)) (Versioned[T], error) {
	for range updateAttempts {
		v, err := Read[T](ctx, c, key)
		if err != nil {
			return v, err
		}
		next, write, err := change(v.Value)
		if err != nil || !write {
			return v, err
		}

		revision, err := Write(ctx, c, key, next, v.Revision)
		switch {
		case err == nil:
			return Versioned[T]{Value: next, Revision: revision}, nil
		case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrOutcomeUnknown):
		default:
			return v, err
		}
	}

	return Versioned[T]{}, merry.Prepend(ErrContended, key)
}
