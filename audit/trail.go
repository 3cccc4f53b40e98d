package audit

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/store"
)

// Defaults of a trail: 128 segments of 256 KiB hold about 16 days of 3,200 changes a day with 640 bytes each.
const (
	DefaultSegmentSize = 256 << 10
	DefaultMaxSegments = 128
	DefaultInterval    = 500 * time.Millisecond
	DefaultBufferSize  = 10_000
)

const (
	// minSegmentSize fits an entry of the largest size even if each of its characters is escaped.
	minSegmentSize = 192 << 10
	minSegments    = 2
	writeTimeout   = 5 * time.Second
	retryWait      = time.Second
)

// ErrNotWritten means that entries are still buffered because they could not be written to the store.
var ErrNotWritten = merry.Sentinel("audit: entries not yet written")

// Counts is the number of entries since the start, by what happened to them.
type Counts struct {
	Recorded uint64
	Written  uint64
	// Lost entries were dropped because the buffer was full; an entry in the trail reports them once it can be written.
	Lost uint64
	// Waiting entries are buffered.
	Waiting int
}

// Trail records entries and writes them to the store.
type Trail struct {
	host        fleet.EntryName
	log         *log.Logger
	segmentSize int
	maxSegments uint64
	interval    time.Duration
	bufferSize  int
	segments    *segments

	// writing is a semaphore that serialises writes to the store.
	writing chan struct{}

	mu     sync.Mutex
	buffer []Entry
	counts Counts
	// unreported is the number of lost entries that no entry in the trail reports yet.
	unreported uint64
	added      chan struct{}
}

// Option configures a Trail.
type Option func(*Trail)

// WithLogger sets the logger, to which every entry is logged as well.
func WithLogger(l *log.Logger) Option {
	return func(t *Trail) { t.log = l }
}

// WithRetention sets the size of a segment in bytes and how many are retained.
func WithRetention(segmentSize int, maxSegments uint64) Option {
	return func(t *Trail) {
		t.segmentSize = min(max(segmentSize, minSegmentSize), store.MaxValueSize/2)
		t.maxSegments = max(maxSegments, minSegments)
	}
}

// WithInterval sets how long entries are collected before they are written as a batch.
func WithInterval(d time.Duration) Option {
	return func(t *Trail) { t.interval = d }
}

// WithBufferSize sets how many entries are buffered while the store is unavailable.
func WithBufferSize(n int) Option {
	return func(t *Trail) { t.bufferSize = n }
}

// New returns a trail that writes the entries of an entry host to the store.
func New(c *store.Client, host fleet.EntryName, opts ...Option) *Trail {
	t := &Trail{
		host: host, log: log.New(io.Discard), interval: DefaultInterval, bufferSize: DefaultBufferSize,
		segmentSize: DefaultSegmentSize, maxSegments: DefaultMaxSegments, added: make(chan struct{}, 1),
		writing: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(t)
	}
	t.segments = &segments{client: c, size: t.segmentSize, maxSegments: t.maxSegments}

	return t
}

// Record buffers and logs an entry without blocking. If the buffer is full, the entry is dropped and counted as lost.
func (t *Trail) Record(e Entry) {
	e = e.truncated()
	e.ID = uuid.Must(uuid.NewV7())
	e.Host = t.host
	if e.Time.IsZero() {
		e.Time = time.Now()
	}
	e.Time = e.Time.UTC()
	t.log.Info("audit", "who", e.Who, "action", e.Action, "subject", e.Subject, "result", e.Result,
		"base", e.Base, "revision", e.Revision, "changes", len(e.Changes), "reason", e.Reason)

	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Recorded++
	if len(t.buffer) >= t.bufferSize {
		t.counts.Lost++
		t.unreported++
		t.log.Error("audit entry dropped, buffer is full", "id", e.ID, "lost", t.counts.Lost)

		return
	}
	t.buffer = append(t.buffer, e)

	select {
	case t.added <- struct{}{}:
	default:
	}
}

// Counts returns the counts of entries since the start.
func (t *Trail) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()

	c := t.counts
	c.Waiting = len(t.buffer)

	return c
}

// Run writes entries in batches until ctx is done, then flushes the buffer.
func (t *Trail) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			t.flushOnStop(context.WithoutCancel(ctx))
			return
		case <-t.added:
		}

		pause.For(ctx, t.interval)
		for ctx.Err() == nil {
			err := t.flush(ctx)
			if err == nil {
				break
			}
			t.log.Warn("failed to write audit entries, retrying", "waiting", t.Counts().Waiting, "err", err)
			pause.For(ctx, retryWait)
		}
	}
}

// flushOnStop flushes the buffer at shutdown and logs how many entries are lost if that fails.
func (t *Trail) flushOnStop(ctx context.Context) {
	if err := t.flush(ctx); err != nil {
		t.log.Error("audit entries lost at shutdown", "waiting", t.Counts().Waiting, "err", err)
	}
}

// Flush returns when all entries recorded before the call are in the store, or ErrNotWritten if some are still buffered.
func (t *Trail) Flush(ctx context.Context) error {
	return t.flush(ctx)
}

func (t *Trail) flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
		return merry.Prepend(ErrNotWritten, "another write is in progress")
	case t.writing <- struct{}{}:
		defer func() { <-t.writing }()
	}

	for {
		batch := t.batch()
		if len(batch) == 0 {
			return nil
		}
		if err := t.segments.append(ctx, batch); err != nil {
			return merry.Prependf(ErrNotWritten, "%v", err)
		}
		t.removeWritten(len(batch))
	}
}

// batch returns the oldest buffered entries that fit into one segment.
func (t *Trail) batch() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.reportLost()
	size := 0
	for i, e := range t.buffer {
		if size += e.size(); size > t.segmentSize {
			return t.buffer[:i:i]
		}
	}

	return t.buffer[:len(t.buffer):len(t.buffer)]
}

// reportLost buffers an entry that reports lost entries, once there is room for it. t.mu must be held.
func (t *Trail) reportLost() {
	if t.unreported == 0 || len(t.buffer) >= t.bufferSize {
		return
	}

	t.buffer = append(t.buffer, lossEntry(t.host, t.unreported))
	t.counts.Recorded++
	t.unreported = 0
}

func (t *Trail) removeWritten(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.buffer = append([]Entry(nil), t.buffer[n:]...)
	t.counts.Written += uint64(n)
}
