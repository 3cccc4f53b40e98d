package peer

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

const (
	// DefaultHeartbeatInterval is the default time between heartbeats to a peer.
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// DefaultReportInterval is the default time between sets of reports to a peer.
	DefaultReportInterval = time.Second
	// DefaultTimeout is the default timeout of a request. A connection on which nothing arrives during a failed request is replaced.
	DefaultTimeout = time.Second
	// maxOutstanding is the maximum number of outstanding requests to one peer.
	maxOutstanding = 64
)

// Sentinel errors of the protocol.
var (
	// ErrUnknownPeer means that the mesh has no peer of that name.
	ErrUnknownPeer = merry.Sentinel("peer: unknown peer")
	// ErrUnreachable means that no complete response arrived; the request may have been handled.
	ErrUnreachable = merry.Sentinel("peer: no answer")
	// ErrBusy means that too many requests to the peer are outstanding, so this one was not sent.
	ErrBusy = merry.Sentinel("peer: too many requests outstanding")
	// ErrUnknownKind means that the peer's release has no handler for the kind of request.
	ErrUnknownKind = merry.Sentinel("peer: unknown kind of request")
	// ErrVersion means that one side can't decode the protocol version of the other.
	ErrVersion = merry.Sentinel("peer: no common protocol version")
	// ErrMalformed means that data is not exactly one valid message.
	ErrMalformed = merry.Sentinel("peer: malformed message")
	// ErrTooLarge means that a message exceeds MaxMessageSize.
	ErrTooLarge = merry.Sentinel("peer: message too large")
	// ErrRefused means that the peer's handler returned an error, whose text is included.
	ErrRefused = merry.Sentinel("peer: request refused")
)

// Incarnation identifies one process of an entry host; it changes with a restart.
type Incarnation = fleet.Incarnation

// Peer identifies one process of an entry host, with the address at which it listens for peers.
type Peer struct {
	Name        fleet.EntryName
	Incarnation Incarnation
	Address     netip.AddrPort
}

// Kind names a kind of request, such as "Allotment/Ask".
type Kind string

// handler handles one decoded envelope and returns the encoded body of the response.
type handler func(ctx context.Context, from Peer, body []byte) ([]byte, error)

// Exchange sends one encoded request to a peer and returns the encoded response.
type Exchange func(ctx context.Context, to Peer, request []byte) ([]byte, error)

// Mesh connects an entry host with its peers.
type Mesh struct {
	self           Peer
	interval       time.Duration
	reportInterval time.Duration
	timeout        time.Duration
	exchange       Exchange
	quic           *transport
	counters       *counters
	started        time.Time

	mu       sync.Mutex
	handlers map[Kind]handler
	peers    map[fleet.EntryName]*link
	reports  map[string]func() ([]byte, error)
	onReport map[string]func(Peer, []byte)
	status   func() Status
	onHeard  []func(Heard)
	ctx      context.Context
	wg       sync.WaitGroup

	packMu        sync.Mutex
	packedReports []byte
	packedAt      time.Time
}

// link is the state of one peer.
type link struct {
	peer        Peer
	outstanding chan struct{}
	kick        chan struct{}
	stop        context.CancelFunc
	sequence    uint64
	heard       Heard
	// received is the highest sequence number of a heartbeat received from the peer.
	received uint64
	// reported is the time at which reports were last sent to the peer.
	reported time.Time
}

// Option configures a Mesh.
type Option func(*Mesh)

// WithTLS sets the TLS configurations for incoming and outgoing connections; both have to verify the peer's certificate.
func WithTLS(server, client *tls.Config) Option {
	return func(m *Mesh) { m.quic.server, m.quic.client = withProtocol(server), withProtocol(client) }
}

// WithHeartbeatInterval sets the time between heartbeats to a peer.
func WithHeartbeatInterval(d time.Duration) Option {
	return func(m *Mesh) { m.interval = d }
}

// WithReportInterval sets the time between sets of reports to a peer.
func WithReportInterval(d time.Duration) Option {
	return func(m *Mesh) { m.reportInterval = d }
}

