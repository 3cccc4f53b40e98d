package allotment

import (
	"context"
	"hash/fnv"
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/store"
)

// Limits is the set of upper limits of teams and customers.
const Limits = "limit"

// Slots returns the set of endpoint slots of a pool; its limits are named by endpoint.
func Slots(p fleet.PoolName) string {
	return "slots/" + string(p)
}

// shards is the number of records over which Limits is spread; all processes must agree on it.
const shards = 4

// Key names a limit within a set.
type Key struct {
	Set  string
	Name string
}

// record returns the key of the store under which the limit is kept.
func (k Key) record() string {
	if k.Set != Limits {
		return k.Set
	}

	sum := fnv.New32a()
	_, _ = sum.Write([]byte(k.Name))

	return Limits + "/" + strconv.Itoa(int(sum.Sum32()%shards))
}

// Membership is the set of live members as the store had it.
type Membership struct {
	Live []fleet.Incarnation
	// Confirmed is the moment before the store was read.
	Confirmed time.Time
}

// Holder admits work within its own parts of the limits.
type Holder struct {
	// Licensed reports whether this process may start work: its lease surely holds, or its peers stand in for that.
	Licensed func(now time.Time) bool
	// Members returns the newest membership read from the store.
	Members func() Membership
	// Absent reads the store and reports whether it has no member key for an incarnation.
	Absent func(ctx context.Context, i fleet.Incarnation) (bool, error)
	// Ask sends a request for parts to a peer.
	Ask func(ctx context.Context, to fleet.Incarnation, req Request) (Answer, error)
	// Grown is called without locks held when a part grew or work may start again.
	Grown func(k Key)

	self   fleet.Incarnation
	client *store.Client
	timing Timing
	writes *rate.Limiter
	wake   chan struct{}

	// heldSince is the last moment at which the parts were known not to be reclaimed.
	heldSince atomic.Pointer[time.Time]
	entries   atomic.Pointer[map[Key]*entry]

	mu     sync.Mutex
	groups map[string]*group
	bounds map[string]bounds
	absent absences
	asking map[fleet.Incarnation]bool
	turns  int

	// listed and aged are the moments of the last refresh and the last whole tick; only the ticking goroutine uses them.
	listed, aged time.Time
}

// Option configures a Holder.
type Option func(*Holder)

// WithTiming sets the durations of the protocol.
func WithTiming(t Timing) Option {
	return func(h *Holder) { h.timing = t }
}

// New returns a holder without parts; its seams refuse all work until they are set.
func New(client *store.Client, self fleet.Incarnation, opts ...Option) *Holder {
	h := &Holder{
		Licensed: func(time.Time) bool { return false },
		Members:  func() Membership { return Membership{} },
		Absent: func(context.Context, fleet.Incarnation) (bool, error) {
			return false, store.ErrUnavailable
		},
		Ask: func(context.Context, fleet.Incarnation, Request) (Answer, error) {
			return Answer{}, store.ErrUnavailable
		},
		Grown:  func(Key) {},
		self:   self,
		client: client,
		timing: DefaultTiming(),
		wake:   make(chan struct{}, 1),
		groups: map[string]*group{},
		bounds: map[string]bounds{},
		asking: map[fleet.Incarnation]bool{},
	}
	h.entries.Store(&map[Key]*entry{})
	now := time.Now()
	h.heldSince.Store(&now)
	for _, opt := range opts {
		opt(h)
	}
	h.writes = rate.NewLimiter(rate.Limit(h.timing.WriteRate), h.timing.WriteBurst)

	return h
}

// Self returns the identity under which the holder has parts.
func (h *Holder) Self() fleet.Incarnation {
	return h.self
}

// Hold is work admitted under a limit.
type Hold struct {
	entry    *entry
	size     fleet.Resources
	deadline time.Time
	released atomic.Bool
}

// Deadline returns when the work must surely have ended, because its part may then go to another holder.
func (h *Hold) Deadline() time.Time {
	return h.deadline
}

// Release says that the work ended; later calls do nothing.
func (h *Hold) Release() {
	if h.released.CompareAndSwap(false, true) {
		h.entry.end(h.size)
	}
}

// Acquire admits work of the given size, without I/O, or returns a NotRunError.
func (h *Holder) Acquire(k Key, size fleet.Resources) (*Hold, error) {
	now := time.Now()
	e, ok := (*h.entries.Load())[k]
	if !ok {
		return nil, refusal.Refuse(refusal.UpperLimit, "limit %s/%s is not known", k.Set, k.Name)
	}
	if size.IsNegative() {
		return nil, refusal.Refuse(refusal.RequestInvalid, "size of work for %s/%s is negative", k.Set, k.Name)
	}
	if !h.mayStart(now) {
		return nil, e.unlicensed
	}
	if !e.start(size) {
		h.hurry()
		return nil, e.full
	}

	return &Hold{entry: e, size: size, deadline: now.Add(h.timing.MaxRequestTime)}, nil
}

// MayStart reports whether admitted work may still start; ask again after every wait, right before the first byte is sent.
func (h *Holder) MayStart(now time.Time) bool {
	return h.mayStart(now)
}

// Room returns what could start now under a limit.
func (h *Holder) Room(k Key) fleet.Resources {
	e, ok := (*h.entries.Load())[k]
	if !ok || !h.mayStart(time.Now()) {
		return fleet.Resources{}
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	return e.standing.room()
}

// Part returns what this process may have running under a limit.
func (h *Holder) Part(k Key) fleet.Resources {
	e, ok := (*h.entries.Load())[k]
	if !ok {
		return fleet.Resources{}
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	return e.standing.part
}

// mayStart checks the licence, and that no pause was so long that parts may have been reclaimed meanwhile.
func (h *Holder) mayStart(now time.Time) bool {
	return elapsed(*h.heldSince.Load(), now) < h.timing.MaxRequestTime && h.Licensed(now)
}

// elapsed takes the larger of what the monotonic and the wall clock say, because either may miss a suspended machine.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// hurry makes the next tick due.
func (h *Holder) hurry() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// SetLimits puts the bounds of a newer configuration in force for one set; an older one is ignored.
func (h *Holder) SetLimits(set string, revision uint64, upper map[string]fleet.Resources) {
	h.mu.Lock()
	if revision <= h.bounds[set].revision {
		h.mu.Unlock()
		return
	}
	h.bounds[set] = bounds{revision: revision, upper: maps.Clone(upper)}
	for name := range upper {
		h.entry(Key{Set: set, Name: name})
	}
	for _, g := range h.groups {
		if g.set == set {
			g.refresh(h.bounds[set])
		}
	}
	h.mu.Unlock()
	h.hurry()
}

// entry returns the entry of a limit and adds it with its group if need be; h.mu is held.
func (h *Holder) entry(k Key) *entry {
	entries := *h.entries.Load()
	if e, ok := entries[k]; ok {
		return e
	}

	key := k.record()
	g, ok := h.groups[key]
	if !ok {
		g = &group{key: key, set: k.Set, self: h.self, op: make(chan struct{}, 1)}
		h.groups[key] = g
	}
	e := newEntry(k)
	g.add(e, h.bounds[k.Set])

	next := maps.Clone(entries)
	next[k] = e
	h.entries.Store(&next)

	return e
}
