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

// The defaults of a trail; 128 segments of 256 KiB hold about 16 days of 3,200 changes a day with 640 bytes each.
const (
	DefaultSegmentSize = 256 << 10
	DefaultMaxSegments = 128
	DefaultInterval    = 500 * time.Millisecond
	DefaultBufferSize  = 10_000
)

const (
	// minSegmentSize holds an entry of the largest size even if each of its characters is escaped.
	minSegmentSize = 192 << 10
	minSegments    = 2
	writeTimeout   = 5 * time.Second
	retryWait      = time.Second
)

// ErrNotWritten says that entries wait in the buffer because the store could not take them.
var ErrNotWritten = merry.Sentinel("audit: entries not yet written")

// Counts tells what became of the entries since the start.
type Counts struct {
	Recorded uint64
	Written  uint64
	// Lost entries did not fit into the buffer; the trail itself tells of them once it can be written.
	Lost uint64
	// Waiting entries are in the buffer.
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

	// writing serialises writes to the store.
	writing chan struct{}

	mu     sync.Mutex
	buffer []Entry
	counts Counts
	// untold is the number of lost entries that the trail does not tell of yet.
	untold uint64
	added  chan struct{}
}

// Option configures a Trail.
type Option func(*Trail)

// WithLogger sets where every entry is logged as well.
func WithLogger(l *log.Logger) Option {
	return func(t *Trail) { t.log = l }
}

// WithRetention sets the size of a segment in bytes and how many are kept.
func WithRetention(segmentSize int, maxSegments uint64) Option {
	return func(t *Trail) {
		t.segmentSize = min(max(segmentSize, minSegmentSize), store.MaxValueSize/2)
		t.maxSegments = max(maxSegments, minSegments)
	}
}

// WithInterval sets for how long entries are collected before they are written together.
func WithInterval(d time.Duration) Option {
	return func(t *Trail) { t.interval = d }
}

// WithBufferSize sets how many entries may wait while the store can't be written.
func WithBufferSize(n int) Option {
	return func(t *Trail) { t.bufferSize = n }
}

// New returns the trail of an entry host over the store.
func New(c *store.Client, host fleet.EntryName, opts ...Option) *Trail {
	t := &Trail{
		host: host, log: log.New(io.Discard), interval: DefaultInterval, bufferSize: DefaultBufferSize,
		segmentSize: DefaultSegmentSize, maxSegments: DefaultMaxSegments, added: make(chan struct{}, 1),
		writing: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(t)
	}
	t.segments = &segments{client: c, size: t.segmentSize, kept: t.maxSegments}

	return t
}

// Record adds an entry to the buffer and logs it; it never waits. An entry that does not fit is counted as lost.
func (t *Trail) Record(e Entry) {
	e = e.bounded()
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
		t.untold++
		t.log.Error("audit entry lost, buffer is full", "id", e.ID, "lost", t.counts.Lost)

		return
	}
	t.buffer = append(t.buffer, e)

	select {
	case t.added <- struct{}{}:
	default:
	}
}

// Counts returns what became of the entries since the start.
func (t *Trail) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()

	c := t.counts
	c.Waiting = len(t.buffer)

	return c
}

// Run writes entries in batches until ctx ends, then writes what is left.
func (t *Trail) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			t.finish(context.WithoutCancel(ctx))
			return
		case <-t.added:
		}

		pause.For(ctx, t.interval)
		for ctx.Err() == nil {
			err := t.flush(ctx)
			if err == nil {
				break
			}
			t.log.Warn("audit entries wait", "waiting", t.Counts().Waiting, "err", err)
			pause.For(ctx, retryWait)
		}
	}
}

// finish writes what is left at a stop, or logs how much could not be written.
func (t *Trail) finish(ctx context.Context) {
	if err := t.flush(ctx); err != nil {
		t.log.Error("audit entries lost at the stop", "waiting", t.Counts().Waiting, "err", err)
	}
}

// Flush returns when everything recorded before is in the store; an error of kind ErrNotWritten says that the entries still wait.
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
		t.wrote(len(batch))
	}
}

// batch returns the oldest entries of the buffer that fit into one segment.
func (t *Trail) batch() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.tellOfLost()
	size := 0
	for i, e := range t.buffer {
		if size += e.size(); size > t.segmentSize {
			return t.buffer[:i:i]
		}
	}

	return t.buffer[:len(t.buffer):len(t.buffer)]
}

// tellOfLost adds an entry about lost entries once there is room for it; t is locked.
func (t *Trail) tellOfLost() {
	if t.untold == 0 || len(t.buffer) >= t.bufferSize {
		return
	}

	t.buffer = append(t.buffer, lossEntry(t.host, t.untold))
	t.counts.Recorded++
	t.untold = 0
}

func (t *Trail) wrote(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.buffer = append([]Entry(nil), t.buffer[n:]...)
	t.counts.Written += uint64(n)
}
