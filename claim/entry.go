package claim

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"

	"lycheehook.example/lycheehook/fleet"
)

// State is what is known of a claimed request.
type State uint8

// The states of a claim.
const (
	// Claimed says that its owner may send the request or may have sent it.
	Claimed State = iota + 1
	// Done says that the endpoint answered.
	Done
	// Unknown says that a byte was sent and no whole answer came.
	Unknown
	// Withdrawn says that the owner sent nothing and never will, so the ID may be claimed again.
	Withdrawn
)

// Sum identifies a request's team and body.
type Sum [16]byte

// sumOf binds the digest of a body to the team that sent it.
func sumOf(team fleet.TeamName, digest [sha256.Size]byte) Sum {
	full := sha256.Sum256(append([]byte(team+"\x00"), digest[:]...))

	return Sum(full[:len(Sum{})])
}

// Token identifies one attempt of one process to claim.
type Token struct {
	Owner   fleet.Incarnation
	Attempt uint64
}

// Entry is one line of a shard: a claim, or what became of it; the last one of an ID counts.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	ID    uuid.UUID
	State State
	Sum   Sum
	Token Token
	// At is when the claim was made, by its owner's clock, in Unix milliseconds.
	At     int64
	Answer *Answer
}

// Answer is an endpoint's answer that is short enough to be kept.
type Answer struct {
	_           struct{} `cbor:",toarray"`
	Status      int
	ContentType string
	Body        []byte
}

// WithState returns the entry in another state.
func (e Entry) WithState(s State) Entry {
	e.State = s
	return e
}

// WithAnswer returns the entry with the answer to repeat.
func (e Entry) WithAnswer(a *Answer) Entry {
	e.Answer = a
	return e
}

// overheadSize is about what an entry takes besides its variable parts, in bytes.
const overheadSize = 64

// size estimates the entry's encoded form, in bytes.
func (e Entry) size() int {
	n := overheadSize + len(e.Token.Owner)
	if e.Answer != nil {
		n += len(e.Answer.Body) + len(e.Answer.ContentType) + 8
	}

	return n
}

// timeOf returns the time at which an ID of version 7 was made, in Unix milliseconds.
func timeOf(id uuid.UUID) int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}

	return ms
}

// asTime returns Unix milliseconds as a time.
func asTime(ms int64) time.Time {
	return time.UnixMilli(ms)
}
