package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

const (
	// defaultDeadline is how long a caller waits who does not say so.
	defaultDeadline = 3 * time.Second
	// answerTime is kept of a caller's deadline for the way back of the answer.
	answerTime = 150 * time.Millisecond
	// maxBody bounds a request before there is a configuration, in bytes.
	maxBody = 1 << 20
	// storeRetry is when to come back while the store can't be reached, in seconds.
	storeRetry = 1
)

// Handler answers callers.
type Handler struct {
	desk     *Desk
	client   *store.Client
	follower *ledger.Follower
	log      *log.Logger
	router   atomic.Pointer[Router]
}

// NewHandler returns a handler that refuses all until it has a configuration.
func NewHandler(c *store.Client, f *ledger.Follower, l *log.Logger) *Handler {
	return &Handler{desk: NewDesk(c, l), client: c, follower: f, log: l}
}

// SetConfig puts a configuration in force.
func (h *Handler) SetConfig(c work.Config) {
	h.router.Store(NewRouter(c))
}

// Ready reports whether the handler can answer callers.
func (h *Handler) Ready() bool {
	return h.router.Load() != nil && h.follower.Book() != nil
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	router := h.router.Load()
	if router == nil {
		refuse(w, http.StatusServiceUnavailable, "no configuration yet", storeRetry)
		return
	}
	q, rest, ok := router.Queue(r.Host, r.URL.Path)
	if !ok {
		refuse(w, http.StatusNotFound, "no such queue", 0)
		return
	}
	workspace, known := router.Workspace(r.Header.Get(platform.HeaderKey))
	if !q.Open && !known {
		refuse(w, http.StatusUnauthorized, "unknown key", 0)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline(r))
	defer cancel()

	switch {
	case rest == "" && r.Method == http.MethodGet:
		h.pending(w, q)
	case !platform.ValidJobID(rest):
		refuse(w, http.StatusBadRequest, "a job's ID has 16 hexadecimal digits", 0)
	case r.Method == http.MethodPost:
		h.submit(ctx, w, r, router, q, workspace, fleet.JobID(rest))
	case r.Method == http.MethodGet:
		h.state(ctx, w, fleet.JobID(rest))
	case r.Method == http.MethodDelete:
		h.cancel(ctx, w, fleet.JobID(rest))
	default:
		refuse(w, http.StatusMethodNotAllowed, "use GET, POST or DELETE", 0)
	}
}

func deadline(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(platform.HeaderDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return defaultDeadline
	}

	return max(answerTime, time.Duration(ms)*time.Millisecond-answerTime)
}

func (h *Handler) submit(
	ctx context.Context, w http.ResponseWriter, r *http.Request, router *Router, q work.Queue, ws fleet.WorkspaceName, id fleet.JobID,
) {
	limit := router.Config().MaxBodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		refuse(w, http.StatusBadRequest, "body can't be read: "+err.Error(), 0)
		return
	}
	j, err := platform.DecodeJob(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error(), 0)
		return
	}
	if !q.Open {
		j.Workspace = ws
	}
	j.ID, j.Queue, j.Pool, j.Submitted = id, q.Name, q.Pool, time.Now().UTC()
	value, err := ledger.Encode(j)
	if err != nil {
		refuse(w, http.StatusInternalServerError, err.Error(), 0)
		return
	}

	_, found, err := h.desk.File(ctx, ledger.JobKey(id), value, 0)
	h.log.Info("job submitted", "job", id, "queue", q.Name, "workspace", j.Workspace, "error", err)
	switch {
	case err == nil, found != nil && !tombstone(*found):
		answer(w, http.StatusOK, platform.EncodeState(platform.StateQueued))
	case found != nil:
		refuse(w, http.StatusConflict, "the job was cancelled before it came", 0)
	case errors.Is(err, ErrNotStored):
		refuse(w, http.StatusServiceUnavailable, "the store can't be reached", storeRetry)
	default:
		refuse(w, http.StatusGatewayTimeout, "the store did not answer in time", 0)
	}
}

// tombstone reports whether a record stands for a job that was cancelled before it came.
func tombstone(r store.Record) bool {
	j, err := ledger.Decode[work.Job](r.Key, r.Value)

	return err == nil && len(j.Steps) == 0
}

var states = map[ledger.State]platform.JobState{
	ledger.Queued: platform.StateQueued, ledger.InProgress: platform.StateInProgress, ledger.Completed: platform.StateCompleted,
	ledger.Failed: platform.StateFailed, ledger.Cancelled: platform.StateCancelled,
}

func (h *Handler) state(ctx context.Context, w http.ResponseWriter, id fleet.JobID) {
	j, _, state, err := h.find(ctx, id)
	switch {
	case err == nil && len(j.Steps) > 0:
		answer(w, http.StatusOK, platform.EncodeState(states[state]))
	case err == nil, errors.Is(err, store.ErrNotFound):
		refuse(w, http.StatusGone, "no such job", 0)
	default:
		refuse(w, http.StatusServiceUnavailable, "the store can't be reached", storeRetry)
	}
}

// find returns a job from the book or, where that has it not, from the store.
func (h *Handler) find(ctx context.Context, id fleet.JobID) (work.Job, uint64, ledger.State, error) {
	if b := h.follower.Book(); b != nil {
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

// cancel marks a job as cancelled, or keeps it from being accepted later if nobody has submitted it.
func (h *Handler) cancel(ctx context.Context, w http.ResponseWriter, id fleet.JobID) {
	for {
		j, revision, _, err := h.find(ctx, id)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			refuse(w, http.StatusServiceUnavailable, "the store can't be reached", storeRetry)
			return
		}
		absent := err != nil
		if absent {
			j = work.Job{ID: id, Submitted: time.Now().UTC()}
		}
		if j.Cancelled {
			h.answerCancel(w, id, len(j.Steps) == 0)
			return
		}
		value, err := ledger.Encode(j.WithCancelled())
		if err != nil {
			refuse(w, http.StatusInternalServerError, err.Error(), 0)
			return
		}
		_, found, err := h.desk.File(ctx, ledger.JobKey(id), value, revision)
		switch {
		case err == nil:
			h.answerCancel(w, id, absent)
			return
		case errors.Is(err, store.ErrConflict) && ctx.Err() == nil:
			if found != nil {
				if b := h.follower.Book(); b != nil {
					b.Follow(store.Event{Record: *found})
				}
			}
		default:
			refuse(w, http.StatusServiceUnavailable, "the store can't be reached", storeRetry)
			return
		}
	}
}

func (h *Handler) answerCancel(w http.ResponseWriter, id fleet.JobID, absent bool) {
	h.log.Info("job cancelled", "job", id, "known", !absent)
	if absent {
		refuse(w, http.StatusGone, "no such job", 0)
		return
	}
	answer(w, http.StatusOK, platform.EncodeState(platform.StateCancelled))
}

func (h *Handler) pending(w http.ResponseWriter, q work.Queue) {
	b := h.follower.Book()
	if b == nil {
		refuse(w, http.StatusServiceUnavailable, "the ledger was not read yet", storeRetry)
		return
	}
	answer(w, http.StatusOK, platform.EncodePending(b.Pending(q.Name)))
}

func answer(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have gone; there is nobody left to tell.
	_, _ = w.Write(body)
}

// refuse answers with a reason and, unless it is zero, the seconds after which a repeat is likely to be taken.
func refuse(w http.ResponseWriter, status int, reason string, retryAfter int) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
	}
	answer(w, status, platform.EncodeError(reason))
}
