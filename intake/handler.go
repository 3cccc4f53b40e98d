package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/inquiry"
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
	committer *Committer
	client    *store.Client
	follower  *ledger.Follower
	log       *log.Logger
	observe   Observer
	stored    func(r store.Record)
	inquire   func(ctx context.Context, j inquiry.Job) (ledger.State, bool)
	router    atomic.Pointer[Router]
}

// Option changes a new handler.
type Option func(*Handler)

// WithStored makes f be told of each record that the handler has stored.
func WithStored(f func(r store.Record)) Option {
	return func(h *Handler) { h.stored = f }
}

// Observer is told of each answer, for logs and metrics.
type Observer func(Answered)

// Answered is one answer to a caller.
type Answered struct {
	Method    string
	Job       fleet.JobID
	Queue     fleet.QueueName
	Workspace fleet.WorkspaceName
	Status    int
	// Reason says why a request was refused; empty if it was not.
	Reason string
	// Version is that of the configuration which decided; zero if there was none.
	Version int64
	Took    time.Duration
}

// WithInquiry makes f be asked for the state of a job that is not known to be over; it reports whether it knows.
func WithInquiry(f func(ctx context.Context, j inquiry.Job) (ledger.State, bool)) Option {
	return func(h *Handler) { h.inquire = f }
}

// NewHandler returns a handler that refuses all until it has a configuration.
func NewHandler(c *store.Client, f *ledger.Follower, l *log.Logger, observe Observer, options ...Option) *Handler {
	h := &Handler{
		committer: NewCommitter(c, l), client: c, follower: f, log: l, observe: observe, stored: func(store.Record) {},
		inquire: func(context.Context, inquiry.Job) (ledger.State, bool) { return ledger.Queued, false },
	}
	for _, o := range options {
		o(h)
	}

	return h
}

// SetConfig puts a configuration in force.
func (h *Handler) SetConfig(c work.Config) {
	h.router.Store(NewRouter(c))
}

// Ready reports whether the handler can answer callers.
func (h *Handler) Ready() bool {
	return h.router.Load() != nil && h.follower.Book() != nil
}

// reply is the answer to a request.
type reply struct {
	status int
	body   []byte
	reason string
	// retryAfter is the number of seconds after which a repeat is likely to be taken; zero if that is not known.
	retryAfter int
}

func accept(body []byte) reply {
	return reply{status: http.StatusOK, body: body}
}

func refuse(status int, reason string) reply {
	return reply{status: status, body: platform.EncodeError(reason), reason: reason}
}

// unavailable refuses what was surely not done, and says when to come back.
func unavailable(reason string) reply {
	r := refuse(http.StatusServiceUnavailable, reason)
	r.retryAfter = storeRetry

	return r
}

func (r reply) write(w http.ResponseWriter) {
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(r.retryAfter))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.status)
	// The caller may have gone; there is nobody left to tell.
	_, _ = w.Write(r.body)
}

// request is a request with what the configuration says of it.
type request struct {
	*http.Request
	router *Router
	queue  work.Queue
	// workspace is charged for what the request submits; empty on an open queue.
	workspace fleet.WorkspaceName
	// caller is the workspace whose key came with the request, on open queues too.
	caller fleet.WorkspaceName
	id     fleet.JobID
}

// sees reports whether the caller may know of a job of a workspace; a job that was submitted to an open queue is
// nobody's.
func (r *request) sees(j work.Job) bool {
	return j.Workspace == "" || j.Workspace == r.caller
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	req := request{Request: r, router: h.router.Load()}
	ctx, cancel := context.WithTimeout(r.Context(), deadline(r))
	defer cancel()

	answer := h.answer(ctx, w, &req)
	answer.write(w)
	a := Answered{
		Method: r.Method, Job: req.id, Queue: req.queue.Name, Workspace: req.workspace, Status: answer.status, Reason: answer.reason,
		Took: time.Since(began),
	}
	if req.router != nil {
		a.Version = req.router.Config().Version
	}
	h.observe(a)
}

func (h *Handler) answer(ctx context.Context, w http.ResponseWriter, r *request) reply {
	if r.router == nil {
		return unavailable("no configuration yet")
	}
	queue, rest, ok := r.router.Queue(r.Host, r.URL.Path)
	if !ok {
		return refuse(http.StatusNotFound, "no such queue")
	}
	r.queue = queue
	workspace, known := r.router.Workspace(r.Header.Get(platform.HeaderKey))
	r.caller = workspace
	if !queue.Open {
		if !known {
			return refuse(http.StatusUnauthorized, "unknown key")
		}
		r.workspace = workspace
	}
	if rest == "" && r.Method == http.MethodGet {
		return h.pending(queue)
	}
	if !platform.ValidJobID(rest) {
		return refuse(http.StatusBadRequest, "a job's ID has 16 hexadecimal digits")
	}
	r.id = fleet.JobID(rest)

	switch r.Method {
	case http.MethodPost:
		return h.submit(ctx, w, r)
	case http.MethodGet:
		return h.state(ctx, r)
	case http.MethodDelete:
		return h.cancel(ctx, r)
	default:
		return refuse(http.StatusMethodNotAllowed, "use GET, POST or DELETE")
	}
}

// deadline returns how long a caller's request may take here.
func deadline(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(platform.HeaderDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return defaultDeadline
	}

	return max(answerTime, time.Duration(ms)*time.Millisecond-answerTime)
}

