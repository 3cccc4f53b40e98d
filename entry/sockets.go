package entry

import (
	"context"
	"net"
)

// Sockets opens what an entry host listens on; its fields are seams for tests and sample estates, which hand over what
// they have open already, so that nobody else can take a port before the entry host does.
type Sockets struct {
	Listen       func(ctx context.Context, network, address string) (net.Listener, error)
	ListenPacket func(ctx context.Context, network, address string) (net.PacketConn, error)
}

// KernelSockets returns sockets that the kernel opens at the addresses asked for.
func KernelSockets() Sockets {
	var lc net.ListenConfig

	return Sockets{Listen: lc.Listen, ListenPacket: lc.ListenPacket}
}
