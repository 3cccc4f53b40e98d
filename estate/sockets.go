package estate

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/entry"
)

// loopback is a free port of the loopback interface.
const loopback = "127.0.0.1:0"

// sockets is the open sockets that have not been taken over by an entry host yet.
type sockets struct {
	mu        sync.Mutex
	listeners map[string]net.Listener
	packets   map[string]net.PacketConn
}

func newSockets() *sockets {
	return &sockets{listeners: map[string]net.Listener{}, packets: map[string]net.PacketConn{}}
}

// openTCP opens a TCP listener and returns its address.
func (s *sockets) openTCP(ctx context.Context) (netip.AddrPort, error) {
	l, err := entry.KernelSockets().Listen(ctx, "tcp", loopback)
	if err != nil {
		return netip.AddrPort{}, merry.Prepend(err, "listen")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners[l.Addr().String()] = l

	return netip.ParseAddrPort(l.Addr().String())
}

// openUDP opens a UDP socket and returns its address.
func (s *sockets) openUDP(ctx context.Context) (netip.AddrPort, error) {
	c, err := entry.KernelSockets().ListenPacket(ctx, "udp", loopback)
	if err != nil {
		return netip.AddrPort{}, merry.Prepend(err, "listen")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.packets[c.LocalAddr().String()] = c

	return netip.ParseAddrPort(c.LocalAddr().String())
}

// handOver returns functions with which an entry host takes over the sockets that were opened for it.
func (s *sockets) handOver() entry.Sockets {
	return entry.Sockets{
		Listen: func(_ context.Context, _, address string) (net.Listener, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			l, ok := s.listeners[address]
			if !ok {
				return nil, merry.Errorf("no listener was opened at %s", address)
			}
			delete(s.listeners, address)

			return l, nil
		},
		ListenPacket: func(_ context.Context, _, address string) (net.PacketConn, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			c, ok := s.packets[address]
			if !ok {
				return nil, merry.Errorf("no socket was opened at %s", address)
			}
			delete(s.packets, address)

			return c, nil
		},
	}
}

// close closes the remaining sockets, which frees their ports for entry hosts that run as separate processes.
func (s *sockets) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, l := range s.listeners {
		// A failure to close an unused listener is harmless.
		_ = l.Close()
		delete(s.listeners, address)
	}
	for address, c := range s.packets {
		_ = c.Close()
		delete(s.packets, address)
	}
}
