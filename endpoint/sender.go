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

// Request is one request of a caller, on its way to an endpoint.
type Request struct {
	ID     string
	Header http.Header
	// Content is the whole body, unless Stream has it.
	Content []byte
	// Stream is a body that is not held; it can be sent only once.
	Stream io.Reader
	// Length is the size of Stream in bytes, or -1 if unknown.
	Length int64
	// Idempotent requests may be sent again after a byte has left.
	Idempotent bool
	// Ready is asked right before the first byte of an attempt leaves; its error ends the request as it is.
	Ready func() error
	// Again is asked before a request is sent again while an earlier attempt may still run; it takes over the slot
	// of that attempt and reports whether another may run beside it.
	Again func(earlier Slot) bool
}

// Answer is the endpoint's answer; Body must be read to its end and closed. A body that is cut short ends with a
// refusal.UnknownError, never with io.EOF.
type Answer struct {
	Status int
	Header http.Header
	// Trailer is filled when the body was read to its end.
	Trailer http.Header
	// Length is the size of the body in bytes, or -1 if its end is marked in the body.
	Length int64
	Body   io.ReadCloser
}

// Sender sends requests to endpoints.
type Sender struct {
	dial   dialFunc
	budget *budget
}

// Option configures a Sender.
type Option func(*Sender)

// WithDial replaces how connections are opened.
func WithDial(d dialFunc) Option {
	return func(s *Sender) { s.dial = d }
}

// NewSender returns a sender that speaks HTTP/1.1 over TCP.
func NewSender(opts ...Option) *Sender {
	s := &Sender{dial: dialTCP, budget: newBudget()}
	for _, opt := range opts {
		opt(s)
	}

	return s
}

// Send sends the request to the slot's endpoint. It tries again, within the retry budget, when no byte left or when
// the request is idempotent, and then moves the slot to another endpoint. The error is a refusal.NotRunError if no
// byte of any attempt left, and a refusal.UnknownError otherwise.
func (s *Sender) Send(ctx context.Context, slot *Slot, req Request) (Answer, error) {
	s.budget.earn()
	if req.Stream != nil {
		req.Stream = &callerBody{Reader: req.Stream}
	}
	var unknown *refusal.UnknownError
	for n := 1; ; n++ {
		answer, err := s.attempt(ctx, slot, req)
		if err == nil && !s.turnedAway(req, answer) {
			return answer, nil
		}
		// Once an attempt may have run, no later refusal can say that the request was not run.
		if !errors.As(err, &unknown) && unknown != nil && err != nil {
			err = unknown
		}
		if n == maxAttempts || ctx.Err() != nil || !s.again(slot, req, err, unknown != nil || err == nil) {
			return answer, err
		}
		if err == nil {
			_ = answer.Body.Close()
			unknown = refusal.Uncertain(refusal.OutcomeUnknown, "endpoint turned the request away while leaving")
		}
	}
}

// turnedAway reports whether a leaving endpoint answered an idempotent request with 503.
func (s *Sender) turnedAway(req Request, a Answer) bool {
	return req.Idempotent && req.Stream == nil && a.Status == http.StatusServiceUnavailable &&
		a.Header.Get(HeaderState) == StateLeaving
}

// again decides whether another attempt may be made and finds a slot for it.
func (s *Sender) again(slot *Slot, req Request, err error, sent bool) bool {
	body, streamed := req.Stream.(*callerBody)
	if streamed && body.touched.Load() {
		return false
	}
	var notRun *refusal.NotRunError
	if !sent {
		// Refusals by Ready are final; those of the connection are worth another try.
		if !errors.As(err, &notRun) || notRun.Code != refusal.NoEndpoint || !s.budget.spend() {
			return false
		}
		slot.swap()

		return true
	}
	if !req.Idempotent || req.Stream != nil || req.Again == nil {
		return false
	}

	return s.budget.spend() && s.beside(slot, req)
}

// beside takes a slot of another endpoint for an attempt while an earlier one may still run.
func (s *Sender) beside(slot *Slot, req Request) bool {
	ask := slot.ask
	ask.Avoid = slot.endpoint.Name
	next, ok := slot.set.Acquire(ask)
	if !ok {
		return false
	}
	if !req.Again(*slot) {
		next.Release()
		return false
	}
	*slot = next

	return true
}

// attempt sends the request once.
func (s *Sender) attempt(ctx context.Context, slot *Slot, req Request) (Answer, error) {
	st := slot.state
	c, err := st.conns.take(ctx, s.dial, slot.set.connectionLimit(st))
	if err != nil {
		if ctx.Err() != nil {
			return Answer{}, refusal.Refuse(codeOfContext(ctx), "endpoint %s: %v", slot.Endpoint().Name, err)
		}
		slot.set.observe(st, true)

		return Answer{}, refusal.Refuse(refusal.NoEndpoint, "endpoint %s: %v", slot.Endpoint().Name, err)
	}

	unsent := begin(ctx, c, *slot)
	if req.Ready != nil {
		if err := req.Ready(); err != nil {
			unsent.exchange.release()
			return Answer{}, err
		}
	}

	r := outgoing(ctx, slot.Endpoint(), req)
	resp, err := exchangeOnce(unsent, r, req) //nolint:bodyclose // answerBody closes it.
	if err != nil {
		s.blame(ctx, slot, c, err)
		var notRun *refusal.NotRunError
		if errors.As(err, &notRun) && ctx.Err() != nil {
			err = refusal.Refuse(codeOfContext(ctx), "%s", notRun.Reason)
		}

		return Answer{}, err
	}

	return s.answer(slot, unsent.exchange, req, resp)
}

// blame records a failure against the endpoint, or against its idle connections when a reused one failed: those may
// have gone silent together, and a new connection has to show whether the endpoint is at fault.
func (s *Sender) blame(ctx context.Context, slot *Slot, c *connection, err error) {
	if errors.Is(err, refusal.Uncertain(refusal.CallerInterrupted, "")) || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if c.reused {
		slot.state.conns.dropIdle()
		return
	}
	slot.set.observe(slot.state, true)
}

func exchangeOnce(u Unsent, r *http.Request, req Request) (*http.Response, error) {
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

// answer checks that the answer belongs to the request and binds its body to the connection.
func (s *Sender) answer(slot *Slot, x *exchange, req Request, resp *http.Response) (Answer, error) {
	st := slot.state
	if foreign(x, req, resp) {
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

// foreign reports whether the answer names another request, or is the one that servers send unasked on a connection
// that was idle for long.
func foreign(x *exchange, req Request, resp *http.Response) bool {
	id := resp.Header.Get(HeaderRequestID)

	return id != "" && id != req.ID || x.connection.reused && resp.StatusCode == http.StatusRequestTimeout
}

// outgoing returns the request in the form of the endpoint's protocol.
func outgoing(ctx context.Context, e fleet.Endpoint, req Request) *http.Request {
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

func codeOfContext(ctx context.Context) refusal.Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.DeadlinePassed
	}

	return refusal.Cancelled
}

// release returns an unused connection.
func (x *exchange) release() {
	if x.stop() {
		x.slot.state.conns.put(x.connection)
		return
	}
	x.discard()
}

// connectionLimit returns how many connections to the endpoint this process may have open.
func (s *Set) connectionLimit(st *state) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := int64(max(st.endpoint.Slots, 1))
	own := max(s.expected(st), st.used)
	part := int64(st.endpoint.Connections) * own / slots

	// One more than the slots leaves a connection for probes.
	return int(max(part, own+1))
}
