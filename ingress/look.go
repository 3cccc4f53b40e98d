package ingress

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lookTime is how long a connection that would be closed waits for bytes that have arrived already; a process that gets little
	// processor time may take that long to read them.
	lookTime = 250 * time.Millisecond
	// maxLooks bounds the looks for one request, so that a client can't extend its timeout piece by piece.
	maxLooks = 8
	// maxLast bounds the requests that a client has sent ahead on a connection that is to be closed.
	maxLast = 8
	// lingerTime is how long the end of a connection waits for the client to take the last answer.
	lingerTime = 500 * time.Millisecond
)

// receive reads from the connection. Bytes that arrived before a timeout count, however late this process gets to read them: after one, and
// before the connection is closed for another reason, it looks for them once more.
func (c *conn) receive(p []byte) (int, error) {
	if c.beginLook(c.isLeaving) {
		return c.look(p)
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.beginLook(c.hasTimedOut) {
		return c.look(p)
	}

	return n, err
}

// isLeaving reports whether the connection waits for a request and is to be closed unless one has arrived.
func (c *conn) isLeaving() bool {
	return c.leaving && c.waiting
}

// hasTimedOut reports whether a read that reached a deadline was not given up by the server.
func (c *conn) hasTimedOut() bool {
	return c.isLeaving() || !c.past
}

// beginLook reports whether a look is due and permitted, and counts it.
func (c *conn) beginLook(isDue func() bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving || c.aborted || c.closed || c.looks >= maxLooks || !isDue() {
		return false
	}
	c.looks++

	return true
}

// look reads what has arrived, or arrives in lookTime.
func (c *conn) look(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(lookTime)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if read, ok := c.readNow(p); ok {
		return read, nil
	}

	return 0, err
}

// readNow reads what the kernel has, without waiting, and reports whether that was anything. A read that reaches its deadline does not tell: it
// may end without having tried.
func (c *conn) readNow(p []byte) (n int, ok bool) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := s.SyscallConn()
	if err != nil || c.Conn.SetReadDeadline(time.Time{}) != nil {
		return 0, false
	}
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = unix.Read(int(fd), p)
		return true
	})
	// The next read has timed out as well, unless the server sets another deadline. An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(past)

	return n, err == nil && readErr == nil && n > 0
}

// leave closes the connection unless a request has arrived or is about to be served.
func (c *conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	if c.waiting {
		// An error means that the connection is closed.
		_ = c.Conn.SetReadDeadline(past)
	}
}

// leaveLast is leave for a connection of which a request that has arrived is the last one.
func (c *conn) leaveLast() {
	c.mu.Lock()
	c.last = true
	c.mu.Unlock()
	c.leave()
}

// linger tells the client that no more follows, and discards what it still sends, since a reset for unread bytes could destroy an answer that it
// has not taken yet.
func (c *conn) linger() {
	c.mu.Lock()
	due := c.explained && !c.gone && !c.closed
	c.mu.Unlock()
	if !due || c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// The answer is written, so that the connection may be closed for a new one.
	c.listener.answered(c, phaseReceiving)
	// The end is that of the connection or the deadline.
	_, _ = io.Copy(io.Discard, c.Conn)
}
