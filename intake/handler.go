package intake

import (
	"cmp"
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
	"lycheehook.example/lycheehook/ingress"
	"lycheehook.example/lycheehook/inquiry"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

const (
	// defaultDeadline applies to requests without a valid deadline header.
	defaultDeadline = 3 * time.Second
	// maxDeadline bounds the deadline that a caller may give, since its connection is not closed for another while it waits for the store.
	maxDeadline = 30 * time.Second
	// responseMargin is the part of a caller's deadline that is reserved for sending the response.
	responseMargin = 150 * time.Millisecond
	// defaultMaxBodyBytes limits a request body if the configuration sets no limit.
	defaultMaxBodyBytes = 1 << 20
	// storeRetrySeconds is the Retry-After value of a response that reports the service as unavailable.
	storeRetrySeconds = 1
	// maxDecoding is how many bodies are decoded at once, since decoding takes several times the memory of a body.
	maxDecoding = 2
)

// MethodOther stands in a RequestEvent for all methods that are not served.
const MethodOther = "other"

// Handler serves the requests of callers.
type Handler struct {
	committer  *Committer
	client     *store.Client
	follower   *ledger.Follower
	log        *log.Logger
	observe    Observer
	onStored   func(r store.Record)
	ownerState func(ctx context.Context, j inquiry.Job) (ledger.State, bool)
	confirm    func(ctx context.Context, maxAge time.Duration) bool
	router     atomic.Pointer[Router]
	// decoding has room for the bodies that may be decoded at once.
	decoding chan struct{}
	// early refuses jobs that can't end in time to be of value; nil accepts all.
	early *earlyRejection
	// room refuses jobs for which there is no memory; nil accepts all.
	room      *roomCheck
	unsettled *unsettledWrites
	pending   pendingCounts
}

// Option changes a new handler.
type Option func(*Handler)

// WithStored makes the handler call f with each record that it has stored.
func WithStored(f func(r store.Record)) Option {
	return func(h *Handler) { h.onStored = f }
}

// Observer is called for each response, for logs and metrics.
type Observer func(RequestEvent)

// RequestEvent describes a request and the response to it.
type RequestEvent struct {
	// Method is the method of the request, or MethodOther if it is none of the served ones.
	Method    string
	Job       fleet.JobID
	Queue     fleet.QueueName
	Workspace fleet.WorkspaceName
	Status    int
	// Reason is why the request was refused; empty if it succeeded.
	Reason string
	// Early reports that a job was refused because of the load before it was written, NoRoom that there was no memory for it.
	Early  bool
	NoRoom bool
	// Version is the version of the configuration that was used; zero if there was none.
	Version  int64
	Duration time.Duration
}

// WithOwnerState makes the handler call f for the state of a job that is not known to have ended; f reports whether it
// knows the state.
func WithOwnerState(f func(ctx context.Context, j inquiry.Job) (ledger.State, bool)) Option {
	return func(h *Handler) { h.ownerState = f }
}

// WithConfirm makes the handler call f to confirm that its configuration was the newest at most maxAge ago; f calls SetConfig
// if it finds a newer one.
func WithConfirm(f func(ctx context.Context, maxAge time.Duration) bool) Option {
	return func(h *Handler) { h.confirm = f }
}

// NewHandler returns a handler that refuses all requests until SetConfig is called.
func NewHandler(c *store.Client, f *ledger.Follower, l *log.Logger, observe Observer, options ...Option) *Handler {
	h := &Handler{
		committer: NewCommitter(c, l), client: c, follower: f, log: l, observe: observe, onStored: func(store.Record) {},
		ownerState: func(context.Context, inquiry.Job) (ledger.State, bool) { return ledger.Queued, false },
		confirm:    func(context.Context, time.Duration) bool { return true },
		decoding:   make(chan struct{}, maxDecoding),
		unsettled:  &unsettledWrites{count: map[fleet.JobID]int{}},
	}
	for _, o := range options {
		o(h)
	}

	return h
}

// SetConfig replaces the configuration.
func (h *Handler) SetConfig(c work.Config) {
	h.router.Store(NewRouter(c))
}

// Ready reports whether the handler can serve requests.
func (h *Handler) Ready() bool {
	return h.router.Load() != nil && h.follower.Replica() != nil
}

// response is the response to a request.
type response struct {
	status int
	body   []byte
	reason string
	// retryAfter is the Retry-After value in seconds; zero for no such header.
	retryAfter int
	// early marks a refusal because of the load, noRoom one for want of memory.
	early  bool
	noRoom bool
}

func okResponse(body []byte) response {
	return response{status: http.StatusOK, body: body}
}

func errorResponse(status int, reason string) response {
	return response{status: status, body: platform.EncodeError(reason), reason: reason}
}

// unavailableResponse refuses a request that had no effect and sets Retry-After.
func unavailableResponse(reason string) response {
	r := errorResponse(http.StatusServiceUnavailable, reason)
	r.retryAfter = storeRetrySeconds

	return r
}

func (r response) write(w http.ResponseWriter) {
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(r.retryAfter))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.status)
	// A write error means that the caller has disconnected; there is nobody to report it to.
	_, _ = w.Write(r.body)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	req := request{Request: r, router: h.router.Load(), decoding: h.decoding}
	ctx, cancel := context.WithTimeout(r.Context(), deadline(r))
	defer cancel()
	ingress.SetDeadline(r.Body, start.Add(deadline(r)))

	resp := h.handle(ctx, w, &req)
	resp.write(w)
	a := RequestEvent{
		Method: eventMethod(r.Method), Job: req.id, Queue: req.queue.Name, Workspace: req.workspace, Status: resp.status, Reason: resp.reason, Early: resp.early, NoRoom: resp.noRoom,
		Duration: time.Since(start),
	}
	if req.router != nil {
		a.Version = req.router.Config().Version
	}
	h.observe(a)
}

