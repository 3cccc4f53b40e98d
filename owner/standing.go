package owner

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/store"
)

const (
	// refusalTime is how long a host must have left the workers without an owner to count as not bidding. It is shorter than
	// deferLimit, since hosts learn of the end of a term at different times.
	refusalTime = deferLimit - time.Second
	// refusalEffect is for how long a host that did not take a term is not waited for; it doubles with each repetition.
	refusalEffect = 2 * time.Minute
	// provenTime is the length of a term from which on its owner counts as able to own the workers.
	provenTime = 30 * time.Second
	// settleTime is how long a host must be present for its earlier departures to be forgotten.
	settleTime = 10 * time.Minute
	// maxDoublings limits how often the times above are doubled.
	maxDoublings = 4
)

// standing is what a process knows of an entry host as an owner of the workers.
type standing struct {
	host ledger.Host
	// revision is that of the host's record, or zero if there is none.
	revision uint64
	// since is when this revision was first seen, or when the record was first missed.
	since time.Time
	// departures is how often the record went away or was written anew.
	departures int
	// gaveUp is set from the end of a short term until the next one begins, if the host ended it and kept its lease.
	gaveUp bool
	// refusals is how often the host left a term to a weaker one or gave one up, and refusedUntil is until when the last one
	// counts.
	refusals     int
	refusedUntil time.Time
}

// present reports whether the host holds a lease.
func (s *standing) present() bool {
	return s.revision != 0
}

// refuses reports whether the host is expected not to take a term.
func (s *standing) refuses(now time.Time) bool {
	return s.gaveUp || now.Before(s.refusedUntil)
}

// staysFor returns how long the host must have held its lease for an owner to hand over to it.
func (s *standing) staysFor() time.Duration {
	return handoverDelay << min(s.departures, maxDoublings)
}

func (s *standing) refuse(now time.Time) {
	s.refusedUntil = now.Add(refusalEffect << min(s.refusals, maxDoublings))
	s.refusals++
}

// standings keeps what the process sees of the entry hosts, in all terms, also while it doesn't bid itself: the hosts see the
// same period without an owner, so the workers are without one for the same reason only once.
type standings struct {
	hosts map[fleet.EntryName]*standing
	// owner is the host of the last owner, and owned is the revision of its record, or zero if there is none.
	owner fleet.EntryName
	owned uint64
	// ownedSince is when that record was first seen.
	ownedSince time.Time
	// lease is the lease of this process, or zero while it is not valid, and leaseSince is when that was first seen.
	lease      store.LeaseID
	leaseSince time.Time
	// vacant is since when there has been no owner while the lease was valid, or zero.
	vacant time.Time
}

// view is what a process sees at a time.
type view struct {
	at        time.Time
	hosts     []ledger.Host
	revisions map[fleet.EntryName]uint64
	// owner and owned are the host of the owner and the revision of its record, which is zero if there is none.
	owner fleet.EntryName
	owned uint64
	// lease is the lease of the process, or zero if it is not valid. Without one, the view may be out of date.
	lease store.LeaseID
}

// observe takes note of a view.
func (s *standings) observe(v view) {
	if v.lease != s.lease {
		s.lease, s.leaseSince, s.vacant = v.lease, v.at, time.Time{}
	}
	s.observeHosts(v)
	if s.owned != 0 && v.owned != s.owned {
		s.noteEnd(v.at)
	}
	switch {
	case v.owned == 0:
		if s.vacant.IsZero() && v.lease != 0 {
			s.vacant = v.at
		}
	case v.owned != s.owned:
		s.judge(v)
		s.owner, s.ownedSince, s.vacant = v.owner, v.at, time.Time{}
	default:
		s.vacant = time.Time{}
		if h, ok := s.hosts[v.owner]; ok && v.at.Sub(s.ownedSince) >= provenTime {
			h.refusals, h.refusedUntil = 0, time.Time{}
		}
	}
	s.owned = v.owned
}

