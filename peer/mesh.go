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
	// DefaultHeartbeatInterval is the time between two heartbeats to one peer.
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// DefaultReportInterval is the time between two sets of reports to one peer.
	DefaultReportInterval = time.Second
	// DefaultTimeout bounds a request whose context has no earlier deadline; a path that stays silent for so long is replaced.
	DefaultTimeout = time.Second
	// maxOutstanding bounds the requests that wait for answers of one peer.
	maxOutstanding = 64
)

// Sentinel errors of the protocol.
var (
	// ErrUnknownPeer says that the mesh has no peer of that name.
	ErrUnknownPeer = merry.Sentinel("peer: unknown peer")
	// ErrUnreachable says that no whole answer came; the request may have been handled.
	ErrUnreachable = merry.Sentinel("peer: no answer")
	// ErrBusy says that too many requests wait for the peer, so this one was not sent.
	ErrBusy = merry.Sentinel("peer: too many requests outstanding")
	// ErrUnknownKind says that the peer's release has no handler for the kind of request.
	ErrUnknownKind = merry.Sentinel("peer: unknown kind of request")
	// ErrVersion says that one side speaks a protocol version that the other cannot read.
	ErrVersion = merry.Sentinel("peer: protocol versions do not meet")
	// ErrMalformed says that a message is not one whole message of the protocol.
	ErrMalformed = merry.Sentinel("peer: malformed message")
	// ErrTooLarge says that a message exceeds MaxMessageSize.
	ErrTooLarge = merry.Sentinel("peer: message too large")
	// ErrRefused says that the peer's handler returned an error; the text is the handler's.
	ErrRefused = merry.Sentinel("peer: request refused")
)

// Incarnation identifies one process of an entry host; a restarted process has another.
type Incarnation = fleet.Incarnation

// Peer names one process of an entry host and where it listens for other entry hosts.
type Peer struct {
	Name        fleet.EntryName
	Incarnation Incarnation
	Address     netip.AddrPort
}

// Kind names a kind of request, such as "Allotment/Ask".
type Kind string

// handler answers one encoded request.
type handler func(ctx context.Context, from Peer, body []byte) ([]byte, error)

// Exchange sends one encoded request to a peer and returns its encoded answer.
type Exchange func(ctx context.Context, to Peer, request []byte) ([]byte, error)

// Mesh connects an entry host with its peers.
type Mesh struct {
	self     Peer
	interval time.Duration
	// reportInterval is the time between two sets of reports to one peer.
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

// link is what the mesh keeps of one peer.
type link struct {
	peer        Peer
	outstanding chan struct{}
	kick        chan struct{}
	stop        context.CancelFunc
	sequence    uint64
	heard       Heard
	// received is the newest heartbeat taken from the peer.
	received uint64
	// reported is when the last reports went to the peer.
	reported time.Time
}

// Option configures a Mesh.
type Option func(*Mesh)

// WithTLS sets the configurations for accepting and for dialling; both sides must present a certificate of a common authority.
func WithTLS(server, client *tls.Config) Option {
	return func(m *Mesh) { m.quic.server, m.quic.client = withProtocol(server), withProtocol(client) }
}

// WithHeartbeatInterval sets the time between two heartbeats to one peer.
func WithHeartbeatInterval(d time.Duration) Option {
	return func(m *Mesh) { m.interval = d }
}

// WithReportInterval sets the time between two sets of reports to one peer.
func WithReportInterval(d time.Duration) Option {
	return func(m *Mesh) { m.reportInterval = d }
}

// WithTimeout bounds requests whose context has no earlier deadline.
func WithTimeout(d time.Duration) Option {
	return func(m *Mesh) { m.timeout = d }
}

// WithExchange sends requests through f in place of QUIC.
func WithExchange(f Exchange) Option {
	return func(m *Mesh) { m.exchange = f }
}

// WithDialSocket opens the local socket of each new outgoing connection with f.
func WithDialSocket(f func() (net.PacketConn, error)) Option {
	return func(m *Mesh) { m.quic.socket = f }
}

// New returns a mesh without peers that does nothing until Run.
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

// Self returns the process that the mesh speaks for.
func (m *Mesh) Self() Peer {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.self
}

// Listen accepts peers on conn until ctx of Run ends; it takes over conn and fills in the own address if none was given.
func (m *Mesh) Listen(conn net.PacketConn) error {
	m.mu.Lock()
	if !m.self.Address.IsValid() {
		m.self.Address = addrPort(conn.LocalAddr())
	}
	m.mu.Unlock()

	return m.quic.listen(conn)
}

// Run sends heartbeats and serves requests until ctx ends.
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
		if p.Incarnation == m.self.Incarnation {
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

// Peers returns the peers in the order of their names.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()

	peers := make([]Peer, 0, len(m.peers))
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		peers = append(peers, m.peers[name].peer)
	}

	return peers
}

// add puts a peer in the table; the mesh is locked.
func (m *Mesh) add(p Peer) {
	l := &link{peer: p, outstanding: make(chan struct{}, maxOutstanding), kick: make(chan struct{}, 1), stop: func() {}}
	m.peers[p.Name] = l
	if m.ctx != nil {
		m.start(m.ctx, l)
	}
}

// start runs the heartbeats of a peer; the mesh is locked.
func (m *Mesh) start(ctx context.Context, l *link) {
	ctx, cancel := context.WithCancel(ctx)
	l.stop = cancel
	m.wg.Go(func() { m.beat(ctx, l) })
}

func (l *link) close() {
	l.stop()
}

// link returns what is kept of a peer.
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
