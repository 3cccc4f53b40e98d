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
	// watchWait is the long-poll time of a watch without changes.
	watchWait = time.Second
	// readInterval is the minimum time between full reads of the ledger after watches without changes, since a watch may
	// miss changes without an error.
	readInterval = 1500 * time.Millisecond
	// watchPause lets changes accumulate between watches, since store calls are metered; urgent changes come from peers.
	watchPause = 300 * time.Millisecond
	// ownerPause replaces watchPause at the owner, which learns of jobs this way if the notice of a peer was lost.
	ownerPause = 100 * time.Millisecond
	// startPause replaces watchPause for startTime from when a host begins to read the owner and the entry hosts: at the start of a
	// process, and after a fault that concerned all hosts, those change within fractions of a second.
	startPause = 100 * time.Millisecond
	startTime  = 500 * time.Millisecond
	// refreshInterval is the time between two reads of the owner and the entry hosts during a full read of the ledger.
	refreshInterval = 300 * time.Millisecond
	// damagedInterval is the time between two full reads while the log is damaged.
	damagedInterval = 5 * time.Second
	// retryPause is the pause after a failed store call.
	retryPause = 200 * time.Millisecond
	// copyPause is the interval at which Copy checks whether the replica is up to date.
	copyPause = 5 * time.Millisecond
)

// Follower keeps a replica up to date with the store.
type Follower struct {
	client  *store.Client
	log     *log.Logger
	current atomic.Pointer[Replica]
	mu      sync.Mutex
	onJob   func(j work.Job, revision uint64)
	changed chan struct{}
	// followed is the store revision up to which all changes are applied.
	followed uint64
	// wake ends the pause between two watches early.
	wake chan struct{}
	// readDelay returns the delay of the first full read, and of the read after the store compacted its history; meanwhile
	// only the owner and the entry hosts are read.
	readDelay func() time.Duration
	// readEarly reports whether this host is to read the whole ledger before that, given the entry hosts; nil if it never is.
	readEarly func(hosts []Host) bool
	// gapSince is when the replica was first seen to lack changes of the log, or when that was last read again.
	gapSince time.Time
	// damaged is the number of the batch that kept the last full read from succeeding, if readDamaged is set.
	damaged     uint64
	readDamaged bool
}

// FollowerOption configures a Follower.
type FollowerOption func(*Follower)

// WithPatience delays full reads of the ledger by the time that f returns, so that the hosts of a large site don't all read
// it at once. The owner of the workers does not wait.
func WithPatience(f func() time.Duration) FollowerOption {
	return func(w *Follower) { w.readDelay = f }
}

// WithEarlyRead ends the delay of WithPatience once f returns true for the entry hosts, as at a host that is likely to own the workers.
func WithEarlyRead(f func(hosts []Host) bool) FollowerOption {
	return func(w *Follower) { w.readEarly = f }
}

// NewFollower returns a follower; Run starts it.
func NewFollower(c *store.Client, l *log.Logger, options ...FollowerOption) *Follower {
	f := &Follower{
		client: c, log: l, changed: make(chan struct{}, 1), wake: make(chan struct{}, 1), readDelay: func() time.Duration { return 0 },
	}
	for _, o := range options {
		o(f)
	}

	return f
}

// Replica returns the current replica, or nil before the first read.
func (f *Follower) Replica() *Replica {
	return f.current.Load()
}

// Changed returns a channel that receives a value after changes were applied. Values are dropped if nobody receives.
func (f *Follower) Changed() <-chan struct{} {
	return f.changed
}

