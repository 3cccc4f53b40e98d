package claim

import (
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// Segment identifies an immutable part of a shard, which was split off its head.
type Segment struct {
	_ struct{} `cbor:",toarray"`
	// Revision is the revision of the head that the entries were taken from; it is part of the segment's key.
	Revision uint64
	// Oldest and Newest bound the timestamps of the IDs in the segment, in Unix milliseconds.
	Oldest, Newest int64
}

// covers reports whether the segment can contain an ID with the given timestamp.
func (s Segment) covers(ms int64) bool {
	return s.Oldest <= ms && ms <= s.Newest
}

// Head is the record of a shard that every claim updates; values are immutable.
//
// All changes to a shard are compare-and-swap writes of its head, so every writer
// has seen the newest entries and the keys of all segments.
type Head struct {
	// Floor is the newest timestamp of an ID whose entry may have been deleted, in Unix milliseconds.
	Floor int64
	// Sealed lists the segments, oldest first.
	Sealed []Segment
	// Entries are the entries since the last segment, oldest first.
	Entries []Entry
}

// With returns a copy of the head with an entry appended.
func (h Head) With(e Entry) Head {
	h.Entries = append(slices.Clip(h.Entries), e)
	return h
}

// WithSealed returns a copy of the head whose entries are replaced by the segment of the given revision.
func (h Head) WithSealed(revision uint64) Head {
	s := Segment{Revision: revision, Oldest: creationMillis(h.Entries[0].ID), Newest: creationMillis(h.Entries[0].ID)}
	for _, e := range h.Entries {
		s.Oldest = min(s.Oldest, creationMillis(e.ID))
		s.Newest = max(s.Newest, creationMillis(e.ID))
	}
	h.Sealed = append(slices.Clip(h.Sealed), s)
	h.Entries = nil

	return h
}

// WithoutExpired returns a copy of the head without the segments whose IDs are all older than before,
// and the removed segments.
func (h Head) WithoutExpired(before int64) (Head, []Segment) {
	var kept, removed []Segment
	for _, s := range h.Sealed {
		if s.Newest >= before {
			kept = append(kept, s)
			continue
		}
		removed = append(removed, s)
		h.Floor = max(h.Floor, s.Newest)
	}
	h.Sealed = kept

	return h, removed
}

// covering returns the segments that may contain an ID, newest first.
func (h Head) covering(id uuid.UUID) []Segment {
	var out []Segment
	for _, s := range slices.Backward(h.Sealed) {
		if s.covers(creationMillis(id)) {
			out = append(out, s)
		}
	}

	return out
}

// size estimates the encoded size of the entries, in bytes.
func (h Head) size() int {
	n := 0
	for _, e := range h.Entries {
		n += e.size()
	}

	return n
}

// lastEntry returns the last entry of an ID.
func lastEntry(entries []Entry, id uuid.UUID) (Entry, bool) {
	for _, e := range slices.Backward(entries) {
		if e.ID == id {
			return e, true
		}
	}

	return Entry{}, false
}

// decision is a shard's decision on a claim attempt.
type decision uint8

const (
	// granted means that the attempt's claim may be added.
	granted decision = iota + 1
	// alreadyGranted means that the attempt's claim is present: an earlier write of it took effect.
	alreadyGranted
	// repeated means that another attempt claimed the ID.
	repeated
	// mismatched means that the ID was claimed for another team or body.
	mismatched
	// expired means that an earlier claim of the ID may have been deleted.
	expired
)

// decide returns the decision on a claim attempt; earlier is the last entry of its ID, if found.
func (h Head) decide(attempt, earlier Entry, found bool) decision {
	switch {
	case found && earlier.Token == attempt.Token && earlier.State == Claimed:
		return alreadyGranted
	case found && earlier.Sum != attempt.Sum:
		return mismatched
	case found && earlier.State != Withdrawn:
		return repeated
	case creationMillis(attempt.ID) <= h.Floor:
		return expired
	}

	return granted
}

// acceptsOutcome reports whether an outcome may be added: only if the last entry of the ID is its claim.
//
// An outcome that is written twice because the store's answer was lost must not
// release an ID that was claimed again in the meantime.
func (h Head) acceptsOutcome(outcome, earlier Entry) bool {
	return earlier.Token == outcome.Token && earlier.State == Claimed
}

// Encode returns the head as it is stored.
func (h Head) Encode() ([]byte, error) {
	value, err := cbor.Marshal(h)

	return value, merry.Prepend(err, "encode head")
}

// DecodeHead decodes a stored head; an empty value is an empty head.
func DecodeHead(value []byte) (Head, error) {
	if len(value) == 0 {
		return Head{}, nil
	}

	var h Head
	if err := cbor.Unmarshal(value, &h); err != nil {
		return Head{}, merry.Prepend(err, "decode head")
	}

	return h, nil
}

// encodeEntries returns the entries of a segment as they are stored.
func encodeEntries(entries []Entry) ([]byte, error) {
	value, err := cbor.Marshal(entries)

	return value, merry.Prepend(err, "encode segment")
}

// decodeEntries decodes the entries of a stored segment.
func decodeEntries(value []byte) ([]Entry, error) {
	var entries []Entry
	err := cbor.Unmarshal(value, &entries)

	return entries, merry.Prepend(err, "decode segment")
}
