package audit

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"lycheehook.example/lycheehook/fleet"
)

// Limits of one entry, which keep the largest entry below the minimum segment size.
const (
	maxChanges    = 100
	maxTextLength = 256
)

// Action is the kind of a change.
type Action string

// The actions.
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
	// LoseEntries reports entries that were dropped because the buffer was full.
	LoseEntries Action = "LoseEntries"
)

// Result is the result of a change.
type Result string

// The results of a change.
const (
	Accepted Result = "Accepted"
	Refused  Result = "Refused"
	// Unknown means that the change may or may not have taken effect.
	Unknown Result = "Unknown"
)

// Entry is one change, or an attempt at one.
type Entry struct {
	// ID is set by Record. It identifies the copies of an entry whose write was retried.
	ID   uuid.UUID
	Time time.Time
	// Who is the operator's name, or the entry host's name for automatic changes.
	Who    string
	Host   fleet.EntryName
	Action Action
	// Subject names what was changed, such as Lists, Keys/ID, Hosts/NAME or Waves/NAME.
	Subject string
	// Base is the revision that the change was based on, and Revision the resulting one; zero if none.
	Base     uint64   `json:",omitempty"`
	Revision uint64   `json:",omitempty"`
	Changes  []string `json:",omitempty"`
	Result   Result
	Reason   string `json:",omitempty"`
}

// truncated returns the entry with long texts and long lists of changes truncated and marked as such.
func (e Entry) truncated() Entry {
	e.Who, e.Subject, e.Reason = truncate(e.Who), truncate(e.Subject), truncate(e.Reason)
	changes := e.Changes
	e.Changes = nil
	for i, c := range changes {
		if i == maxChanges {
			e.Changes = append(e.Changes, fmt.Sprintf("and %d more", len(changes)-i))
			break
		}
		e.Changes = append(e.Changes, truncate(c))
	}

	return e
}

func truncate(text string) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) <= maxTextLength {
		return text
	}

	return strings.ToValidUTF8(text[:maxTextLength], "") + "..."
}

// size returns the encoded size of the entry in a segment, in bytes.
func (e Entry) size() int {
	b, err := json.Marshal(e)
	if err != nil {
		return 0
	}

	return len(b) + 1
}

// Filter selects entries; a zero field matches all.
type Filter struct {
	Who string
	// Subject is a prefix; Keys/ selects the entries of all keys.
	Subject string
	Action  Action
	Since   time.Time
	// Limit is the maximum number of entries; the newest are returned.
	Limit int
}

func (f Filter) matches(e Entry) bool {
	return (f.Who == "" || f.Who == e.Who) &&
		(f.Action == "" || f.Action == e.Action) &&
		strings.HasPrefix(e.Subject, f.Subject) &&
		!e.Time.Before(f.Since)
}