// OnJob registers a function that is called for each job that is added or changed from now on; nil unregisters it.
func (f *Follower) OnJob(onJob func(j work.Job, revision uint64)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onJob = onJob
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var after uint64
	var read time.Time
	wait := f.readDelay()
	for ctx.Err() == nil {
		if after == 0 {
			f.followHosts(ctx, wait)
			wait = 0
			at, err := f.read(ctx)
			if err != nil {
				f.readFailed(ctx, err)
				continue
			}
			after, read = at, time.Now()
			f.setFollowed(after)
		}
		if at, ok := f.closeGap(ctx); ok {
			after, read = at, time.Now()
			f.setFollowed(after)
		}
		ev, err := f.client.Watch(ctx, Prefix, after, watchWait)
		switch {
		case errors.Is(err, store.ErrCompacted):
			f.log.Warn("store history compacted; rereading the ledger", "after", after)
			after, wait = 0, f.readDelay()
		case err != nil:
			f.log.Warn("can't watch the ledger; retrying", "error", err)
			pause.For(ctx, retryPause)
		case len(ev.Events) > 0:
			f.applyEvents(ev.Events)
			after = ev.Revision
			f.setFollowed(after)
			f.waitBetweenWatches(ctx)
		case time.Since(read) > readInterval && f.gapSince.IsZero():
			after = 0
		}
	}
}

// readFailed handles a failed full read. A damaged log is read less often, since only its owner can mend it.
func (f *Follower) readFailed(ctx context.Context, err error) {
	f.refreshHosts(ctx, f.Replica())
	if !errors.Is(err, ErrDamaged) {
		f.log.Warn("can't read the ledger; retrying", "error", err)
		pause.For(ctx, retryPause)

		return
	}
	f.log.Error("the log is damaged; this host knows no jobs until the owner of the workers has compacted it", "error", err)
	for due := time.Now().Add(damagedInterval); ctx.Err() == nil && time.Now().Before(due); {
		pause.For(ctx, refreshInterval)
		f.refreshHosts(ctx, f.Replica())
	}
}

// closeGap reads the whole ledger again if the replica lacks changes of the log for some time. Watches don't bring those back: a
// batch can't be decoded, or was removed before this host had read it.
func (f *Follower) closeGap(ctx context.Context) (at uint64, ok bool) {
	gap := f.Replica().Gap()
	switch {
	case gap == nil:
		f.gapSince = time.Time{}
		return 0, false
	case f.gapSince.IsZero():
		f.gapSince = time.Now()
		return 0, false
	case time.Since(f.gapSince) < gapPause(gap):
		return 0, false
	}
	f.gapSince = time.Now()
	at, err := f.read(ctx)
	if err != nil {
		f.log.Error("the log can't be followed; this host knows the jobs as they were before", "error", err, "gap", gap)
	}

	return at, err == nil
}

// gapPause returns the time between two full reads while the log can't be followed for the given reason.
func gapPause(gap error) time.Duration {
	if errors.Is(gap, ErrDamaged) {
		return damagedInterval
	}

	return readInterval
}

// followHosts keeps the owner and the entry hosts up to date until the full read of the ledger is due. It reads them at least
// once before the first full read, which takes long if the ledger is large.
func (f *Follower) followHosts(ctx context.Context, wait time.Duration) {
	if wait > 0 {
		f.setFollowed(0)
	}
	began := time.Now()
	due := began.Add(wait)
	for ctx.Err() == nil && !f.ownsWorkers() && (f.Replica() == nil || time.Now().Before(due)) {
		b, err := ReadHosts(ctx, f.client)
		if err != nil {
			f.log.Warn("can't read the entry hosts; retrying", "error", err)
			f.waitBetweenWatches(ctx)

			continue
		}
		f.current.Store(b)
		f.signal()
		if f.readEarly != nil && f.readEarly(b.Hosts()) {
			return
		}
		if time.Now().Before(due) {
			f.waitFor(ctx, f.hostsPause(time.Since(began)))
		}
	}
}

// ownsWorkers reports whether this process owns the workers.
func (f *Follower) ownsWorkers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.onJob != nil
}

// refreshHosts reads the owner and the entry hosts into a replica that is kept otherwise, and reports whether it could.
func (f *Follower) refreshHosts(ctx context.Context, b *Replica) bool {
	if b == nil {
		return false
	}
	h, err := ReadHosts(ctx, f.client)
	if err != nil {
		if ctx.Err() == nil {
			f.log.Warn("can't read the entry hosts", "error", err)
		}

		return false
	}
	b.adoptHosts(h)
	f.signal()

	return true
}

