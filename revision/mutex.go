package revision

import (
	"context"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/store"
)

// ctxMutex is a mutex whose lock method stops waiting when its context ends.
type ctxMutex chan struct{}

func newCtxMutex() ctxMutex {
	return make(ctxMutex, 1)
}

// lock acquires the mutex. If ctx ends first, it returns store.ErrUnavailable, because nothing was written.
func (t ctxMutex) lock(ctx context.Context) error {
	select {
	case t <- struct{}{}:
		return nil
	case <-ctx.Done():
		return merry.Prepend(store.ErrUnavailable, "waited too long for another call to end")
	}
}

// tryLock acquires the mutex if it is free and reports whether it did.
func (t ctxMutex) tryLock() bool {
	select {
	case t <- struct{}{}:
		return true
	default:
		return false
	}
}

func (t ctxMutex) unlock() {
	<-t
}
