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

// shards is the number of records over which Limits is distributed; all processes must use the
// same number.
const shards = 4

// Key names a limit within a set.
type Key struct {
	Set  string
	Name string
}

// recordKey returns the store key of the record that contains the limit.
func (k Key) recordKey() string {
	if k.Set != Limits {
		return k.Set
	}

	sum := fnv.New32a()
	_, _ = sum.Write([]byte(k.Name))

	return Limits + "/" + strconv.Itoa(int(sum.Sum32()%shards))
}

// Membership is the set of live members read from the store.
type Membership struct {
	Live []fleet.Incarnation
	// Confirmed is the time at which the read was started.
	Confirmed time.Time
}

// Holder admits work within its own allocations of the limits.
type Holder struct {
	// LeaseValid reports whether this process may start work: its membership lease is known to be
	// valid, or its peers vouch for it while the store is unreachable.
	LeaseValid func(now time.Time) bool
	// Members returns the newest membership read from the store.
	Members func() Membership
	// Absent reads the store and reports whether it has no member key for an incarnation.
	Absent func(ctx context.Context, i fleet.Incarnation) (bool, error)
	// KnownBy reports whether the membership that a holder last read from the store is guaranteed to
	// include this process.
	KnownBy func(i fleet.Incarnation) bool
	// Ask sends a request for allocations to a peer.
	Ask func(ctx context.Context, to fleet.Incarnation, req Request) (Answer, error)
	// OnGrown is called without locks held when an allocation has grown or work may start again.
	OnGrown func(k Key)

	self   fleet.Incarnation
	client *store.Client
	timing Timing
	writes *rate.Limiter
	wake   chan struct{}

	// leaseValidAt is the last time at which the allocations were known not to have been
	// reclaimed.
	leaseValidAt atomic.Pointer[time.Time]
	entries      atomic.Pointer[map[Key]*entry]

	mu         sync.Mutex
	groups     map[string]*group
	bounds     map[string]bounds
	absences   absences
	requesting map[fleet.Incarnation]bool
	rotation   int

	// lastRefresh and lastFullTick are used only by the goroutine that runs the ticks.
	lastRefresh, lastFullTick time.Time
}

// Option configures a Holder.
type Option func(*Holder)

// WithTiming sets the durations of the protocol.
func WithTiming(t Timing) Option {
	return func(h *Holder) { h.timing = t }
}

// New returns a holder without allocations; it refuses all work until its function fields are set.
func New(client *store.Client, self fleet.Incarnation, opts ...Option) *Holder {
	h := &Holder{
		LeaseValid: func(time.Time) bool { return false },
		Members:    func() Membership { return Membership{} },
		Absent: func(context.Context, fleet.Incarnation) (bool, error) {
			return false, store.ErrUnavailable
		},
		KnownBy: func(fleet.Incarnation) bool { return false },
		Ask: func(context.Context, fleet.Incarnation, Request) (Answer, error) {
			return Answer{}, store.ErrUnavailable
		},
		OnGrown:    func(Key) {},
		self:       self,
		client:     client,
		timing:     DefaultTiming(),
		wake:       make(chan struct{}, 1),
		groups:     map[string]*group{},
		bounds:     map[string]bounds{},
		requesting: map[fleet.Incarnation]bool{},
	}
	h.entries.Store(&map[Key]*entry{})
	now := time.Now()
	h.leaseValidAt.Store(&now)
	for _, opt := range opts {
		opt(h)
	}
	h.writes = rate.NewLimiter(rate.Limit(h.timing.WriteRate), h.timing.WriteBurst)

	return h
}

// Self returns the identity under which the holder has allocations.
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

// Deadline returns the time by which the work must have ended, because its allocation may then be
// reclaimed for another holder.
func (h *Hold) Deadline() time.Time {
	return h.deadline
}

// Release records that the work has ended; later calls have no effect.
func (h *Hold) Release() {
	if h.released.CompareAndSwap(false, true) {
		h.entry.end(h.size)
	}
}

// Acquire admits work of the given size without I/O, or returns a NotRunError.
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
		return nil, e.leaseInvalid
	}
	if !e.start(size) {
		h.triggerTick()
		return nil, e.limitReached
	}

	return &Hold{entry: e, size: size, deadline: now.Add(h.timing.MaxRequestTime)}, nil
}

// MayStart reports whether admitted work may still start; call it again after every wait, right
// before the first byte is sent.
func (h *Holder) MayStart(now time.Time) bool {
	return h.mayStart(now)
}

// Room returns the amount of work that could start now under a limit.
func (h *Holder) Room(k Key) fleet.Resources {
	e, ok := (*h.entries.Load())[k]
	if !ok || !h.mayStart(time.Now()) {
		return fleet.Resources{}
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	return e.state.room()
}

// Allocation returns the amount of a limit allocated to this process.
func (h *Holder) Allocation(k Key) fleet.Resources {
	e, ok := (*h.entries.Load())[k]
	if !ok {
		return fleet.Resources{}
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	return e.state.allocated
}

// mayStart checks the lease, and that no pause was long enough for the allocations to have been
// reclaimed.
func (h *Holder) mayStart(now time.Time) bool {
	return elapsed(*h.leaseValidAt.Load(), now) < h.timing.MaxRequestTime && h.LeaseValid(now)
}

// elapsed returns the larger of the monotonic and the wall clock durations, because either clock
// may miss the time for which a machine is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// triggerTick makes the next tick run soon.
func (h *Holder) triggerTick() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// SetLimits applies the bounds of a newer configuration to one set; an older configuration is
// ignored.
func (h *Holder) SetLimits(set string, revision uint64, upper map[string]fleet.Resources) {
	h.mu.Lock()
	if revision <= h.bounds[set].revision {
		h.mu.Unlock()
		return
	}
	h.bounds[set] = h.bounds[set].with(revision, maps.Clone(upper))
	for name := range upper {
		h.entry(Key{Set: set, Name: name})
	}
	for _, g := range h.groups {
		if g.set == set {
			g.setBounds(h.bounds[set])
		}
	}
	h.mu.Unlock()
	h.triggerTick()
}

// entry returns the entry of a limit, which it creates with its group if necessary; h.mu is held.
func (h *Holder) entry(k Key) *entry {
	entries := *h.entries.Load()
	if e, ok := entries[k]; ok {
		return e
	}

	key := k.recordKey()
	g, ok := h.groups[key]
	if !ok {
		g = &group{key: key, set: k.Set, self: h.self, sem: make(chan struct{}, 1)}
		h.groups[key] = g
	}
	e := newEntry(k)
	g.add(e, h.bounds[k.Set])

	next := maps.Clone(entries)
	next[k] = e
	h.entries.Store(&next)

	return e
}
