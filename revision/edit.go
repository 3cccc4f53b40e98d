package revision

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/plan"
	"lycheehook.example/lycheehook/store"
)

const (
	// maxAttempts limits the attempts to apply an edit that conflicts with other writes.
	maxAttempts = 8
	// seatTimeout is how long an edit waits for a newly started process to get its seat.
	seatTimeout = 5 * time.Second
	// resolveTimeout is how long a write whose answer was lost is checked and retried before its outcome is reported as unknown.
	resolveTimeout = 10 * time.Second
)

// Edit computes the next revision from the current one. It is called again if another write came first.
type Edit func(Revision) (Revision, error)

// ConflictError reports that an edit changed entries that other edits have also changed since its base. It wraps ErrStale.
type ConflictError struct {
	// Base is the revision that the edit is based on, and Current the one in force.
	Base    uint64
	Current uint64
	// Conflicts lists the entries changed by both; empty if Base is no longer in the history.
	Conflicts []plan.Conflict
	// Changes lists what the edit would change in the revision in force.
	Changes []plan.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	text := ErrStale.Error() + " (" + strconv.FormatUint(e.Base, 10) + ", in force is " + strconv.FormatUint(e.Current, 10) + ")"
	for _, c := range e.Conflicts {
		text += "; " + c.Path + ": in force " + orAbsent(c.Ours) + ", edited to " + orAbsent(c.Theirs)
	}

	return text
}

// Unwrap returns ErrStale.
func (e *ConflictError) Unwrap() error {
	return ErrStale
}

func orAbsent(s string) string {
	if s == "" {
		return "absent"
	}

	return s
}

// Apply applies an edit to the revision in force and returns the accepted revision.
func (repo *Repository) Apply(ctx context.Context, edit Edit) (Revision, error) {
	return repo.ApplyAs(ctx, "", edit)
}

// ApplyAs is like Apply and records the author in the history. An edit that changes nothing creates no revision.
// If it returns store.ErrOutcomeUnknown, the edit may or may not come into force.
func (repo *Repository) ApplyAs(ctx context.Context, author string, edit Edit) (Revision, error) {
	if err := repo.writeMu.lock(ctx); err != nil {
		return Revision{}, err
	}
	defer repo.writeMu.unlock()
	if err := repo.resolveUncertainWrite(ctx); err != nil {
		return Revision{}, err
	}
	if err := repo.awaitSeat(ctx); err != nil {
		return Revision{}, err
	}

	for range maxAttempts {
		accepted, err := repo.attempt(ctx, author, edit)
		if !errors.Is(err, store.ErrConflict) {
			return accepted, err
		}
		if err := repo.refresh(ctx); err != nil {
			return Revision{}, err
		}
	}

	return Revision{}, merry.Prepend(ErrStale, "too many edits at once")
}

// Put replaces both lists with an edited version of revision base. Later edits of other entries are kept; later edits of the same entries cause a ConflictError.
func (repo *Repository) Put(ctx context.Context, author string, base uint64, lists plan.Lists) (Revision, error) {
	if err := lists.Check(); err != nil {
		return Revision{}, err
	}

	return repo.ApplyAs(ctx, author, func(cur Revision) (Revision, error) {
		if cur.Number == base {
			return cur.WithLists(lists), nil
		}
		conflict := &ConflictError{Base: base, Current: cur.Number, Changes: plan.Diff(cur.Lists, lists)}
		from, err := repo.At(ctx, base)
		if errors.Is(err, ErrNoSuchRevision) {
			return cur, conflict
		}
		if err != nil {
			return cur, err
		}
		merged, conflicts := plan.Merge(from.Lists, cur.Lists, lists)
		if len(conflicts) > 0 {
			conflict.Conflicts = conflicts
			return cur, conflict
		}

		return cur.WithLists(merged), nil
	})
}

// Restore creates a revision with the lists of an earlier one. Keys are not restored, because a revoked key must stay revoked.
func (repo *Repository) Restore(ctx context.Context, author string, number uint64) (Revision, error) {
	return repo.ApplyAs(ctx, author, func(cur Revision) (Revision, error) {
		old, err := repo.At(ctx, number)
		if err != nil {
			return cur, err
		}

		return cur.WithLists(old.Lists), nil
	})
}

