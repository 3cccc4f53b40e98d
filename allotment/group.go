package allotment

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/store"
)

// maxTries bounds how often a change is attempted after conflicts before it is left to the next
// tick.
const maxTries = 3

// group is one record of the store with the entries of its limits.
type group struct {
	key  string
	set  string
	self fleet.Incarnation

	// sem is held while a change of the record runs, so that at most one write is in flight.
	sem chan struct{}

	mu      sync.Mutex
	view    view
	bounds  bounds
	entries []*entry
	// leaseLosses counts losses of the lease; the allocations are known to be valid while
	// confirmedLosses equals it.
	leaseLosses, confirmedLosses int
}

// add adds e to the group.
func (g *group) add(e *entry, b bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entries = append(g.entries, e)
	g.bounds = b
	g.updateSuspended()
}

// setBounds applies other bounds.
func (g *group) setBounds(b bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bounds = b
	g.updateSuspended()
}

// invalidate suspends the group until its allocations are confirmed.
func (g *group) invalidate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaseLosses++
	g.view.unconfirmed = true
	g.updateSuspended()
}

// adopt applies a record of the store unless it is stale, and returns the keys of limits with more
// room than before.
func (g *group) adopt(r store.Record) ([]Key, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Revision <= g.view.revision {
		return nil, nil
	}

	record, err := Decode(r.Value)
	if err != nil {
		return nil, merry.Prepend(err, r.Key)
	}

	return g.apply(record, r.Revision), nil
}

// apply applies a state of the record; g.mu is held.
func (g *group) apply(r Record, revision uint64) []Key {
	next, newer := g.view.withRecord(r, revision)
	if !newer {
		return nil
	}
	g.view = next

	var grown []Key
	for _, e := range g.entries {
		l, _ := r.Limits.Get(e.key.Name)
		if e.adopt(l, g.self, next.suspends(e.key.Name, g.bounds)) {
			grown = append(grown, e.key)
		}
	}

	return grown
}

// updateSuspended recomputes which entries are suspended; g.mu is held.
func (g *group) updateSuspended() {
	for _, e := range g.entries {
		e.setSuspended(g.view.suspends(e.key.Name, g.bounds))
	}
}

// prune removes entries that are no longer needed and returns their keys.
func (g *group) prune() []Key {
	g.mu.Lock()
	defer g.mu.Unlock()

	var removed []Key
	g.entries = slices.DeleteFunc(g.entries, func(e *entry) bool {
		_, known := g.bounds.upper[e.key.Name]
		if known || g.bounds.revision > g.view.record.Revision || !e.unused() {
			return false
		}
		removed = append(removed, e.key)

		return true
	})

	return removed
}

// clearEscrow frees the amounts escrowed for a write that is known to have failed, unless an
// earlier write is uncertain; g.mu is held.
func (g *group) clearEscrow() {
	if g.view.uncertain {
		return
	}
	for _, e := range g.entries {
		e.clearEscrow()
	}
}

// entry returns the entry of a limit.
func (g *group) entry(name string) (*entry, bool) {
	i := slices.IndexFunc(g.entries, func(e *entry) bool { return e.key.Name == name })
	if i < 0 {
		return nil, false
	}

	return g.entries[i], true
}

// planner returns the next state of a record and escrows what the holder transfers in it; the
// group is locked.
type planner func(g *group) Record

// change reads the record, plans its next state and writes it, conditional on the revision that
// was read.
//
// The transferred amount is escrowed before the write and can't be used from then on. If the
// response is lost, it stays in escrow until a newer revision has been read, because only then can
// that write no longer be applied.
//
// The same write reclaims the allocations of those expired holders that still have no member key.
func (h *Holder) change(ctx context.Context, g *group, expired []fleet.Incarnation, plan planner) error {
	select {
	case g.sem <- struct{}{}:
		defer func() { <-g.sem }()
	case <-ctx.Done():
		return ctx.Err()
	}

	var err error
	for range maxTries {
		if err = h.tryChange(ctx, g, expired, plan); !errors.Is(err, store.ErrConflict) {
			return err
		}
	}

	return err
}