// eventMethod returns the method of an event, of which there are few, since callers may send any word as a method.
func eventMethod(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	default:
		return MethodOther
	}
}

func (h *Handler) handle(ctx context.Context, w http.ResponseWriter, r *request) response {
	if r.router == nil {
		return unavailableResponse("no configuration yet")
	}
	rest, refusal := h.route(ctx, r)
	if refusal != nil {
		return *refusal
	}
	if rest == "" && r.Method == http.MethodGet {
		return h.pendingCount(r.queue)
	}
	if !platform.ValidJobID(rest) {
		return errorResponse(http.StatusBadRequest, "a job's ID has 16 hexadecimal digits")
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
		return errorResponse(http.StatusMethodNotAllowed, "use GET, POST or DELETE")
	}
}

// deadline returns the time limit of a request: the deadline that the caller gave, up to maxDeadline, less responseMargin, but at least
// responseMargin.
func deadline(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(platform.HeaderDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return defaultDeadline
	}
	given := time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond

	return max(responseMargin, given-responseMargin)
}

// submit accepts a job only after it is stored.
func (h *Handler) submit(ctx context.Context, w http.ResponseWriter, r *request) response {
	if refusal := h.refuseFull(ctx, r); refusal != nil {
		return *refusal
	}
	// Callers of an open queue share an account, since they have no workspace.
	ingress.SetAccount(ctx, cmp.Or(string(r.workspace), string(r.queue.Name)))
	j, err := r.decodeJob(w)
	switch {
	case err == nil:
	case ingress.IsRefused(err):
		return unavailableResponse(err.Error())
	default:
		return errorResponse(http.StatusBadRequest, err.Error())
	}

	return h.store(ctx, r, j)
}

// store stores a submitted job, unless there is no room for it or it is refused early.
func (h *Handler) store(ctx context.Context, r *request, j work.Job) response {
	if refusal := h.refuseLarge(ctx, j); refusal != nil {
		return *refusal
	}
	value, err := ledger.Encode(j)
	if err != nil {
		return errorResponse(http.StatusInternalServerError, err.Error())
	}
	if refusal := h.refuseEarly(ctx, j, r.queue); refusal != nil {
		return *refusal
	}
	found, err := h.putJob(ctx, j.ID, value)
	switch {
	case err == nil:
		return okResponse(platform.EncodeState(platform.StateQueued))
	case found != nil:
		return r.duplicateResponse(*found)
	case errors.Is(err, ErrNotStored):
		return unavailableResponse("the store can't be reached")
	default:
		return errorResponse(http.StatusGatewayTimeout, "the store did not answer in time")
	}
}

// put stores a record if its key still has revision base, and reports it to the follower and to onStored. If the key has
// another revision, put returns the current record and store.ErrConflict.
func (h *Handler) put(ctx context.Context, key string, value []byte, base uint64) (*store.Record, error) {
	revision, found, err := h.committer.Put(ctx, key, value, base)
	if err == nil {
		r := store.Record{Key: key, Value: value, Revision: revision}
		h.follower.Learn(r)
		h.onStored(r)
	}

	return found, err
}

// decodeJob returns the job that a request submits.
func (r *request) decodeJob(w http.ResponseWriter) (work.Job, error) {
	limit := r.router.Config().MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return work.Job{}, merry.Prepend(&http.MaxBytesError{Limit: limit}, "body can't be read")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return work.Job{}, merry.Prepend(err, "body can't be read")
	}
	j, err := r.decode(body)
	if err != nil {
		return work.Job{}, err
	}
	j.ID, j.Workspace, j.Submitted = r.id, r.workspace, time.Now().UTC()
	j.Queue, j.Pool, j.MaxAttempts = r.queue.Name, r.queue.Pool, r.queue.MaxAttempts
	j.ConfigRevision = r.router.Config().Revision

	return j, nil
}

// decode decodes a body while few others are being decoded. It waits without a limit, since decoding takes milliseconds.
func (r *request) decode(body []byte) (work.Job, error) {
	if r.decoding != nil {
		r.decoding <- struct{}{}
		defer func() { <-r.decoding }()
	}

	return platform.DecodeJob(body)
}

// duplicateResponse answers a submission whose job ID already has a record. It is accepted as a repeat if the
// caller can access that job, unless the record only marks the ID as cancelled.
func (r *request) duplicateResponse(found store.Record) response {
	j, err := ledger.Decode[work.Job](found.Key, found.Value)
	switch {
	case err != nil:
		return errorResponse(http.StatusInternalServerError, err.Error())
	case !r.canAccess(j):
		return errorResponse(http.StatusConflict, "the ID is in use")
	case len(j.Steps) == 0:
		return errorResponse(http.StatusConflict, "the job was cancelled before it came")
	default:
		return okResponse(platform.EncodeState(platform.StateQueued))
	}
}