// refreshDuring keeps the owner and the entry hosts of the current replica up to date until the returned function is called,
// since a full read of a long ledger takes longer than it takes to elect an owner. That function returns the replica if it was
// refreshed at least once, and nil otherwise.
func (f *Follower) refreshDuring(ctx context.Context) func() *Replica {
	ctx, cancel := context.WithCancel(ctx)
	b := f.Replica()
	var refreshed atomic.Bool
	go func() {
		for pause.For(ctx, refreshInterval) {
			if f.refreshHosts(ctx, b) {
				refreshed.Store(true)
			}
		}
	}()

	return func() *Replica {
		cancel()
		if !refreshed.Load() {
			return nil
		}

		return b
	}
}

func (f *Follower) read(ctx context.Context) (uint64, error) {
	stop := f.refreshDuring(ctx)
	b, at, err := readAll(ctx, f.client, f.Replica())
	refreshed := stop()
	f.noteDamage(b, err)
	if err != nil {
		return 0, err
	}
	if refreshed != nil {
		// The list may be older. If it is newer in part, the watch brings that again.
		b.adoptHosts(refreshed)
	}
	for _, fault := range b.ReadErrors() {
		f.log.Error("malformed ledger record skipped", "error", fault)
	}
	f.current.Store(b)
	for _, j := range b.jobRecords() {
		f.notifyJob(j.job, j.revision)
	}
	f.signal()

	return at, nil
}

// noteDamage notes whether a full read found a damaged log.
func (f *Follower) noteDamage(b *Replica, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil:
		f.readDamaged = false
	case errors.Is(err, ErrDamaged):
		f.damaged, f.readDamaged = b.Damaged()
	}
}

// Damaged returns the number of the batch that can't be decoded and keeps this host from following the log, if there is one.
func (f *Follower) Damaged() (uint64, bool) {
	if b := f.Replica(); b != nil {
		if n, damaged := b.Damaged(); damaged {
			return n, true
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.damaged, f.readDamaged
}

// Copy waits until all changes up to a store revision are applied and returns a copy of the replica.
func (f *Follower) Copy(ctx context.Context, revision uint64) (*Replica, error) {
	for f.followedRevision() < revision {
		select {
		case f.wake <- struct{}{}:
		default:
		}
		if pause.For(ctx, copyPause); ctx.Err() != nil {
			return nil, merry.Prependf(store.ErrUnavailable, "ledger not followed to revision %d: %v", revision, ctx.Err())
		}
	}

	return f.Replica().Clone()
}

func (f *Follower) followedRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.followed
}

func (f *Follower) setFollowed(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followed = revision
}

// hostsPause returns the pause between two reads of the entry hosts, some time after the first one.
func (f *Follower) hostsPause(since time.Duration) time.Duration {
	if f.readEarly != nil && since < startTime {
		return startPause
	}

	return watchPause
}

// waitBetweenWatches pauses before the next watch, unless a call of Copy waits for it.
func (f *Follower) waitBetweenWatches(ctx context.Context) {
	f.waitFor(ctx, f.watchDelay())
}

// waitFor pauses, unless a call of Copy waits for changes.
func (f *Follower) waitFor(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-t.C:
	}
}

// Learn applies a record that is known to be stored, ahead of the watch.
func (f *Follower) Learn(r store.Record) {
	if f.Replica() != nil {
		f.applyEvents([]store.Event{{Record: r}})
	}
}

func (f *Follower) applyEvents(events []store.Event) {
	b := f.Replica()
	for _, ev := range events {
		if err := b.ApplyEvent(ev); err != nil {
			what := "malformed ledger record skipped"
			if _, damaged := b.Damaged(); damaged {
				what = "the log is damaged; no later change is known to this host until the owner of the workers has compacted it"
			}
			f.log.Error(what, "error", err)

			continue
		}
		if id, ok := strings.CutPrefix(ev.Record.Key, JobPrefix); ok && !ev.Deleted {
			if j, revision, known := b.Job(fleet.JobID(id)); known {
				f.notifyJob(j, revision)
			}
		}
	}
	f.signal()
}

func (f *Follower) notifyJob(j work.Job, revision uint64) {
	f.mu.Lock()
	onJob := f.onJob
	f.mu.Unlock()
	if onJob != nil {
		onJob(j, revision)
	}
}

// watchDelay returns the pause before the next watch.
func (f *Follower) watchDelay() time.Duration {
	if f.ownsWorkers() {
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
