package allotment

import (
	"cmp"
	"context"
	"slices"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/store"
)

// donorsPerLimit is the number of peers that receive a request for one limit in a tick.
const donorsPerLimit = 2

// Want is a holder's shortage under one limit.
type Want struct {
	Key Key
	// Need is the total that the requester could use, Part its allocation, Short the amount that
	// it requests.
	Need, Part, Short fleet.Resources
}

// Request asks a peer for allocations.
type Request struct {
	From  fleet.Incarnation
	Wants []Want
}

// Answer has the records in which the peer transferred an allocation to the requester.
type Answer struct {
	Records []store.Record
}

// Handle transfers allocations to a peer that requests them; transfers are written to the store
// before it returns.
func (h *Holder) Handle(ctx context.Context, req Request) Answer {
	var a Answer
	for _, g := range h.allGroups() {
		wants := h.satisfiable(g, req)
		if len(wants) == 0 || !h.writes.Allow() {
			continue
		}

		before := g.revision()
		_ = h.change(ctx, g, nil, func(g *group) Record { return h.planTransfers(g, req.From, wants) })
		if r, err := g.stored(); err == nil && r.Revision > before {
			a.Records = append(a.Records, r)
		}
	}

	return a
}

// satisfiable returns the wants for which this holder can transfer an amount now, and reserves what
// it can transfer only later.
func (h *Holder) satisfiable(g *group, req Request) []Want {
	g.mu.Lock()
	defer g.mu.Unlock()

	var wants []Want
	for _, w := range req.Wants {
		e, ok := g.entry(w.Key.Name)
		if !ok || w.Key.Set != g.set || w.Short.IsNegative() || req.From == h.self {
			continue
		}
		if surplus := e.surplus(w); !surplus.IsZero() {
			wants = append(wants, w)
		}
	}

	return wants
}

// planTransfers escrows the amounts that the peer gets and returns the record with the transfers;
// the group is locked.
func (h *Holder) planTransfers(g *group, to fleet.Incarnation, wants []Want) Record {
	next := g.view.record
	for _, w := range wants {
		e, ok := g.entry(w.Key.Name)
		l, known := next.Limits.Get(w.Key.Name)
		if !ok || !known {
			continue
		}
		surplus := e.surplus(w)
		next = next.WithLimit(w.Key.Name, l.WithTransferred(h.self, to, e.escrow(surplus)))
	}

	return next
}

// requestFromPeers requests what this holder lacks from the holders of the largest allocations; it
// does not wait for the responses.
func (h *Holder) requestFromPeers(ctx context.Context, groups []*group, m Membership) {
	wants := map[fleet.Incarnation][]Want{}
	for _, g := range groups {
		h.collectWants(g, m, wants)
	}

	for peer, ws := range wants {
		if !h.beginRequest(peer) {
			continue
		}
		go func() {
			defer h.endRequest(peer)
			h.request(ctx, peer, Request{From: h.self, Wants: ws})
		}()
	}
}

// collectWants adds what this holder lacks in a group to the wants for the peers with the largest
// allocations of it.
func (h *Holder) collectWants(g *group, m Membership, wants map[fleet.Incarnation][]Want) {
	g.mu.Lock()
	defer g.mu.Unlock()

	for _, e := range g.entries {
		l, ok := g.view.record.Limits.Get(e.key.Name)
		if !ok {
			continue
		}
		w := e.want(l, h.self, h.idleTicks(), len(m.Live))
		if w.Short.IsZero() {
			continue
		}
		for _, peer := range h.donors(l, m) {
			wants[peer] = append(wants[peer], w)
		}
	}
}

// donors returns the live peers to request from: the one with the largest allocation and others in
// rotation.
func (h *Holder) donors(l Limit, m Membership) []fleet.Incarnation {
	allocations := slices.DeleteFunc(slices.Clone(l.Allocations), func(a Allocation) bool {
		return a.Holder == h.self || !slices.Contains(m.Live, a.Holder)
	})
	slices.SortStableFunc(allocations, func(a, b Allocation) int {
		return cmp.Compare(b.Amount.DominantShare(l.Upper), a.Amount.DominantShare(l.Upper))
	})

	n := min(donorsPerLimit, len(allocations))
	peers := make([]fleet.Incarnation, 0, n)
	for i := range n {
		peers = append(peers, allocations[h.donorIndex(i, len(allocations))].Holder)
	}

	return peers
}

// request sends one request and adopts the records that the peer changed.
func (h *Holder) request(ctx context.Context, peer fleet.Incarnation, req Request) {
	call, cancel := context.WithTimeout(ctx, h.timing.CallTimeout)
	defer cancel()

	a, err := h.Ask(call, peer, req)
	if err != nil {
		return
	}

	h.mu.Lock()
	byKey := make(map[string]*group, len(h.groups))
	for key, g := range h.groups {
		byKey[key] = g
	}
	h.mu.Unlock()
	for _, r := range a.Records {
		if g, ok := byKey[r.Key]; ok {
			_ = h.adopt(g, r)
		}
	}
}

// donorIndex returns the index of the i-th donor among n candidates, which are sorted by
// allocation, largest first. The first donor is always the largest; the others rotate, so that a
// peer without idle allocations is not chosen forever.
func (h *Holder) donorIndex(i, n int) int {
	if i == 0 || n < 2 {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotation++

	return 1 + h.rotation%(n-1)
}

func (h *Holder) beginRequest(peer fleet.Incarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.requesting[peer] {
		return false
	}
	h.requesting[peer] = true

	return true
}

func (h *Holder) endRequest(peer fleet.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.requesting, peer)
}

func (g *group) revision() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.view.revision
}

// stored returns the newest known state of the record in its stored form.
func (g *group) stored() (store.Record, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	value, err := g.view.record.Encode()

	return store.Record{Key: g.key, Value: value, Revision: g.view.revision}, err
}

// adjustment returns the change that this holder wants to its allocation.
func (e *entry) adjustment(l Limit, self fleet.Incarnation, n, idleTicks int) adjustment {
	e.mu.Lock()
	defer e.mu.Unlock()

	return adjustmentFor(e.state, e.demand, l, self, n, idleTicks)
}

// want returns the amounts to request from peers.
func (e *entry) want(l Limit, self fleet.Incarnation, idleTicks, n int) Want {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := adjustmentFor(e.state, e.demand, l, self, n, idleTicks)

	return Want{Key: e.key, Need: e.demand.need, Part: l.Allocation(self), Short: a.shortage.Min(l.Upper)}
}

// surplus returns the amount that can be transferred to a peer now, and reserves the rest of what
// the peer should get so that it is not used locally.
func (e *entry) surplus(w Want) fleet.Resources {
	e.mu.Lock()
	defer e.mu.Unlock()
	surplus, reserve := surplusFor(e.state, e.demand, w)
	e.state.reserved = e.state.reserved.Max(reserve)

	return surplus
}
