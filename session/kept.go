package session

import (
	"slices"
	"time"
)

// maxKeptEnds is how many ends may wait for one that is kept. A worker lists at most work.MaxListedEnds, beyond which the owner would learn
// of no others.
const maxKeptEnds = 250

// unsteadyTime is how long after a restart another one is likely, since restarts come in series.
const unsteadyTime = 30 * time.Second

// keptEnd is an end that the worker must go on listing until a time, and lose if it restarts before.
type keptEnd struct {
	number uint64
	until  time.Time
}

// NoteUnsteady notes that the worker is likely to restart.
func (s *Session) NoteUnsteady(now time.Time) {
	s.unsteadyUntil = now.Add(unsteadyTime)
}

// Unsteady reports whether the worker is likely to restart.
func (s *Session) Unsteady(now time.Time) bool {
	return now.Before(s.unsteadyUntil)
}

// KeepEnd withholds the acknowledgement of an end, and with it those of all later ends, until a time.
func (s *Session) KeepEnd(number uint64, until time.Time) {
	s.kept = append(s.kept, keptEnd{number, until})
}

// KeepsEnds reports whether stored ends are kept from being acknowledged. The worker answers polls at once, since it lists them.
func (s *Session) KeepsEnds(now time.Time) bool {
	return s.ackable(now) < s.stored
}

// ackable returns the number of the last end that may be acknowledged.
func (s *Session) ackable(now time.Time) uint64 {
	s.kept = slices.DeleteFunc(s.kept, func(k keptEnd) bool { return !now.Before(k.until) })
	last := s.stored
	for _, k := range s.kept {
		last = min(last, k.number-1)
	}
	if s.stored-last > maxKeptEnds {
		return s.stored
	}

	return last
}
