package revision

import (
	"context"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/store"
)

// turn is a lock whose waiters can give up.
type turn chan struct{}

func newTurn() turn {
	return make(turn, 1)
}

// take waits for the turn; its error says that nothing was done.
func (t turn) take(ctx context.Context) error {
	select {
	case t <- struct{}{}:
		return nil
	case <-ctx.Done():
		return merry.Prepend(store.ErrUnavailable, "waited too long for another call to end")
	}
}

// tryTake reports whether the turn was free.
func (t turn) tryTake() bool {
	select {
	case t <- struct{}{}:
		return true
	default:
		return false
	}
}

func (t turn) give() {
	<-t
}
