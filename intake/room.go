package intake

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

const (
	// roomFactor is how many times its memory must be free for a job, so that small jobs are still accepted when large ones no longer are.
	roomFactor = 8
	// leastJobBytes is the memory of the smallest job. A workspace that has no room for it is refused before the body is read.
	leastJobBytes = 1 << 10
	// roomRetrySeconds is the Retry-After value of a refusal for want of room, which jobs give back when they have ended.
	roomRetrySeconds = 5
	// paceShare is the part of all room that all hosts together accept per second of a workspace, minPace what a host accepts at least.
	paceShare = 8
	minPace   = 64 << 10
	// maxUnreadBytes is the largest job that is accepted before the ledger was read.
	maxUnreadBytes = 8 << 10
	// maxLookupsPerSecond bounds the look-ups before such refusals, because reads of the store are metered.
	maxLookupsPerSecond = 50
)

// Room is the memory that jobs may take, and what they take, in bytes.
type Room struct {
	// Limit is what all jobs may take at the host with the least memory; zero means no limit.
	Limit int64
	// Workspace is what the jobs of the caller's workspace take, Total what all jobs take.
	Workspace, Total int64
	// Hosts is the number of hosts that accept jobs, which learn of each other's after a moment.
	Hosts int
	// Unread is set before this host has read which jobs there are.
	Unread bool
}

// fits reports whether a job may be accepted. A workspace may take as much as it leaves free, so that one that floods the hosts leaves half
// of the memory to the others, and several of them leave one part more.
func (r Room) fits(job int64) bool {
	switch {
	case r.Limit == 0:
		return true
	case r.Unread && job > maxUnreadBytes:
		return false
	default:
		return r.Workspace+roomFactor*job <= r.Limit-r.Total
	}
}

// refusal returns why a job is refused.
func (r Room) refusal(job int64) string {
	if r.Unread {
		return "this host does not know yet what memory the jobs take"
	}

	return fmt.Sprintf("no memory for a job of %d bytes at the moment beside those of its workspace, which take %d", job, r.Workspace)
}

// WithRoom makes the handler refuse jobs for which there is no memory; f returns the room for a workspace.
func WithRoom(f func(w fleet.WorkspaceName) Room) Option {
	return func(h *Handler) {
		h.room = &roomCheck{room: f, paces: map[fleet.WorkspaceName]*rate.Limiter{}, lookups: rate.NewLimiter(maxLookupsPerSecond, 1)}
	}
}

// roomCheck decides whether there is memory for a job.
type roomCheck struct {
	room    func(w fleet.WorkspaceName) Room
	lookups *rate.Limiter

	mu sync.Mutex
	// paces bound the bytes per second of the jobs that this host accepts of each workspace, since it does not know yet what other hosts
	// accept at the same time.
	paces map[fleet.WorkspaceName]*rate.Limiter
}

// take reports whether a job fits, and counts it towards the pace of its workspace if it does.
func (c *roomCheck) take(w fleet.WorkspaceName, r Room, job int64) bool {
	if r.Limit == 0 {
		return true
	}
	if !r.fits(job) {
		return false
	}
	l := c.pace(w, r)

	return l.AllowN(time.Now(), min(int(job), l.Burst()))
}

// pace returns the limiter of a workspace.
func (c *roomCheck) pace(w fleet.WorkspaceName, r Room) *rate.Limiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := pacePerSecond(r)
	l := c.paces[w]
	if l == nil {
		l = rate.NewLimiter(rate.Limit(n), int(n))
		c.paces[w] = l
	}
	if l.Burst() != int(n) {
		l.SetLimit(rate.Limit(n))
		l.SetBurst(int(n))
	}

	return l
}

// pacePerSecond returns how many bytes of jobs a host accepts per second of a workspace.
func pacePerSecond(r Room) int64 {
	if r.Unread {
		return minPace
	}

	return max(minPace, r.Limit/paceShare/int64(max(1, r.Hosts)))
}

// refuseFull returns a refusal before the body is read if the workspace has no room for any job, or nil.
func (h *Handler) refuseFull(ctx context.Context, r *request) *response {
	if h.room == nil {
		return nil
	}
	room := h.room.room(r.workspace)
	if room.fits(leastJobBytes) {
		return nil
	}

	return h.refuseNoRoom(ctx, r.id, room.refusal(leastJobBytes))
}

// refuseLarge returns a refusal for a job that doesn't fit, or nil.
func (h *Handler) refuseLarge(ctx context.Context, j work.Job) *response {
	if h.room == nil {
		return nil
	}
	size, room := j.Memory(), h.room.room(j.Workspace)
	if limit := room.Limit / roomFactor; limit > 0 && size > limit {
		r := errorResponse(http.StatusBadRequest, fmt.Sprintf("the job takes about %d bytes of memory, at most %d are possible here", size, limit))
		r.noRoom = true

		return &r
	}
	if h.room.take(j.Workspace, room, size) {
		return nil
	}

	return h.refuseNoRoom(ctx, j.ID, room.refusal(size))
}

// refuseTombstone returns a refusal for the record of a cancelled job that was never submitted, if there is no memory for it, or nil. Such
// records leave room for jobs.
func (h *Handler) refuseTombstone(j work.Job, absent bool) *response {
	if h.room == nil || !absent {
		return nil
	}
	room := h.room.room(j.Workspace)
	if room.fits(room.Limit/roomFactor/roomFactor) && h.room.take(j.Workspace, room, j.Memory()) {
		return nil
	}
	r := errorResponse(http.StatusServiceUnavailable, room.refusal(j.Memory()))
	r.retryAfter, r.noRoom = roomRetrySeconds, true

	return &r
}

// refuseNoRoom refuses a job for want of room, unless its ID has a record, since a repeat of an accepted submission must be answered as
// before. A 503 promises that the job never runs; without that knowledge the answer is 504.
func (h *Handler) refuseNoRoom(ctx context.Context, id fleet.JobID, why string) *response {
	if h.known(id) {
		return nil
	}
	result := lookupUnknown
	waiting, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	if h.room.lookups.Wait(waiting) == nil {
		result = h.lookUp(ctx, id)
	}
	var r response
	switch result {
	case lookupFound:
		return nil
	case lookupAbsent:
		r = errorResponse(http.StatusServiceUnavailable, why)
	default:
		r = errorResponse(http.StatusGatewayTimeout, why+", and the store did not tell in time whether it is stored")
	}
	r.retryAfter, r.noRoom = roomRetrySeconds, true

	return &r
}
