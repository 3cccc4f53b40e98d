package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// Request is a caller's request to an endpoint.
type Request struct {
	ID     string
	Header http.Header
	// Content is the whole body, unless Stream is set.
	Content []byte
	// Stream is a body that is not kept in memory; it can be sent only once.
	Stream io.Reader
	// Length is the size of Stream in bytes, or -1 if unknown.
	Length int64
	// Idempotent requests may be sent again after a byte was written.
	Idempotent bool
	// BeforeSend is called just before an attempt is written; its error is returned unchanged, without a retry.
	BeforeSend func() error
	// BeforeRetry is called before a retry while an earlier attempt may still run; it reports whether a second attempt may
	// run concurrently and, if so, takes ownership of the slot of the first.
	BeforeRetry func(earlier Slot) bool
}

// Answer is the endpoint's answer; Body must be read to its end and closed. A truncated body ends with a
// refusal.UnknownError, never with io.EOF.
type Answer struct {
	Status int
	Header http.Header
	// Trailer is set once the body was read to its end.
	Trailer http.Header
	// Length is the size of the body in bytes, or -1 for a chunked body.
	Length int64
	Body   io.ReadCloser
}

// Sender sends requests to endpoints.
type Sender struct {
	dial   dialFunc
	budget *retryBudget
}

// Option configures a Sender.
type Option func(*Sender)

// WithDial sets the function that opens connections.
func WithDial(d dialFunc) Option {
	return func(s *Sender) { s.dial = d }
}

// NewSender returns a sender that uses HTTP/1.1, by default over TCP.
func NewSender(opts ...Option) *Sender {
	s := &Sender{dial: dialTCP, budget: newRetryBudget()}
	for _, opt := range opts {
		opt(s)
	}

	return s
}

// Send sends the request to the slot's endpoint. It retries within the retry budget if no byte was written or the
// request is idempotent, and then moves the slot to another endpoint if one is free. Unless BeforeSend failed, the error
// is a refusal.NotRunError if no byte of any attempt was written, and a refusal.UnknownError otherwise.
func (s *Sender) Send(ctx context.Context, slot *Slot, req Request) (Answer, error) {
	s.budget.deposit()
	if req.Stream != nil {
		req.Stream = &callerBody{Reader: req.Stream}
	}
	var unknown *refusal.UnknownError
	for n := 1; ; n++ {
		answer, err := s.attempt(ctx, slot, req)
		if err == nil && !s.rejectedByLeaving(req, answer) {
			return answer, nil
		}
		// An earlier attempt may have run, so a later refusal must not report the request as not run.
		if !errors.As(err, &unknown) && unknown != nil && err != nil {
			err = unknown
		}
		if n == maxAttempts || ctx.Err() != nil || !s.prepareRetry(slot, req, err, unknown != nil || err == nil) {
			return answer, err
		}
		if err == nil {
			_ = answer.Body.Close()
			unknown = refusal.Uncertain(refusal.OutcomeUnknown, "leaving endpoint rejected the request")
		}
	}
}

// rejectedByLeaving reports whether a leaving endpoint answered an idempotent request with 503.
func (s *Sender) rejectedByLeaving(req Request, a Answer) bool {
	return req.Idempotent && req.Stream == nil && a.Status == http.StatusServiceUnavailable &&
		a.Header.Get(HeaderState) == StateLeaving
}

// prepareRetry reports whether another attempt may be made, and moves the slot for it.
func (s *Sender) prepareRetry(slot *Slot, req Request, err error, sent bool) bool {
	body, streamed := req.Stream.(*callerBody)
	if streamed && body.readStarted.Load() {
		return false
	}
	var notRun *refusal.NotRunError
	if !sent {
		// A refusal by BeforeSend is final; only connection errors are retried.
		if !errors.As(err, &notRun) || notRun.Code != refusal.NoEndpoint || !s.budget.withdraw() {
			return false
		}
		slot.moveElsewhere()

		return true
	}
	if !req.Idempotent || req.Stream != nil || req.BeforeRetry == nil {
		return false
	}

	return s.budget.withdraw() && s.acquireRetrySlot(slot, req)
}

// acquireRetrySlot acquires a slot of another endpoint for a retry while an earlier attempt may still run.
func (s *Sender) acquireRetrySlot(slot *Slot, req Request) bool {
	slotReq := slot.request
	slotReq.Avoid = slot.endpoint.Name
	next, ok := slot.set.Acquire(slotReq)
	if !ok {
		return false
	}
	if !req.BeforeRetry(*slot) {
		next.Release()
		return false
	}
	*slot = next

	return true
}