// submit stores a job and only then accepts it.
func (h *Handler) submit(ctx context.Context, w http.ResponseWriter, r *request) reply {
	j, err := r.job(w)
	if err != nil {
		return refuse(http.StatusBadRequest, err.Error())
	}
	value, err := ledger.Encode(j)
	if err != nil {
		return refuse(http.StatusInternalServerError, err.Error())
	}

	found, err := h.put(ctx, ledger.JobKey(j.ID), value, 0)
	switch {
	case err == nil:
		return accept(platform.EncodeState(platform.StateQueued))
	case found != nil:
		return r.resubmitted(*found)
	case errors.Is(err, ErrNotStored):
		return unavailable("the store can't be reached")
	default:
		return refuse(http.StatusGatewayTimeout, "the store did not answer in time")
	}
}

// put stores a record if its key still has revision base, and tells of it; another state of the key is returned as a
// record with store.ErrConflict.
func (h *Handler) put(ctx context.Context, key string, value []byte, base uint64) (*store.Record, error) {
	revision, found, err := h.committer.Put(ctx, key, value, base)
	if err == nil {
		r := store.Record{Key: key, Value: value, Revision: revision}
		h.follower.Learn(r)
		h.stored(r)
	}

	return found, err
}

// job returns the job that a request submits.
func (r *request) job(w http.ResponseWriter) (work.Job, error) {
	limit := r.router.Config().MaxBodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return work.Job{}, merry.Prepend(err, "body can't be read")
	}
	j, err := platform.DecodeJob(body)
	if err != nil {
		return work.Job{}, err
	}
	j.ID, j.Workspace, j.Submitted = r.id, r.workspace, time.Now().UTC()
	j.Queue, j.Pool, j.MaxAttempts = r.queue.Name, r.queue.Pool, r.queue.MaxAttempts

	return j, nil
}

// resubmitted answers a submission whose ID has a record already: it is the same job if the same workspace submitted it.
func (r *request) resubmitted(found store.Record) reply {
	j, err := ledger.Decode[work.Job](found.Key, found.Value)
	switch {
	case err != nil:
		return refuse(http.StatusInternalServerError, err.Error())
	case !r.sees(j):
		return refuse(http.StatusConflict, "the ID is in use")
	case len(j.Steps) == 0:
		return refuse(http.StatusConflict, "the job was cancelled before it came")
	default:
		return accept(platform.EncodeState(platform.StateQueued))
	}
}

var states = map[ledger.State]platform.JobState{
	ledger.Queued: platform.StateQueued, ledger.InProgress: platform.StateInProgress, ledger.Completed: platform.StateCompleted,
	ledger.Failed: platform.StateFailed, ledger.Cancelled: platform.StateCancelled,
}

// state tells a job's state: the end of a job as this host knows it, and otherwise what the owner knows.
func (h *Handler) state(ctx context.Context, r *request) reply {
	if !h.over(r.id) {
		if s, ok := h.inquire(ctx, inquiry.Job{ID: r.id, Workspace: r.caller}); ok {
			return accept(platform.EncodeState(states[s]))
		}
	}
	j, _, state, err := h.find(ctx, r.id)
	switch {
	case err == nil && len(j.Steps) > 0 && r.sees(j) && state <= ledger.InProgress && !hasJobs(h.follower.Book()):
		// What is stored of the job itself does not say how far it has come.
		return unavailable("the ledger was not read yet")
	case err == nil && len(j.Steps) > 0 && r.sees(j):
		return accept(platform.EncodeState(states[state]))
	case err == nil, errors.Is(err, store.ErrNotFound):
		return refuse(http.StatusGone, "no such job")
	default:
		return unavailable("the store can't be reached")
	}
}

// hasJobs reports whether a book, which may be nil, has the jobs and the log.
func hasJobs(b *ledger.Book) bool {
	return b != nil && b.HasJobs()
}

// over reports whether this host knows that a job is over.
func (h *Handler) over(id fleet.JobID) bool {
	b := h.follower.Book()
	if b == nil {
		return false
	}
	s, ok := b.Status(id)

	return ok && s > ledger.InProgress
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
func (h *Handler) cancel(ctx context.Context, r *request) reply {
	for {
		j, revision, _, err := h.find(ctx, r.id)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return unavailable("the store can't be reached")
		}
		absent := err != nil
		if absent {
			j = work.Job{ID: r.id, Workspace: r.workspace, Submitted: time.Now().UTC()}
		}
		if !r.sees(j) {
			return refuse(http.StatusGone, "no such job")
		}
		if j.Cancelled {
			return cancelled(len(j.Steps) == 0)
		}
		value, err := ledger.Encode(j.WithCancelled())
		if err != nil {
			return refuse(http.StatusInternalServerError, err.Error())
		}
		found, err := h.put(ctx, ledger.JobKey(r.id), value, revision)
		switch {
		case err == nil:
			return cancelled(absent)
		case errors.Is(err, store.ErrConflict) && found == nil:
			// The job was over long ago, and its record has been removed meanwhile.
			return cancelled(true)
		case errors.Is(err, store.ErrConflict) && ctx.Err() == nil:
			h.follower.Learn(*found)
		case errors.Is(err, ErrUnknown):
			return refuse(http.StatusGatewayTimeout, "the store did not answer in time")
		default:
			return unavailable("the store can't be reached")
		}
	}
}

func cancelled(absent bool) reply {
	if absent {
		return refuse(http.StatusGone, "no such job")
	}

	return accept(platform.EncodeState(platform.StateCancelled))
}

func (h *Handler) pending(q work.Queue) reply {
	b := h.follower.Book()
	if !hasJobs(b) {
		return unavailable("the ledger was not read yet")
	}

	return accept(platform.EncodePending(b.Pending(q.Name)))
}
