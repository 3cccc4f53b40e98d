package connection

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// Pool is the HTTP connections to one address. A connection may go silent for good without an error, and then those opened
// before it may have as well: once a call gets no answer before its deadline, the idle connections are closed, so that the next
// call opens a new one.
type Pool struct {
	transport *http.Transport
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns a pool without connections, which keeps up to maxIdle idle ones for idleTimeout each.
func NewPool(dial Dial, maxIdle int, idleTimeout time.Duration) *Pool {
	return &Pool{transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.transport.CloseIdleConnections()
}

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := p.transport.RoundTrip(r)
	if err != nil {
		p.closeIdleAfter(err)
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, pool: p}

	return resp, nil
}

func (p *Pool) closeIdleAfter(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		p.CloseIdle()
	}
}

// body is the body of a response, which may also end at the deadline.
type body struct {
	io.ReadCloser
	pool *Pool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.pool.closeIdleAfter(err)
	}

	return n, err
}
