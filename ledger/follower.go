package ledger

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

const (
	// watchWait is how long the store may hold back an answer without changes.
	watchWait = time.Second
	// readInterval is the least time between two reads of the whole ledger after watches without changes, since a watch
	// may go silent while changes are made.
	readInterval = 1500 * time.Millisecond
	// watchPause between watches lets changes gather, since the store counts each call; who can't wait is told by peers.
	watchPause = 300 * time.Millisecond
	// ownerPause is that of the owner, which starts what a peer failed to tell it of.
	ownerPause = 100 * time.Millisecond
	// retryPause is the pause after a failed call to the store.
	retryPause = 200 * time.Millisecond
	// copyPause is the time between two looks whether the book is far enough for a copy.
	copyPause = 5 * time.Millisecond
)

// Follower keeps a book up to date with the store.
type Follower struct {
	client  *store.Client
	log     *log.Logger
	current atomic.Pointer[Book]
	mu      sync.Mutex
	onJob   func(j work.Job, revision uint64)
	changed chan struct{}
	// followed is the store revision up to which the book has every change.
	followed uint64
	// hurry ends the pause between two watches.
	hurry chan struct{}
	// patience is how long the jobs and the log may wait to be read after the start, or after the store has dropped its
	// history, while only the owner and the entry hosts are read.
	patience func() time.Duration
}

// FollowerOption changes a new follower.
type FollowerOption func(*Follower)

// WithPatience lets the jobs and the log wait for a time that f returns, so that a large site's hosts don't read all of
// them at once; a host that owns the workers does not wait.
func WithPatience(f func() time.Duration) FollowerOption {
	return func(w *Follower) { w.patience = f }
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(c *store.Client, l *log.Logger, options ...FollowerOption) *Follower {
	f := &Follower{
		client: c, log: l, changed: make(chan struct{}, 1), hurry: make(chan struct{}, 1), patience: func() time.Duration { return 0 },
	}
	for _, o := range options {
		o(f)
	}

	return f
}

// Book returns the newest book, or nil before the first was read.
func (f *Follower) Book() *Book {
	return f.current.Load()
}

// Changed delivers a value after changes were carried over; one that nobody takes is dropped.
func (f *Follower) Changed() <-chan struct{} {
	return f.changed
}

// OnJob makes f be told of each job that is added or changed from now on; nil ends that.
func (f *Follower) OnJob(tell func(j work.Job, revision uint64)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onJob = tell
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var after uint64
	var read time.Time
	wait := f.patience()
	for ctx.Err() == nil {
		if after == 0 {
			f.awaitTurn(ctx, wait)
			wait = 0
			at, err := f.read(ctx)
			if err != nil {
				f.log.Warn("read of the ledger failed", "error", err)
				pause.For(ctx, retryPause)

				continue
			}
			after, read = at, time.Now()
			f.setFollowed(after)
		}
		ev, err := f.client.Watch(ctx, Prefix, after, watchWait)
		switch {
		case errors.Is(err, store.ErrCompacted):
			f.log.Warn("the store dropped its history, reading the ledger anew", "after", after)
			after, wait = 0, f.patience()
		case err != nil:
			f.log.Warn("watch of the ledger failed", "error", err)
			pause.For(ctx, retryPause)
		case len(ev.Events) > 0:
			f.follow(ev.Events)
			after = ev.Revision
			f.setFollowed(after)
			f.rest(ctx)
		case time.Since(read) > readInterval:
			after = 0
		}
	}
}

// awaitTurn waits until it is time to read the jobs and the log, and keeps the owner and the entry hosts up to date
// meanwhile.
func (f *Follower) awaitTurn(ctx context.Context, wait time.Duration) {
	if wait > 0 {
		f.setFollowed(0)
	}
	for began := time.Now(); ctx.Err() == nil && !f.owning() && time.Since(began) < wait; {
		b, err := ReadHosts(ctx, f.client)
		if err != nil {
			f.log.Warn("read of the entry hosts failed", "error", err)
		} else {
			f.current.Store(b)
			f.signal()
		}
		f.rest(ctx)
	}
}

// owning reports whether this process owns the workers.
func (f *Follower) owning() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.onJob != nil
}

func (f *Follower) read(ctx context.Context) (uint64, error) {
	b, at, err := Read(ctx, f.client)
	if err != nil {
		return 0, err
	}
	for _, fault := range b.Faults() {
		f.log.Error("record of the ledger passed over", "error", fault)
	}
	f.current.Store(b)
	for _, e := range b.Entries() {
		f.tell(e.Job, e.Revision)
	}
	f.signal()

	return at, nil
}

// Copy returns a copy of the book once it has every change up to a store revision.
func (f *Follower) Copy(ctx context.Context, revision uint64) (*Book, error) {
	for f.upTo() < revision {
		select {
		case f.hurry <- struct{}{}:
		default:
		}
		if pause.For(ctx, copyPause); ctx.Err() != nil {
			return nil, merry.Prependf(store.ErrUnavailable, "ledger not followed to revision %d: %v", revision, ctx.Err())
		}
	}

	return f.Book().Clone()
}

func (f *Follower) upTo() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.followed
}

func (f *Follower) setFollowed(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followed = revision
}

// rest pauses between two watches, unless somebody waits for the next one.
func (f *Follower) rest(ctx context.Context) {
	t := time.NewTimer(f.pause())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-f.hurry:
	case <-t.C:
	}
}

// Learn takes in a record that is known to be stored, before the store's watch brings it.
func (f *Follower) Learn(r store.Record) {
	if f.Book() != nil {
		f.follow([]store.Event{{Record: r}})
	}
}

func (f *Follower) follow(events []store.Event) {
	b := f.Book()
	for _, ev := range events {
		if err := b.Follow(ev); err != nil {
			f.log.Error("record of the ledger passed over", "error", err)
			continue
		}
		if id, ok := strings.CutPrefix(ev.Record.Key, JobPrefix); ok && !ev.Deleted {
			if j, revision, known := b.Job(fleet.JobID(id)); known {
				f.tell(j, revision)
			}
		}
	}
	f.signal()
}

func (f *Follower) tell(j work.Job, revision uint64) {
	f.mu.Lock()
	tell := f.onJob
	f.mu.Unlock()
	if tell != nil {
		tell(j, revision)
	}
}

// pause returns how long to wait until the next watch.
func (f *Follower) pause() time.Duration {
	if f.owning() {
		return ownerPause
	}

	return watchPause
}

func (f *Follower) signal() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}
