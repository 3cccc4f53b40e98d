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

// Run acquires, releases, transfers and reclaims allocations until ctx ends.
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

// Close releases everything that is not in use; call it when the process no longer admits work.
func (h *Holder) Close(ctx context.Context) error {
	var last error
	for _, g := range h.allGroups() {
		err := h.change(ctx, g, nil, func(g *group) Record {
			next := g.view.record
			for _, e := range g.entries {
				if l, ok := next.Limits.Get(e.key.Name); ok {
					next = next.WithLimit(e.key.Name, l.WithReleased(h.self, e.escrow(l.Allocation(h.self))))
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

// tick runs one round of the protocol; its store calls run concurrently, one per record.
func (h *Holder) tick(ctx context.Context, now time.Time) {
	h.checkLease(now)
	groups := h.allGroups()
	members := h.Members()
	h.updateAbsences(members, groups)
	fullTick := now.Sub(h.lastFullTick) >= h.timing.Tick
	if fullTick {
		h.lastFullTick = now
		h.prune()
	}
	for _, g := range groups {
		h.updateDemand(g, len(members.Live), fullTick)
	}
	h.refresh(ctx, now, groups)

	var wg sync.WaitGroup
	for _, g := range groups {
		expired := h.reclaimable(g)
		if !h.needsChange(g, expired, len(members.Live)) || !h.writes.Allow() {
			continue
		}
		wg.Go(func() {
			_ = h.change(ctx, g, expired, func(g *group) Record { return h.plan(g, len(members.Live)) })
		})
	}
	wg.Wait()
	h.requestFromPeers(ctx, groups, members)
}

// checkLease extends the time for which the allocations are known to be valid, or suspends all
// groups after a gap in it.
func (h *Holder) checkLease(now time.Time) {
	if !h.LeaseValid(now) {
		return
	}
	if elapsed(*h.leaseValidAt.Load(), now) >= h.timing.MaxRequestTime {
		for _, g := range h.allGroups() {
			g.invalidate()
		}
	}
	h.leaseValidAt.Store(&now)
}

// allGroups returns the groups in random order, so that the write limit starves none of them.
func (h *Holder) allGroups() []*group {
	h.mu.Lock()
	defer h.mu.Unlock()

	groups := make([]*group, 0, len(h.groups))
	for _, g := range h.groups {
		groups = append(groups, g)
	}

	return groups
}

// updateAbsences applies a read of the membership.
func (h *Holder) updateAbsences(m Membership, groups []*group) {
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
	h.absences = h.absences.with(m, holders, h.timing.LeaseTTL/2)
}

// reclaimWait returns how long a holder must be absent before its allocation may be reclaimed.
//
// A holder that has never seen this process does not consult it, so it may keep serving because of
// confirmations from peers that have lost the store together with it.
func (h *Holder) reclaimWait(i fleet.Incarnation) time.Duration {
	if h.KnownBy(i) {
		return h.timing.ReclaimAfter()
	}

	return h.timing.ReclaimAfter() + h.timing.OutageLimit
}

// reclaimable returns the holders of allocations in a group whose work is guaranteed to have
// ended.
func (h *Holder) reclaimable(g *group) []fleet.Incarnation {
	h.mu.Lock()
	absent := h.absences.absentFor(h.reclaimWait)
	h.mu.Unlock()
	if len(absent) == 0 {
		return nil
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	return slices.DeleteFunc(absent, func(i fleet.Incarnation) bool { return !slices.Contains(g.view.holders, i) })
}

// prune removes entries of limits that are missing from the configuration and unused.
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

// updateDemand evaluates the demand since the last tick for all entries of a group.
func (h *Holder) updateDemand(g *group, n int, fullTick bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.entries {
		l, _ := g.view.record.Limits.Get(e.key.Name)
		e.updateDemand(l, h.self, n, fullTick)
	}
}

// refresh lists all records once per RefreshEvery, with one call per kind.
func (h *Holder) refresh(ctx context.Context, now time.Time, groups []*group) {
	if now.Sub(h.lastRefresh) < h.timing.RefreshEvery {
		return
	}
	h.lastRefresh = now

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

// list adopts all records under a prefix; after an error the views stay as they are.
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

// needsChange reports whether a write is likely to be useful, judging by the newest view.
func (h *Holder) needsChange(g *group, expired []fleet.Incarnation, n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view.unconfirmed || g.view.uncertain || len(expired) > 0 || g.bounds.revision > g.view.record.Revision {
		return true
	}

	return slices.ContainsFunc(g.entries, func(e *entry) bool {
		l, _ := g.view.record.Limits.Get(e.key.Name)
		a := e.adjustment(l, h.self, n, h.idleTicks())

		return !a.acquire.IsZero() || !a.release.IsZero()
	})
}

// plan returns the record with the current bounds and this holder's adjustments applied; the group
// is locked.
func (h *Holder) plan(g *group, n int) Record {
	next := g.view.record.WithLimits(g.bounds.revision, g.bounds.upper)
	for _, e := range g.entries {
		l, ok := next.Limits.Get(e.key.Name)
		if !ok {
			continue
		}
		a := e.adjustment(l, h.self, n, h.idleTicks())
		next = next.WithLimit(e.key.Name, l.WithAcquired(h.self, a.acquire).WithReleased(h.self, e.escrow(a.release)))
	}

	return next
}

// idleTicks returns IdleAfter as a number of ticks.
func (h *Holder) idleTicks() int {
	return int(h.timing.IdleAfter / h.timing.Tick)
}
