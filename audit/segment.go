package audit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/store"
)

const (
	headKey       = "audit/head"
	segmentPrefix = "audit/segment/"
	maxAttempts   = 20
	// maxTailAge is how long the cached tail is used without reading it again, so that a host that rarely writes doesn't
	// append to a segment that is about to be deleted.
	maxTailAge = 30 * time.Second
)

// headRecord is the range of the segments in the store. Last lags behind if a writer fails before it updates the head.
type headRecord struct {
	First uint64
	Last  uint64
}

type segmentRecord struct {
	Entries []Entry
}

// segments appends to the newest segment and deletes the oldest.
type segments struct {
	client      *store.Client
	size        int
	maxSegments uint64

	// tail is the cached newest segment with its store revision; it must be read first if number is zero.
	tail struct {
		number   uint64
		revision uint64
		segment  segmentRecord
		size     int
		read     time.Time
	}
	// firstUncertain is the oldest segment that may contain entries whose write had an unknown outcome; zero means none.
	firstUncertain uint64
}

func segmentKey(number uint64) string {
	return fmt.Sprintf("%s%020d", segmentPrefix, number)
}

// append writes a batch that fits into one segment. After an unknown outcome or a conflict it reads the tail and writes
// only the missing entries, so that no entry is lost or duplicated.
func (s *segments) append(ctx context.Context, batch []Entry) error {
	var lastErr error
	for range maxAttempts {
		if s.tail.number == 0 || time.Since(s.tail.read) > maxTailAge {
			missing, err := s.load(ctx, batch)
			if err != nil {
				return err
			}
			batch = missing
		}
		if len(batch) == 0 {
			s.firstUncertain = 0
			return nil
		}

		lastErr = s.write(ctx, batch)
		switch {
		case lastErr == nil:
			s.firstUncertain = 0
			return nil
		case errors.Is(lastErr, store.ErrConflict), errors.Is(lastErr, store.ErrOutcomeUnknown):
			if s.firstUncertain == 0 {
				s.firstUncertain = s.tail.number
			}
			s.tail.number = 0
		default:
			return lastErr
		}
		if ctx.Err() != nil {
			return lastErr
		}
	}

	return merry.Prependf(lastErr, "gave up after %d attempts", maxAttempts)
}

func (s *segments) write(ctx context.Context, batch []Entry) error {
	size := 0
	for _, e := range batch {
		size += e.size()
	}
	if s.tail.size+size > s.size && len(s.tail.segment.Entries) > 0 {
		return s.rotate(ctx, batch, size)
	}

	next := segmentRecord{Entries: append(slices.Clip(s.tail.segment.Entries), batch...)}
	revision, err := s.put(ctx, s.tail.number, next, s.tail.revision)
	if err != nil {
		return err
	}
	s.tail.revision, s.tail.segment, s.tail.size = revision, next, s.tail.size+size

	return nil
}

// rotate starts the next segment with the batch and deletes the segments beyond maxSegments.
func (s *segments) rotate(ctx context.Context, batch []Entry, size int) error {
	number := s.tail.number + 1
	next := segmentRecord{Entries: batch}
	revision, err := s.put(ctx, number, next, 0)
	if err != nil {
		return err
	}
	if err := s.advance(ctx, number, revision); err != nil {
		return err
	}
	s.tail.number, s.tail.revision, s.tail.segment, s.tail.size = number, revision, next, size

	return nil
}

// advance records a segment as the newest. If the writer was suspended for so long that newer segments made this one obsolete,
// it deletes the segment and reports a conflict.
func (s *segments) advance(ctx context.Context, number, revision uint64) error {
	head, base, err := s.head(ctx)
	if err != nil {
		return outcomeUnknown(err)
	}
	if number < head.First {
		if err := s.remove(ctx, number, revision); err != nil {
			return outcomeUnknown(err)
		}

		return merry.Prependf(store.ErrConflict, "segment %d is older than the oldest kept, %d", number, head.First)
	}
	if number <= head.Last {
		return nil
	}

	next := headRecord{First: max(head.First, 1), Last: number}
	for ; number-next.First >= s.maxSegments; next.First++ {
		// A failed deletion is retried at the next rotation, because the head still includes the segment.
		if err := s.remove(ctx, next.First, 0); err != nil {
			break
		}
	}
	value, err := json.Marshal(next)
	if err != nil {
		return merry.Prepend(err, "encode head")
	}
	// A failure is harmless: readers and writers look for segments beyond the head's.
	_, _ = s.client.CompareAndSwap(ctx, store.Write{Key: headKey, Value: value, Base: base})

	return nil
}

