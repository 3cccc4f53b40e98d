package endpoint

import (
	"sync"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// Set knows the endpoints, which of them may get new work, and how many of their slots this process uses.
type Set struct {
	// Allowed returns how many slots of an endpoint this process may use; the default is all.
	Allowed func(fleet.Endpoint) int64
	// Expected returns how many slots of an endpoint this process can count on in its estimates; the default is Allowed.
	Expected func(fleet.Endpoint) int64
	// Take takes slots of an endpoint from those that all processes share, without waiting; the default takes any.
	Take func(e fleet.Endpoint, slots int64) (release func(), ok bool)
	// Changed is called without locks held when slots may have become free other than by a release.
	Changed func()

	mu     sync.Mutex
	states map[fleet.EndpointName]*state
	pools  map[fleet.PoolName][]*state
	turn   uint64
	// asks counts calls of Acquire.
	asks uint64
}

// state is what is known of one endpoint; the lock of its set guards it, and conns guards itself.
type state struct {
	endpoint fleet.Endpoint
	conns    *connections
	used     int64
	// reserved is how many slots are kept for one large request, and smaller ones may not take.
	reserved int64
	// turn is when the endpoint was last chosen, and passed the last ask whose slots it could not give.
	turn, passed uint64
	// removed says that the list no longer has the endpoint.
	removed bool
	// saidLeaving is what the endpoint itself said last.
	saidLeaving bool
	health      health
}

// Ask is what is wanted of a pool.
type Ask struct {
	Pool  fleet.PoolName
	Slots int64
	// Idempotent work may try an endpoint that failed lately.
	Idempotent bool
	// Avoid is an endpoint that was tried already.
	Avoid fleet.EndpointName
}

// Slot is the right to send one request to an endpoint; its zero value holds nothing.
type Slot struct {
	set   *Set
	state *state
	// endpoint is as the list had it when the slot was taken.
	endpoint fleet.Endpoint
	ask      Ask
	release  func()
}

// NewSet returns a set without endpoints.
func NewSet() *Set {
	return &Set{
		Allowed: func(e fleet.Endpoint) int64 { return int64(e.Slots) },
		Take:    func(fleet.Endpoint, int64) (func(), bool) { return func() {}, true },
		Changed: func() {},
		states:  map[fleet.EndpointName]*state{},
		pools:   map[fleet.PoolName][]*state{},
	}
}

// Replace makes endpoints the whole of what may get new work, and keeps what is known of those that stay.
func (s *Set) Replace(endpoints []fleet.Endpoint) {
	s.mu.Lock()
	old := s.states
	s.states = make(map[fleet.EndpointName]*state, len(endpoints))
	s.pools = map[fleet.PoolName][]*state{}
	for _, e := range endpoints {
		st, ok := old[e.Name]
		if !ok || st.endpoint.Address != e.Address {
			st = &state{conns: newConnections(e.Address)}
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

// Release gives the slot back; later calls do nothing.
func (s *Slot) Release() {
	if s.state == nil {
		return
	}
	s.set.mu.Lock()
	s.state.used -= s.ask.Slots
	s.set.mu.Unlock()
	s.release()
	s.state = nil
}

// Acquire takes slots of the least used endpoint of a pool that may get new work.
func (s *Set) Acquire(ask Ask) (Slot, bool) {
	ask.Slots = max(ask.Slots, 1)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()

	s.asks++
	for {
		best := s.leastUsed(ask, now)
		if best == nil {
			return Slot{}, false
		}
		release, ok := s.Take(best.endpoint, ask.Slots)
		if !ok {
			best.passed = s.asks
			continue
		}
		s.turn++
		best.turn = s.turn
		best.used += ask.Slots
		if ask.Slots >= best.reserved {
			best.reserved = 0
		}

		return Slot{set: s, state: best, endpoint: best.endpoint, ask: ask, release: release}, true
	}
}

// leastUsed returns the least used endpoint that may get what is asked and was not passed over already; the set is locked.
func (s *Set) leastUsed(ask Ask, now time.Time) *state {
	var best *state
	for _, st := range s.pools[ask.Pool] {
		if st.passed == s.asks || st.endpoint.Name == ask.Avoid || !st.takesNew(now, ask.Idempotent) ||
			!s.hasRoom(st, ask.Slots) {
			continue
		}
		// Among equally used endpoints they take turns.
		if best == nil || st.used < best.used || st.used == best.used && st.turn < best.turn {
			best = st
		}
	}

	return best
}

// Reserve keeps slots of one endpoint of a pool for a request that needs so many at once: smaller requests may no
// longer take them as they come free. Of all endpoints only one is reserved at a time, so the others go on.
func (s *Set) Reserve(pool fleet.PoolName, slots int64) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *state
	for _, st := range s.pools[pool] {
		st.reserved = 0
		if st.takesNew(now, false) && s.allowed(st) >= slots && (best == nil || st.used < best.used) {
			best = st
		}
	}
	if best != nil {
		best.reserved = slots
	}
}

// Unreserve gives up the reservation in a pool.
func (s *Set) Unreserve(pool fleet.PoolName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.pools[pool] {
		st.reserved = 0
	}
}

// hasRoom reports whether so many slots are free and not reserved for a larger request.
func (s *Set) hasRoom(st *state, slots int64) bool {
	used := st.used + slots
	if slots < st.reserved {
		used += st.reserved
	}

	return used <= s.allowed(st)
}

// Fits reports whether any endpoint of the pool has so many slots, free or not; true while none is known.
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

// Slots returns how many slots of a pool this process can count on, on endpoints that take new work.
func (s *Set) Slots(pool fleet.PoolName) int64 {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var n int64
	for _, st := range s.pools[pool] {
		if st.takesNew(now, false) {
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

// Endpoints returns the endpoints of the list, in no order.
func (s *Set) Endpoints() []fleet.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]fleet.Endpoint, 0, len(s.states))
	for _, st := range s.states {
		all = append(all, st.endpoint)
	}

	return all
}

// swap moves the slot to another endpoint and reports whether one was free.
func (s *Slot) swap() bool {
	ask := s.ask
	ask.Avoid = s.endpoint.Name
	next, ok := s.set.Acquire(ask)
	if ok {
		next.ask.Avoid = s.ask.Avoid
		s.Release()
		*s = next
	}

	return ok
}

// setLeaving records what the endpoint said of itself.
func (s *Set) setLeaving(st *state, leaving bool) {
	s.mu.Lock()
	st.saidLeaving = leaving
	s.mu.Unlock()
}

// observe records how an exchange with the endpoint ended.
func (s *Set) observe(st *state, failed bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	st.health.record(failed, now)
	if failed && st.health.quarantined.IsZero() && !isOutlier(st, s.pools[st.endpoint.Pool], now) {
		return
	}
	if failed {
		st.health.quarantine(now)
		return
	}
	st.health.succeed(now)
}

// allowed is never more than the endpoint's own slots.
func (s *Set) allowed(st *state) int64 {
	return min(s.Allowed(st.endpoint), int64(st.endpoint.Slots))
}

// expected is never more than what is allowed.
func (s *Set) expected(st *state) int64 {
	if s.Expected == nil {
		return s.allowed(st)
	}

	return min(s.Expected(st.endpoint), s.allowed(st))
}

// takesNew reports whether the endpoint may get new work now.
func (st *state) takesNew(now time.Time, idempotent bool) bool {
	if st.removed || st.endpoint.Leaving || st.saidLeaving || st.health.unreachable {
		return false
	}

	return st.health.allows(now, idempotent, st.used)
}
