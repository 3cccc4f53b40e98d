package audit

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"lycheehook.example/lycheehook/fleet"
)

// The bounds of one entry, so that a batch of any entries fits into a segment.
const (
	maxChanges    = 100
	maxTextLength = 256
)

// Action is what was done.
type Action string

// The actions of the trail.
const (
	ApplyLists  Action = "ApplyLists"
	GiveKey     Action = "GiveKey"
	WithdrawKey Action = "WithdrawKey"
	MoveHost    Action = "MoveHost"
	DrainHost   Action = "DrainHost"
	RebootHost  Action = "RebootHost"
	PlanWave    Action = "PlanWave"
	StartWave   Action = "StartWave"
	EndWave     Action = "EndWave"
	// LoseEntries reports entries that did not fit into the buffer.
	LoseEntries Action = "LoseEntries"
)

// Result is how a change ended.
type Result string

// The results of a change.
const (
	Accepted Result = "Accepted"
	Refused  Result = "Refused"
	// Unknown says that it could not be settled whether the change took effect.
	Unknown Result = "Unknown"
)

// Entry is one change, or an attempt at one.
type Entry struct {
	// ID makes an entry that is written again after a lost answer recognisable; Record fills it in.
	ID   uuid.UUID
	Time time.Time
	// Who is the operator's name, or the entry host's name for what the system does on its own.
	Who    string
	Host   fleet.EntryName
	Action Action
	// Subject names what was changed, such as Lists, Keys/ID, Hosts/NAME or Waves/NAME.
	Subject string
	// Base is the revision that the change was based on, and Revision the one that it led to; zero if none.
	Base     uint64   `json:",omitempty"`
	Revision uint64   `json:",omitempty"`
	Changes  []string `json:",omitempty"`
	Result   Result
	Reason   string `json:",omitempty"`
}

// bounded returns the entry with long texts and long lists of changes cut, which the cut end says.
func (e Entry) bounded() Entry {
	e.Who, e.Subject, e.Reason = cut(e.Who), cut(e.Subject), cut(e.Reason)
	changes := e.Changes
	e.Changes = nil
	for i, c := range changes {
		if i == maxChanges {
			e.Changes = append(e.Changes, fmt.Sprintf("and %d more", len(changes)-i))
			break
		}
		e.Changes = append(e.Changes, cut(c))
	}

	return e
}

func cut(text string) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) <= maxTextLength {
		return text
	}

	return strings.ToValidUTF8(text[:maxTextLength], "") + "..."
}

// size returns how much of a segment the entry takes, in bytes.
func (e Entry) size() int {
	b, err := json.Marshal(e)
	if err != nil {
		return 0
	}

	return len(b) + 1
}

// Filter selects entries; a zero field selects all.
type Filter struct {
	Who string
	// Subject selects by prefix, so that Keys/ selects every key.
	Subject string
	Action  Action
	Since   time.Time
	// Limit bounds the number of entries, of which the newest are returned.
	Limit int
}

func (f Filter) matches(e Entry) bool {
	return (f.Who == "" || f.Who == e.Who) &&
		(f.Action == "" || f.Action == e.Action) &&
		strings.HasPrefix(e.Subject, f.Subject) &&
		!e.Time.Before(f.Since)
}
