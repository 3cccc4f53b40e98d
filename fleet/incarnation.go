package fleet

import (
	"strings"

	"github.com/google/uuid"
)

// Incarnation identifies one process of an entry host; a replaced process of the same name is another incarnation.
type Incarnation string

// NewIncarnation returns a new identity for a process of entry host e.
func NewIncarnation(e EntryName) Incarnation {
	return Incarnation(string(e) + "#" + uuid.NewString()[:8])
}

// Entry returns the name of the entry host.
func (i Incarnation) Entry() EntryName {
	name, _, _ := strings.Cut(string(i), "#")
	return EntryName(name)
}
