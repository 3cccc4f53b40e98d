package allotment

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/pause"
)

// Run takes, gives, moves and reclaims parts until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-h.wake:
			if !pause.For(ctx, h.timing.Tick/8) {
				return
			}
		}
		h.tick(ctx, time.Now())
		timer.Reset(h.timing.Tick)
	}
}

// Close gives back all that does not run; call it when the process no longer admits work.
func (h *Holder) Close(ctx context.Context) error {
	var last error
	for _, g := range h.allGroups() {
		err := h.change(ctx, g, nil, func(g *group) Record {
			next := g.view.record
			for _, e := range g.entries {
				if l, ok := next.Limits.Get(e.key.Name); ok {
					next = next.WithLimit(e.key.Name, l.WithGive(h.self, e.pledge(l.Part(h.self))))
				}
			}

			return next
		})
		if err != nil {
			last = err
		}
	}

	return last
}

// tick is one round; its calls of the store run side by side, one record each.
func (h *Holder) tick(ctx context.Context, now time.Time) {
	h.watchLicence(now)
	groups := h.allGroups()
	members := h.Members()
	h.observe(members, groups)
	aged := now.Sub(h.aged) >= h.timing.Tick
	if aged {
		h.aged = now
		h.prune()
	}
	for _, g := range groups {
		h.measure(g, len(members.Live), aged)
	}
	h.refresh(ctx, now, groups)

	var wg sync.WaitGroup
	for _, g := range groups {
		dead := h.dead(g)
		if !h.wantsChange(g, dead, len(members.Live)) || !h.writes.Allow() {
			continue
		}
		wg.Go(func() {
			_ = h.change(ctx, g, dead, func(g *group) Record { return h.plan(g, len(members.Live)) })
		})
	}
	wg.Wait()
	h.askPeers(ctx, groups, members)
}

// watchLicence extends the time for which the parts are known to be kept, or closes all groups after a gap in it.
func (h *Holder) watchLicence(now time.Time) {
	if !h.Licensed(now) {
		return
	}
	if elapsed(*h.heldSince.Load(), now) >= h.timing.MaxRequestTime {
		for _, g := range h.allGroups() {
			g.lapse()
		}
	}
	h.heldSince.Store(&now)
}

// allGroups returns the groups, in another order on each call so that none is starved of writes.
func (h *Holder) allGroups() []*group {
	h.mu.Lock()
	defer h.mu.Unlock()

	groups := make([]*group, 0, len(h.groups))
	for _, g := range h.groups {
		groups = append(groups, g)
	}

	return groups
}

// observe takes in a reading of the membership.
func (h *Holder) observe(m Membership, groups []*group) {
	var holders []fleet.Incarnation
	for _, g := range groups {
		g.mu.Lock()
		holders = append(holders, g.view.holders...)
		g.mu.Unlock()
	}
	slices.Sort(holders)
	holders = slices.Compact(holders)

	h.mu.Lock()
	defer h.mu.Unlock()
	h.absent = h.absent.with(m, holders, h.timing.LeaseTTL/2)
}

// reclaimWait returns how long a holder must be absent before its part may be used by others.
//
// A holder that never heard of this process may be serving on the word of others
// that are cut off with it, because it does not ask this one.
func (h *Holder) reclaimWait(i fleet.Incarnation) time.Duration {
	if h.Knows(i) {
		return h.timing.ReclaimAfter()
	}

	return h.timing.ReclaimAfter() + h.timing.OutageLimit
}

// dead returns the holders of parts in a group whose work has surely ended.
func (h *Holder) dead(g *group) []fleet.Incarnation {
	h.mu.Lock()
	gone := h.absent.lasting(h.reclaimWait)
	h.mu.Unlock()
	if len(gone) == 0 {
		return nil
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	return slices.DeleteFunc(gone, func(i fleet.Incarnation) bool { return !slices.Contains(g.view.holders, i) })
}

// prune drops entries of limits that the configuration lacks and of which nothing is held any more.
func (h *Holder) prune() {
	h.mu.Lock()
	defer h.mu.Unlock()

	entries := maps.Clone(*h.entries.Load())
	for _, g := range h.groups {
		for _, k := range g.prune() {
			delete(entries, k)
		}
	}
	if len(entries) < len(*h.entries.Load()) {
		h.entries.Store(&entries)
	}
}

// measure closes the demand of the last tick.
func (h *Holder) measure(g *group, n int, aged bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.entries {
		l, _ := g.view.record.Limits.Get(e.key.Name)
		e.measure(l, h.self, n, aged)
	}
}

// refresh reads all records of each kind once in a while, with one call a kind.
func (h *Holder) refresh(ctx context.Context, now time.Time, groups []*group) {
	if now.Sub(h.listed) < h.timing.RefreshEvery {
		return
	}
	h.listed = now

	byPrefix := map[string]map[string]*group{}
	for _, g := range groups {
		kind, _, _ := strings.Cut(g.key, "/")
		if byPrefix[kind] == nil {
			byPrefix[kind] = map[string]*group{}
		}
		byPrefix[kind][g.key] = g
	}

	var wg sync.WaitGroup
	for kind, byKey := range byPrefix {
		wg.Go(func() { h.list(ctx, kind+"/", byKey) })
	}
	wg.Wait()
}

// list adopts all records under a prefix; a failure leaves the views as they are.
func (h *Holder) list(ctx context.Context, prefix string, byKey map[string]*group) {
	call, cancel := context.WithTimeout(ctx, h.timing.CallTimeout)
	defer cancel()

	l, err := h.client.List(call, prefix)
	if err != nil {
		return
	}
	for _, r := range l.Records {
		if g, ok := byKey[r.Key]; ok {
			_ = h.adopt(g, r)
		}
	}
}

// wantsChange reports whether a write is likely to be of use, by the newest view.
func (h *Holder) wantsChange(g *group, dead []fleet.Incarnation, n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view.unconfirmed || g.view.doubt || len(dead) > 0 || g.bounds.revision > g.view.record.Revision {
		return true
	}

	return slices.ContainsFunc(g.entries, func(e *entry) bool {
		l, _ := g.view.record.Limits.Get(e.key.Name)
		w := e.wish(l, h.self, n, h.idleTicks())

		return !w.grow.IsZero() || !w.give.IsZero()
	})
}

// plan returns the record with the bounds in force and this holder's wishes carried out; the group is locked.
func (h *Holder) plan(g *group, n int) Record {
	next := g.view.record.WithLimits(g.bounds.revision, g.bounds.upper)
	for _, e := range g.entries {
		l, ok := next.Limits.Get(e.key.Name)
		if !ok {
			continue
		}
		w := e.wish(l, h.self, n, h.idleTicks())
		next = next.WithLimit(e.key.Name, l.WithTake(h.self, w.grow).WithGive(h.self, e.pledge(w.give)))
	}

	return next
}

// idleTicks returns IdleAfter in ticks.
func (h *Holder) idleTicks() int {
	return int(h.timing.IdleAfter / h.timing.Tick)
}
