package estate

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/settings"
)

// The start of an estate hung because another process took a port between its choice and the start of the entry host. The
// sockets of an entry host therefore stay open from the choice of the ports.
func TestPortsAreReserved(t *testing.T) {
	e := New(log.New(io.Discard))
	var s settings.Settings
	if err := e.open(t.Context(), &s); err != nil {
		t.Fatal(err)
	}
	defer e.sockets.close()
	for _, at := range []string{s.CallerAddress.String(), s.OperatorAddress.String()} {
		if l, err := net.Listen("tcp", at); err == nil {
			t.Errorf("%s was not in use", at)
			_ = l.Close()
		}
	}
	if c, err := net.ListenPacket("udp", s.PeerAddress.String()); err == nil {
		t.Errorf("%s was not in use", s.PeerAddress)
		_ = c.Close()
	}

	l, err := e.sockets.handOver().Listen(t.Context(), "tcp", s.CallerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if diff := cmp.Diff(s.CallerAddress.String(), l.Addr().String()); diff != "" {
		t.Errorf("listener (-want +got):\n%s", diff)
	}
}

// Waiting for an entry host that never listens ends when the context is done.
func TestAwaitListeningEnds(t *testing.T) {
	e := New(log.New(io.Discard))
	unused, err := e.sockets.openTCP(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	e.sockets.close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := awaitListening(ctx, unused); err == nil {
		t.Error("no error although nothing listens at the address")
	}
}

// On a busy machine the requests were not yet in progress when the entry host was stopped, and none was answered. A store that
// takes 400 ms for a claim reproduces this.
func TestGracefulStopWithSlowClaims(t *testing.T) {
	e := New(log.New(io.Discard))
	if err := e.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	if err := e.Prepare(t.Context()); err != nil {
		t.Fatal(err)
	}
	e.Store.SetDelay(400 * time.Millisecond)
	if saw, err := e.checkGracefulStop(t.Context()); err != nil {
		t.Errorf("check of the graceful stop: %s %v", saw, err)
	}
}
