package progress

import (
	"context"
	"sync"
	"time"
)

// MaxTime bounds a call that makes progress all the time. The largest response of the store, 8 MB, takes less than 10 s on a link of
// 10 Mbit/s.
const MaxTime = 30 * time.Second

// limited is a context that ends with context.DeadlineExceeded once there has been no progress for too long.
type limited struct {
	context.Context
	done  chan struct{}
	stall time.Duration
	// limit is when the context ends in spite of progress.
	limit time.Time

	mu       sync.Mutex
	timer    *time.Timer
	deadline time.Time
	err      error
	onNote   func()
}

// noteKey is the key of the nearest limited context among the values of a context.
type noteKey struct{}

// WithTimeout returns a context that ends when there is no progress within first, or none for stall after that, and in any case after
// the larger of first and MaxTime. It calls onNote, unless that is nil, at each progress.
func WithTimeout(parent context.Context, first, stall time.Duration, onNote func()) (context.Context, context.CancelFunc) {
	now := time.Now()
	c := &limited{
		Context: parent, done: make(chan struct{}), stall: stall, limit: now.Add(max(first, MaxTime)), deadline: now.Add(first), onNote: onNote,
	}
	c.mu.Lock()
	c.timer = time.AfterFunc(first, c.expire)
	c.mu.Unlock()
	stop := context.AfterFunc(parent, func() { c.end(parent.Err()) })

	return c, func() {
		stop()
		c.end(context.Canceled)
	}
}

// From returns the function that notes progress for the nearest context of WithTimeout that ctx is derived from; without one it does
// nothing.
func From(ctx context.Context) func() {
	if c, ok := ctx.Value(noteKey{}).(*limited); ok {
		return c.note
	}

	return func() {}
}

// note notes progress.
func (c *limited) note() {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.deadline = time.Now().Add(c.stall)
	if c.deadline.After(c.limit) {
		c.deadline = c.limit
	}
	c.timer.Reset(time.Until(c.deadline))
	c.mu.Unlock()
	// Called without the lock, since it may end this context or another.
	if c.onNote != nil {
		c.onNote()
	}
}

// Done implements context.Context.
func (c *limited) Done() <-chan struct{} {
	return c.done
}

// Err implements context.Context.
func (c *limited) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.err
}

// Value implements context.Context.
func (c *limited) Value(key any) any {
	if key == (noteKey{}) {
		return c
	}

	return c.Context.Value(key)
}

// expire ends the context unless there was progress since its timer fired.
func (c *limited) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if left := time.Until(c.deadline); left > 0 && c.err == nil {
		c.timer.Reset(left)
		return
	}
	c.endLocked(context.DeadlineExceeded)
}

func (c *limited) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLocked(err)
}

func (c *limited) endLocked(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	c.timer.Stop()
	close(c.done)
}
