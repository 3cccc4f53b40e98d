package claim

import (
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// Segment names a sealed part of a shard, which never changes any more.
type Segment struct {
	// Revision is that of the head whose entries were sealed; it is part of the segment's key.
	Revision uint64
	// Oldest and Newest bound the times of the IDs in it, in Unix milliseconds.
	Oldest, Newest int64
}

// covers reports whether the segment can have an entry of an ID made at the given time.
func (s Segment) covers(ms int64) bool {
	return s.Oldest <= ms && ms <= s.Newest
}

// Head is the record of a shard that every claim goes through; values are immutable.
//
// Its compare-and-swap fences all that happens in the shard: whoever changes it
// knows the newest entries, and names of all sealed ones.
type Head struct {
	// Floor is the newest time of an ID whose entry may have been dropped, in Unix milliseconds.
	Floor int64
	// Sealed are the segments, oldest first.
	Sealed []Segment
	// Entries are those since the last sealing, oldest first.
	Entries []Entry
}

// With returns the head with an entry appended.
func (h Head) With(e Entry) Head {
	h.Entries = append(slices.Clip(h.Entries), e)
	return h
}

// WithSealed returns the head after its entries were kept as the segment of the given revision.
func (h Head) WithSealed(revision uint64) Head {
	s := Segment{Revision: revision, Oldest: timeOf(h.Entries[0].ID), Newest: timeOf(h.Entries[0].ID)}
	for _, e := range h.Entries {
		s.Oldest = min(s.Oldest, timeOf(e.ID))
		s.Newest = max(s.Newest, timeOf(e.ID))
	}
	h.Sealed = append(slices.Clip(h.Sealed), s)
	h.Entries = nil

	return h
}

// WithoutExpired returns the head without segments whose IDs are all older than before, and those segments.
func (h Head) WithoutExpired(before int64) (Head, []Segment) {
	var kept, gone []Segment
	for _, s := range h.Sealed {
		if s.Newest >= before {
			kept = append(kept, s)
			continue
		}
		gone = append(gone, s)
		h.Floor = max(h.Floor, s.Newest)
	}
	h.Sealed = kept

	return h, gone
}

// covering returns the segments that may have entries of an ID, newest first.
func (h Head) covering(id uuid.UUID) []Segment {
	var out []Segment
	for _, s := range slices.Backward(h.Sealed) {
		if s.covers(timeOf(id)) {
			out = append(out, s)
		}
	}

	return out
}

// size estimates the encoded form of the entries, in bytes.
func (h Head) size() int {
	n := 0
	for _, e := range h.Entries {
		n += e.size()
	}

	return n
}

// last returns the last entry of an ID.
func last(entries []Entry, id uuid.UUID) (Entry, bool) {
	for _, e := range slices.Backward(entries) {
		if e.ID == id {
			return e, true
		}
	}

	return Entry{}, false
}

// verdict is what the shard says to an attempt to claim.
type verdict uint8

const (
	// granted says that the attempt's own claim may be added.
	granted verdict = iota + 1
	// owned says that the attempt's own claim is there already: an earlier write of it took effect.
	owned
	// repeated says that another attempt has the claim or had it.
	repeated
	// mismatched says that the ID was claimed for another team or body.
	mismatched
	// expired says that an earlier claim of the ID may have been forgotten.
	expired
)

// judge decides over an attempt to claim; earlier is the last entry of its ID, if found.
func (h Head) judge(attempt, earlier Entry, found bool) verdict {
	switch {
	case found && earlier.Token == attempt.Token && earlier.State == Claimed:
		return owned
	case found && earlier.Sum != attempt.Sum:
		return mismatched
	case found && earlier.State != Withdrawn:
		return repeated
	case timeOf(attempt.ID) <= h.Floor:
		return expired
	}

	return granted
}

// accepts reports whether what became of a claim may be added: only while the claim itself stands.
//
// An outcome that is written twice, after a lost answer, must not free an ID
// that was claimed anew in between.
func (h Head) accepts(outcome, earlier Entry) bool {
	return earlier.Token == outcome.Token && earlier.State == Claimed
}

// Encode returns the head as it is kept in the store.
func (h Head) Encode() ([]byte, error) {
	value, err := cbor.Marshal(h)

	return value, merry.Prepend(err, "encode claims")
}

// DecodeHead returns the head kept as value; no bytes are an empty head.
func DecodeHead(value []byte) (Head, error) {
	if len(value) == 0 {
		return Head{}, nil
	}

	var h Head
	if err := cbor.Unmarshal(value, &h); err != nil {
		return Head{}, merry.Prepend(err, "decode claims")
	}

	return h, nil
}

// encodeEntries returns a segment as it is kept in the store.
func encodeEntries(entries []Entry) ([]byte, error) {
	value, err := cbor.Marshal(entries)

	return value, merry.Prepend(err, "encode segment")
}

// decodeEntries returns the entries of a segment.
func decodeEntries(value []byte) ([]Entry, error) {
	var entries []Entry
	err := cbor.Unmarshal(value, &entries)

	return entries, merry.Prepend(err, "decode segment")
}
