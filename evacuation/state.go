package evacuation

import (
	"maps"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// warningDelay is how long a zone has been evacuated until it is compared with the zones that have workers. A new owner learns of
// both at about the same time.
const warningDelay = time.Second

// State is what is known of the evacuated zones. It is not safe for concurrent use.
type State struct {
	// bound is the time after the acknowledgement of an evacuation from which on no task may start in the zone; zero means that
	// evacuations are not in use.
	bound time.Duration
	// readAt is when the last successful read of the zones began; it is valid once known is set.
	readAt time.Time
	known  bool
	// since has the evacuated zones, with the time at which this owner learned of each.
	since map[fleet.ZoneName]time.Time
	// warned has the zones of which it was said that no worker is there, allWarned that no other zone has workers.
	warned    map[fleet.ZoneName]bool
	allWarned bool
}

// Change has the zones that were evacuated and those that were returned to service, sorted.
type Change struct {
	Evacuated, Returned []fleet.ZoneName
}

// New returns the state before the first read, for a bound from the acknowledgement of an evacuation on.
func New(bound time.Duration) *State {
	return &State{bound: bound, since: map[fleet.ZoneName]time.Time{}, warned: map[fleet.ZoneName]bool{}}
}

// MaxAge returns the age from which on knowledge of the evacuations does not permit a start. The other half of the bound is for
// starts that are under way.
func MaxAge(bound time.Duration) time.Duration {
	return bound / 2
}

// Update applies what was last read and returns the zones that have changed.
func (s *State) Update(e work.Evacuations, now time.Time) Change {
	var c Change
	if s.bound <= 0 || !e.Known {
		return c
	}
	s.known, s.readAt = true, now.Add(-e.Age)
	for _, z := range e.Zones {
		if _, ok := s.since[z]; !ok {
			s.since[z] = now
			c.Evacuated = append(c.Evacuated, z)
		}
	}
	for z := range s.since {
		if !slices.Contains(e.Zones, z) {
			delete(s.since, z)
			delete(s.warned, z)
			c.Returned = append(c.Returned, z)
		}
	}
	slices.Sort(c.Evacuated)
	slices.Sort(c.Returned)

	return c
}

// Evacuated reports whether a zone is evacuated.
func (s *State) Evacuated(z fleet.ZoneName) bool {
	_, ok := s.since[z]

	return ok
}

// Any reports whether any zone is evacuated.
func (s *State) Any() bool {
	return len(s.since) > 0
}

// Current reports whether the knowledge is recent enough for tasks to be placed and started.
func (s *State) Current(now time.Time) bool {
	return s.bound <= 0 || s.known && now.Sub(s.readAt) <= MaxAge(s.bound)
}

// ReportUnknown returns the evacuated zones without workers that have not been returned before, given the zones with workers.
func (s *State) ReportUnknown(zones map[fleet.ZoneName]bool, now time.Time) []fleet.ZoneName {
	var list []fleet.ZoneName
	for z, at := range s.since {
		if !zones[z] && !s.warned[z] && now.Sub(at) >= warningDelay {
			s.warned[z] = true
			list = append(list, z)
		}
	}
	slices.Sort(list)

	return list
}

// ReportNoneLeft reports whether all zones with workers have come to be evacuated since the last call.
func (s *State) ReportNoneLeft(zones map[fleet.ZoneName]bool, now time.Time) bool {
	if len(zones) == 0 {
		return false
	}
	left := maps.Clone(zones)
	for z, at := range s.since {
		if now.Sub(at) >= warningDelay {
			delete(left, z)
		}
	}
	before := s.allWarned
	s.allWarned = len(left) == 0

	return s.allWarned && !before
}
