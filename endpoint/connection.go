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
	// bodyReadTimeout bounds each read of an answer's body.
	bodyReadTimeout = 10 * time.Second
	// maxReuseIdle is the time since its last read after which an idle connection is closed instead of reused.
	maxReuseIdle = 2 * time.Second
	// maxHeaderSize bounds the status line and header of an answer in bytes.
	maxHeaderSize = 1 << 20
	bufferSize    = 4 << 10
	// keepAliveIdle and keepAliveInterval let TCP keep-alive detect a lost peer while a request waits for its answer.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// userTimeout is the value of TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged.
	userTimeout = 5 * time.Second
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 18
)

// Errors of connections.
var (
	// ErrHeaderTooLarge means that the status line and header of an answer exceed maxHeaderSize.
	ErrHeaderTooLarge = merry.Sentinel("endpoint: head of the answer too large")
	errPoolClosed     = merry.Sentinel("endpoint: connections are closed")
	errConnLimit      = merry.Sentinel("endpoint: all connections are in use")
)

// connection is a connection to an endpoint with at most one request in flight.
type connection struct {
	net    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// written counts the bytes of the current request that were written to the network.
	written atomic.Int64
	// headRemaining is the number of bytes that may still be read of the header; negative means no limit.
	headRemaining int64
	// deadline bounds the current request and readTimeout each read; zero means no limit.
	deadline    time.Time
	readTimeout time.Duration
	reused      bool
	lastRead    time.Time
}

// connPool is the pool of connections to one endpoint.
type connPool struct {
	address netip.AddrPort

	mu     sync.Mutex
	idle   []*connection
	open   int
	closed bool
}

func newConnPool(a netip.AddrPort) *connPool {
	return &connPool{address: a}
}

// Write implements io.Writer; it counts the bytes written.
func (c *connection) Write(p []byte) (int, error) {
	if err := c.net.SetWriteDeadline(c.deadlineAfter(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.net.Write(p)
	c.written.Add(int64(n))

	return n, err
}

// Read implements io.Reader within the request deadline, the read timeout and the header limit.
func (c *connection) Read(p []byte) (int, error) {
	if c.headRemaining == 0 {
		return 0, merry.Wrap(ErrHeaderTooLarge)
	}
	if c.headRemaining > 0 {
		p = p[:min(int64(len(p)), c.headRemaining)]
	}
	if err := c.net.SetReadDeadline(c.deadlineAfter(c.readTimeout)); err != nil {
		return 0, err
	}
	n, err := c.net.Read(p)
	if n > 0 {
		c.lastRead = time.Now()
	}
	if c.headRemaining > 0 {
		c.headRemaining -= int64(n)
	}

	return n, err
}

func (c *connection) deadlineAfter(d time.Duration) time.Time {
	if d == 0 {
		return c.deadline
	}
	t := time.Now().Add(d)
	if !c.deadline.IsZero() && c.deadline.Before(t) {
		return c.deadline
	}

	return t
}

// reset prepares the connection for one exchange.
func (c *connection) reset(deadline time.Time) {
	c.written.Store(0)
	c.headRemaining, c.deadline, c.readTimeout = maxHeaderSize, deadline, 0
}

// reusable reports whether an idle connection is still open and has no unread data.
func (c *connection) reusable() bool {
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

// get returns an idle connection that was read from within maxReuseIdle, or a new one.
func (p *connPool) get(ctx context.Context, dial dialFunc, limit int) (*connection, error) {
	for c := p.pop(); c != nil; c = p.pop() {
		if c.reusable() && time.Since(c.lastRead) < maxReuseIdle {
			c.reused = true
			return c, nil
		}
		p.discard(c)
	}

	return p.connect(ctx, dial, limit)
}

// connect opens a connection unless the limit is reached.
func (p *connPool) connect(ctx context.Context, dial dialFunc, limit int) (*connection, error) {
	p.mu.Lock()
	if p.closed || p.open >= max(limit, 1) {
		closed := p.closed
		p.mu.Unlock()
		if closed {
			return nil, merry.Wrap(errPoolClosed)
		}

		return nil, merry.Wrap(errConnLimit)
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
	c := &connection{net: nc, lastRead: time.Now()}
	c.reader = bufio.NewReaderSize(c, bufferSize)
	c.writer = bufio.NewWriterSize(c, bufferSize)

	return c, nil
}

// pop removes and returns the connection that became idle last, or nil.
func (p *connPool) pop() *connection {
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

// popIdleSince removes and returns an idle connection whose last read was before the given time, or nil.
func (p *connPool) popIdleSince(since time.Time) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range p.idle {
		if c.lastRead.Before(since) {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return c
		}
	}

	return nil
}

// put returns a connection to the pool after a complete exchange; it closes one that has unread data.
func (p *connPool) put(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.reader.Buffered() > 0 {
		p.open--
		_ = c.net.Close()

		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection that is not in the idle list.
func (p *connPool) discard(c *connection) {
	_ = c.net.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// closeIdle closes every idle connection.
func (p *connPool) closeIdle() {
	for c := p.pop(); c != nil; c = p.pop() {
		p.discard(c)
	}
}

// close closes the idle connections now, and each other one when it is returned.
func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
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