// attempt sends the request once.
func (s *Sender) attempt(ctx context.Context, slot *Slot, req Request) (Answer, error) {
	st := slot.state
	c, err := st.conns.get(ctx, s.dial, slot.set.connectionLimit(st))
	if err != nil {
		if ctx.Err() != nil {
			return Answer{}, refusal.Refuse(contextCode(ctx), "endpoint %s: %v", slot.Endpoint().Name, err)
		}
		slot.set.observe(st, true)

		return Answer{}, refusal.Refuse(refusal.NoEndpoint, "endpoint %s: %v", slot.Endpoint().Name, err)
	}

	unsent := startExchange(ctx, c, *slot)
	if req.BeforeSend != nil {
		if err := req.BeforeSend(); err != nil {
			unsent.exchange.release()
			return Answer{}, err
		}
	}

	r := newHTTPRequest(ctx, slot.Endpoint(), req)
	resp, err := roundTrip(unsent, r, req) //nolint:bodyclose // answerBody closes it.
	if err != nil {
		s.recordFailure(ctx, slot, c, err)
		var notRun *refusal.NotRunError
		if errors.As(err, &notRun) && ctx.Err() != nil {
			err = refusal.Refuse(contextCode(ctx), "%s", notRun.Reason)
		}

		return Answer{}, err
	}

	return s.answer(slot, unsent.exchange, req, resp)
}

// recordFailure counts a failure of the endpoint. If a reused connection failed, it closes the idle ones instead:
// they may be broken too, and only a new connection shows whether the endpoint is at fault.
func (s *Sender) recordFailure(ctx context.Context, slot *Slot, c *connection, err error) {
	if errors.Is(err, refusal.Uncertain(refusal.CallerInterrupted, "")) || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if c.reused {
		slot.state.conns.closeIdle()
		return
	}
	slot.set.observe(slot.state, true)
}

func roundTrip(u Unsent, r *http.Request, req Request) (*http.Response, error) {
	if req.Stream != nil {
		u.exchange.body, _ = req.Stream.(*callerBody)
		return u.Stream(r).Answer(r)
	}
	sent, err := u.Write(r)
	if err != nil {
		return nil, err
	}

	return sent.Answer(r)
}

// answer checks that the answer belongs to the request and returns it with its body.
func (s *Sender) answer(slot *Slot, x *exchange, req Request, resp *http.Response) (Answer, error) {
	st := slot.state
	if mismatched(x, req, resp) {
		slot.set.observe(st, true)
		return Answer{}, Sent{exchange: x}.Uncertain(refusal.OutcomeUnknown, errors.New("answer belongs to another request"))
	}
	if resp.Header.Get(HeaderState) == StateLeaving {
		slot.set.setLeaving(st, true)
	}
	slot.set.observe(st, resp.StatusCode >= http.StatusInternalServerError)

	return Answer{
		Status: resp.StatusCode, Header: resp.Header, Trailer: resp.Trailer, Length: resp.ContentLength,
		Body: &answerBody{exchange: x, resp: resp},
	}, nil
}

// mismatched reports whether the answer names another request, or is a 408 on a reused connection: servers send that
// unsolicited on connections that were idle for long.
func mismatched(x *exchange, req Request, resp *http.Response) bool {
	id := resp.Header.Get(HeaderRequestID)

	return id != "" && id != req.ID || x.connection.reused && resp.StatusCode == http.StatusRequestTimeout
}

// newHTTPRequest returns req as an HTTP request to endpoint e.
func newHTTPRequest(ctx context.Context, e fleet.Endpoint, req Request) *http.Request {
	h := EndToEnd(req.Header)
	h.Set(HeaderRequestID, req.ID)
	h.Set(HeaderIdempotent, strconv.FormatBool(req.Idempotent))
	if d, ok := ctx.Deadline(); ok {
		h.Set(HeaderTimeout, time.Until(d).Round(time.Millisecond).String())
	}
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "")
	}

	address := e.Address.String()
	r := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address, Path: "/"}, Host: address, Header: h,
	}
	switch {
	case req.Stream != nil:
		r.Body, r.ContentLength = io.NopCloser(req.Stream), req.Length
	case len(req.Content) > 0:
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(req.Content)), int64(len(req.Content))
	default:
		r.Body = http.NoBody
	}

	return r
}

func contextCode(ctx context.Context) refusal.Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.DeadlinePassed
	}

	return refusal.Cancelled
}

// release returns an unused connection to the pool.
func (x *exchange) release() {
	if x.stopWatch() {
		x.slot.state.conns.put(x.connection)
		return
	}
	x.discard()
}

// connectionLimit returns the maximum number of connections to the endpoint that this process may open.
func (s *Set) connectionLimit(st *endpointState) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := int64(max(st.endpoint.Slots, 1))
	own := max(s.expected(st), st.used)
	part := int64(st.endpoint.Connections) * own / slots

	// One connection more than slots is left for probes.
	return int(max(part, own+1))
}
