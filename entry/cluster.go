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

// reportInterval is the time between two reports of the teams' work to one peer.
const reportInterval = 250 * time.Millisecond

// PeerServerName is the name that the certificates of peers are issued for.
const PeerServerName = "peer.lycheehook"

// cluster is what an entry host shares with the others: the protocol between them, and who they are.
type cluster struct {
	mesh     *peer.Mesh
	registry *member.Registry
	source   *cert.Source
	settings settings.Settings
	sockets  Sockets
}

// newCluster returns the entry host's place among the others; without a peer address it talks to none.
func newCluster(s settings.Settings, c *store.Client, l *log.Logger, sockets Sockets) (*cluster, error) {
	self := peer.Peer{Name: s.Name, Incarnation: fleet.NewIncarnation(s.Name), Address: s.PeerAddress}
	cl := &cluster{settings: s, sockets: sockets}
	opts := []peer.Option{peer.WithReportInterval(reportInterval)}
	if s.PeerAddress.IsValid() {
		source, err := newPeerSource(s.TLS.Peers, l)
		if err != nil {
			return nil, merry.Prepend(err, "certificates for peers")
		}
		cl.source = source
		server, client, err := source.Peers(PeerServerName)
		if err != nil {
			return nil, merry.Prepend(err, "certificates for peers")
		}
		opts = append(opts, peer.WithTLS(server, client))
	}
	cl.mesh = peer.New(self, opts...)
	cl.registry = member.New(c, cl.mesh, s.Zone, s.Region)

	return cl, nil
}

func newPeerSource(f settings.TLSFiles, l *log.Logger) (*cert.Source, error) {
	return cert.New(cert.Files{Certificate: f.CertificateFile, Key: f.KeyFile, CA: f.CAFile}, cert.WithLogger(l))
}

// listen takes the address at which peers reach this entry host.
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

// run keeps the entry host among the others until ctx ends.
func (c *cluster) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.mesh.Run(ctx) })
	wg.Go(func() { c.registry.Run(ctx) })
	if c.source != nil {
		wg.Go(func() { c.source.Follow(ctx) })
	}
	wg.Wait()
}

// leaseHolds reports whether the store surely still has the entry host's member record.
func (c *cluster) leaseHolds(now time.Time) bool {
	return c.registry.Remaining(now) > 0
}
