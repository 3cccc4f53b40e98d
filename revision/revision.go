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
	// Tables indexes the entities of the lists by name.
	Tables fleet.Tables
}

// WithLists returns a copy of the revision with the lists replaced and its tables rebuilt.
func (r Revision) WithLists(l plan.Lists) Revision {
	r.Lists = l
	r.Tables = l.Fill(fleet.Tables{})

	return r
}

// WithKeys returns a copy of the revision with the keys replaced.
func (r Revision) WithKeys(k key.Ring) Revision {
	r.Keys = k
	return r
}
