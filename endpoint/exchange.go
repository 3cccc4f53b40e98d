package endpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"lycheehook.example/lycheehook/refusal"
)

// maxInterim bounds the interim (1xx) answers before the final one.
const maxInterim = 5

// Unsent is an attempt of which no byte has left; only it can make a refusal.NotRunError.
type Unsent struct {
	exchange *exchange
}

// Sent is an attempt of which a byte may have left; only it can make a refusal.UnknownError.
type Sent struct {
	exchange *exchange
}

// exchange is one request and its answer on one connection.
type exchange struct {
	ctx        context.Context
	connection *connection
	slot       Slot
	// stop ends the watch over the caller's context and reports whether the connection was still open.
	stop func() bool
	// body is the caller's body if it is streamed.
	body *callerBody
	// writing has the result of a write that goes on beside the answer; nil when the request was written whole.
	writing chan error
}

// begin binds an exchange to the caller's context: when that ends, the connection is closed, so that a late answer
// can reach nobody.
func begin(ctx context.Context, c *connection, slot Slot) Unsent {
	deadline, _ := ctx.Deadline()
	c.begin(deadline)
	x := &exchange{ctx: ctx, connection: c, slot: slot}
	x.stop = context.AfterFunc(ctx, func() { _ = c.net.Close() })

	return Unsent{exchange: x}
}

// Refuse ends the attempt with the promise that it was not run.
func (u Unsent) Refuse(code refusal.Code, err error) *refusal.NotRunError {
	u.exchange.abort()

	return refusal.Refuse(code, "endpoint %s: %v", u.exchange.slot.Endpoint().Name, err)
}

// Uncertain ends the attempt without knowing whether it ran.
func (s Sent) Uncertain(code refusal.Code, err error) *refusal.UnknownError {
	s.exchange.abort()

	return refusal.Uncertain(code, "endpoint %s: %v", s.exchange.slot.Endpoint().Name, err)
}

// Streaming is an attempt whose body is being sent beside the answer; it ends as Unsent or Sent by what left.
type Streaming struct {
	exchange *exchange
}

// Write sends the request whole; on failure the error says exactly whether a byte may have left.
func (u Unsent) Write(r *http.Request) (Sent, error) {
	if err := u.exchange.write(r); err != nil {
		return Sent{}, u.exchange.failure(err)
	}

	return Sent(u), nil
}

// Stream begins to send a request whose body is not held.
func (u Unsent) Stream(r *http.Request) Streaming {
	x := u.exchange
	x.writing = make(chan error, 1)
	go func() {
		err := x.write(r)
		if err != nil {
			// The reader of the answer learns of it by the closed connection.
			_ = x.connection.net.Close()
		}
		x.writing <- err
	}()

	return Streaming(u)
}

// Answer reads the head of the answer.
func (s Sent) Answer(r *http.Request) (*http.Response, error) {
	resp, err := s.exchange.readHead(r)
	if err != nil {
		return nil, s.Uncertain(s.exchange.codeOf(err), err)
	}

	return s.checked(resp)
}

// Answer reads the head of the answer; a failure of the request itself is told before that of the answer.
func (g Streaming) Answer(r *http.Request) (*http.Response, error) {
	x := g.exchange
	resp, err := x.readHead(r)
	if err == nil {
		return Sent(g).checked(resp)
	}

	// Closing the connection ends a write to it; a write that waits for the caller's body goes on by itself.
	_ = x.connection.net.Close()
	select {
	case werr := <-x.writing:
		if werr != nil {
			return nil, x.failure(werr)
		}
	case <-time.After(dialTimeout):
	}

	return nil, Sent(g).Uncertain(x.codeOf(err), err)
}

// checked ends the attempt if the end of the answer could not be told from a cut.
func (s Sent) checked(resp *http.Response) (*http.Response, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, s.Uncertain(refusal.AnswerIncomplete, errors.New("answer has neither a length nor an end mark"))
	}
	s.exchange.connection.silence = silenceTimeout

	return resp, nil
}

// failure tells whether a byte left before the write failed.
func (x *exchange) failure(err error) error {
	if x.connection.written.Load() == 0 {
		return Unsent{exchange: x}.Refuse(refusal.NoEndpoint, err)
	}

	return Sent{exchange: x}.Uncertain(x.codeOf(err), err)
}

func (x *exchange) write(r *http.Request) error {
	c := x.connection
	c.writer.Reset(c)
	if err := r.Write(c.writer); err != nil {
		return err
	}

	return c.writer.Flush()
}

func (x *exchange) readHead(r *http.Request) (*http.Response, error) {
	for range maxInterim {
		resp, err := http.ReadResponse(x.connection.reader, r)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			x.connection.headLeft = -1
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}

	return nil, errors.New("no final answer after interim ones")
}

// finish returns the connection for reuse after a whole answer, unless either side is done with it.
func (x *exchange) finish(resp *http.Response) {
	open := x.stop()
	if x.writing != nil {
		select {
		case err := <-x.writing:
			open = open && err == nil
		default:
			// The endpoint answered before it read the whole request.
			open = false
		}
	}
	if !open || resp.Close {
		x.discard()
		return
	}
	x.slot.state.conns.put(x.connection)
}

// abort closes the connection, so that nothing more is sent or received on it.
func (x *exchange) abort() {
	x.stop()
	x.discard()
}

func (x *exchange) discard() {
	x.slot.state.conns.discard(x.connection)
}

func (x *exchange) codeOf(err error) refusal.Code {
	var timeout interface{ Timeout() bool }
	switch {
	case x.body != nil && x.body.failed.Load(), errors.Is(x.ctx.Err(), context.Canceled):
		return refusal.CallerInterrupted
	case x.ctx.Err() != nil, errors.As(err, &timeout) && timeout.Timeout():
		return refusal.EndpointTimedOut
	default:
		return refusal.OutcomeUnknown
	}
}

// callerBody tells failures of the caller's body from those of the connection.
type callerBody struct {
	io.Reader
	touched atomic.Bool
	failed  atomic.Bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.touched.Store(true)
	n, err := b.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(true)
	}

	return n, err
}
