package claim

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"

	"lycheehook.example/lycheehook/fleet"
)

// State is the state of a claimed request.
type State uint8

const (
	// Claimed means that the owner may send the request or may have sent it.
	Claimed State = iota + 1
	// Done means that the endpoint answered.
	Done
	// Unknown means that at least one byte was sent and no complete answer was received.
	Unknown
	// Withdrawn means that the owner sent nothing and never will, so the ID may be claimed again.
	Withdrawn
)

// Sum is a truncated hash of a request's team and body.
type Sum [16]byte

// requestSum hashes the team together with the digest of the body.
func requestSum(team fleet.TeamName, digest [sha256.Size]byte) Sum {
	hash := sha256.Sum256(append([]byte(team+"\x00"), digest[:]...))

	return Sum(hash[:len(Sum{})])
}

// Token identifies one claim attempt of one process.
type Token struct {
	_       struct{} `cbor:",toarray"`
	Owner   fleet.Incarnation
	Attempt uint64
}

// Entry is a claim or its outcome; the last entry of an ID in a shard is the one in effect.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	ID    uuid.UUID
	State State
	Sum   Sum
	Token Token
	// At is when the claim was made according to its owner's clock, in Unix milliseconds.
	At int64
	// Answer is returned to repeats; nil if there is none or it was too long to store.
	Answer *Answer
}

// Answer is an endpoint's answer that is short enough to be stored.
type Answer struct {
	_           struct{} `cbor:",toarray"`
	Status      int
	ContentType string
	Body        []byte
}

// WithState returns a copy of the entry with the given state.
func (e Entry) WithState(s State) Entry {
	e.State = s
	return e
}

// WithAnswer returns a copy of the entry with the answer to return to repeats.
func (e Entry) WithAnswer(a *Answer) Entry {
	e.Answer = a
	return e
}

// entryOverhead is the approximate encoded size of an entry without its variable-length fields, in bytes.
const entryOverhead = 64

// size estimates the encoded size of the entry, in bytes.
func (e Entry) size() int {
	n := entryOverhead + len(e.Token.Owner)
	if e.Answer != nil {
		n += len(e.Answer.Body) + len(e.Answer.ContentType) + 8
	}

	return n
}

// creationMillis returns the timestamp of a version 7 UUID, in Unix milliseconds.
func creationMillis(id uuid.UUID) int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}

	return ms
}

// fromMillis converts Unix milliseconds to a time.
func fromMillis(ms int64) time.Time {
	return time.UnixMilli(ms)
}
