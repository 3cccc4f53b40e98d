package store

import (
	"context"
	"errors"
	"time"

	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/progress"
)

// emptyWatches lets a watch advance although there are no changes, so that the store need not keep the history since the last one. It
// advances only to where two watches have found nothing, since one may miss a change.
type emptyWatches struct {
	after, at uint64
}

// next returns the revision to watch from after a watch that found no changes up to a revision.
func (e *emptyWatches) next(after, at uint64) uint64 {
	before := *e
	*e = emptyWatches{after: after, at: at}
	if before.after != after || before.at <= after {
		return after
	}
	e.after = before.at

	return before.at
}

// beginReceiving notes that the response to the watch has begun, or a list.
func (r *Reflector) beginReceiving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.receiving != nil {
		return
	}
	r.receiving = make(chan struct{})
	if r.onReceiving != nil {
		r.onReceiving()
	}
}

// endReceiving notes that the watch or list has ended.
func (r *Reflector) endReceiving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.receiving != nil {
		close(r.receiving)
		r.receiving = nil
	}
}

// readBesideWatch reads again, but not while a response to the watch or a list arrives: that may have what the read would carry once
// more.
func (r *Reflector) readBesideWatch(ctx context.Context) error {
	for {
		reading, cancel := progress.WithTimeout(ctx, DefaultWatchWait, stallTime, nil)
		if receiving := r.interruptBy(cancel); receiving != nil {
			cancel()
			select {
			case <-receiving:
			case <-ctx.Done():
				return ctx.Err()
			}

			continue
		}
		err := r.readAgain(reading)
		interrupted := errors.Is(reading.Err(), context.Canceled)
		r.interruptBy(nil)
		cancel()
		switch {
		case err == nil || ctx.Err() != nil:
			return err
		case errors.Is(err, ErrCompacted):
			if !r.awaitList(ctx) {
				return err
			}
		case !interrupted:
			return err
		}
	}
}

// awaitList requests a list of all records, so that only one is read at a time, and reports whether it has ended within a watch's wait.
func (r *Reflector) awaitList(ctx context.Context) bool {
	r.mu.Lock()
	if r.listRequest == nil {
		r.listRequest = make(chan struct{})
	}
	request, stop := r.listRequest, r.stopWatch
	r.mu.Unlock()
	// Without the lock, since a watch that makes progress locks its context before the reflector.
	if stop != nil {
		stop()
	}
	select {
	case r.listWanted <- struct{}{}:
	default:
	}
	limit := time.NewTimer(DefaultWatchWait)
	defer limit.Stop()
	select {
	case <-request:
		return true
	case <-limit.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (r *Reflector) listRequested() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.listRequest != nil
}

func (r *Reflector) endListRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listRequest != nil {
		close(r.listRequest)
		r.listRequest = nil
	}
}

func (r *Reflector) setStopWatch(stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopWatch = stop
}

// interruptBy calls f when the response to a watch or a list begins. If one arrives already, it returns a channel that is closed at its
// end.
func (r *Reflector) interruptBy(f func()) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f == nil || r.receiving == nil {
		r.onReceiving = f
		return nil
	}

	return r.receiving
}

// listAnew logs why all records are listed, and waits if they were listed just now.
func (r *Reflector) listAnew(ctx context.Context, why error, listed time.Time) {
	r.log.Info("listing all records", "prefix", r.prefix, "reason", why)
	if left := reflectDelay - time.Since(listed); left > 0 {
		pause.For(ctx, left)
	}
}
