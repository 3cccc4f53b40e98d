package schedule

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// Entries returns the jobs that are in the ledger.
func (s *Scheduler) Entries() []fleet.JobID {
	return slices.Collect(maps.Keys(s.entries))
}

// RestateFrom returns at most a number of the changes that stand for all that is in the ledger's log of a job, from a position
// on, and the position of the next one; zero means that there is none. The caller must have taken the changes that wait to be
// stored, and store these with them.
func (s *Scheduler) RestateFrom(id fleet.JobID, position, most int) (changes []ledger.Change, next int) {
	e, ok := s.entries[id]
	if !ok {
		return nil, 0
	}

	return e.RestateFrom(position, most)
}

// RestateHosts returns the changes that stand for all that is in the ledger's log of hosts.
func (s *Scheduler) RestateHosts(now time.Time) []ledger.Change {
	var changes []ledger.Change
	for n, w := range s.waves {
		for h := range w.done {
			changes = append(changes, ledger.Change{Kind: ledger.Maintained, Worker: work.WorkerID(h), Life: work.Life(n)})
		}
	}
	for name, h := range s.hosts {
		if h.phase != serving || now.Sub(h.ordered) < s.bounds.HandoverQuiet+quietMargin {
			changes = append(changes, ledger.Change{Kind: ledger.HostOrdered, Worker: work.WorkerID(name)})
		}
	}

	return changes
}

// Expired returns the jobs that were over for at least keep and have nothing running.
func (s *Scheduler) Expired(keep time.Duration, now time.Time) []fleet.JobID {
	var ids []fleet.JobID
	for id, e := range s.entries {
		if !e.Over() {
			continue
		}
		at, known := s.over[id]
		if !known {
			s.over[id] = now
			continue
		}
		if now.Sub(at) >= keep && !live(e) {
			ids = append(ids, id)
		}
	}

	return ids
}

func live(e *ledger.Entry) bool {
	for range e.LiveAttempts {
		return true
	}

	return false
}

// Forget drops jobs whose records were removed from the store.
func (s *Scheduler) Forget(ids []fleet.JobID) {
	for _, id := range ids {
		delete(s.entries, id)
		delete(s.over, id)
		maps.DeleteFunc(s.advice, func(step string, _ *advice) bool { return strings.HasPrefix(step, string(id)+".") })
	}
}