// At returns the current revision or one in the history.
func (repo *Repository) At(ctx context.Context, number uint64) (Revision, error) {
	if cur := repo.Current(); cur.Number == number {
		return *cur, nil
	}
	repo.mu.RLock()
	h, ok := repo.head.manifestHash(number)
	repo.mu.RUnlock()
	if !ok {
		return Revision{}, merry.Prependf(ErrNoSuchRevision, "revision %d", number)
	}

	data, err := repo.readPartFromStore(ctx, h)
	if err != nil {
		return Revision{}, err
	}
	var m manifest
	if err := json.Unmarshal(data, &m); err != nil || hashOf(data) != h {
		return Revision{}, merry.Prependf(ErrCorrupt, "manifest of revision %d", number)
	}
	parts, err := repo.loadPartsUncached(ctx, m.Parts)

	return joinParts(number, parts), err
}

// loadPartsUncached returns the parts with the hashes without caching those it reads.
func (repo *Repository) loadPartsUncached(ctx context.Context, hashes []hash) ([]*part, error) {
	parts := make([]*part, 0, len(hashes))
	for _, h := range hashes {
		repo.mu.RLock()
		p := repo.parts[h]
		repo.mu.RUnlock()
		if p == nil {
			data, err := repo.readPartFromStore(ctx, h)
			if err != nil {
				return nil, err
			}
			if p, err = parsePart(h, data); err != nil {
				return nil, err
			}
		}
		parts = append(parts, p)
	}

	return parts, nil
}

// awaitSeat reads the head and waits up to seatTimeout until this process may write, because one that just started has no seat yet.
func (repo *Repository) awaitSeat(ctx context.Context) error {
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, seatTimeout)
	defer cancel()
	for {
		repo.mu.RLock()
		changed := repo.changed
		repo.mu.RUnlock()
		if err := repo.refresh(ctx); err != nil {
			if ctx.Err() != nil && caller.Err() == nil {
				return merry.Prepend(ErrNotSeated, err.Error())
			}
			return err
		}
		if repo.Seated() {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Wrap(ErrNotSeated)
		case <-changed:
		case <-time.After(retryDelay):
		}
	}
}

// attempt applies an edit to the current head and writes the result. It returns store.ErrConflict if another write came first.
func (repo *Repository) attempt(ctx context.Context, author string, edit Edit) (Revision, error) {
	repo.mu.RLock()
	head, base, cur := repo.head, repo.base, *repo.Current()
	repo.mu.RUnlock()

	edited, err := edit(cur)
	if err != nil {
		return Revision{}, err
	}
	if err := edited.Lists.Check(); err != nil {
		return Revision{}, err
	}
	parts, hashes, err := splitParts(edited)
	if err != nil {
		return Revision{}, err
	}
	if slices.Equal(hashes, head.Parts) {
		return cur, nil
	}

	m, err := json.Marshal(manifest{Parts: hashes})
	if err != nil {
		return Revision{}, merry.Prepend(err, "encode manifest")
	}
	parts[hashOf(m)] = m
	if err := repo.writeParts(ctx, parts, head.Parts, base); err != nil {
		return Revision{}, err
	}
	next := head.successor().withEdit(hashes, hashOf(m), author, time.Now())
	for _, h := range hashes {
		if _, err := repo.cachePart(h, parts[h]); err != nil {
			return Revision{}, err
		}
	}
	if err := repo.writeHead(ctx, next, base); err != nil {
		return Revision{}, err
	}

	return *repo.Current(), nil
}

// writeParts writes the parts that are not in existing, the hashes of the current head. A part that the store already has is
// written again, so that a collector that saw it as unused fails with a conflict.
func (repo *Repository) writeParts(ctx context.Context, parts map[hash][]byte, existing []hash, base uint64) error {
	for h, data := range parts {
		if slices.Contains(existing, h) {
			continue
		}
		if err := repo.writePart(ctx, h, data, base); err != nil {
			return err
		}
	}

	return nil
}

