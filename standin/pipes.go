package standin

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// errNoListener means that nothing listens at an address.
var errNoListener = merry.Sentinel("standin: connection refused")

// Pipes is an in-memory network of HTTP servers, for tests with a fake clock. Its connections can be made to go silent.
type Pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	open      []*pipeConn
	dials     map[string]int
}

// NewPipes returns a network without servers.
func NewPipes() *Pipes {
	return &Pipes{listeners: map[string]*pipeListener{}, dials: map[string]int{}}
}

// Serve serves a handler at an address until the returned function is called.
func (p *Pipes) Serve(address string, h http.Handler) (stop func()) {
	l := &pipeListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	p.mu.Lock()
	p.listeners[address] = l
	p.mu.Unlock()
	s := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Serve returns once the server is closed; there is nothing else that can end it.
		_ = s.Serve(l)
	}()

	return func() {
		_ = s.Close()
		<-done
	}
}

// Dial opens a connection to the server at an address; it fits http.Transport.
func (p *Pipes) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	p.mu.Lock()
	l, ok := p.listeners[address]
	p.dials[address]++
	p.mu.Unlock()
	if !ok {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: errNoListener}
	}
	client, server := net.Pipe()
	select {
	case l.accepted <- server:
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: errNoListener}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: ctx.Err()}
	}
	c := &pipeConn{Conn: client}
	p.mu.Lock()
	p.open = append(p.open, c)
	p.mu.Unlock()

	return c, nil
}

// Dials returns how many connections to an address were opened.
func (p *Pipes) Dials(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.dials[address]
}

// Silence makes all open connections silent for good, without closing them; later connections work.
func (p *Pipes) Silence() {
	p.SilenceSome(func() bool { return true })
}

// SilenceSome makes those open connections silent for good for which pick returns true.
func (p *Pipes) SilenceSome(pick func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = slices.DeleteFunc(p.open, func(c *pipeConn) bool {
		silent := pick()
		if silent {
			c.silent.Store(true)
		}

		return silent
	})
}

// pipeConn is the client's end of a connection.
type pipeConn struct {
	net.Conn
	silent atomic.Bool
}

// Read discards what arrives once the connection is silent.
func (c *pipeConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write discards b once the connection is silent.
func (c *pipeConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}

	return c.Conn.Write(b)
}

type pipeListener struct {
	address  string
	accepted chan net.Conn
	closing  sync.Once
	closed   chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.closing.Do(func() { close(l.closed) })

	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddress(l.address) }

type pipeAddress string

func (pipeAddress) Network() string  { return "pipe" }
func (a pipeAddress) String() string { return string(a) }
