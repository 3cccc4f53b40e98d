package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// bodyCost is the memory that a byte of a body takes: once in the pieces it is read into, once in the whole that is decoded.
	bodyCost = 2
	// slowGrace and minBytesPerSecond bound the time of a body: after slowGrace it must have arrived at minBytesPerSecond on average.
	// The grace is the platform's usual limit for idle connections, after which its clients give up.
	slowGrace         = 15 * time.Second
	minBytesPerSecond = 1 << 10
	// writeTimeout bounds the time for a response; the longest call that a peer relays takes as long.
	writeTimeout = 30 * time.Second
	retrySeconds = "1"
)

// ErrSlow means that a body arrived too slowly.
var ErrSlow = merry.Sentinel("ingress: the body did not arrive in time")

// ErrBusy means that a body has arrived while almost all connections are being served.
var ErrBusy = merry.Sentinel("ingress: too many requests are being served")

// body is a request body whose bytes are charged to the budget.
type body struct {
	io.ReadCloser
	// request is the server's request, to which trailers are added at the end of the body.
	request *http.Request
	conn    *conn
	meter   *meter
	began   time.Time
	// until is the caller's deadline, or zero.
	until    time.Time
	received int64
	// committed is set when the body may have been passed on.
	committed atomic.Bool
	// err is the result of the last read, which all later reads repeat.
	err error
}

// SetDeadline sets the time until which a body must have arrived, unless the body is not from a server of a gate.
func SetDeadline(b io.Reader, until time.Time) {
	if own, ok := b.(*body); ok {
		own.until = until
	}
}

// IsRefused reports whether a body could not be read because the gate gave it up.
func IsRefused(err error) bool {
	return errors.Is(err, ErrShed) || errors.Is(err, ErrSlow) || errors.Is(err, ErrBusy) || errors.Is(err, ErrStopping)
}

// Read implements io.Reader. The error is ErrShed or ErrSlow if the gate gives the body up.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.read(p)
	switch {
	case errors.Is(err, ErrShed):
		b.conn.listener.gate.observe(ReasonBodyShed)
	case errors.Is(err, ErrSlow):
		b.conn.listener.gate.observe(ReasonBodySlow)
	case errors.Is(err, io.EOF):
		b.request.Trailer = nil
		b.conn.listener.enter(b.conn, phaseServing)
		if !b.committed.Load() && b.conn.listener.isBusy() {
			err = ErrBusy
			b.conn.listener.gate.observe(ReasonBusy)
		}
	}
	b.err = err

	return n, err
}

func (b *body) read(p []byte) (int, error) {
	// An error means that the connection is closed, which the read reports.
	own := b.conn.listener.gate.ownTimes
	if !own {
		_ = b.conn.SetReadDeadline(b.deadline())
	}
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	if b.committed.Load() {
		return n, err
	}
	if shed := b.meter.charge(int64(n), int64(n)*bodyCost); shed != nil {
		return 0, shed
	}
	switch {
	case own && err != nil && !errors.Is(err, io.EOF):
		return n, b.givenUp(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, b.givenUp(ErrSlow)
	case errors.Is(err, io.EOF) && !b.meter.settle():
		return n, ErrShed
	}

	return n, err
}

// givenUp returns why the rest of the body is not read, which is otherwise unless the gate has given it up.
func (b *body) givenUp(otherwise error) error {
	switch {
	case b.meter.isShed():
		return ErrShed
	case b.conn.listener.gate.requests.Err() != nil:
		return ErrStopping
	default:
		return otherwise
	}
}

// deadline returns the time at which the body is too slow unless more of it arrives.
func (b *body) deadline() time.Time {
	t := b.began.Add(slowGrace + time.Duration(b.received)*time.Second/minBytesPerSecond)
	if !b.until.IsZero() && b.until.Before(t) {
		return b.until
	}

	return t
}

// responseWriter prepares the connection before a response is written.
type responseWriter struct {
	http.ResponseWriter
	conn     *conn
	body     *body
	prepared bool
	// length is that of the request's body; negative if it is not known.
	length int64
}

// Unwrap lets an http.ResponseController reach the server's writer.
func (w *responseWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.prepare(&status)
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.prepare(nil)

	return w.ResponseWriter.Write(p)
}

// refuse answers a request without a body that is not passed to the handler.
func (w *responseWriter) refuse(why Reason) {
	w.conn.listener.gate.observe(why)
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", retrySeconds)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// prepare keeps the server from waiting for the client to take the response or to send the rest of the body. If the gate has given the
// body up, a 4xx status of the handler becomes 503.
func (w *responseWriter) prepare(status *int) {
	if w.prepared {
		return
	}
	w.prepared = true
	if (w.conn.isLast() || w.conn.listener.isDraining()) && !w.conn.goesBeyond(w.length) {
		w.Header().Set("Connection", "close")
	}
	if w.conn.listener.gate.ownTimes {
		w.prepareOwn()
		return
	}
	// Errors of these calls mean that the connection is closed.
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if w.body == nil || errors.Is(w.body.err, io.EOF) {
		return
	}
	// The server reads the rest of the body before it sends the header. It finds what has arrived and closes the connection if
	// that is not all.
	_ = w.conn.SetReadDeadline(past)
	if !IsRefused(w.body.err) {
		return
	}
	w.Header().Set("Connection", "close")
	if status != nil && *status >= http.StatusBadRequest && *status < http.StatusInternalServerError {
		*status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", retrySeconds)
	}
}
