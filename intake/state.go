package intake

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/inquiry"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

// pendingAge is how old the number of jobs may be of which no task has begun.
const pendingAge = 200 * time.Millisecond

var jobStates = map[ledger.State]platform.JobState{
	ledger.Queued: platform.StateQueued, ledger.InProgress: platform.StateInProgress, ledger.Completed: platform.StateCompleted,
	ledger.Failed: platform.StateFailed, ledger.Cancelled: platform.StateCancelled,
}

// state returns the state of a job. The local ledger is sufficient if the job has ended there; otherwise the owner is
// asked first.
func (h *Handler) state(ctx context.Context, r *request) response {
	if !h.ended(r.id) {
		if s, ok := h.ownerState(ctx, inquiry.Job{ID: r.id, Workspace: r.caller}); ok {
			return okResponse(platform.EncodeState(jobStates[s]))
		}
	}
	j, _, state, err := h.findJob(ctx, r.id)
	switch {
	case err == nil && len(j.Steps) > 0 && r.canAccess(j) && state <= ledger.InProgress && !hasJobs(h.follower.Replica()):
		// The record of the job alone does not contain its progress.
		return unavailableResponse("the ledger was not read yet")
	case err == nil && len(j.Steps) > 0 && r.canAccess(j):
		return okResponse(platform.EncodeState(jobStates[state]))
	case err == nil, errors.Is(err, store.ErrNotFound):
		return errorResponse(http.StatusGone, "no such job")
	default:
		return unavailableResponse("the store can't be reached")
	}
}

// hasJobs reports whether a replica, which may be nil, has loaded the jobs and the log.
func hasJobs(b *ledger.Replica) bool {
	return b != nil && b.HasJobs()
}

// ended reports whether this host knows that a job has ended.
func (h *Handler) ended(id fleet.JobID) bool {
	b := h.follower.Replica()
	if b == nil {
		return false
	}
	s, ok := b.Status(id)

	return ok && s > ledger.InProgress
}

// findJob returns a job from the replica or, if it is not there, from the store.
func (h *Handler) findJob(ctx context.Context, id fleet.JobID) (work.Job, uint64, ledger.State, error) {
	if b := h.follower.Replica(); b != nil {
		if j, revision, ok := b.Job(id); ok {
			s, _ := b.Status(id)
			return j, revision, s, nil
		}
	}
	r, err := h.client.Get(ctx, ledger.JobKey(id))
	if err != nil {
		return work.Job{}, 0, 0, err
	}
	j, err := ledger.Decode[work.Job](r.Key, r.Value)
	state := ledger.Queued
	if j.Cancelled {
		state = ledger.Cancelled
	}

	return j, r.Revision, state, err
}

// cancel marks a job as cancelled. For an unknown ID it stores a cancelled record without steps, so that a later
// submission is rejected.
func (h *Handler) cancel(ctx context.Context, r *request) response {
	for {
		j, revision, _, err := h.findJob(ctx, r.id)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return unavailableResponse("the store can't be reached")
		}
		absent := err != nil
		if absent {
			j = work.Job{ID: r.id, Workspace: r.workspace, Submitted: time.Now().UTC()}
		}
		if !r.canAccess(j) {
			return errorResponse(http.StatusGone, "no such job")
		}
		if j.Cancelled {
			return cancelResponse(len(j.Steps) == 0)
		}
		if refusal := h.refuseTombstone(j, absent); refusal != nil {
			return *refusal
		}
		value, err := ledger.Encode(j.WithCancelled())
		if err != nil {
			return errorResponse(http.StatusInternalServerError, err.Error())
		}
		found, err := h.put(ctx, ledger.JobKey(r.id), value, revision)
		switch {
		case err == nil:
			return cancelResponse(absent)
		case errors.Is(err, store.ErrConflict) && found == nil:
			// The job ended some time ago and its record was removed in the meantime.
			return cancelResponse(true)
		case errors.Is(err, store.ErrConflict) && ctx.Err() == nil:
			h.follower.Learn(*found)
		case errors.Is(err, ErrOutcomeUnknown):
			return errorResponse(http.StatusGatewayTimeout, "the store did not answer in time")
		default:
			return unavailableResponse("the store can't be reached")
		}
	}
}

func cancelResponse(absent bool) response {
	if absent {
		return errorResponse(http.StatusGone, "no such job")
	}

	return okResponse(platform.EncodeState(platform.StateCancelled))
}

func (h *Handler) pendingCount(q work.Queue) response {
	b := h.follower.Replica()
	if !hasJobs(b) {
		return unavailableResponse("the ledger was not read yet")
	}

	return okResponse(platform.EncodePending(h.pending.count(b, q.Name)))
}

// pendingCounts keeps the numbers of jobs that have not begun for a moment, since counting them keeps the replica from others.
type pendingCounts struct {
	mu      sync.Mutex
	of      *ledger.Replica
	counted time.Time
	byQueue map[fleet.QueueName]int
}

// count returns the number for a queue.
func (p *pendingCounts) count(b *ledger.Replica, q fleet.QueueName) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.of != b || time.Since(p.counted) >= pendingAge {
		p.of, p.counted, p.byQueue = b, time.Now(), b.Pending()
	}

	return p.byQueue[q]
}
