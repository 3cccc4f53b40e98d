package pause

import (
	"context"
	"time"
)

// For waits until d has passed or ctx is done, and reports whether d passed first. If d is not positive, For does not wait
// and reports whether ctx is not done.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
