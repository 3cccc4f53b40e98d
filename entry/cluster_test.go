package entry

import (
	"context"
	"io"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/cert"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/standin"
)

// startCluster runs the cluster of an entry host, with certificate files issued by a.
func startCluster(t *testing.T, name fleet.EntryName, a *cert.Authority, s *standin.Store) *cluster {
	t.Helper()
	pair, err := a.Issue(PeerServerName, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	f, err := a.WriteFiles(filepath.Join(t.TempDir(), string(name)), pair)
	if err != nil {
		t.Fatal(err)
	}
	at, sockets := openUDP(t)
	c, err := newCluster(settings.Settings{
		Name: name, PeerAddress: at,
		TLS: settings.TLS{Peers: settings.TLSFiles{CertificateFile: f.Certificate, KeyFile: f.Key, CAFile: f.CA}},
	}, s.Client(), log.New(io.Discard), sockets)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.listen(t.Context()); err != nil {
		t.Fatal(err)
	}

	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { c.run(ctx) })
	t.Cleanup(func() {
		stop()
		wg.Wait()
	})

	return c
}

// openUDP opens a socket and returns its address, and Sockets that return the socket.
func openUDP(t *testing.T) (netip.AddrPort, Sockets) {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}

	return netip.MustParseAddrPort(c.LocalAddr().String()), Sockets{
		ListenPacket: func(context.Context, string, string) (net.PacketConn, error) { return c, nil },
	}
}

// heardWithin reports whether c gets a peer's answer to a heartbeat within the limit.
func heardWithin(t *testing.T, c *cluster, from fleet.EntryName, limit time.Duration) bool {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		if _, ok := c.mesh.Heard(from); ok {
			return true
		}
		<-time.After(10 * time.Millisecond)
	}

	return false
}

func TestPeerHeartbeats(t *testing.T) {
	s := standin.NewStore()
	authority, err := cert.NewAuthority("ours", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	a, b := startCluster(t, "a", authority, s), startCluster(t, "b", authority, s)
	if !heardWithin(t, a, "b", time.Minute) || !heardWithin(t, b, "a", time.Minute) {
		t.Error("entry hosts with certificates of one authority do not get each other's heartbeats")
	}
}

func TestPeerOfOtherAuthorityRejected(t *testing.T) {
	s := standin.NewStore()
	authority, err := cert.NewAuthority("ours", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	otherAuthority, err := cert.NewAuthority("theirs", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	a, b := startCluster(t, "a", authority, s), startCluster(t, "b", authority, s)
	stranger := startCluster(t, "stranger", otherAuthority, s)
	if !heardWithin(t, a, "b", time.Minute) || !heardWithin(t, b, "a", time.Minute) {
		t.Fatal("entry hosts with certificates of one authority do not get each other's heartbeats")
	}
	// By now the stranger was dialled as well: it joined no later than the heartbeats began.
	if heardWithin(t, a, "stranger", time.Second) || heardWithin(t, stranger, "a", time.Second) {
		t.Error("heartbeats pass between entry hosts with certificates of different authorities")
	}
}
