package allotment

import (
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// absences are the holders without a member key, each with the second of the unbroken readings that lacked it; values are immutable.
//
// The second counts because the moment of a reading is the one before it: the
// key may have been there until the first reading was answered.
type absences struct {
	// since is zero for a holder that only one reading lacked.
	since fleet.Table[fleet.Incarnation, time.Time]
	// last is the moment of the newest reading.
	last time.Time
}

// with returns the absences after a reading of the membership.
//
// A gap of maxGap or more between readings starts all over, because a key could
// have come and gone in between.
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

// lasting returns the holders that were absent for at least as long as wait says for each.
func (a absences) lasting(wait func(fleet.Incarnation) time.Duration) []fleet.Incarnation {
	var hs []fleet.Incarnation
	for h, since := range a.since.All() {
		if !since.IsZero() && a.last.Sub(since) >= wait(h) {
			hs = append(hs, h)
		}
	}

	return hs
}
