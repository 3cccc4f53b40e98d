package entry

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/cert"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/member"
	"lycheehook.example/lycheehook/peer"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/store"
)

// reportInterval is the time between two usage reports to one peer.
const reportInterval = 250 * time.Millisecond

// PeerServerName is the DNS name in the certificates of peers.
const PeerServerName = "peer.lycheehook"

// cluster connects an entry host to the others: the peer protocol and the member registry.
type cluster struct {
	mesh     *peer.Mesh
	registry *member.Registry
	certs    *cert.Source
	settings settings.Settings
	sockets  Sockets
}

// newCluster returns an entry host's cluster; without a peer address it exchanges nothing with other entry hosts.
func newCluster(s settings.Settings, c *store.Client, l *log.Logger, sockets Sockets) (*cluster, error) {
	self := peer.Peer{Name: s.Name, Incarnation: fleet.NewIncarnation(s.Name), Address: s.PeerAddress}
	cl := &cluster{settings: s, sockets: sockets}
	opts := []peer.Option{peer.WithReportInterval(reportInterval)}
	if s.PeerAddress.IsValid() {
		certs, err := newPeerCerts(s.TLS.Peers, l)
		if err != nil {
			return nil, merry.Prepend(err, "certificates for peers")
		}
		cl.certs = certs
		server, client, err := certs.Peers(PeerServerName)
		if err != nil {
			return nil, merry.Prepend(err, "certificates for peers")
		}
		opts = append(opts, peer.WithTLS(server, client))
	}
	cl.mesh = peer.New(self, opts...)
	cl.registry = member.New(c, cl.mesh, s.Zone, s.Region)

	return cl, nil
}

func newPeerCerts(f settings.TLSFiles, l *log.Logger) (*cert.Source, error) {
	return cert.New(cert.Files{Certificate: f.CertificateFile, Key: f.KeyFile, CA: f.CAFile}, cert.WithLogger(l))
}

// listen opens the socket at which peers reach this entry host.
func (c *cluster) listen(ctx context.Context) error {
	if !c.settings.PeerAddress.IsValid() {
		return nil
	}

	conn, err := c.sockets.ListenPacket(ctx, "udp", c.settings.PeerAddress.String())
	if err != nil {
		return merry.Prepend(err, "listen for peers")
	}

	return c.mesh.Listen(conn)
}

// run exchanges heartbeats with the peers and keeps the member record alive until ctx ends.
func (c *cluster) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.mesh.Run(ctx) })
	wg.Go(func() { c.registry.Run(ctx) })
	if c.certs != nil {
		wg.Go(func() { c.certs.Follow(ctx) })
	}
	wg.Wait()
}

// leaseHolds reports whether the store is certain to still have the entry host's member record.
func (c *cluster) leaseHolds(now time.Time) bool {
	return c.registry.Remaining(now) > 0
}
