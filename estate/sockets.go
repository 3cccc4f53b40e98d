package estate

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/entry"
)

// loopback is any free port of the loopback interface.
const loopback = "127.0.0.1:0"

// sockets keeps what was opened for entry hosts until they take it over.
type sockets struct {
	mu        sync.Mutex
	listeners map[string]net.Listener
	packets   map[string]net.PacketConn
}

func newSockets() *sockets {
	return &sockets{listeners: map[string]net.Listener{}, packets: map[string]net.PacketConn{}}
}

// openTCP opens a listener and returns its address.
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

// openUDP opens a socket for datagrams and returns its address.
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

// handOver returns the sockets of an entry host that takes over what was opened for it.
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

// close closes what nobody took over, which frees its ports for entry hosts that run as processes of their own.
func (s *sockets) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, l := range s.listeners {
		// A listener that nobody used loses nothing when its close fails.
		_ = l.Close()
		delete(s.listeners, address)
	}
	for address, c := range s.packets {
		_ = c.Close()
		delete(s.packets, address)
	}
}
