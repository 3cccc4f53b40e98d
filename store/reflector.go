package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/progress"
)

const (
	// DefaultWatchWait is the default maximum wait of a watch of a Reflector. Only after it, a watch on a connection that went
	// silent is noticed.
	DefaultWatchWait = time.Second
	// watchMargin is how much longer than its wait a watch may take until its response begins.
	watchMargin = 250 * time.Millisecond
	// stallTime is the longest time without more of a response, which may be large for the link. A client that resends a response that
	// has made no progress for a second gets the first byte before.
	stallTime = 1500 * time.Millisecond
	// reflectDelay is the delay after a failed call.
	reflectDelay = 150 * time.Millisecond
)

// Update is what a Reflector has read.
type Update struct {
	// Events are changes in order or, if Full is set, all records under the prefix.
	Events []Event
	Full   bool
	// Revision is the revision of the listing; zero unless Full is set.
	Revision uint64
}

// Reflector keeps a copy of the records under a prefix up to date: it lists them and then watches for changes. Since a watch
// may miss changes or go silent, it can also check or list the records at intervals. It knows as of when the copy holds.
type Reflector struct {
	client *Client
	prefix string
	log    *log.Logger
	apply  func(u Update) error
	// check reads and applies what must not be missed; nil for none.
	check         func(ctx context.Context) error
	checkInterval time.Duration
	listInterval  time.Duration
	watchDelay    time.Duration
	clock         func() time.Duration

	mu sync.Mutex
	// confirmed is when the last successful list or check began; before the first one it is not set. A watch confirms nothing.
	confirmed   time.Duration
	isConfirmed bool
	// running is the confirmation under way, or nil.
	running *confirmation
	// receiving is closed at the end of a watch whose response has begun, or of a list; nil while there is none. onReceiving is called
	// when one begins; nil for nothing.
	receiving   chan struct{}
	onReceiving func()
	// stopWatch ends the watch under way; nil if there is none. listRequest is closed at the end of the list that was requested; nil if
	// none was.
	stopWatch   func()
	listRequest chan struct{}
	// listWanted receives a value when a list is requested.
	listWanted chan struct{}
	// large reports that the next list is large: the last one was, or it follows a change that was too large for a watch.
	large bool
	// failure is the text of the last logged failure since the last success.
	failure string
}

// confirmation is a check on demand, which several callers may wait for.
type confirmation struct {
	began time.Duration
	done  chan struct{}
}

// ReflectorOption configures a Reflector.
type ReflectorOption func(*Reflector)

// WithCheck makes the reflector call check after a watch, however it ended, if no read has succeeded for an interval; check reads
// and applies what must not be missed.
func WithCheck(check func(ctx context.Context) error, interval time.Duration) ReflectorOption {
	return func(r *Reflector) { r.check, r.checkInterval = check, interval }
}

// WithListInterval makes the reflector list all records again at intervals.
func WithListInterval(d time.Duration) ReflectorOption {
	return func(r *Reflector) { r.listInterval = d }
}

// WithWatchDelay makes the reflector wait after changes, so that several arrive together.
func WithWatchDelay(d time.Duration) ReflectorOption {
	return func(r *Reflector) { r.watchDelay = d }
}

// WithClock replaces the clock for the age of the copy, which must not stand still while the machine is suspended.
func WithClock(uptime func() time.Duration) ReflectorOption {
	return func(r *Reflector) { r.clock = uptime }
}

// NewReflector returns a reflector that calls apply with all that it reads once Run is called; after an error of apply, the
// copy does not count as confirmed.
func NewReflector(c *Client, prefix string, l *log.Logger, apply func(u Update) error, options ...ReflectorOption) *Reflector {
	began := time.Now()
	r := &Reflector{client: c, prefix: prefix, log: l, apply: apply, clock: func() time.Duration { return time.Since(began) }, listWanted: make(chan struct{}, 1)}
	for _, o := range options {
		o(r)
	}

	return r
}

// position is how far a Reflector has read.
type position struct {
	// after is the revision to watch from; zero if the records have to be listed first.
	after  uint64
	listed time.Time
	empty  emptyWatches
}

// Run follows the store until the context ends.
func (r *Reflector) Run(ctx context.Context) {
	var p position
	for ctx.Err() == nil {
		if r.dueForList(&p) && !r.listFrom(ctx, &p) {
			continue
		}
		if !r.checkFrom(ctx, &p) {
			continue
		}
		if r.listRequested() {
			r.listAnew(ctx, ErrCompacted, p.listed)
			continue
		}
		r.watchFrom(ctx, &p)
	}
}

// dueForList reports whether the records have to be listed before the next watch.
func (r *Reflector) dueForList(p *position) bool {
	return p.after == 0 || r.listInterval > 0 && time.Since(p.listed) >= r.listInterval || r.listRequested()
}

// listFrom lists the records and reports whether that succeeded.
func (r *Reflector) listFrom(ctx context.Context, p *position) bool {
	r.beginReceiving()
	at, err := r.list(ctx)
	r.endReceiving()
	r.endListRequest()
	if err != nil {
		r.failed(ctx, "failed to list records", err)
		return false
	}
	p.after, p.listed = at, time.Now()

	return true
}

// checkFrom checks the records if that is due, and reports whether they are worth watching then.
func (r *Reflector) checkFrom(ctx context.Context, p *position) bool {
	if r.check == nil || !r.dueForCheck() || !r.dueAfterConfirmation(ctx) {
		return true
	}
	err := r.confirm(ctx, r.check)
	if errors.Is(err, ErrCompacted) {
		r.listAnew(ctx, err, p.listed)
		p.after = 0

		return false
	}
	if err != nil {
		r.failed(ctx, "failed to check records", err)
	}

	return !errors.Is(err, ErrUnavailable)
}

