package allotment

import (
	"cmp"
	"context"
	"slices"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/store"
)

// askedPeers is the number of peers that are asked for one limit in a tick.
const askedPeers = 2

// Want is what a holder lacks under one limit.
type Want struct {
	Key Key
	// Need is what the asker could use in all, Part what it has, Short what it asks for.
	Need, Part, Short fleet.Resources
}

// Request asks a peer for parts.
type Request struct {
	From  fleet.Incarnation
	Wants []Want
}

// Answer has the records that the peer changed in the asker's favour.
type Answer struct {
	Records []store.Record
}

// Handle moves parts to a peer that asks; what it gives is in the store before it returns.
func (h *Holder) Handle(ctx context.Context, req Request) Answer {
	var a Answer
	for _, g := range h.allGroups() {
		wants := h.servable(g, req)
		if len(wants) == 0 || !h.writes.Allow() {
			continue
		}

		before := g.revision()
		_ = h.change(ctx, g, nil, func(g *group) Record { return h.planMoves(g, req.From, wants) })
		if r, err := g.stored(); err == nil && r.Revision > before {
			a.Records = append(a.Records, r)
		}
	}

	return a
}

// servable returns the wants for which this holder has something to give or to reserve.
func (h *Holder) servable(g *group, req Request) []Want {
	g.mu.Lock()
	defer g.mu.Unlock()

	var wants []Want
	for _, w := range req.Wants {
		e, ok := g.entry(w.Key.Name)
		if !ok || w.Key.Set != g.set || w.Short.IsNegative() || req.From == h.self {
			continue
		}
		if give := e.spare(w); !give.IsZero() {
			wants = append(wants, w)
		}
	}

	return wants
}

// planMoves pledges what the peer gets and returns the record with the moves; the group is locked.
func (h *Holder) planMoves(g *group, to fleet.Incarnation, wants []Want) Record {
	next := g.view.record
	for _, w := range wants {
		e, ok := g.entry(w.Key.Name)
		l, known := next.Limits.Get(w.Key.Name)
		if !ok || !known {
			continue
		}
		give := e.spare(w)
		next = next.WithLimit(w.Key.Name, l.WithMove(h.self, to, e.pledge(give)))
	}

	return next
}

// askPeers asks those who hold most for what this holder lacks; answers are taken in when they come.
func (h *Holder) askPeers(ctx context.Context, groups []*group, m Membership) {
	wants := map[fleet.Incarnation][]Want{}
	for _, g := range groups {
		h.collectWants(g, m, wants)
	}

	for peer, ws := range wants {
		if !h.beginAsk(peer) {
			continue
		}
		go func() {
			defer h.endAsk(peer)
			h.ask(ctx, peer, Request{From: h.self, Wants: ws})
		}()
	}
}

// collectWants adds what this holder lacks in a group to the wants for the peers that hold most of it.
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
		for _, peer := range h.givers(l, m) {
			wants[peer] = append(wants[peer], w)
		}
	}
}

// givers returns the live peers with the largest parts.
func (h *Holder) givers(l Limit, m Membership) []fleet.Incarnation {
	parts := slices.DeleteFunc(slices.Clone(l.Parts), func(p Part) bool {
		return p.Holder == h.self || !slices.Contains(m.Live, p.Holder)
	})
	slices.SortStableFunc(parts, func(a, b Part) int {
		return cmp.Compare(b.Amount.DominantShare(l.Upper), a.Amount.DominantShare(l.Upper))
	})

	n := min(askedPeers, len(parts))
	peers := make([]fleet.Incarnation, 0, n)
	for i := range n {
		peers = append(peers, parts[h.turn(i, len(parts))].Holder)
	}

	return peers
}

// ask sends one request and adopts what the peer changed.
func (h *Holder) ask(ctx context.Context, peer fleet.Incarnation, req Request) {
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

// turn returns the largest part first and then the others by turns, so that a peer without idle parts is not asked for ever.
func (h *Holder) turn(i, n int) int {
	if i == 0 || n < 2 {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.turns++

	return 1 + h.turns%(n-1)
}

func (h *Holder) beginAsk(peer fleet.Incarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.asking[peer] {
		return false
	}
	h.asking[peer] = true

	return true
}

func (h *Holder) endAsk(peer fleet.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.asking, peer)
}

func (g *group) revision() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.view.revision
}

// stored returns the newest state of the record as the store has it.
func (g *group) stored() (store.Record, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	value, err := g.view.record.Encode()

	return store.Record{Key: g.key, Value: value, Revision: g.view.revision}, err
}

// wish returns what should change about this holder's part.
func (e *entry) wish(l Limit, self fleet.Incarnation, n, idleTicks int) wish {
	e.mu.Lock()
	defer e.mu.Unlock()

	return wishFor(e.standing, e.demand, l, self, n, idleTicks)
}

// want returns what to ask peers for.
func (e *entry) want(l Limit, self fleet.Incarnation, idleTicks, n int) Want {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := wishFor(e.standing, e.demand, l, self, n, idleTicks)

	return Want{Key: e.key, Need: e.demand.need, Part: l.Part(self), Short: w.short.Min(l.Upper)}
}

// spare returns what can go to a peer now, and keeps the rest of what it should get from being used again.
func (e *entry) spare(w Want) fleet.Resources {
	e.mu.Lock()
	defer e.mu.Unlock()
	give, reserve := spareFor(e.standing, e.demand, w)
	e.standing.reserved = e.standing.reserved.Max(reserve)

	return give
}
