package endpoint

import (
	"sync"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// Set tracks the endpoints, which of them may get new work, and how many of their slots this process uses.
type Set struct {
	// Allowed returns how many slots of an endpoint this process may use; the default is all.
	Allowed func(fleet.Endpoint) int64
	// Expected returns how many slots of an endpoint this process assumes in its estimates; nil means Allowed.
	Expected func(fleet.Endpoint) int64
	// Take acquires slots of an endpoint among those that all processes share, without blocking; the default always
	// succeeds.
	Take func(e fleet.Endpoint, slots int64) (release func(), ok bool)
	// Changed is called without locks held when slots may have become free for another reason than a release.
	Changed func()

	mu          sync.Mutex
	states      map[fleet.EndpointName]*endpointState
	pools       map[fleet.PoolName][]*endpointState
	chosenCount uint64
	// acquireCount counts the calls of Acquire.
	acquireCount uint64
}

// endpointState is the state of one endpoint; the mutex of its set guards it, except for conns, which has its own.
type endpointState struct {
	endpoint fleet.Endpoint
	conns    *connPool
	used     int64
	// reserved is the number of slots that are kept for one large request.
	reserved int64
	// lastChosen is the value of chosenCount when the endpoint was last chosen, and skippedBy that of acquireCount
	// when Take last refused its slots.
	lastChosen, skippedBy uint64
	// removed is set once the list no longer has the endpoint.
	removed bool
	// reportedLeaving is whether the last report of the endpoint itself said that it is leaving.
	reportedLeaving bool
	health          health
}

// SlotRequest describes the slots to acquire in a pool.
type SlotRequest struct {
	Pool  fleet.PoolName
	Slots int64
	// Idempotent work may try a quarantined endpoint earlier than other work.
	Idempotent bool
	// Avoid is an endpoint that must not be chosen, because it was tried already.
	Avoid fleet.EndpointName
}

// Slot is the right to send one request to an endpoint; its zero value holds no slot.
type Slot struct {
	set   *Set
	state *endpointState
	// endpoint is the list entry at the time of Acquire.
	endpoint fleet.Endpoint
	request  SlotRequest
	release  func()
}

// NewSet returns a set without endpoints.
func NewSet() *Set {
	return &Set{
		Allowed: func(e fleet.Endpoint) int64 { return int64(e.Slots) },
		Take:    func(fleet.Endpoint, int64) (func(), bool) { return func() {}, true },
		Changed: func() {},
		states:  map[fleet.EndpointName]*endpointState{},
		pools:   map[fleet.PoolName][]*endpointState{},
	}
}

// Replace sets the list of endpoints; those that stay at their address keep their state.
func (s *Set) Replace(endpoints []fleet.Endpoint) {
	s.mu.Lock()
	old := s.states
	s.states = make(map[fleet.EndpointName]*endpointState, len(endpoints))
	s.pools = map[fleet.PoolName][]*endpointState{}
	for _, e := range endpoints {
		st, ok := old[e.Name]
		if !ok || st.endpoint.Address != e.Address {
			st = &endpointState{conns: newConnPool(e.Address)}
		}
		st.endpoint = e
		s.states[e.Name] = st
		s.pools[e.Pool] = append(s.pools[e.Pool], st)
	}
	for name, st := range old {
		if s.states[name] != st {
			st.removed = true
			st.conns.close()
		}
	}
	s.mu.Unlock()
	s.Changed()
}

// Endpoint returns the endpoint of the slot.
func (s *Slot) Endpoint() fleet.Endpoint {
	if s.state == nil {
		return fleet.Endpoint{}
	}

	return s.endpoint
}

// Release returns the slot; later calls do nothing.
func (s *Slot) Release() {
	if s.state == nil {
		return
	}
	s.set.mu.Lock()
	s.state.used -= s.request.Slots
	s.set.mu.Unlock()
	s.release()
	s.state = nil
}

// Acquire takes slots of the least used endpoint of a pool that may get new work.
func (s *Set) Acquire(req SlotRequest) (Slot, bool) {
	req.Slots = max(req.Slots, 1)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()

	s.acquireCount++
	for {
		best := s.leastUsed(req, now)
		if best == nil {
			return Slot{}, false
		}
		release, ok := s.Take(best.endpoint, req.Slots)
		if !ok {
			best.skippedBy = s.acquireCount
			continue
		}
		s.chosenCount++
		best.lastChosen = s.chosenCount
		best.used += req.Slots
		if req.Slots >= best.reserved {
			best.reserved = 0
		}

		return Slot{set: s, state: best, endpoint: best.endpoint, request: req, release: release}, true
	}
}

// leastUsed returns the least used endpoint that has the wanted slots free and that this call of Acquire did not
// skip, or nil; the set must be locked.
func (s *Set) leastUsed(req SlotRequest, now time.Time) *endpointState {
	var best *endpointState
	for _, st := range s.pools[req.Pool] {
		if st.skippedBy == s.acquireCount || st.endpoint.Name == req.Avoid || !st.acceptsWork(now, req.Idempotent) ||
			!s.hasRoom(st, req.Slots) {
			continue
		}
		// Of equally used endpoints, the one that was chosen longest ago comes first.
		if best == nil || st.used < best.used || st.used == best.used && st.lastChosen < best.lastChosen {
			best = st
		}
	}

	return best
}

// Reserve keeps slots of one endpoint of a pool for a request that needs so many at once: smaller requests can no
// longer take them as they become free. Only one endpoint of a pool is reserved at a time, so that smaller requests
// can still use the others.
func (s *Set) Reserve(pool fleet.PoolName, slots int64) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *endpointState
	for _, st := range s.pools[pool] {
		st.reserved = 0
		if st.acceptsWork(now, false) && s.allowed(st) >= slots && (best == nil || st.used < best.used) {
			best = st
		}
	}
	if best != nil {
		best.reserved = slots
	}
}

