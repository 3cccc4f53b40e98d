package backlog

import (
	"sync"
	"time"
)

const (
	// MaxAge is the age from which on a digest decides nothing.
	MaxAge = time.Second
	// RefreshAge is the age from which on a host asks for a newer one.
	RefreshAge = 250 * time.Millisecond
)

// Message is a digest as it is sent, with the time since it was made.
type Message struct {
	Digest Digest `cbor:"1,keyasint"`
	// AgeInMilliseconds is the age when the message was made.
	AgeInMilliseconds uint32 `cbor:"2,keyasint"`
}

// Holder keeps the newest digest that a host knows.
type Holder struct {
	// uptime returns the time since boot, including time in suspension.
	uptime func() time.Duration

	mu     sync.Mutex
	digest Digest
	// term is that of the owner that made the digest, zero without one, and madeAt the uptime of this host at which it was made or
	// earlier.
	term   uint64
	madeAt time.Duration
}

// NewHolder returns a holder without a digest; uptime returns the time since boot, including time in suspension.
func NewHolder(uptime func() time.Duration) *Holder {
	return &Holder{uptime: uptime}
}

// Set keeps a digest that this process has made in a term in which it owns the workers.
func (h *Holder) Set(term uint64, d Digest) {
	h.set(term, d, h.uptime())
}

// Learn keeps a digest that the owner has sent in response to a message that was sent at an uptime of this host. The age is
// counted from when the request was sent, so that the delay of the response never makes a digest look newer than it is.
func (h *Holder) Learn(term uint64, m Message, sentAt time.Duration) {
	h.set(term, m.Digest, sentAt-time.Duration(m.AgeInMilliseconds)*time.Millisecond)
}

func (h *Holder) set(term uint64, d Digest, madeAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term > h.term || term == h.term && madeAt >= h.madeAt {
		h.term, h.digest, h.madeAt = term, d, madeAt
	}
}

// Wanted reports whether the digest of a term is old enough to ask for a newer one.
func (h *Holder) Wanted(term uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.term != term || h.uptime()-h.madeAt >= RefreshAge
}

// Current returns the digest of a term, unless there is none or it is too old.
func (h *Holder) Current(term uint64) (Digest, bool) {
	m, ok := h.Message(term)

	return m.Digest, ok
}

// Message returns the digest of a term to send to another host, unless there is none or it is too old.
func (h *Holder) Message(term uint64) (Message, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	age := h.uptime() - h.madeAt
	if term == 0 || h.term != term || age >= MaxAge {
		return Message{}, false
	}

	return Message{Digest: h.digest, AgeInMilliseconds: uint32(max(0, age).Milliseconds()) + 1}, true
}
