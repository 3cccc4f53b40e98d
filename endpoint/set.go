package endpoint

import (
	"sync"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
)

// Set knows the endpoints and how many of their slots this process uses.
type Set struct {
	mu        sync.Mutex
	endpoints fleet.Table[fleet.EndpointName, fleet.Endpoint]
	used      map[fleet.EndpointName]int
}

// Slot is the right to send one request to an endpoint; it is released once.
type Slot struct {
	Endpoint fleet.Endpoint
	release  func()
}

// Release gives the slot back; later calls do nothing.
func (s Slot) Release() {
	s.release()
}

// NewSet returns a set without endpoints.
func NewSet() *Set {
	return &Set{used: map[fleet.EndpointName]int{}}
}

// Replace makes endpoints the whole of what may get new work.
func (s *Set) Replace(endpoints []fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints = fleet.NewTable(func(e fleet.Endpoint) fleet.EndpointName { return e.Name }, endpoints...)
}

// Acquire takes a slot of the least used endpoint of a pool.
func (s *Set) Acquire(pool fleet.PoolName) (Slot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	best, found := fleet.Endpoint{}, false
	for _, e := range s.endpoints.All() {
		if e.Pool != pool || e.Leaving || s.used[e.Name] >= e.Slots {
			continue
		}
		if !found || s.used[e.Name] < s.used[best.Name] {
			best, found = e, true
		}
	}
	if !found {
		return Slot{}, refusal.Refuse(refusal.NoEndpoint, "no free slot in pool %s", pool)
	}

	s.used[best.Name]++

	return Slot{Endpoint: best, release: sync.OnceFunc(func() { s.give(best.Name) })}, nil
}

func (s *Set) give(name fleet.EndpointName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used[name]--
}
