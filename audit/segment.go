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
	// maxTailAge bounds how long the tail is taken for the newest segment without asking, so that a host that seldom
	// writes does not append to a segment that is about to be deleted.
	maxTailAge = 30 * time.Second
)

// headRecord bounds the segments that the store has. Last may lag behind by a segment whose writer did not get to say so.
type headRecord struct {
	First uint64
	Last  uint64
}

type segmentRecord struct {
	Entries []Entry
}

// segments appends to the newest segment and deletes the oldest ones.
type segments struct {
	client *store.Client
	size   int
	kept   uint64

	// tail is the newest segment as last seen, with its store revision; number zero means that it must be read first.
	tail struct {
		number   uint64
		revision uint64
		segment  segmentRecord
		size     int
		read     time.Time
	}
	// attempted is the oldest segment that may hold entries whose write had an unknown outcome; zero means none.
	attempted uint64
}

func segmentKey(number uint64) string {
	return fmt.Sprintf("%s%020d", segmentPrefix, number)
}

// append writes a batch that fits into one segment. After a lost answer or a conflict it reads the tail back and writes
// only what is missing, so that no entry is lost or doubled.
func (s *segments) append(ctx context.Context, batch []Entry) error {
	var last error
	for range maxAttempts {
		if s.tail.number == 0 || time.Since(s.tail.read) > maxTailAge {
			missing, err := s.load(ctx, batch)
			if err != nil {
				return err
			}
			batch = missing
		}
		if len(batch) == 0 {
			s.attempted = 0
			return nil
		}

		last = s.write(ctx, batch)
		switch {
		case last == nil:
			s.attempted = 0
			return nil
		case errors.Is(last, store.ErrConflict), errors.Is(last, store.ErrOutcomeUnknown):
			if s.attempted == 0 {
				s.attempted = s.tail.number
			}
			s.tail.number = 0
		default:
			return last
		}
		if ctx.Err() != nil {
			return last
		}
	}

	return merry.Prependf(last, "gave up after %d attempts", maxAttempts)
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

// rotate starts the next segment with the batch and deletes what is kept no longer.
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

// advance records that a segment is the newest. A writer that slept for so long that the trail has moved past its segment
// takes the segment back and reports a conflict.
func (s *segments) advance(ctx context.Context, number, revision uint64) error {
	head, base, err := s.head(ctx)
	if err != nil {
		return unsettled(err)
	}
	if number < head.First {
		if err := s.remove(ctx, number, revision); err != nil {
			return unsettled(err)
		}

		return merry.Prependf(store.ErrConflict, "segment %d is older than the oldest kept, %d", number, head.First)
	}
	if number <= head.Last {
		return nil
	}

	next := headRecord{First: max(head.First, 1), Last: number}
	for ; number-next.First >= s.kept; next.First++ {
		// A deletion that fails is tried again at the next rotation, because the head still names the segment.
		if err := s.remove(ctx, next.First, 0); err != nil {
			break
		}
	}
	value, err := json.Marshal(next)
	if err != nil {
		return merry.Prepend(err, "encode head")
	}
	// The head may lag: readers and writers look for later segments. So a failure here loses nothing.
	_, _ = s.client.CompareAndSwap(ctx, store.Write{Key: headKey, Value: value, Base: base})

	return nil
}

// unsettled makes the caller read back, because the segment was written before err.
func unsettled(err error) error {
	return merry.Prependf(store.ErrOutcomeUnknown, "%v", err)
}

// remove deletes a segment; a revision of zero stands for whatever is there.
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

// load reads the newest segment and returns the entries of batch that are in no segment since the first attempt to write them.
func (s *segments) load(ctx context.Context, batch []Entry) ([]Entry, error) {
	asked := time.Now()
	head, _, err := s.head(ctx)
	if err != nil {
		return nil, err
	}

	number := max(head.Last, 1)
	if s.attempted > 0 {
		number = max(min(s.attempted, number), head.First)
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

	s.tail.number, s.tail.revision, s.tail.segment, s.tail.size, s.tail.read = number, revision, segment, 0, asked
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
