package entry

import (
	"context"
	"net"
)

// Sockets opens the sockets that an entry host listens on. Tests and sample estates replace its fields to pass sockets
// that are open already, so that no other process can take a port before the entry host does.
type Sockets struct {
	Listen       func(ctx context.Context, network, address string) (net.Listener, error)
	ListenPacket func(ctx context.Context, network, address string) (net.PacketConn, error)
}

// KernelSockets returns Sockets that open real sockets at the given addresses.
func KernelSockets() Sockets {
	var lc net.ListenConfig

	return Sockets{Listen: lc.Listen, ListenPacket: lc.ListenPacket}
}
