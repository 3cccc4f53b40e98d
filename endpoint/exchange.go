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

// maxInterim bounds the number of answers that are read, the interim (1xx) ones among them.
const maxInterim = 5

// Unsent is an attempt of which no byte was written; only it creates a refusal.NotRunError.
type Unsent struct {
	exchange *exchange
}

// Sent is an attempt of which a byte may have been written; only it creates a refusal.UnknownError.
type Sent struct {
	exchange *exchange
}

// exchange is one request and its answer on one connection.
type exchange struct {
	ctx        context.Context
	connection *connection
	slot       Slot
	// stopWatch stops watching the caller's context and reports whether the watch had not yet closed the connection.
	stopWatch func() bool
	// body is the caller's body if it is streamed, otherwise nil.
	body *callerBody
	// writeResult receives the result of a write that runs while the answer is read; nil if the body is not streamed.
	writeResult chan error
}

// startExchange starts an exchange on c. The connection is closed when ctx ends, so that a late answer is not taken for
// that of another request.
func startExchange(ctx context.Context, c *connection, slot Slot) Unsent {
	deadline, _ := ctx.Deadline()
	c.reset(deadline)
	x := &exchange{ctx: ctx, connection: c, slot: slot}
	x.stopWatch = context.AfterFunc(ctx, func() { _ = c.net.Close() })

	return Unsent{exchange: x}
}

// Refuse ends the attempt and returns an error that says the request was not run.
func (u Unsent) Refuse(code refusal.Code, err error) *refusal.NotRunError {
	u.exchange.abort()

	return refusal.Refuse(code, "endpoint %s: %v", u.exchange.slot.Endpoint().Name, err)
}

// Uncertain ends the attempt and returns an error that says the request may have run.
func (s Sent) Uncertain(code refusal.Code, err error) *refusal.UnknownError {
	s.exchange.abort()

	return refusal.Uncertain(code, "endpoint %s: %v", s.exchange.slot.Endpoint().Name, err)
}

// Streaming is an attempt whose body is sent while the answer is read; the bytes written decide whether it ends as
// Unsent or Sent.
type Streaming struct {
	exchange *exchange
}

// Write sends the whole request; the type of its error says whether a byte may have been written.
func (u Unsent) Write(r *http.Request) (Sent, error) {
	if err := u.exchange.write(r); err != nil {
		return Sent{}, u.exchange.writeError(err)
	}

	return Sent(u), nil
}

// Stream starts to send a request whose body is not kept in memory.
func (u Unsent) Stream(r *http.Request) Streaming {
	x := u.exchange
	x.writeResult = make(chan error, 1)
	go func() {
		err := x.write(r)
		if err != nil {
			// Closing the connection unblocks the read of the answer.
			_ = x.connection.net.Close()
		}
		x.writeResult <- err
	}()

	return Streaming(u)
}

// Answer reads the status line and header of the answer.
func (s Sent) Answer(r *http.Request) (*http.Response, error) {
	resp, err := s.exchange.readHead(r)
	if err != nil {
		return nil, s.Uncertain(s.exchange.errorCode(err), err)
	}

	return s.checkFraming(resp)
}

// Answer reads the status line and header of the answer; an error of the write takes precedence over one of the read.
func (g Streaming) Answer(r *http.Request) (*http.Response, error) {
	x := g.exchange
	resp, err := x.readHead(r)
	if err == nil {
		return Sent(g).checkFraming(resp)
	}

	// Closing the connection ends a blocked write to it, but not a read of the caller's body.
	_ = x.connection.net.Close()
	select {
	case werr := <-x.writeResult:
		if werr != nil {
			return nil, x.writeError(werr)
		}
	case <-time.After(dialTimeout):
	}

	return nil, Sent(g).Uncertain(x.errorCode(err), err)
}

// checkFraming ends the attempt if a complete body could not be told from a truncated one.
func (s Sent) checkFraming(resp *http.Response) (*http.Response, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, s.Uncertain(refusal.AnswerIncomplete, errors.New("answer has neither a length nor an end mark"))
	}
	s.exchange.connection.readTimeout = bodyReadTimeout

	return resp, nil
}

// writeError returns the error of a failed write, by whether a byte was written before.
func (x *exchange) writeError(err error) error {
	if x.connection.written.Load() == 0 {
		return Unsent{exchange: x}.Refuse(refusal.NoEndpoint, err)
	}

	return Sent{exchange: x}.Uncertain(x.errorCode(err), err)
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
			x.connection.headRemaining = -1
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}

	return nil, errors.New("no final answer after interim ones")
}

// finish returns the connection to the pool after a complete answer, unless it was closed or is to be closed.
func (x *exchange) finish(resp *http.Response) {
	open := x.stopWatch()
	if x.writeResult != nil {
		select {
		case err := <-x.writeResult:
			open = open && err == nil
		default:
			// The answer ended before the whole request was written.
			open = false
		}
	}
	if !open || resp.Close {
		x.discard()
		return
	}
	x.slot.state.conns.put(x.connection)
}

// abort ends the exchange and closes its connection.
func (x *exchange) abort() {
	x.stopWatch()
	x.discard()
}

func (x *exchange) discard() {
	x.slot.state.conns.discard(x.connection)
}

func (x *exchange) errorCode(err error) refusal.Code {
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

// callerBody records errors of the caller's body, to tell them from errors of the connection.
type callerBody struct {
	io.Reader
	readStarted atomic.Bool
	failed      atomic.Bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.readStarted.Store(true)
	n, err := b.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(true)
	}

	return n, err
}
