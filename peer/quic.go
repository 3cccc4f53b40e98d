package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"
)

const (
	// Protocol is the name of the protocol in ALPN.
	Protocol = "lycheehook-peer"
	// maxIdle is the idle timeout of a connection.
	maxIdle          = 10 * time.Second
	handshakeTimeout = time.Second
	// maxStreams is the maximum number of concurrent requests on one incoming connection.
	maxStreams = 256
	// serveTimeout is the timeout for each of reading, handling and answering a request.
	serveTimeout = 10 * time.Second

	codeReplaced quic.ApplicationErrorCode = 1
	codeCut      quic.StreamErrorCode      = 1
)

// connection is an outgoing connection with its own socket. A new connection gets a new source port and therefore a new flow in
// middleboxes and multipath routing.
type connection struct {
	conn   *quic.Conn
	socket net.PacketConn
	tr     *quic.Transport
	// heard is the time of the last response, in nanoseconds since the transport's epoch.
	heard atomic.Int64
	once  sync.Once
}

// dialling is a connection that is established or in progress; several requests may wait for it.
type dialling struct {
	done chan struct{}
	conn *connection
	err  error
}

// transport exchanges messages over QUIC.
type transport struct {
	server, client *tls.Config
	socket         func() (net.PacketConn, error)
	epoch          time.Time

	mu     sync.Mutex
	open   map[Peer]*dialling
	tr     *quic.Transport
	ln     *quic.Listener
	conn   net.PacketConn
	closed bool
	wg     sync.WaitGroup
}

func newTransport() *transport {
	return &transport{
		open: map[Peer]*dialling{}, epoch: time.Now(),
		socket: func() (net.PacketConn, error) { return net.ListenUDP("udp", nil) },
	}
}

// withProtocol returns a copy of c that negotiates only this protocol, with TLS 1.3 or later.
func withProtocol(c *tls.Config) *tls.Config {
	c = c.Clone()
	c.NextProtos = []string{Protocol}
	c.MinVersion = tls.VersionTLS13

	return c
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: maxIdle,
		MaxIncomingStreams: maxStreams, MaxIncomingUniStreams: -1,
		InitialStreamReceiveWindow: 64 << 10, MaxStreamReceiveWindow: MaxMessageSize,
		InitialConnectionReceiveWindow: 64 << 10, MaxConnectionReceiveWindow: 2 * MaxMessageSize,
		DisablePathMTUDiscovery: true,
	}
}

// exchange sends a request on a new stream and reads the response to the end of the stream.
func (t *transport) exchange(ctx context.Context, to Peer, request []byte) ([]byte, error) {
	c, err := t.connect(ctx, to)
	if err != nil {
		return nil, merry.Prepend(ErrUnreachable, err.Error())
	}

	asked := time.Since(t.epoch)
	data, err := c.roundTrip(ctx, request)
	if err == nil {
		c.heard.Store(int64(time.Since(t.epoch)))
		return data, nil
	}
	if time.Duration(c.heard.Load()) < asked || c.conn.Context().Err() != nil {
		// No response has arrived on this connection since the request was sent, so its path may be dead.
		t.dropConnection(to, c)
	}

	return nil, merry.Prepend(ErrUnreachable, err.Error())
}

func (c *connection) roundTrip(ctx context.Context, request []byte) ([]byte, error) {
	s, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	defer s.CancelRead(codeCut)
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(codeCut)
		s.CancelWrite(codeCut)
	})
	defer stop()

	if _, err := s.Write(request); err != nil {
		return nil, err
	}
	if err := s.Close(); err != nil {
		return nil, err
	}

	return readItem(s)
}

// connect returns the connection to a peer, and dials it if there is none.
func (t *transport) connect(ctx context.Context, to Peer) (*connection, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil, net.ErrClosed
	}
	d, ok := t.open[to]
	if !ok {
		d = &dialling{done: make(chan struct{})}
		t.open[to] = d
		t.wg.Go(func() { t.dial(context.WithoutCancel(ctx), to, d) })
	}
	t.mu.Unlock()

	select {
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	case <-d.done:
		return d.conn, d.err
	}
}

