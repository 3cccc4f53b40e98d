package cert_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"lycheehook.example/lycheehook/cert"
	"lycheehook.example/lycheehook/peer"
)

func peers(t *testing.T, s *cert.Source) (server, client *tls.Config) {
	t.Helper()
	server, client, err := s.Peers("peer")
	if err != nil {
		t.Fatal(err)
	}

	return server, client
}

// expiredPair returns configurations that present an expired certificate, which Source itself would refuse to load.
func expiredPair(t *testing.T, a *cert.Authority) (server, client *tls.Config) {
	t.Helper()
	server, client = peers(t, source(t, files(t, a, "peer", t.TempDir(), time.Hour)))
	f := files(t, a, "peer", t.TempDir(), -time.Second)
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		t.Fatal(err)
	}
	server.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &pair, nil }
	client.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }

	return server, client
}

func TestPeers(t *testing.T) {
	ours, theirs := authority(t, "ours"), authority(t, "theirs")
	ourServer, ourClient := peers(t, source(t, files(t, ours, "peer", t.TempDir(), time.Hour)))
	theirServer, theirClient := peers(t, source(t, files(t, theirs, "peer", t.TempDir(), time.Hour)))
	expiredServer, expiredClient := expiredPair(t, ours)
	unverifying := theirClient.Clone()
	unverifying.VerifyConnection = nil
	otherServer, otherClient := peers(t, source(t, files(t, ours, "operators", t.TempDir(), time.Hour)))
	anonymous := ourClient.Clone()
	anonymous.GetClientCertificate = nil

	tests := []struct {
		name           string
		server, client *tls.Config
		ok             bool
	}{
		{"same authority", ourServer, ourClient, true},
		{"client does not trust the server", theirServer, ourClient, false},
		{"server does not trust the client", ourServer, unverifying, false},
		{"client presents no certificate", ourServer, anonymous, false},
		{"client certificate is for another name", ourServer, otherClient, false},
		{"server certificate is for another name", otherServer, ourClient, false},
		{"client has expired", ourServer, expiredClient, false},
		{"server has expired", expiredServer, ourClient, false},
	}
	for _, tt := range tests {
		if _, err := connect(t, tt.server, tt.client); (err == nil) != tt.ok {
			t.Errorf("%s: %v, want success %t", tt.name, err, tt.ok)
		}
	}

	if _, _, err := source(t, cert.Files{CA: files(t, ours, "x", t.TempDir(), time.Hour).CA}).Peers("peer"); !errors.Is(err, cert.ErrInvalid) {
		t.Errorf("peers without a certificate: %v", err)
	}
}

// Existing configurations use reloaded files: after the authority has been replaced on both sides they can connect, and a peer
// that still uses the old authority is rejected.
func TestPeersReload(t *testing.T) {
	ours, theirs := authority(t, "ours"), authority(t, "theirs")
	dirs := []string{t.TempDir(), t.TempDir()}
	var sources []*cert.Source
	for _, dir := range dirs {
		sources = append(sources, source(t, files(t, ours, "peer", dir, time.Hour)))
	}
	server, _ := peers(t, sources[0])
	_, client := peers(t, sources[1])
	_, staleClient := peers(t, source(t, files(t, ours, "peer", t.TempDir(), time.Hour)))
	for i, dir := range dirs {
		files(t, theirs, "peer", dir, time.Hour)
		if err := sources[i].Reload(); err != nil {
			t.Fatal(err)
		}
	}

	if _, err := connect(t, server, client); err != nil {
		t.Errorf("after the reload: %v", err)
	}
	if _, err := connect(t, server, staleClient); err == nil {
		t.Error("a peer with a certificate of the replaced authority was accepted")
	}
}

// A mesh accepts calls of peers with the same authority and rejects others.
func TestPeersMesh(t *testing.T) {
	type echo struct{ Text string }
	ours, theirs := authority(t, "ours"), authority(t, "theirs")
	mesh := func(a *cert.Authority, name string) (*peer.Mesh, peer.Peer) {
		server, client := peers(t, source(t, files(t, a, "peer", t.TempDir(), time.Hour)))
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		self := peer.Peer{Name: "entry-1", Incarnation: peer.Incarnation(name)}
		m := peer.New(self, peer.WithTLS(server, client))
		if err := m.Listen(socket); err != nil {
			t.Fatal(err)
		}
		peer.Handle(m, "Echo", func(_ context.Context, _ peer.Peer, q echo) (echo, error) { return q, nil })
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { m.Run(ctx); close(done) }()
		t.Cleanup(func() { stop(); <-done })
		self.Address = netip.MustParseAddrPort(socket.LocalAddr().String())

		return m, self
	}
	_, to := mesh(ours, "a")
	friend, _ := mesh(ours, "b")
	stranger, _ := mesh(theirs, "c")
	if got, err := peer.CallAt[echo](t.Context(), friend, to, "Echo", echo{"x"}); err != nil || got.Text != "x" {
		t.Errorf("call by a peer of the same authority: %+v, %v", got, err)
	}
	if _, err := peer.CallAt[echo](t.Context(), stranger, to, "Echo", echo{"x"}); err == nil {
		t.Error("a call by a peer of another authority was answered")
	}
}
