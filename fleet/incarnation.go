package fleet

import (
	"strings"

	"github.com/google/uuid"
)

// Incarnation identifies one lycheehook process; a process that is restarted under the same name gets a new one.
type Incarnation string

// NewIncarnation returns a new unique ID for a process on entry host e.
func NewIncarnation(e EntryName) Incarnation {
	return Incarnation(string(e) + "#" + uuid.NewString()[:8])
}

// Entry returns the name of the entry host.
func (i Incarnation) Entry() EntryName {
	name, _, _ := strings.Cut(string(i), "#")
	return EntryName(name)
}
