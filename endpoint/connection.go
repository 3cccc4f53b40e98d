package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	dialTimeout  = time.Second
	writeTimeout = 5 * time.Second
	// silenceTimeout bounds the time between two reads of an answer's body.
	silenceTimeout = 10 * time.Second
	// silentAfter is the time since a connection spoke after which it is probed before it is used.
	silentAfter = 2 * time.Second
	// maxHeaderSize bounds the head of an answer in bytes.
	maxHeaderSize = 1 << 20
	bufferSize    = 4 << 10
	// keepAliveIdle and keepAliveInterval find a peer that is gone while a request waits for its answer.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// userTimeout bounds how long sent bytes may stay unacknowledged.
	userTimeout = 5 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 18
)

// Sentinel errors of connections.
var (
	// ErrHeaderTooLarge says that the head of an answer exceeds its bound.
	ErrHeaderTooLarge = merry.Sentinel("endpoint: head of the answer too large")
	errClosed         = merry.Sentinel("endpoint: connections are closed")
	errTooMany        = merry.Sentinel("endpoint: all connections are in use")
)

// connection is one connection to an endpoint; at most one request is outstanding on it.
type connection struct {
	net    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// written counts the bytes of the current request that left.
	written atomic.Int64
	// headLeft bounds what may still be read of the head; negative for no bound.
	headLeft int64
	// deadline bounds the current request; silence bounds each read, zero for no bound.
	deadline time.Time
	silence  time.Duration
	reused   bool
	spoke    time.Time
}

// connections are the open connections to one endpoint.
type connections struct {
	address netip.AddrPort

	mu     sync.Mutex
	idle   []*connection
	open   int
	closed bool
}

func newConnections(a netip.AddrPort) *connections {
	return &connections{address: a}
}

// Write implements io.Writer and counts what left.
func (c *connection) Write(p []byte) (int, error) {
	if err := c.net.SetWriteDeadline(c.earliest(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.net.Write(p)
	c.written.Add(int64(n))

	return n, err
}

// Read implements io.Reader under the deadline of the request and of the phase.
func (c *connection) Read(p []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, merry.Wrap(ErrHeaderTooLarge)
	}
	if c.headLeft > 0 {
		p = p[:min(int64(len(p)), c.headLeft)]
	}
	if err := c.net.SetReadDeadline(c.earliest(c.silence)); err != nil {
		return 0, err
	}
	n, err := c.net.Read(p)
	if n > 0 {
		c.spoke = time.Now()
	}
	if c.headLeft > 0 {
		c.headLeft -= int64(n)
	}

	return n, err
}

func (c *connection) earliest(d time.Duration) time.Time {
	if d == 0 {
		return c.deadline
	}
	t := time.Now().Add(d)
	if !c.deadline.IsZero() && c.deadline.Before(t) {
		return c.deadline
	}

	return t
}

// begin makes the connection ready for one exchange.
func (c *connection) begin(deadline time.Time) {
	c.written.Store(0)
	c.headLeft, c.deadline, c.silence = maxHeaderSize, deadline, 0
}

// quiet reports whether an idle connection is open and has sent nothing unasked.
func (c *connection) quiet() bool {
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN

		return true
	})

	return quiet && err == nil
}

// take returns an idle connection that spoke lately, or a new one.
func (p *connections) take(ctx context.Context, dial dialFunc, limit int) (*connection, error) {
	for c := p.pop(); c != nil; c = p.pop() {
		if c.quiet() && time.Since(c.spoke) < silentAfter {
			c.reused = true
			return c, nil
		}
		p.discard(c)
	}

	return p.connect(ctx, dial, limit)
}

// connect opens a new connection within the limit.
func (p *connections) connect(ctx context.Context, dial dialFunc, limit int) (*connection, error) {
	p.mu.Lock()
	if p.closed || p.open >= max(limit, 1) {
		closed := p.closed
		p.mu.Unlock()
		if closed {
			return nil, merry.Wrap(errClosed)
		}

		return nil, merry.Wrap(errTooMany)
	}
	p.open++
	p.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := dial(ctx, p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()

		return nil, err
	}
	c := &connection{net: nc, spoke: time.Now()}
	c.reader = bufio.NewReaderSize(c, bufferSize)
	c.writer = bufio.NewWriterSize(c, bufferSize)

	return c, nil
}

// pop returns the idle connection that spoke last, or nil.
func (p *connections) pop() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]

	return c
}

// popSilent returns an idle connection that did not speak since the given time, or nil.
func (p *connections) popSilent(since time.Time) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range p.idle {
		if c.spoke.Before(since) {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return c
		}
	}

	return nil
}

// put makes a connection idle after a whole exchange.
func (p *connections) put(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.reader.Buffered() > 0 {
		p.open--
		_ = c.net.Close()

		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection that was taken.
func (p *connections) discard(c *connection) {
	_ = c.net.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// dropIdle closes every idle connection, because one of them was found silent.
func (p *connections) dropIdle() {
	for c := p.pop(); c != nil; c = p.pop() {
		p.discard(c)
	}
}

// close closes what is idle now and what becomes idle later.
func (p *connections) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.dropIdle()
}

// dialFunc opens a connection to an address.
type dialFunc func(context.Context, netip.AddrPort) (net.Conn, error)

func dialTCP(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			cerr := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
			if cerr != nil {
				return cerr
			}

			return err
		},
	}

	return d.DialContext(ctx, "tcp", a.String())
}

var (
	_ io.Reader = (*connection)(nil)
	_ io.Writer = (*connection)(nil)
)
