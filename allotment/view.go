package allotment

import (
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
// A bound that is lower than the record's is not in force in the record yet, so
// the other parts may still add up to more.
func (v view) closes(name string, b bounds) bool {
	if v.unconfirmed {
		return true
	}

	l, _ := v.record.Limits.Get(name)

	return b.revision > v.record.Revision && !l.Upper.FitsIn(b.upper[name])
}

// bounds are the limits of one set as a revision of the configuration has them.
type bounds struct {
	revision uint64
	upper    map[string]fleet.Resources
}