func (s *standings) observeHosts(v view) {
	if s.hosts == nil {
		s.hosts = map[fleet.EntryName]*standing{}
	}
	for _, h := range v.hosts {
		known, ok := s.hosts[h.Name]
		if !ok {
			known = &standing{revision: v.revisions[h.Name], since: v.at}
			s.hosts[h.Name] = known
		}
		known.host = h
		s.noteRevision(known, v.revisions[h.Name], v.at)
	}
	for name, known := range s.hosts {
		if _, ok := v.revisions[name]; ok {
			continue
		}
		s.noteRevision(known, 0, v.at)
		if v.at.Sub(known.since) >= settleTime {
			delete(s.hosts, name)
		}
	}
}

// noteRevision takes note of the revision of a host's record.
func (s *standings) noteRevision(h *standing, revision uint64, now time.Time) {
	switch {
	case h.revision == revision:
		if h.present() && now.Sub(h.since) >= settleTime {
			h.departures = 0
		}

		return
	case h.present() && s.lease != 0 && now.Sub(s.leaseSince) >= leaseTime:
		// When all hosts lose their leases, as while the store is down, that is not the fault of one.
		h.departures++
	}
	if revision != 0 {
		// A restarted process may be able to do what the last one was not.
		h.refusedUntil = time.Time{}
	}
	h.gaveUp = false
	h.revision, h.since = revision, now
}

// noteEnd takes note of the end of a term. A host that keeps the record that it had before the term has given the term up; one
// that has had the workers for some time before is expected to take them again.
func (s *standings) noteEnd(now time.Time) {
	h, ok := s.hosts[s.owner]
	if ok && h.present() && h.revision < s.owned && now.Sub(s.ownedSince) < provenTime {
		h.gaveUp = true
	}
}

// judge takes note, when a term begins, of the hosts that gave up the last one for a reason other than a stronger host, and of
// those that left the term to a weaker one for as long as that one had to wait for them.
func (s *standings) judge(v view) {
	winner, ok := s.hosts[v.owner]
	if !ok {
		return
	}
	for _, h := range s.hosts {
		if h.gaveUp && h != winner && !isStronger(winner.host, h.host) {
			h.refuse(v.at)
		}
		h.gaveUp = false
	}
	if s.vacant.IsZero() || v.at.Sub(s.vacant) < refusalTime {
		return
	}
	var passive []*standing
	for _, h := range s.hosts {
		if h.present() && !h.refuses(v.at) && !h.since.After(s.vacant) && isStronger(h.host, winner.host) {
			passive = append(passive, h)
		}
	}
	for _, h := range strongest(passive) {
		h.refuse(v.at)
	}
}

// strongest returns the hosts that had no stronger one to wait for.
func strongest(all []*standing) []*standing {
	cores := 0.0
	for _, h := range all {
		cores = max(cores, h.host.Cores)
	}
	var s []*standing
	for _, h := range all {
		if cores <= strongerRatio*h.host.Cores {
			s = append(s, h)
		}
	}

	return s
}

// awaits reports whether a host should leave a new term to another one.
func (s *standings) awaits(self ledger.Host, now time.Time) bool {
	if s.deferLimitPassed(now) {
		return false
	}
	for _, h := range s.hosts {
		if h.present() && !h.refuses(now) && isStronger(h.host, self) {
			return true
		}
	}

	return false
}

// deferLimitPassed reports whether the workers have been without an owner for deferLimit.
func (s *standings) deferLimitPassed(now time.Time) bool {
	return !s.vacant.IsZero() && now.Sub(s.vacant) >= deferLimit
}

// others reports whether there are hosts with at least minCores, other than this one, that are expected to take a term.
func (s *standings) others(self fleet.EntryName, minCores float64, now time.Time) bool {
	for name, h := range s.hosts {
		if name != self && h.present() && !h.refuses(now) && h.host.Cores >= minCores {
			return true
		}
	}

	return false
}

// settled returns the hosts to which an owner may hand over.
func (s *standings) settled(now time.Time) []ledger.Host {
	var hosts []ledger.Host
	for _, h := range s.hosts {
		if h.present() && !h.refuses(now) && now.Sub(h.since) >= h.staysFor() {
			hosts = append(hosts, h.host)
		}
	}

	return hosts
}

// isStronger reports whether a host is so much stronger than another one that it should own the workers.
func isStronger(a, b ledger.Host) bool {
	return a.Cores > strongerRatio*b.Cores
}