// WithTimeout sets the timeout of requests; an earlier deadline of the context takes precedence.
func WithTimeout(d time.Duration) Option {
	return func(m *Mesh) { m.timeout = d }
}

// WithExchange replaces the QUIC transport for outgoing requests with f.
func WithExchange(f Exchange) Option {
	return func(m *Mesh) { m.exchange = f }
}

// WithDialSocket sets the function that opens the local socket of each outgoing connection.
func WithDialSocket(f func() (net.PacketConn, error)) Option {
	return func(m *Mesh) { m.quic.socket = f }
}

// New returns a mesh without peers; Run starts it.
func New(self Peer, opts ...Option) *Mesh {
	m := &Mesh{
		self: self, interval: DefaultHeartbeatInterval, reportInterval: DefaultReportInterval, timeout: DefaultTimeout, counters: newCounters(), started: time.Now(),
		handlers: map[Kind]handler{}, peers: map[fleet.EntryName]*link{},
		reports: map[string]func() ([]byte, error){}, onReport: map[string]func(Peer, []byte){},
		status: func() Status { return Status{} },
	}
	m.quic = newTransport()
	m.exchange = m.quic.exchange
	for _, opt := range opts {
		opt(m)
	}
	Handle(m, kindHeartbeat, m.answerHeartbeat)

	return m
}

// Self returns the process that the mesh belongs to.
func (m *Mesh) Self() Peer {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.self
}

// Listen prepares to accept peers on conn, which it takes ownership of, and sets the own address if New got none.
func (m *Mesh) Listen(conn net.PacketConn) error {
	m.mu.Lock()
	if !m.self.Address.IsValid() {
		m.self.Address = addrPort(conn.LocalAddr())
	}
	m.mu.Unlock()

	return m.quic.listen(conn)
}

// Run sends heartbeats and serves requests until ctx is done.
func (m *Mesh) Run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	for _, l := range m.peers {
		m.start(ctx, l)
	}
	m.mu.Unlock()

	m.quic.accept(ctx, m.Serve)
	<-ctx.Done()
	m.quic.close()
	m.wg.Wait()
}

// SetPeers replaces the peers; a peer with the same incarnation and address keeps its connection.
func (m *Mesh) SetPeers(peers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()

	gone := maps.Clone(m.peers)
	for _, p := range peers {
		if p.Name == m.self.Name && p.Incarnation == m.self.Incarnation {
			continue
		}
		if l, ok := m.peers[p.Name]; ok && l.peer == p {
			delete(gone, p.Name)
			continue
		}
		m.add(p)
	}
	for name, l := range gone {
		if m.peers[name] == l {
			delete(m.peers, name)
		}
		l.close()
		m.quic.drop(l.peer)
	}
}

// Peers returns the peers, ordered by name.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()

	peers := make([]Peer, 0, len(m.peers))
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		peers = append(peers, m.peers[name].peer)
	}

	return peers
}

// add adds a peer; the caller holds the lock.
func (m *Mesh) add(p Peer) {
	l := &link{peer: p, outstanding: make(chan struct{}, maxOutstanding), kick: make(chan struct{}, 1), stop: func() {}}
	m.peers[p.Name] = l
	if m.ctx != nil {
		m.start(m.ctx, l)
	}
}

// start starts the heartbeats of a peer; the caller holds the lock.
func (m *Mesh) start(ctx context.Context, l *link) {
	ctx, cancel := context.WithCancel(ctx)
	l.stop = cancel
	m.wg.Go(func() { m.beat(ctx, l) })
}

func (l *link) close() {
	l.stop()
}

// link returns the state of a peer.
func (m *Mesh) link(name fleet.EntryName) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	l, ok := m.peers[name]
	if !ok {
		return nil, merry.Prepend(ErrUnknownPeer, string(name))
	}

	return l, nil
}

func addrPort(a net.Addr) netip.AddrPort {
	if u, ok := a.(*net.UDPAddr); ok {
		return u.AddrPort()
	}

	return netip.AddrPort{}
}
