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

// maxTries bounds how often a change is tried again after a conflict before the next tick.
const maxTries = 3

// group is one record of the store with the entries of its limits.
type group struct {
	key  string
	set  string
	self fleet.Incarnation

	// op holds a token while a change of the record runs, so that at most one write is in flight.
	op chan struct{}

	mu      sync.Mutex
	view    view
	bounds  bounds
	entries []*entry
	// lapses counts losses of the licence; the parts are sure while confirmed is equal.
	lapses, confirmed int
}

// add makes e an entry of the group.
func (g *group) add(e *entry, b bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entries = append(g.entries, e)
	g.bounds = b
	g.renew()
}

// refresh puts other bounds in force.
func (g *group) refresh(b bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bounds = b
	g.renew()
}

// lapse closes the group until its parts are confirmed.
func (g *group) lapse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lapses++
	g.view.unconfirmed = true
	g.renew()
}

// adopt takes in a record of the store unless it is old, and returns the keys whose room grew.
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

	return g.see(record, r.Revision), nil
}

// see takes in a state of the record; g.mu is held.
func (g *group) see(r Record, revision uint64) []Key {
	next, newer := g.view.withRecord(r, revision)
	if !newer {
		return nil
	}
	g.view = next

	var grown []Key
	for _, e := range g.entries {
		l, _ := r.Limits.Get(e.key.Name)
		if e.adopt(l, g.self, next.closes(e.key.Name, g.bounds)) {
			grown = append(grown, e.key)
		}
	}

	return grown
}

// renew decides again which entries are closed; g.mu is held.
func (g *group) renew() {
	for _, e := range g.entries {
		e.close(g.view.closes(e.key.Name, g.bounds))
	}
}

// prune removes entries that are of no use any more and returns their keys.
func (g *group) prune() []Key {
	g.mu.Lock()
	defer g.mu.Unlock()

	var gone []Key
	g.entries = slices.DeleteFunc(g.entries, func(e *entry) bool {
		_, known := g.bounds.upper[e.key.Name]
		if known || g.bounds.revision > g.view.record.Revision || !e.unused() {
			return false
		}
		gone = append(gone, e.key)

		return true
	})

	return gone
}

// settle drops the pledges of a write that was surely not carried out, unless an earlier one is in doubt; g.mu is held.
func (g *group) settle() {
	if g.view.doubt {
		return
	}
	for _, e := range g.entries {
		e.unpledge()
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

// planner returns the next state of a record and pledges what the holder gives away in it; the group is locked.
type planner func(g *group) Record

// change reads the record, plans its next state and writes it, with the revision as fence.
//
// What is given away is pledged before the write and can't be used from then
// on. After a lost answer it stays pledged until a newer revision was seen, as
// only then can that write not arrive any more.
func (h *Holder) change(ctx context.Context, g *group, dead []fleet.Incarnation, plan planner) error {
	select {
	case g.op <- struct{}{}:
		defer func() { <-g.op }()
	case <-ctx.Done():
		return ctx.Err()
	}

	var err error
	for range maxTries {
		if err = h.tryChange(ctx, g, dead, plan); !errors.Is(err, store.ErrConflict) {
			return err
		}
	}

	return err
}

// tryChange is one round of change; after a conflict the next round reads the newer record.
func (h *Holder) tryChange(ctx context.Context, g *group, dead []fleet.Incarnation, plan planner) error {
	lapses, confirm, err := h.mayConfirm(ctx, g)
	if err != nil {
		return err
	}
	if err := h.read(ctx, g); err != nil {
		return err
	}
	// The keys are looked for after the record was read: a holder that came back
	// after this writes the record before it uses its parts, and so fails the write below.
	gone, err := h.surelyAbsent(ctx, dead)
	if err != nil {
		return err
	}

	g.mu.Lock()
	base := g.view.revision
	before := g.view.record
	next := plan(g)
	for _, d := range gone {
		next = next.WithoutHolder(d)
	}
	g.mu.Unlock()
	if !confirm && same(before, next) {
		return nil
	}

	return h.write(ctx, g, next, base, func() {
		if confirm {
			g.confirmed = max(g.confirmed, lapses)
			g.view.unconfirmed = g.confirmed != g.lapses
		}
	})
}

// write swaps the record and takes the outcome into the view; done runs before that if the write surely took effect.
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
		grown = g.see(next, revision)
		g.renew()
	case errors.Is(err, store.ErrUnavailable):
		g.settle()
	case errors.Is(err, store.ErrConflict):
		// The next reading shows a newer revision and settles the pledges.
	default:
		g.view.doubt = g.view.doubt || g.view.revision == base
	}
	g.mu.Unlock()
	h.tellGrown(grown)

	return err
}

// read brings the view of a group up to date.
func (h *Holder) read(ctx context.Context, g *group) error {
	call, cancel := context.WithTimeout(ctx, h.timing.CallTimeout)
	defer cancel()

	r, err := h.client.Get(call, g.key)
	if errors.Is(err, store.ErrNotFound) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.view.revision > 0 {
			return merry.Errorf("record %s vanished after revision %d", g.key, g.view.revision)
		}

		return nil
	}
	if err != nil {
		return err
	}

	return h.adopt(g, r)
}

// adopt takes in a record and tells which limits got more room.
func (h *Holder) adopt(g *group, r store.Record) error {
	grown, err := g.adopt(r)
	h.tellGrown(grown)

	return err
}

func (h *Holder) tellGrown(keys []Key) {
	for _, k := range keys {
		h.Grown(k)
	}
}

// mayConfirm reports whether a write can confirm parts that may have been reclaimed: only once the member key is back.
func (h *Holder) mayConfirm(ctx context.Context, g *group) (lapses int, confirm bool, err error) {
	g.mu.Lock()
	lapses, confirm = g.lapses, g.view.unconfirmed
	g.mu.Unlock()
	if !confirm {
		return lapses, false, nil
	}

	gone, err := h.surelyAbsent(ctx, []fleet.Incarnation{h.self})
	if err == nil && len(gone) > 0 {
		err = merry.Prependf(store.ErrUnavailable, "member key of %s is absent", h.self)
	}

	return lapses, true, err
}

// surelyAbsent returns those of the holders that have no member key in the store now.
func (h *Holder) surelyAbsent(ctx context.Context, holders []fleet.Incarnation) ([]fleet.Incarnation, error) {
	var gone []fleet.Incarnation
	for _, i := range holders {
		call, cancel := context.WithTimeout(ctx, h.timing.CallTimeout)
		absent, err := h.Absent(call, i)
		cancel()
		if err != nil {
			return nil, err
		}
		if absent {
			gone = append(gone, i)
		}
	}

	return gone, nil
}

// same reports whether two states of a record are equal.
func same(a, b Record) bool {
	if a.Revision != b.Revision || a.Limits.Len() != b.Limits.Len() {
		return false
	}
	for name, l := range a.Limits.All() {
		o, ok := b.Limits.Get(name)
		if !ok || l.Upper != o.Upper || !slices.Equal(l.Parts, o.Parts) {
			return false
		}
	}

	return true
}
