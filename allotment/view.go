package allotment

import (
	"slices"

	"lycheehook.example/lycheehook/fleet"
)

// view is the newest state of one record that a holder has seen; values are immutable.
type view struct {
	record Record
	// holders are all who have a part, sorted.
	holders []fleet.Incarnation
	// revision is that of the store; zero means that the key was never seen.
	revision uint64
	// doubt says that a write based on revision may still arrive.
	doubt bool
	// unconfirmed says that the holder's parts may have been reclaimed since, for its licence lapsed.
	unconfirmed bool
}

// withRecord returns the view of a record; an older or equal one changes nothing and reports false.
func (v view) withRecord(r Record, revision uint64) (view, bool) {
	if revision <= v.revision {
		return v, false
	}

	return view{record: r, holders: r.Holders(), revision: revision, unconfirmed: v.unconfirmed}, true
}

// closes reports whether a holder with these bounds may start nothing under the named limit.
//
// The record may be at any revision between the one seen and that of the
// bounds. So nothing may start if the limit was, or may have been, higher in one
// of them than it is now: the parts could add up to that.
func (v view) closes(name string, b bounds) bool {
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

// keptBounds is the number of earlier revisions of the bounds that are kept.
const keptBounds = 8

// bounds are the limits of one set as a revision of the configuration has them; values are immutable.
type bounds struct {
	revision uint64
	upper    map[string]fleet.Resources
	// earlier are the revisions right before, oldest first, without a gap.
	earlier []earlierBounds
}

// earlierBounds are the limits of an earlier revision.
type earlierBounds struct {
	revision uint64
	upper    map[string]fleet.Resources
}

// with returns the bounds of a newer revision; those before it are kept if none in between is unknown.
func (b bounds) with(revision uint64, upper map[string]fleet.Resources) bounds {
	next := bounds{revision: revision, upper: upper}
	if revision == b.revision+1 && b.revision > 0 {
		next.earlier = append(slices.Clone(b.earlier), earlierBounds{b.revision, b.upper})
		next.earlier = next.earlier[max(0, len(next.earlier)-keptBounds):]
	}

	return next
}

// oldest returns the first revision from which all are known.
func (b bounds) oldest() uint64 {
	if len(b.earlier) > 0 {
		return b.earlier[0].revision
	}

	return b.revision
}