// writePart retries the write of a part until the part is known to be newer than the head at store revision base.
func (repo *Repository) writePart(ctx context.Context, h hash, data []byte, base uint64) error {
	w := store.Write{Key: partPrefix + string(h), Value: data}
	for range maxAttempts {
		_, err := repo.client.CompareAndSwap(ctx, w)
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
			return err
		}
		r, readErr := repo.client.Get(ctx, w.Key)
		switch {
		case readErr == nil && r.Revision > base:
			return nil
		case readErr != nil && !isNotFound(readErr):
			return readErr
		}
		w.Base = r.Revision
		if errors.Is(err, store.ErrOutcomeUnknown) {
			pause.For(ctx, jitter(retryDelay))
		}
	}

	// The head was not written, so the edit is certainly not in force.
	return merry.Prependf(store.ErrUnavailable, "part %s", h)
}

// writeHead replaces the head at base with next. This process makes no statement for its seats from before the write is sent until its outcome is known.
func (repo *Repository) writeHead(ctx context.Context, next headRecord, base uint64) error {
	raw, err := json.Marshal(next)
	if err != nil {
		return merry.Prepend(err, "encode head")
	}
	if len(raw) > maxPartSize {
		return merry.Prependf(ErrTooLarge, "head of %d bytes", len(raw))
	}

	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	requestedAt := time.Now()
	uncertain := repo.setWriteUncertain(true)
	written, err := repo.client.CompareAndSwap(ctx, store.Write{Key: headKey, Value: raw, Base: base})
	for errors.Is(err, store.ErrOutcomeUnknown) && ctx.Err() == nil {
		written, err = repo.retryHead(ctx, next.Token, raw, base)
	}
	if errors.Is(err, store.ErrUnavailable) {
		repo.setWriteUncertain(uncertain)
	}
	if err != nil {
		return err
	}
	// ErrStale means that a later head was already accepted, and this write took effect before that head.
	if err := repo.acceptHead(ctx, raw, written, requestedAt, repo.readPartFromStore); err != nil && !errors.Is(err, ErrStale) {
		return err
	}
	repo.offer(ctx)

	return nil
}

// retryHead checks whether a head write whose answer was lost took effect, and writes the head again if the store is still at base.
func (repo *Repository) retryHead(ctx context.Context, token uuid.UUID, raw []byte, base uint64) (uint64, error) {
	pause.For(ctx, jitter(retryDelay/4))
	r, err := repo.client.Get(ctx, headKey)
	if err != nil && !isNotFound(err) {
		// The outcome stays unknown, because the write may still arrive at the store.
		return 0, merry.Prepend(store.ErrOutcomeUnknown, err.Error())
	}
	if r.Revision == base {
		written, err := repo.client.CompareAndSwap(ctx, store.Write{Key: headKey, Value: raw, Base: base})
		if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrConflict) {
			err = merry.Prepend(store.ErrOutcomeUnknown, err.Error())
		}

		return written, err
	}

	h, err := parseHead(r.Value)
	if err != nil {
		return 0, err
	}
	if !h.hasWrite(token) {
		return 0, merry.Prepend(store.ErrConflict, headKey)
	}
	if h.Token != token {
		// The edit took effect and another followed, so accept the newer head instead.
		return r.Revision, repo.acceptHead(ctx, r.Value, r.Revision, time.Time{}, repo.readPartFromStore)
	}

	return r.Revision, nil
}

// setWriteUncertain records whether a head write has an unknown outcome and returns the previous value.
func (repo *Repository) setWriteUncertain(uncertain bool) bool {
	repo.mu.Lock()
	defer repo.mu.Unlock()
	before := repo.standing.Uncertain()
	repo.standing = repo.standing.WithUncertain(uncertain)

	return before
}

// resolveUncertainWrite ends the uncertainty about an earlier head write: it reads the head and, if no head has replaced the base of that
// write, writes one itself.
func (repo *Repository) resolveUncertainWrite(ctx context.Context) error {
	repo.mu.RLock()
	uncertain := repo.standing.Uncertain()
	repo.mu.RUnlock()
	if !uncertain {
		return nil
	}
	if err := repo.refresh(ctx); err != nil {
		return err
	}
	repo.mu.RLock()
	uncertain, head, base := repo.standing.Uncertain(), repo.head, repo.base
	repo.mu.RUnlock()
	if !uncertain {
		return nil
	}

	// The uncertain write and this one have the same base, so only one of them can take effect.
	err := repo.writeHead(ctx, head.successor(), base)
	if errors.Is(err, store.ErrConflict) {
		return repo.refresh(ctx)
	}

	return err
}
