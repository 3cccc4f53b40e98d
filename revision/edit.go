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
	// maxAttempts bounds how often an edit is made again because another came first.
	maxAttempts = 8
	// seatWait is how long an edit waits for the seat of a process that just started.
	seatWait = 5 * time.Second
	// settleFor is how long a write whose answer was lost is looked after before its outcome is reported as unknown.
	settleFor = 10 * time.Second
)

// Edit returns the next state of the configuration from the one in force; it is called again when another edit came first.
type Edit func(Revision) (Revision, error)

// ConflictError says that an edit and others since its base changed the same entries; errors.Is finds ErrStale.
type ConflictError struct {
	// Base is the revision that the edit was made from, and Current the one in force.
	Base    uint64
	Current uint64
	// Conflicts are the entries that both changed; empty if the history does not go back to Base.
	Conflicts []plan.Conflict
	// Changes are what the edit would change in the revision in force.
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

// Apply carries out an edit of the revision in force and returns the accepted revision.
func (b *Book) Apply(ctx context.Context, edit Edit) (Revision, error) {
	return b.ApplyAs(ctx, "", edit)
}

// ApplyAs is Apply with the name of who edits, for the history. An edit that changes nothing makes no new revision.
// When it returns store.ErrOutcomeUnknown the edit may come into force or not.
func (b *Book) ApplyAs(ctx context.Context, by string, edit Edit) (Revision, error) {
	if err := b.writing.take(ctx); err != nil {
		return Revision{}, err
	}
	defer b.writing.give()
	if err := b.settle(ctx); err != nil {
		return Revision{}, err
	}
	if err := b.awaitSeat(ctx); err != nil {
		return Revision{}, err
	}

	for range maxAttempts {
		accepted, err := b.attempt(ctx, by, edit)
		if !errors.Is(err, store.ErrConflict) {
			return accepted, err
		}
		if err := b.refresh(ctx); err != nil {
			return Revision{}, err
		}
	}

	return Revision{}, merry.Prepend(ErrStale, "too many edits at once")
}

// Put replaces both lists by an edit of revision base. Edits of other entries since then are kept; edits of the same ones are a ConflictError.
func (b *Book) Put(ctx context.Context, by string, base uint64, lists plan.Lists) (Revision, error) {
	if err := lists.Check(); err != nil {
		return Revision{}, err
	}

	return b.ApplyAs(ctx, by, func(cur Revision) (Revision, error) {
		if cur.Number == base {
			return cur.WithLists(lists), nil
		}
		conflict := &ConflictError{Base: base, Current: cur.Number, Changes: plan.Diff(cur.Lists, lists)}
		from, err := b.At(ctx, base)
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

// Restore makes the lists of an earlier revision a new one; keys are not restored, because a withdrawn key must stay withdrawn.
func (b *Book) Restore(ctx context.Context, by string, number uint64) (Revision, error) {
	return b.ApplyAs(ctx, by, func(cur Revision) (Revision, error) {
		old, err := b.At(ctx, number)
		if err != nil {
			return cur, err
		}

		return cur.WithLists(old.Lists), nil
	})
}

// At returns a revision of the history.
func (b *Book) At(ctx context.Context, number uint64) (Revision, error) {
	if cur := b.Current(); cur.Number == number {
		return *cur, nil
	}
	b.mu.RLock()
	h, ok := b.head.manifestOf(number)
	b.mu.RUnlock()
	if !ok {
		return Revision{}, merry.Prependf(ErrNoSuchRevision, "revision %d", number)
	}

	data, err := b.fromStore(ctx, h)
	if err != nil {
		return Revision{}, err
	}
	var m manifest
	if err := json.Unmarshal(data, &m); err != nil || hashOf(data) != h {
		return Revision{}, merry.Prependf(ErrDamaged, "manifest of revision %d", number)
	}
	parts, err := b.loadOnly(ctx, m.Parts)

	return join(number, parts), err
}

// loadOnly reads parts without holding them.
func (b *Book) loadOnly(ctx context.Context, hashes []hash) ([]*part, error) {
	parts := make([]*part, 0, len(hashes))
	for _, h := range hashes {
		b.mu.RLock()
		p := b.parts[h]
		b.mu.RUnlock()
		if p == nil {
			data, err := b.fromStore(ctx, h)
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

// awaitSeat reads the head and waits a little for the seat of a process that just started.
func (b *Book) awaitSeat(ctx context.Context) error {
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, seatWait)
	defer cancel()
	for {
		b.mu.RLock()
		moved := b.moved
		b.mu.RUnlock()
		if err := b.refresh(ctx); err != nil {
			if ctx.Err() != nil && caller.Err() == nil {
				return merry.Prepend(ErrNotSeated, err.Error())
			}
			return err
		}
		if b.Seated() {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Wrap(ErrNotSeated)
		case <-moved:
		case <-time.After(retryWait):
		}
	}
}

// attempt makes an edit of the head held and writes it; store.ErrConflict says that another write came first.
func (b *Book) attempt(ctx context.Context, by string, edit Edit) (Revision, error) {
	b.mu.RLock()
	held, base, cur := b.head, b.base, *b.Current()
	b.mu.RUnlock()

	edited, err := edit(cur)
	if err != nil {
		return Revision{}, err
	}
	if err := edited.Lists.Check(); err != nil {
		return Revision{}, err
	}
	parts, order, err := split(edited)
	if err != nil {
		return Revision{}, err
	}
	if slices.Equal(order, held.Parts) {
		return cur, nil
	}

	m, err := json.Marshal(manifest{Parts: order})
	if err != nil {
		return Revision{}, merry.Prepend(err, "encode manifest")
	}
	parts[hashOf(m)] = m
	if err := b.writeParts(ctx, parts, held.Parts, base); err != nil {
		return Revision{}, err
	}
	next := held.successor().withEdit(order, hashOf(m), by, time.Now())
	for _, h := range order {
		if _, err := b.keep(h, parts[h]); err != nil {
			return Revision{}, err
		}
	}
	if err := b.writeHead(ctx, next, base); err != nil {
		return Revision{}, err
	}

	return *b.Current(), nil
}

// writeParts writes the parts that the held head does not refer to. A part that is there already is written again, so that a
// collector which saw it unused meets a conflict.
func (b *Book) writeParts(ctx context.Context, parts map[hash][]byte, held []hash, base uint64) error {
	for h, data := range parts {
		if slices.Contains(held, h) {
			continue
		}
		if err := b.writePart(ctx, h, data, base); err != nil {
			return err
		}
	}

	return nil
}

// writePart writes a part until it is known to be written after the head at base was.
func (b *Book) writePart(ctx context.Context, h hash, data []byte, base uint64) error {
	w := store.Write{Key: partPrefix + string(h), Value: data}
	for range maxAttempts {
		_, err := b.client.CompareAndSwap(ctx, w)
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
			return err
		}
		r, readErr := b.client.Get(ctx, w.Key)
		switch {
		case readErr == nil && r.Revision > base:
			return nil
		case readErr != nil && !isNotFound(readErr):
			return readErr
		}
		w.Base = r.Revision
		if errors.Is(err, store.ErrOutcomeUnknown) {
			pause.For(ctx, jitter(retryWait))
		}
	}

	// The head was not written, so the edit surely is not accepted.
	return merry.Prependf(store.ErrUnavailable, "part %s", h)
}

// writeHead writes the next head over the one at base; from before the write leaves until its outcome is known, the process states nothing.
func (b *Book) writeHead(ctx context.Context, next headRecord, base uint64) error {
	raw, err := json.Marshal(next)
	if err != nil {
		return merry.Prepend(err, "encode head")
	}
	if len(raw) > maxPartSize {
		return merry.Prependf(ErrTooLarge, "head of %d bytes", len(raw))
	}

	ctx, cancel := context.WithTimeout(ctx, settleFor)
	defer cancel()
	asked := time.Now()
	doubt := b.setDoubt(true)
	written, err := b.client.CompareAndSwap(ctx, store.Write{Key: headKey, Value: raw, Base: base})
	for errors.Is(err, store.ErrOutcomeUnknown) && ctx.Err() == nil {
		written, err = b.retryHead(ctx, next.Token, raw, base)
	}
	if errors.Is(err, store.ErrUnavailable) {
		b.setDoubt(doubt)
	}
	if err != nil {
		return err
	}
	// A later head may have been taken over already; then this write took effect before it.
	if err := b.takeOver(ctx, raw, written, asked, b.fromStore); err != nil && !errors.Is(err, ErrStale) {
		return err
	}
	b.offer(ctx)

	return nil
}

// retryHead finds out whether a head was written whose answer was lost, and writes it again if the base is still there.
func (b *Book) retryHead(ctx context.Context, token uuid.UUID, raw []byte, base uint64) (uint64, error) {
	pause.For(ctx, jitter(retryWait/4))
	r, err := b.client.Get(ctx, headKey)
	if err != nil && !isNotFound(err) {
		// The write stays in doubt: it may be on its way still.
		return 0, merry.Prepend(store.ErrOutcomeUnknown, err.Error())
	}
	if r.Revision == base {
		written, err := b.client.CompareAndSwap(ctx, store.Write{Key: headKey, Value: raw, Base: base})
		if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrConflict) {
			err = merry.Prepend(store.ErrOutcomeUnknown, err.Error())
		}

		return written, err
	}

	h, err := parseHead(r.Value)
	if err != nil {
		return 0, err
	}
	if !h.has(token) {
		return 0, merry.Prepend(store.ErrConflict, headKey)
	}
	if h.Token != token {
		// The edit took effect and another followed; that one is to be taken over in place of it.
		return r.Revision, b.takeOver(ctx, r.Value, r.Revision, time.Time{}, b.fromStore)
	}

	return r.Revision, nil
}

// setDoubt notes whether a write is in doubt and returns whether one was before.
func (b *Book) setDoubt(doubt bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.standing.Doubt()
	b.standing = b.standing.WithDoubt(doubt)

	return before
}

// settle ends the doubt over an earlier write: it waits for a head after the base of that write, and writes one if there is none.
func (b *Book) settle(ctx context.Context) error {
	b.mu.RLock()
	doubt := b.standing.Doubt()
	b.mu.RUnlock()
	if !doubt {
		return nil
	}
	if err := b.refresh(ctx); err != nil {
		return err
	}
	b.mu.RLock()
	doubt, held, base := b.standing.Doubt(), b.head, b.base
	b.mu.RUnlock()
	if !doubt {
		return nil
	}

	// The write in doubt and this one have the same base, so that only one of them can take effect.
	err := b.writeHead(ctx, held.successor(), base)
	if errors.Is(err, store.ErrConflict) {
		return b.refresh(ctx)
	}

	return err
}
