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

// The script that starts an estate once waited for ever: the port that was chosen for an entry host had been freed, and
// another process took it. From its choice until the end of the entry host nobody else can have the port.
func TestPortsAreHeld(t *testing.T) {
	e := New(log.New(io.Discard))
	var s settings.Settings
	if err := e.open(t.Context(), &s); err != nil {
		t.Fatal(err)
	}
	defer e.sockets.close()
	for _, at := range []string{s.CallerAddress.String(), s.OperatorAddress.String()} {
		if l, err := net.Listen("tcp", at); err == nil {
			t.Errorf("%s was free to take", at)
			_ = l.Close()
		}
	}
	if c, err := net.ListenPacket("udp", s.PeerAddress.String()); err == nil {
		t.Errorf("%s was free to take", s.PeerAddress)
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

// Waiting for an entry host that never listens ends with its context.
func TestAwaitListeningEnds(t *testing.T) {
	e := New(log.New(io.Discard))
	nobody, err := e.sockets.openTCP(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	e.sockets.close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := awaitListening(ctx, nobody); err == nil {
		t.Error("nobody listens there")
	}
}

// Beside load the requests of this step were not yet in progress when the stop came: 0 of 6 were answered. A store that
// takes 400 ms for a claim brings that about.
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
		t.Errorf("%s %v", saw, err)
	}
}
