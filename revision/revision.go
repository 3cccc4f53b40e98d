package revision

import (
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/plan"
)

// Revision is one immutable state of the configuration.
type Revision struct {
	// Number grows by one with each accepted edit.
	Number uint64
	Lists  plan.Lists
	Keys   key.Ring
	// Tables has the entities of the lists.
	Tables fleet.Tables
}

// WithLists returns the revision with other lists.
func (r Revision) WithLists(l plan.Lists) Revision {
	r.Lists = l
	r.Tables = l.Fill(fleet.Tables{})

	return r
}

// WithKeys returns the revision with other keys.
func (r Revision) WithKeys(k key.Ring) Revision {
	r.Keys = k
	return r
}
