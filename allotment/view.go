package allotment

import (
	"slices"

	"lycheehook.example/lycheehook/fleet"
)

// view is the newest state of one record that a holder has seen; values are immutable.
type view struct {
	record Record
	// holders are all holders of an allocation, sorted.
	holders []fleet.Incarnation
	// revision is the store's revision of the record; zero means that the key has never been seen.
	revision uint64
	// uncertain reports that a write based on revision may still be applied.
	uncertain bool
	// unconfirmed reports that the holder's allocations may have been reclaimed since, because its
	// lease lapsed.
	unconfirmed bool
}

// withRecord returns the view of a record; an older or equal one changes nothing and returns
// false.
func (v view) withRecord(r Record, revision uint64) (view, bool) {
	if revision <= v.revision {
		return v, false
	}

	return view{record: r, holders: r.Holders(), revision: revision, unconfirmed: v.unconfirmed}, true
}

// suspends reports whether a holder with these bounds must not start work under the named limit.
//
// The stored record may be at any revision between the one seen and that of the bounds. So no work
// may start if the limit was, or may have been, higher at one of those revisions than it is now:
// the allocations could sum to the higher limit.
func (v view) suspends(name string, b bounds) bool {
	if v.unconfirmed {
		return true
	}
	if b.revision <= v.record.Revision {
		return false
	}

	l, _ := v.record.Limits.Get(name)
	if b.oldest() > v.record.Revision+1 || !l.Upper.FitsIn(b.upper[name]) {
		return true
	}

	return slices.ContainsFunc(b.earlier, func(e earlierBounds) bool {
		return e.revision > v.record.Revision && !e.upper[name].FitsIn(b.upper[name])
	})
}

// maxEarlierBounds is the number of earlier revisions of the bounds that are kept.
const maxEarlierBounds = 8

// bounds are the limits of one set in a revision of the configuration; values are immutable.
type bounds struct {
	revision uint64
	upper    map[string]fleet.Resources
	// earlier are the directly preceding revisions, oldest first, without gaps.
	earlier []earlierBounds
}

// earlierBounds are the limits of an earlier revision.
type earlierBounds struct {
	revision uint64
	upper    map[string]fleet.Resources
}

// with returns the bounds of a newer revision; the preceding ones are kept if no revision in
// between is missing.
func (b bounds) with(revision uint64, upper map[string]fleet.Resources) bounds {
	next := bounds{revision: revision, upper: upper}
	if revision == b.revision+1 && b.revision > 0 {
		next.earlier = append(slices.Clone(b.earlier), earlierBounds{b.revision, b.upper})
		next.earlier = next.earlier[max(0, len(next.earlier)-maxEarlierBounds):]
	}

	return next
}

// oldest returns the first revision since which all bounds are known.
func (b bounds) oldest() uint64 {
	if len(b.earlier) > 0 {
		return b.earlier[0].revision
	}

	return b.revision
}