// outcomeUnknown turns err into one after which the caller reads back, because the segment was written before err.
func outcomeUnknown(err error) error {
	return merry.Prependf(store.ErrOutcomeUnknown, "%v", err)
}

// remove deletes a segment; a revision of zero means its current one.
func (s *segments) remove(ctx context.Context, number, revision uint64) error {
	if revision == 0 {
		r, err := s.client.Get(ctx, segmentKey(number))
		if errors.Is(err, store.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		revision = r.Revision
	}
	_, err := s.client.CompareAndSwap(ctx, store.Write{Key: segmentKey(number), Base: revision, Delete: true})

	return err
}

func (s *segments) put(ctx context.Context, number uint64, segment segmentRecord, base uint64) (uint64, error) {
	value, err := json.Marshal(segment)
	if err != nil {
		return 0, merry.Prepend(err, "encode segment")
	}

	return s.client.CompareAndSwap(ctx, store.Write{Key: segmentKey(number), Value: value, Base: base})
}

// load reads the newest segment and returns the entries of batch that no segment contains since the first attempt to write them.
func (s *segments) load(ctx context.Context, batch []Entry) ([]Entry, error) {
	requested := time.Now()
	head, _, err := s.head(ctx)
	if err != nil {
		return nil, err
	}

	number := max(head.Last, 1)
	if s.firstUncertain > 0 {
		number = max(min(s.firstUncertain, number), head.First)
	}
	segment, revision, err := s.get(ctx, number)
	if err != nil {
		return nil, err
	}
	written := ids(segment)
	for {
		next, nextRevision, err := s.get(ctx, number+1)
		if err != nil {
			return nil, err
		}
		if nextRevision == 0 && number+1 > head.Last {
			break
		}
		number, segment, revision = number+1, next, nextRevision
		written = append(written, ids(segment)...)
	}

	s.tail.number, s.tail.revision, s.tail.segment, s.tail.size, s.tail.read = number, revision, segment, 0, requested
	for _, e := range segment.Entries {
		s.tail.size += e.size()
	}

	return slices.DeleteFunc(slices.Clone(batch), func(e Entry) bool { return slices.Contains(written, e.ID) }), nil
}

func ids(s segmentRecord) []uuid.UUID {
	list := make([]uuid.UUID, len(s.Entries))
	for i, e := range s.Entries {
		list[i] = e.ID
	}

	return list
}

// head returns the head with its store revision, both zero if there is none yet.
func (s *segments) head(ctx context.Context) (headRecord, uint64, error) {
	var h headRecord
	revision, err := s.read(ctx, headKey, &h)

	return h, revision, err
}

// get returns a segment with its store revision, both zero if there is none.
func (s *segments) get(ctx context.Context, number uint64) (segmentRecord, uint64, error) {
	var segment segmentRecord
	revision, err := s.read(ctx, segmentKey(number), &segment)

	return segment, revision, err
}

func (s *segments) read(ctx context.Context, key string, into any) (uint64, error) {
	r, err := s.client.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(r.Value, into); err != nil {
		return 0, merry.Prependf(err, "decode %s", key)
	}

	return r.Revision, nil
}

func lossEntry(host fleet.EntryName, lost uint64) Entry {
	return Entry{
		ID: uuid.Must(uuid.NewV7()), Time: time.Now().UTC(), Who: string(host), Host: host, Action: LoseEntries,
		Subject: "Audit", Result: Accepted, Reason: strconv.FormatUint(lost, 10) + " entries did not fit into the buffer",
	}
}
