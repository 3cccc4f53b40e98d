package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"testing"
)

// TestDropWhileDialling guards against a data race between a request that drops the connection to a replaced peer and another
// request that dials a new one. The race detector finds it.
func TestDropWhileDialling(t *testing.T) {
	errNoSocket := errors.New("no socket")
	for range 200 {
		dialling, gate := make(chan struct{}), make(chan struct{})
		tr := newTransport()
		tr.client = &tls.Config{MinVersion: tls.VersionTLS13}
		tr.socket = func() (net.PacketConn, error) {
			close(dialling)
			<-gate

			return nil, errNoSocket
		}
		done := make(chan error)
		go func() {
			_, err := tr.connect(context.Background(), Peer{})
			done <- err
		}()
		<-dialling
		old := &connection{}
		old.once.Do(func() {})
		close(gate)
		tr.dropConnection(Peer{}, old)
		if err := <-done; !errors.Is(err, errNoSocket) {
			t.Fatalf("error %v, want %v", err, errNoSocket)
		}
		tr.wg.Wait()
	}
}
