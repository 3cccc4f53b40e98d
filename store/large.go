package store

import (
	"context"
	"errors"
	"fmt"
)

// ErrLargeChange means that a change is too large for the response to a watch, so that the records have to be listed. It wraps ErrCompacted.
var ErrLargeChange = fmt.Errorf("store: the change is too large to be watched: %w", ErrCompacted)

// largeList is the size of the records in bytes from which on a list is large: on a link of 10 Mbit/s it takes 0.07 s.
const largeList = 64 << 10

// largeKey is the key of the context of a read whose response is expected to be large.
type largeKey struct{}

// WithLargeResponse returns the context of a read whose response is expected to be large.
func WithLargeResponse(ctx context.Context) context.Context {
	return context.WithValue(ctx, largeKey{}, true)
}

// ExpectsLarge reports whether the response to a read is expected to be large.
func ExpectsLarge(ctx context.Context) bool {
	return ctx.Value(largeKey{}) != nil
}

// size returns the size of the values in bytes.
func (l Listing) size() int {
	n := 0
	for _, r := range l.Records {
		n += len(r.Value)
	}

	return n
}

// expectsLarge reports whether the next list is expected to be large.
func (r *Reflector) expectsLarge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.large
}

func (r *Reflector) setLarge(large bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.large = large
}

// noteLarge notes that a read failed since a change was too large for it.
func (r *Reflector) noteLarge(err error) {
	if errors.Is(err, ErrLargeChange) {
		r.setLarge(true)
	}
}
