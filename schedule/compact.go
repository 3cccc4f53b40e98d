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

// Entries returns the jobs in the ledger.
func (s *Scheduler) Entries() []fleet.JobID {
	return slices.Collect(maps.Keys(s.entries))
}

// RestateFrom returns up to limit changes, from a position on, that replace a job's history in the ledger's log, and the
// next position, or zero at the end. The caller must have taken the pending changes, and must store these together with
// them.
func (s *Scheduler) RestateFrom(id fleet.JobID, position, limit int) (changes []ledger.Change, next int) {
	e, ok := s.entries[id]
	if !ok {
		return nil, 0
	}

	return e.RestateFrom(position, limit)
}

// RestateHosts returns the changes that replace the history of hosts in the ledger's log.
func (s *Scheduler) RestateHosts(now time.Time) []ledger.Change {
	var changes []ledger.Change
	for n, w := range s.waves {
		for h := range w.done {
			changes = append(changes, ledger.Change{Kind: ledger.Maintained, Worker: work.WorkerID(h), Life: work.Life(n)})
		}
	}
	for _, h := range s.hosts {
		if h.phase != inService || now.Sub(h.orderedAt) < s.bounds.HandoverQuiet+quietMargin {
			changes = append(changes, h.announcement())
		}
	}

	return changes
}

// Expired returns the jobs that have been over for at least keep and have no live attempts. It drops what is kept of jobs
// that were removed as long ago.
func (s *Scheduler) Expired(keep time.Duration, now time.Time) []fleet.JobID {
	maps.DeleteFunc(s.removed, func(_ fleet.JobID, r removedJob) bool { return now.Sub(r.at) >= keep })
	var ids []fleet.JobID
	for id, e := range s.entries {
		if !e.Finished() {
			continue
		}
		at, known := s.overSince[id]
		if !known {
			s.overSince[id] = now
			continue
		}
		if now.Sub(at) >= keep && !hasLiveAttempts(e) {
			ids = append(ids, id)
		}
	}

	return ids
}

// hasLiveAttempts reports whether a job has live attempts.
func hasLiveAttempts(e *ledger.Entry) bool {
	for range e.LiveAttempts {
		return true
	}

	return false
}

// removedJob is a job whose record was removed from the store.
type removedJob struct {
	revision uint64
	at       time.Time
}

// Forget removes jobs whose records were removed from the store.
func (s *Scheduler) Forget(ids []fleet.JobID, now time.Time) {
	for _, id := range ids {
		if e, ok := s.entries[id]; ok {
			s.removed[id] = removedJob{revision: e.Revision, at: now}
		}
		delete(s.entries, id)
		delete(s.overSince, id)
		s.forgetSuspects(id)
		maps.DeleteFunc(s.advice, func(step string, _ *advice) bool { return strings.HasPrefix(step, string(id)+".") })
	}
}
