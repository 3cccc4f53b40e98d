package allotment

import (
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// absences are the holders whose member key is missing from the store, each with the time of the
// second of the consecutive membership reads that lacked it; values are immutable.
//
// The second read counts because a read carries the time at which it was started: the key may
// still have existed until the first read was answered.
type absences struct {
	// since is zero for a holder that only one read lacked.
	since fleet.Table[fleet.Incarnation, time.Time]
	// last is the time of the newest read.
	last time.Time
}

// with returns the absences after another read of the membership.
//
// A gap of maxGap or more between reads restarts the count, because a key could have been created
// and removed in between.
func (a absences) with(m Membership, holders []fleet.Incarnation, maxGap time.Duration) absences {
	if !m.Confirmed.After(a.last) {
		return a
	}

	unbroken := elapsed(a.last, m.Confirmed) < maxGap
	next := absences{last: m.Confirmed}
	for _, h := range holders {
		if slices.Contains(m.Live, h) {
			continue
		}
		since, ok := a.since.Get(h)
		switch {
		case !ok || !unbroken:
			since = time.Time{}
		case since.IsZero():
			since = m.Confirmed
		}
		next.since = next.since.With(h, since)
	}

	return next
}

// absentFor returns the holders that have been absent for at least the duration that wait returns
// for each.
func (a absences) absentFor(wait func(fleet.Incarnation) time.Duration) []fleet.Incarnation {
	var hs []fleet.Incarnation
	for h, since := range a.since.All() {
		if !since.IsZero() && a.last.Sub(since) >= wait(h) {
			hs = append(hs, h)
		}
	}

	return hs
}
