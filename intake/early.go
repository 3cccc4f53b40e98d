package intake

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"lycheehook.example/lycheehook/backlog"
	"lycheehook.example/lycheehook/work"
)

// WithEarlyRejection makes the handler refuse new jobs of which f reports that they can't end in time to be of value.
func WithEarlyRejection(f func(j work.Job, q work.Queue) (backlog.Refusal, bool)) Option {
	return func(h *Handler) { h.early = &earlyRejection{decide: f} }
}

// earlyRejection refuses jobs before they are written.
type earlyRejection struct {
	decide func(j work.Job, q work.Queue) (backlog.Refusal, bool)
}

// refuseEarly returns a refusal for a job that can't end in time to be of value, or nil. It refuses nothing unless the store has just
// confirmed that it has no record of the ID: a repeat of an accepted submission must be answered as before.
func (h *Handler) refuseEarly(ctx context.Context, j work.Job, q work.Queue) *response {
	if h.early == nil {
		return nil
	}
	refusal, ok := h.early.decide(j, q)
	if !ok || h.known(j.ID) || h.lookUp(ctx, j.ID) != lookupAbsent {
		return nil
	}
	r := errorResponse(http.StatusTooManyRequests, fmt.Sprintf(
		"the workspace's backlog is too long: a wait of %v is expected, and %v is the most for this job",
		refusal.Wait.Round(time.Millisecond), refusal.Limit.Round(time.Millisecond),
	))
	r.early, r.retryAfter = true, int(math.Ceil(refusal.RetryAfter(rand.Float64()).Seconds()))

	return &r
}