// Unreserve cancels the reservation in a pool.
func (s *Set) Unreserve(pool fleet.PoolName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.pools[pool] {
		st.reserved = 0
	}
}

// hasRoom reports whether the endpoint has that many slots free that are not reserved for a larger request.
func (s *Set) hasRoom(st *endpointState, slots int64) bool {
	used := st.used + slots
	if slots < st.reserved {
		used += st.reserved
	}

	return used <= s.allowed(st)
}

// Fits reports whether any endpoint of the pool has that many slots, free or not; it is true for an empty pool.
func (s *Set) Fits(pool fleet.PoolName, slots int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.pools[pool] {
		if int64(st.endpoint.Slots) >= slots {
			return true
		}
	}

	return len(s.pools[pool]) == 0
}

// Slots returns the expected slots of this process on the endpoints of a pool that accept new work.
func (s *Set) Slots(pool fleet.PoolName) int64 {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var n int64
	for _, st := range s.pools[pool] {
		if st.acceptsWork(now, false) {
			n += s.expected(st)
		}
	}

	return n
}

// Total returns the slots of all endpoints that aren't leaving.
func (s *Set) Total() fleet.Resources {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n int64
	for _, st := range s.states {
		if !st.endpoint.Leaving {
			n += int64(st.endpoint.Slots)
		}
	}

	return fleet.Resources{Slots: n}
}

// Endpoints returns the endpoints of the list in unspecified order.
func (s *Set) Endpoints() []fleet.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]fleet.Endpoint, 0, len(s.states))
	for _, st := range s.states {
		all = append(all, st.endpoint)
	}

	return all
}

// moveElsewhere moves the slot to another endpoint, if one is free, and reports whether it did.
func (s *Slot) moveElsewhere() bool {
	req := s.request
	req.Avoid = s.endpoint.Name
	next, ok := s.set.Acquire(req)
	if ok {
		next.request.Avoid = s.request.Avoid
		s.Release()
		*s = next
	}

	return ok
}

// setLeaving records whether the endpoint reported that it is leaving.
func (s *Set) setLeaving(st *endpointState, leaving bool) {
	s.mu.Lock()
	st.reportedLeaving = leaving
	s.mu.Unlock()
}

// observe records the result of an exchange, and starts or ends a quarantine by it.
func (s *Set) observe(st *endpointState, failed bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	st.health.record(failed, now)
	if failed && st.health.quarantinedUntil.IsZero() && !isOutlier(st, s.pools[st.endpoint.Pool], now) {
		return
	}
	if failed {
		st.health.quarantine(now)
		return
	}
	st.health.recordSuccess(now)
}

// allowed returns Allowed, but at most the endpoint's slots.
func (s *Set) allowed(st *endpointState) int64 {
	return min(s.Allowed(st.endpoint), int64(st.endpoint.Slots))
}

// expected returns Expected, but at most what is allowed.
func (s *Set) expected(st *endpointState) int64 {
	if s.Expected == nil {
		return s.allowed(st)
	}

	return min(s.Expected(st.endpoint), s.allowed(st))
}

// acceptsWork reports whether the endpoint may get new work now.
func (st *endpointState) acceptsWork(now time.Time, idempotent bool) bool {
	if st.removed || st.endpoint.Leaving || st.reportedLeaving || st.health.unreachable {
		return false
	}

	return st.health.allows(now, idempotent, st.used)
}
