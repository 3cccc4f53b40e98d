package revision

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"lycheehook.example/lycheehook/member"
)

const (
	headKey = "config/head"
	// keptRevisions is how many revisions the history goes back.
	keptRevisions = 64
)

// headRecord is the one record of the store that says what is in force; each write of it replaces the one before by compare-and-swap.
type headRecord struct {
	// Generation grows by one with each write of the record.
	Generation uint64
	// Number grows by one with each accepted edit.
	Number uint64
	// Token identifies the write, so that its writer finds out whether it took effect when the answer was lost.
	Token uuid.UUID
	// Seats are those who may write the next generation.
	Seats []member.Seat
	// Parts are the parts of the revision in force.
	Parts []hash
	// History are the accepted edits, the newest first.
	History []historyRecord
}

// historyRecord is one accepted edit.
type historyRecord struct {
	Number uint64
	Token  uuid.UUID
	By     string `json:",omitempty"`
	At     time.Time
	// Manifest is the part that lists the parts of the revision.
	Manifest hash
}

// manifest lists the parts of one revision of the history.
type manifest struct {
	Parts []hash
}

// Entry is one accepted edit of the history.
type Entry struct {
	Number uint64
	// By names who made the edit; empty if unknown.
	By string
	At time.Time
}

func parseHead(data []byte) (headRecord, error) {
	var h headRecord
	if err := json.Unmarshal(data, &h); err != nil {
		return headRecord{}, merry.Prependf(ErrDamaged, "head: %v", err)
	}

	return h, nil
}

// membership returns the part of the head that decides who may write the next one.
func (h headRecord) membership() member.Head {
	return member.Head{Generation: h.Generation, Seats: h.Seats}
}

// has reports whether the write or the edit with the token took effect, as far as the history goes back.
func (h headRecord) has(token uuid.UUID) bool {
	return h.Token == token || slices.ContainsFunc(h.History, func(r historyRecord) bool { return r.Token == token })
}

// successor returns the head for the next write.
func (h headRecord) successor() headRecord {
	h.Generation++
	h.Token = uuid.New()
	h.Seats, h.Parts, h.History = slices.Clone(h.Seats), slices.Clone(h.Parts), slices.Clone(h.History)

	return h
}

// withEdit returns the head with an accepted edit.
func (h headRecord) withEdit(parts []hash, m hash, by string, at time.Time) headRecord {
	h.Number++
	h.Parts = parts
	h.History = slices.Insert(h.History, 0, historyRecord{Number: h.Number, Token: h.Token, By: by, At: at, Manifest: m})
	h.History = h.History[:min(len(h.History), keptRevisions)]

	return h
}

// manifestOf returns the manifest of an earlier revision.
func (h headRecord) manifestOf(number uint64) (hash, bool) {
	for _, r := range h.History {
		if r.Number == number {
			return r.Manifest, true
		}
	}

	return "", false
}