// tryChange is one attempt of change; after a conflict the next attempt reads the newer record.
func (h *Holder) tryChange(ctx context.Context, g *group, expired []fleet.Incarnation, plan planner) error {
	leaseLosses, confirm, err := h.mayConfirm(ctx, g)
	if err != nil {
		return err
	}
	if err := h.read(ctx, g); err != nil {
		return err
	}
	// The member keys are checked after the record has been read: a holder that returns after this
	// check writes the record before it uses its allocations, which makes the write below fail.
	absent, err := h.absentFromStore(ctx, expired)
	if err != nil {
		return err
	}

	g.mu.Lock()
	base := g.view.revision
	before := g.view.record
	next := plan(g)
	for _, d := range absent {
		next = next.WithoutHolder(d)
	}
	g.mu.Unlock()
	if !confirm && equalRecords(before, next) {
		return nil
	}

	return h.write(ctx, g, next, base, func() {
		if confirm {
			g.confirmedLosses = max(g.confirmedLosses, leaseLosses)
			g.view.unconfirmed = g.confirmedLosses != g.leaseLosses
		}
	})
}

// write swaps the record and updates the view with the outcome; if the write is known to have
// taken effect, done is called first.
func (h *Holder) write(ctx context.Context, g *group, next Record, base uint64, done func()) error {
	value, err := next.Encode()
	if err != nil {
		return err
	}

	call, cancel := context.WithTimeout(ctx, h.timing.CallTimeout)
	defer cancel()
	revision, err := h.client.CompareAndSwap(call, store.Write{Key: g.key, Value: value, Base: base})

	g.mu.Lock()
	var grown []Key
	switch {
	case err == nil:
		done()
		grown = g.apply(next, revision)
		g.updateSuspended()
	case errors.Is(err, store.ErrUnavailable):
		g.clearEscrow()
	case errors.Is(err, store.ErrConflict):
		// The next read returns a newer revision and clears the escrow.
	default:
		g.view.uncertain = g.view.uncertain || g.view.revision == base
	}
	g.mu.Unlock()
	h.notifyGrown(grown)

	return err
}

// read updates the view of a group from the store.
func (h *Holder) read(ctx context.Context, g *group) error {
	call, cancel := context.WithTimeout(ctx, h.timing.CallTimeout)
	defer cancel()

	r, err := h.client.Get(call, g.key)
	if errors.Is(err, store.ErrNotFound) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.view.revision > 0 {
			return merry.Errorf("record %s was deleted after revision %d", g.key, g.view.revision)
		}

		return nil
	}
	if err != nil {
		return err
	}

	return h.adopt(g, r)
}

// adopt applies a record and reports the limits with more room through OnGrown.
func (h *Holder) adopt(g *group, r store.Record) error {
	grown, err := g.adopt(r)
	h.notifyGrown(grown)

	return err
}

func (h *Holder) notifyGrown(keys []Key) {
	for _, k := range keys {
		h.OnGrown(k)
	}
}

// mayConfirm reports whether a write can confirm allocations that may have been reclaimed; it
// fails until the member key of this process is back in the store.
func (h *Holder) mayConfirm(ctx context.Context, g *group) (leaseLosses int, confirm bool, err error) {
	g.mu.Lock()
	leaseLosses, confirm = g.leaseLosses, g.view.unconfirmed
	g.mu.Unlock()
	if !confirm {
		return leaseLosses, false, nil
	}

	missing, err := h.absentFromStore(ctx, []fleet.Incarnation{h.self})
	if err == nil && len(missing) > 0 {
		err = merry.Prependf(store.ErrUnavailable, "member key of %s is missing from the store", h.self)
	}

	return leaseLosses, true, err
}

// absentFromStore returns the holders that have no member key in the store at the time of the
// call.
func (h *Holder) absentFromStore(ctx context.Context, holders []fleet.Incarnation) ([]fleet.Incarnation, error) {
	var missing []fleet.Incarnation
	for _, i := range holders {
		call, cancel := context.WithTimeout(ctx, h.timing.CallTimeout)
		absent, err := h.Absent(call, i)
		cancel()
		if err != nil {
			return nil, err
		}
		if absent {
			missing = append(missing, i)
		}
	}

	return missing, nil
}

// equalRecords reports whether two states of a record are equal.
func equalRecords(a, b Record) bool {
	if a.Revision != b.Revision || a.Limits.Len() != b.Limits.Len() {
		return false
	}
	for name, l := range a.Limits.All() {
		o, ok := b.Limits.Get(name)
		if !ok || l.Upper != o.Upper || !slices.Equal(l.Allocations, o.Allocations) {
			return false
		}
	}

	return true
}