// watchFrom watches for changes once.
func (r *Reflector) watchFrom(ctx context.Context, p *position) {
	var err error
	p.after, err = r.watch(ctx, p.after, &p.empty)
	switch {
	case errors.Is(err, ErrCompacted):
		r.listAnew(ctx, err, p.listed)
	case r.listRequested():
		r.listAnew(ctx, ErrCompacted, p.listed)
	case err != nil:
		r.failed(ctx, "failed to watch records", err)
	}
}

// failed logs a failure and waits before the next call.
func (r *Reflector) failed(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	r.logFailure(what, err)
	pause.For(ctx, reflectDelay)
}

// logFailure logs a failure unless it is the same as the one before.
func (r *Reflector) logFailure(what string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if text := what + err.Error(); text != r.failure {
		r.failure = text
		r.log.Warn(what, "prefix", r.prefix, "error", err)
	}
}

// list reads and applies all records and returns the revision to watch from.
func (r *Reflector) list(ctx context.Context) (uint64, error) {
	var at uint64
	err := r.confirm(ctx, func(ctx context.Context) error {
		if r.expectsLarge() {
			ctx = WithLargeResponse(ctx)
		}
		l, err := r.client.List(ctx, r.prefix)
		if err != nil {
			return err
		}
		r.setLarge(l.size() > largeList)
		at = l.Revision
		u := Update{Full: true, Revision: l.Revision}
		for _, rec := range l.Records {
			u.Events = append(u.Events, Event{Record: rec})
		}

		return r.apply(u)
	})
	if at != 0 && err != nil {
		// The list was read, but not all of it is usable: the changes after it are still worth following.
		r.logFailure("failed to apply records", err)
		err = nil
	}

	return at, err
}

// watch waits for changes after a revision, applies them and returns the revision to watch from next, which is zero if the
// store does not keep the changes any more.
func (r *Reflector) watch(ctx context.Context, after uint64, empty *emptyWatches) (uint64, error) {
	watching, cancel := progress.WithTimeout(ctx, DefaultWatchWait+watchMargin, stallTime, r.beginReceiving)
	defer r.endReceiving()
	defer cancel()
	r.setStopWatch(cancel)
	defer r.setStopWatch(nil)
	ev, err := r.client.Watch(watching, r.prefix, after, DefaultWatchWait)
	switch {
	case errors.Is(err, ErrCompacted):
		r.noteLarge(err)
		return 0, err
	case err != nil:
		return after, err
	case len(ev.Events) == 0:
		return empty.next(after, ev.Revision), nil
	}
	if err := r.apply(Update{Events: ev.Events}); err != nil {
		r.logFailure("failed to apply changes", err)
	}
	pause.For(ctx, r.watchDelay)

	return ev.Revision, nil
}

// dueAfterConfirmation reports whether a check is due after the confirmation under way, which it waits for.
func (r *Reflector) dueAfterConfirmation(ctx context.Context) bool {
	r.mu.Lock()
	c := r.running
	r.mu.Unlock()
	if c == nil {
		return true
	}
	select {
	case <-c.done:
	case <-r.listWanted:
		// The confirmation waits for a list.
		return false
	case <-ctx.Done():
	}

	return r.dueForCheck()
}

func (r *Reflector) dueForCheck() bool {
	age, ok := r.Age()

	return !ok || age >= r.checkInterval
}

// confirm calls read and notes its success.
func (r *Reflector) confirm(ctx context.Context, read func(ctx context.Context) error) error {
	began := r.clock()
	if err := read(ctx); err != nil {
		r.noteLarge(err)
		return err
	}
	r.setConfirmed(began)

	return nil
}

// readAgain checks the records, or lists them if there is no check.
func (r *Reflector) readAgain(ctx context.Context) error {
	if r.check != nil {
		return r.confirm(ctx, r.check)
	}
	_, err := r.list(ctx)

	return err
}

func (r *Reflector) setConfirmed(began time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isConfirmed || began > r.confirmed {
		r.confirmed, r.isConfirmed, r.failure = began, true, ""
	}
}

// Age returns how long ago the last successful read began, and whether there was one; the copy holds as of then.
func (r *Reflector) Age() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.clock() - r.confirmed, r.isConfirmed
}

func (r *Reflector) confirmedSince(uptime time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.isConfirmed && r.confirmed >= uptime
}

// Confirm reports whether the copy is at most maxAge old, and checks it if it is older. Callers share checks, so that there is
// only one at a time.
func (r *Reflector) Confirm(ctx context.Context, maxAge time.Duration) bool {
	since := r.clock() - maxAge
	for ctx.Err() == nil {
		if r.confirmedSince(since) {
			return true
		}
		c := r.startConfirmation(context.WithoutCancel(ctx))
		select {
		case <-c.done:
		case <-ctx.Done():
			return false
		}
		if c.began >= since && !r.confirmedSince(since) {
			return false
		}
	}

	return false
}

// StartCheck starts a check in the background, unless one on demand is under way.
func (r *Reflector) StartCheck() {
	r.startConfirmation(context.Background())
}

// startConfirmation returns the confirmation under way, or starts one.
func (r *Reflector) startConfirmation(ctx context.Context) *confirmation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running != nil {
		return r.running
	}
	c := &confirmation{began: r.clock(), done: make(chan struct{})}
	r.running = c
	go func() {
		if err := r.readBesideWatch(ctx); err != nil {
			r.logFailure("failed to confirm records", err)
		}
		r.mu.Lock()
		r.running = nil
		r.mu.Unlock()
		close(c.done)
	}()

	return c
}
