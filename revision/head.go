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
	// maxHistory is the number of accepted edits that the history keeps.
	maxHistory = 64
)

// headRecord is the store record that names the revision in force. Every write replaces the previous record by compare-and-swap.
type headRecord struct {
	// Generation grows by one with each write of the record.
	Generation uint64
	// Number grows by one with each accepted edit.
	Number uint64
	// Token identifies the write, so that a writer that lost the answer can find out whether its write took effect.
	Token uuid.UUID
	// Seats are the seats whose holders may write the next generation.
	Seats []member.Seat
	// Parts are the hashes of the parts of the revision in force.
	Parts []hash
	// History lists the accepted edits, newest first.
	History []historyRecord
}

// historyRecord is the stored form of an Entry.
type historyRecord struct {
	Number uint64
	Token  uuid.UUID
	By     string `json:",omitempty"`
	At     time.Time
	// Manifest is the hash of the record that lists the parts of the revision.
	Manifest hash
}

// manifest lists the parts of one revision in the history.
type manifest struct {
	Parts []hash
}

// Entry is one accepted edit of the history.
type Entry struct {
	Number uint64
	// By is the name of the operator who made the edit; empty if unknown.
	By string
	At time.Time
}

func parseHead(data []byte) (headRecord, error) {
	var h headRecord
	if err := json.Unmarshal(data, &h); err != nil {
		return headRecord{}, merry.Prependf(ErrCorrupt, "head: %v", err)
	}

	return h, nil
}

// membership returns the fields of the head that decide who may write the next one.
func (h headRecord) membership() member.Head {
	return member.Head{Generation: h.Generation, Seats: h.Seats}
}

// hasWrite reports whether the write with the token took effect: it wrote this head, or an edit still in the history.
func (h headRecord) hasWrite(token uuid.UUID) bool {
	return h.Token == token || slices.ContainsFunc(h.History, func(r historyRecord) bool { return r.Token == token })
}

// successor returns a copy of the head with the next generation and a new token.
func (h headRecord) successor() headRecord {
	h.Generation++
	h.Token = uuid.New()
	h.Seats, h.Parts, h.History = slices.Clone(h.Seats), slices.Clone(h.Parts), slices.Clone(h.History)

	return h
}

// withEdit returns the head with the parts of an edit and its entry in the history.
func (h headRecord) withEdit(parts []hash, m hash, author string, at time.Time) headRecord {
	h.Number++
	h.Parts = parts
	h.History = slices.Insert(h.History, 0, historyRecord{Number: h.Number, Token: h.Token, By: author, At: at, Manifest: m})
	h.History = h.History[:min(len(h.History), maxHistory)]

	return h
}

// manifestHash returns the hash of the manifest of a revision in the history.
func (h headRecord) manifestHash(number uint64) (hash, bool) {
	for _, r := range h.History {
		if r.Number == number {
			return r.Manifest, true
		}
	}

	return "", false
}
