package ingress

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// headerLineBytes is what parsing a header line takes beside its text: its entry in the map, which grows by copying, a slice and two
// strings.
const headerLineBytes = 192

// headerElementBytes is what parsing an element of a list in a header may take beside its text: announced trailers are entries of a map.
const headerElementBytes = 224

const (
	// recordHandshake is the first byte of a TLS connection, which no request begins with.
	recordHandshake = 0x16
	// handshakeBytes is what a client sends in an ordinary handshake. Beyond that an encrypted byte may belong to a header of the shortest
	// lines, which have five bytes, and takes encryptedCost.
	handshakeBytes = 2 << 10
	encryptedCost  = headerLineBytes / 5
)

// past is a deadline that ends reads at once.
var past = time.Unix(1, 0)

// headerCost returns the memory that bytes of a header, the last ones received, may take until its handler begins.
func (c *conn) headerCost(p []byte) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.encrypted {
		return int64(len(p) + encryptedCost*min(len(p), max(0, c.header-handshakeBytes)))
	}
	lines, elements := bytes.Count(p, []byte("\n")), bytes.Count(p, []byte(","))

	return int64(len(p) + headerLineBytes*lines + headerElementBytes*elements)
}

// headerBytes returns the memory that the header of a request takes.
func headerBytes(h http.Header) int64 {
	n := int64(0)
	for name, values := range h {
		for _, v := range values {
			n += int64(len(name) + len(v) + headerLineBytes)
		}
	}

	return n
}

// conn is a connection whose requests are charged to the budget.
type conn struct {
	net.Conn
	listener *Listener
	slot     slot
	// heard is when the last bytes were received, in Unix nanoseconds.
	heard atomic.Int64

	// mu guards the fields below.
	mu sync.Mutex
	// meter belongs to the request that is being received or served; nil between requests.
	meter *meter
	// header is the number of bytes of the header that is being received.
	header int
	// encrypted is set for a TLS connection, known when begun is set.
	encrypted, begun bool
	// serving is set while a handler serves a request or receives its body.
	serving bool
	// evicted is called when the connection is closed while a handler serves; nil if there is nothing to call.
	evicted func()
	// aborted makes all reads fail.
	aborted bool
	closed  bool
	// extent is what has been received of the present request and beyond it.
	extent extent
	// waiting is set while the server waits for the first byte of a request, idle from the end of a response until it begins to wait.
	waiting, idle bool
	// responded is set when a response has been sent on the connection.
	responded bool
	// leaving is set when the connection is to be closed unless a request has arrived, last when such a request is the last one.
	leaving, last bool
	// lastAnswers counts the responses sent since last was set.
	lastAnswers int
	// looks counts the looks for bytes of the present request, past is set while the server's deadline for reads lies in the past.
	looks int
	past  bool
	// gone is set when the client has closed the connection or reset it, timedOut when the last read reached its deadline.
	gone, timedOut bool
	// explained is set when the client was told why the request that is being received is not served, or when another reason was observed.
	explained bool
}

// Read implements net.Conn. It charges the bytes of headers; those of bodies are charged when the body is read.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.receive(p)
	c.noteError(err)
	if n == 0 {
		return n, err
	}
	c.heard.Store(time.Now().UnixNano())
	m := c.receiveHeader(p[:n])
	if m == nil {
		return n, err
	}
	if shed := m.charge(int64(n), c.headerCost(p[:n])); shed != nil {
		c.explain(ReasonHeaderShed)
		// The server closes the connection on a time-out, and would answer other errors with 400.
		return 0, os.ErrDeadlineExceeded
	}

	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.explained = true
	c.mu.Unlock()

	return c.Conn.Write(p)
}

// noteError notes how a read ended.
func (c *conn) noteError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	c.gone = c.gone || err != nil && !c.timedOut && !c.closed
}

// explain observes why the request that is being received is not served.
func (c *conn) explain(why Reason) {
	c.mu.Lock()
	c.explained = true
	c.mu.Unlock()
	c.listener.gate.observe(why)
}

// receiveHeader counts received bytes of a header and returns the meter to charge, or nil if a handler is receiving the body.
func (c *conn) receiveHeader(p []byte) *meter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun {
		c.begun, c.encrypted = true, p[0] == recordHandshake
	}
	if c.serving || c.closed {
		c.extent.add(p)
		return nil
	}
	if c.meter == nil {
		c.meter = c.listener.gate.budget.newMeter(c.abort)
		c.header, c.explained = 0, false
		c.looks, c.waiting = 0, false
		c.extent = extent{}
		c.listener.enter(c, phaseReceiving)
	}
	c.extent.add(p)
	c.header += len(p)

	return c.meter
}

