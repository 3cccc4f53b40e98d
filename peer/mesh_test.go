package peer_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/cert"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/peer"
)

type echo struct {
	Text string
}

// host is a mesh on a real socket.
type host struct {
	*peer.Mesh
	stop func()
}

func authority(tb testing.TB) *cert.Authority {
	tb.Helper()
	ca, err := cert.NewAuthority("test", time.Hour)
	if err != nil {
		tb.Fatal(err)
	}

	return ca
}

// configs returns the server and client configurations of one process, with a new certificate.
func configs(ca *cert.Authority) (server, client *tls.Config, err error) {
	const name = "peer.test"
	pair, err := ca.Issue(name, time.Hour)
	if err != nil {
		return nil, nil, err
	}
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, nil, err
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca.PEM())
	certificates := []tls.Certificate{certificate}

	return &tls.Config{Certificates: certificates, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool, MinVersion: tls.VersionTLS13},
		&tls.Config{Certificates: certificates, RootCAs: pool, ServerName: name, MinVersion: tls.VersionTLS13}, nil
}

func start(tb testing.TB, ca *cert.Authority, name fleet.EntryName, opts ...peer.Option) host {
	tb.Helper()
	server, client, err := configs(ca)
	if err != nil {
		tb.Fatal(err)
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		tb.Fatal(err)
	}

	opts = append([]peer.Option{peer.WithTLS(server, client), peer.WithHeartbeatInterval(10 * time.Millisecond)}, opts...)
	m := peer.New(peer.Peer{Name: name, Incarnation: peer.Incarnation(name) + "-1"}, opts...)
	if err := m.Listen(socket); err != nil {
		tb.Fatal(err)
	}
	peer.Handle(m, "Echo", func(_ context.Context, _ peer.Peer, q echo) (echo, error) { return q, nil })

	ctx, cancel := context.WithCancel(tb.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	h := host{Mesh: m, stop: func() {
		cancel()
		<-done
	}}
	tb.Cleanup(h.stop)

	return h
}

func TestCallReturnsTheAnswerToItsOwnRequest(t *testing.T) {
	ca := authority(t)
	a, b := start(t, ca, "a"), start(t, ca, "b")
	release := make(chan struct{})
	peer.Handle(b.Mesh, "Slow", func(_ context.Context, _ peer.Peer, q echo) (echo, error) {
		<-release
		return q, nil
	})
	a.SetPeers([]peer.Peer{b.Self()})

	slow := make(chan string)
	go func() {
		got, err := peer.Call[echo](t.Context(), a.Mesh, "b", "Slow", echo{"first"})
		if err != nil {
			got.Text = err.Error()
		}
		slow <- got.Text
	}()
	fast, err := peer.Call[echo](t.Context(), a.Mesh, "b", "Echo", echo{strings.Repeat("x", 300_000)})
	if err != nil || len(fast.Text) != 300_000 {
		t.Fatalf("response of %d bytes, %v", len(fast.Text), err)
	}
	close(release)
	if got := <-slow; got != "first" {
		t.Errorf("slow response is %q", got)
	}
}

func TestCallErrors(t *testing.T) {
	ca, other := authority(t), authority(t)
	quick := peer.WithTimeout(500 * time.Millisecond)
	a, b, stranger := start(t, ca, "a", quick), start(t, ca, "b"), start(t, other, "stranger")
	peer.Handle(b.Mesh, "Fail", func(context.Context, peer.Peer, echo) (echo, error) { return echo{}, errors.New("no such thing") })
	peer.Handle(b.Mesh, "Big", func(context.Context, peer.Peer, echo) (echo, error) {
		return echo{strings.Repeat("x", peer.MaxMessageSize)}, nil
	})
	a.SetPeers([]peer.Peer{b.Self(), stranger.Self()})

	for _, c := range []struct {
		name string
		to   fleet.EntryName
		kind peer.Kind
		text string
		want error
	}{
		{"unknown peer", "nobody", "Echo", "", peer.ErrUnknownPeer},
		{"unknown kind", "b", "Later", "", peer.ErrUnknownKind},
		{"handler refuses", "b", "Fail", "", peer.ErrRefused},
		{"request too large", "b", "Echo", strings.Repeat("x", peer.MaxMessageSize), peer.ErrTooLarge},
		{"answer too large", "b", "Big", "", peer.ErrTooLarge},
		{"wrong authority", "stranger", "Echo", "", peer.ErrUnreachable},
	} {
		_, err := peer.Call[echo](t.Context(), a.Mesh, c.to, c.kind, echo{c.text})
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}

// TestServerRefusesClientWithoutCertificate guards against clients that are served without authentication.
func TestServerRefusesClientWithoutCertificate(t *testing.T) {
	ca := authority(t)
	b := start(t, ca, "b")
	server, client, err := configs(ca)
	if err != nil {
		t.Fatal(err)
	}
	client.Certificates = nil
	a := peer.New(peer.Peer{Name: "a"}, peer.WithTLS(server, client), peer.WithTimeout(500*time.Millisecond))
	if _, err := peer.CallAt[echo](t.Context(), a, b.Self(), "Echo", echo{"x"}); !errors.Is(err, peer.ErrUnreachable) {
		t.Errorf("call without a certificate: %v", err)
	}
}

// TestSilentPathIsReplaced guards against the reuse of a connection all of whose packets are lost, while new connections work.
func TestSilentPathIsReplaced(t *testing.T) {
	ca := authority(t)
	b := start(t, ca, "b")
	r := newRelay(t, b.Self().Address)
	a := start(t, ca, "a", peer.WithTimeout(300*time.Millisecond))
	to := b.Self()
	to.Address = r.address()

	if _, err := peer.CallAt[echo](t.Context(), a.Mesh, to, "Echo", echo{"x"}); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		r.silenceOpenFlows()
		if _, err := peer.CallAt[echo](t.Context(), a.Mesh, to, "Echo", echo{"x"}); !errors.Is(err, peer.ErrUnreachable) {
			t.Fatalf("call over a silent path: %v", err)
		}
		if _, err := peer.CallAt[echo](t.Context(), a.Mesh, to, "Echo", echo{"x"}); err != nil {
			t.Fatalf("call over a new path: %v", err)
		}
	}
}

// TestPacketFaults guards against wrong or missing responses on a path that loses, duplicates, delays and reorders packets.
func TestPacketFaults(t *testing.T) {
	ca := authority(t)
	b := start(t, ca, "b")
	for _, c := range []struct {
		name  string
		fault packetFault
	}{
		{"a tenth lost", packetFault{lose: 10}},
		{"a third duplicated", packetFault{double: 3}},
		{"a third late and out of order", packetFault{hold: 3}},
		{"all at once", packetFault{lose: 15, double: 4, hold: 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRelay(t, b.Self().Address)
			r.setFault(c.fault)
			a := start(t, ca, "a", peer.WithTimeout(20*time.Second))
			to := b.Self()
			to.Address = r.address()
			for i := range 20 {
				text := strings.Repeat(string(rune('a'+i)), 5000)
				got, err := peer.CallAt[echo](t.Context(), a.Mesh, to, "Echo", echo{text})
				if err != nil || got.Text != text {
					t.Fatalf("request %d: response of %d bytes, %v", i, len(got.Text), err)
				}
			}
		})
	}
}

func TestHeartbeatsCarryStatusAndReports(t *testing.T) {
	ca := authority(t)
	a, b := start(t, ca, "a"), start(t, ca, "b")
	status := peer.Status{Generation: 7, Revision: 5, Confirmed: true, Age: time.Second, Seats: []string{"b"}, View: 9}
	b.SetStatus(func() peer.Status { return status })
	peer.Report(b.Mesh, "Usage", func() echo { return echo{"three slots"} })
	peer.Report(b.Mesh, "TooBig", func() echo { return echo{strings.Repeat("x", peer.MaxReportSize)} })

	reports, tooBig := make(chan echo, 1000), make(chan echo, 1000)
	peer.OnReport(a.Mesh, "Usage", func(_ peer.Peer, e echo) { reports <- e })
	peer.OnReport(a.Mesh, "TooBig", func(_ peer.Peer, e echo) { tooBig <- e })
	heard := make(chan peer.Heard, 1000)
	a.OnHeard(func(h peer.Heard) { heard <- h })
	a.SetPeers([]peer.Peer{b.Self()})
	b.SetPeers([]peer.Peer{a.Self()})

	h := <-heard
	if diff := cmp.Diff(status, h.Status); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
	if h.Asked.After(h.Received) || h.From != b.Self() {
		t.Errorf("heard %+v", h)
	}
	if got := <-reports; got.Text != "three slots" {
		t.Errorf("report %+v", got)
	}
	if len(tooBig) > 0 {
		t.Error("a report larger than MaxReportSize was sent")
	}
}

// dials opens the sockets of a mesh, and can hold one up.
type dials struct {
	armed      atomic.Bool
	held, free chan struct{}
}

func (d *dials) open() (net.PacketConn, error) {
	if d.armed.CompareAndSwap(true, false) {
		close(d.held)
		<-d.free
	}

	return net.ListenUDP("udp", nil)
}

// reach calls b until it answers. On a busy machine, single calls may fail, as the transport limits the time for a connection.
func reach(t *testing.T, m *peer.Mesh) {
	t.Helper()
	const attempts = 20
	var err error
	for range attempts {
		if _, err = peer.Call[echo](t.Context(), m, "b", "Echo", echo{"x"}); !errors.Is(err, peer.ErrUnreachable) {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestReplacedPeerIsReachedAtItsNewAddress guards against calls to the old address after a process is replaced by one of the same name,
// also while a connection to the old address is still being established.
func TestReplacedPeerIsReachedAtItsNewAddress(t *testing.T) {
	ca := authority(t)
	d := &dials{held: make(chan struct{}), free: make(chan struct{})}
	a, first := start(t, ca, "a", peer.WithTimeout(5*time.Second), peer.WithDialSocket(d.open)), start(t, ca, "b")
	t.Cleanup(func() { close(d.free) })
	a.SetPeers([]peer.Peer{first.Self()})
	reach(t, a.Mesh)
	first.stop()
	d.armed.Store(true)
	for held := false; !held; {
		stopped, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		_, err := peer.Call[echo](stopped, a.Mesh, "b", "Echo", echo{"x"})
		cancel()
		if !errors.Is(err, peer.ErrUnreachable) {
			t.Fatalf("call to a stopped process: %v", err)
		}
		select {
		case <-d.held:
			held = true
		default:
		}
	}

	second := start(t, ca, "b")
	p := second.Self()
	p.Incarnation = "b-2"
	a.SetPeers([]peer.Peer{p})
	reach(t, a.Mesh)
}

func TestOutstandingRequestsAreBounded(t *testing.T) {
	ca := authority(t)
	a, b := start(t, ca, "a", peer.WithTimeout(time.Minute)), start(t, ca, "b")
	a.SetPeers([]peer.Peer{b.Self()})
	entered, release := make(chan struct{}), make(chan struct{})
	peer.Handle(b.Mesh, "Hold", func(_ context.Context, _ peer.Peer, q echo) (echo, error) {
		entered <- struct{}{}
		<-release
		return q, nil
	})

	const bound = 64
	done := make(chan error)
	for range bound {
		go func() {
			_, err := peer.Call[echo](t.Context(), a.Mesh, "b", "Hold", echo{})
			done <- err
		}()
		<-entered
	}
	if _, err := peer.Call[echo](t.Context(), a.Mesh, "b", "Hold", echo{}); !errors.Is(err, peer.ErrBusy) {
		t.Errorf("request above the limit: %v", err)
	}
	close(release)
	for range bound {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}