func (t *transport) dial(ctx context.Context, to Peer, d *dialling) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := t.dialOnce(ctx, to.Address)

	t.mu.Lock()
	d.conn, d.err = conn, err
	if d.err != nil || t.closed || t.open[to] != d {
		if t.open[to] == d {
			delete(t.open, to)
		}
		if d.conn != nil {
			d.conn.close()
		}
	}
	t.mu.Unlock()
	close(d.done)
}

func (t *transport) dialOnce(ctx context.Context, to netip.AddrPort) (*connection, error) {
	if t.client == nil {
		return nil, errors.New("no TLS configuration")
	}
	socket, err := t.socket()
	if err != nil {
		return nil, err
	}

	tr := &quic.Transport{Conn: socket}
	conn, err := tr.Dial(ctx, net.UDPAddrFromAddrPort(to), t.client, quicConfig())
	if err != nil {
		_ = tr.Close()
		_ = socket.Close()
		return nil, err
	}

	return &connection{conn: conn, socket: socket, tr: tr}, nil
}

func (c *connection) close() {
	c.once.Do(func() {
		_ = c.conn.CloseWithError(codeReplaced, "")
		_ = c.tr.Close()
		_ = c.socket.Close()
	})
}

// dropConnection closes c and removes it unless it has been replaced already.
func (t *transport) dropConnection(to Peer, c *connection) {
	t.mu.Lock()
	if d, ok := t.open[to]; ok && d.conn == c {
		delete(t.open, to)
	}
	t.mu.Unlock()
	c.close()
}

// drop closes the connection to a peer.
func (t *transport) drop(to Peer) {
	t.mu.Lock()
	d, ok := t.open[to]
	delete(t.open, to)
	t.mu.Unlock()
	if !ok {
		return
	}

	select {
	case <-d.done:
		if d.conn != nil {
			d.conn.close()
		}
	default:
	}
}

// listen prepares to accept connections on conn and takes ownership of it.
func (t *transport) listen(conn net.PacketConn) error {
	if t.server == nil {
		return errors.New("peer: no TLS configuration")
	}
	tr := &quic.Transport{Conn: conn}
	ln, err := tr.Listen(t.server, quicConfig())
	if err != nil {
		return merry.Prepend(err, "listen for peers")
	}

	t.mu.Lock()
	defer t.mu.Unlock()
	t.tr, t.ln, t.conn = tr, ln, conn

	return nil
}

// accept serves incoming connections in the background until ctx is done.
func (t *transport) accept(ctx context.Context, serve func(context.Context, []byte) []byte) {
	t.mu.Lock()
	ln := t.ln
	t.mu.Unlock()
	if ln == nil {
		return
	}

	t.wg.Go(func() {
		for {
			conn, err := ln.Accept(ctx)
			if err != nil {
				return
			}
			t.wg.Go(func() { t.serveConnection(ctx, conn, serve) })
		}
	})
}

func (t *transport) serveConnection(ctx context.Context, conn *quic.Conn, serve func(context.Context, []byte) []byte) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		wg.Go(func() { serveStream(ctx, s, serve) })
	}
}

// serveStream serves one request; the stream of an incomplete request is reset without a response.
func serveStream(ctx context.Context, s *quic.Stream, serve func(context.Context, []byte) []byte) {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()

	_ = s.SetReadDeadline(time.Now().Add(serveTimeout))
	request, err := readItem(s)
	if err != nil {
		s.CancelRead(codeCut)
		s.CancelWrite(codeCut)
		return
	}

	_ = s.SetWriteDeadline(time.Now().Add(serveTimeout))
	if _, err := s.Write(serve(ctx, request)); err != nil {
		s.CancelWrite(codeCut)
		return
	}
	_ = s.Close()
}

// close closes all connections and the listener.
func (t *transport) close() {
	t.mu.Lock()
	t.closed = true
	open := t.open
	t.open = map[Peer]*dialling{}
	t.mu.Unlock()

	for _, d := range open {
		select {
		case <-d.done:
			if d.conn != nil {
				d.conn.close()
			}
		default:
		}
	}
	if t.ln != nil {
		_ = t.ln.Close()
		_ = t.tr.Close()
		_ = t.conn.Close()
	}
	t.wg.Wait()
}