// begin marks the start of a handler whose request has a header of the given memory, and returns the meter of the request. That memory
// replaces what was charged while the header was read, which may have been encrypted, or read along with the request before it.
func (c *conn) begin(p phase, header int64) *meter {
	m := c.enterHandler(p)
	// An error means that the request is shed, which settling it or reading its body reports.
	_ = m.setCost(header)

	return m
}

// enterHandler marks the start of a handler and returns the meter of its request.
func (c *conn) enterHandler(p phase) *meter {
	c.listener.enter(c, p)
	if c.isPipelined() {
		// Many requests in one write would otherwise keep the processor from other connections, and from accepting any.
		runtime.Gosched()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.meter == nil {
		c.meter = c.listener.gate.budget.newMeter(c.abort)
		c.extent = extent{unknown: true}
	}
	c.serving, c.waiting, c.leaving = true, false, false

	return c.meter
}

// isPipelined reports whether the request that begins was received along with the one before it.
func (c *conn) isPipelined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.meter == nil
}

// end marks the end of a handler and frees the memory of its request.
func (c *conn) end() {
	c.mu.Lock()
	m := c.meter
	c.meter, c.serving, c.evicted = nil, false, nil
	c.mu.Unlock()
	if m != nil {
		m.release()
	}
}

// setState follows the server's state of the connection, which is idle once a response has been sent and the next request is awaited.
func (c *conn) setState(state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	c.mu.Lock()
	begun := c.meter != nil
	c.idle, c.responded, c.looks = true, true, 0
	c.leaving = c.leaving || c.last
	if c.last {
		c.lastAnswers++
	}
	c.mu.Unlock()
	p := phaseIdle
	if begun {
		p = phaseReceiving
	}
	// The listener tells connections to leave that are idle as it stops accepting; the others learn of it here.
	if c.listener.answered(c, p) {
		c.leave()
	}
}

// isLast reports whether the connection is to be closed after the request that is being served.
func (c *conn) isLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.last
}

// goesBeyond reports whether a part of another request may have been received behind the one that is being served, which has a body of the
// given length. A client whose connection is encrypted is taken to send one request at a time; one that keeps sending ahead is stopped.
func (c *conn) goesBeyond(length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return !c.encrypted && c.lastAnswers < maxLast && c.extent.goesBeyond(length)
}

func (c *conn) setEvicted(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = f
}

// SetReadDeadline implements net.Conn. It keeps reads of an aborted connection from waiting.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.past = !t.IsZero() && t.Before(time.Now())
	// The first deadline after a response is that of the wait for a request, the next one that of its header.
	if c.responded {
		c.waiting, c.idle = c.idle, false
	}
	if c.aborted {
		t = past
	}

	return c.Conn.SetReadDeadline(t)
}

// abort makes all reads fail. The connection stays open for a response.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(past)
}

// CloseWrite lets the server tell the client that no more follows before it closes the connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}

	return nil
}

// unexplained returns why a request that has arrived in part is not served if nothing else has told: the client left, its header was too
// slow, or this process closed the connection.
func (c *conn) unexplained() (Reason, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.meter == nil || c.serving || c.closed || c.explained || c.gone:
		return "", false
	case c.timedOut:
		return ReasonHeaderSlow, true
	default:
		return ReasonCut, true
	}
}

// Close implements net.Conn. While the listener is drained it waits until the client has taken the last answer.
func (c *conn) Close() error {
	if c.listener.lingers() {
		c.linger()
	}

	return c.closeNow()
}

// closeNow closes the connection without waiting for the client.
func (c *conn) closeNow() error {
	if why, ok := c.unexplained(); ok {
		c.explain(why)
	}
	c.listener.remove(c)
	c.mu.Lock()
	m, tooLarge := c.meter, !c.serving && c.header > c.listener.gate.headerBytes
	if c.serving {
		// The handler still holds the request and releases it.
		m = nil
	} else {
		c.meter, c.closed = nil, true
	}
	c.header = 0
	evicted := c.evicted
	c.mu.Unlock()
	if evicted != nil {
		evicted()
	}
	if m != nil {
		m.release()
		if tooLarge {
			c.listener.gate.observe(ReasonHeaderTooLarge)
		}
	}

	return c.Conn.Close()
}
