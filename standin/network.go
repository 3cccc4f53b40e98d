package standin

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/peer"
)

// PathFault is the faults of requests from one entry host to another.
type PathFault struct {
	// RequestLost drops the request before the peer receives it.
	RequestLost bool
	// AnswerLost drops the response after the peer handled the request.
	AnswerLost bool
	// Doubled makes the peer handle the request twice.
	Doubled bool
	// RequestDelay and AnswerDelay are the latencies of the two directions.
	RequestDelay time.Duration
	AnswerDelay  time.Duration
}

type path struct {
	from, to fleet.EntryName
}

// Network is an in-memory network between meshes, for tests with a fake clock.
type Network struct {
	mu     sync.Mutex
	serve  map[netip.AddrPort]func(context.Context, []byte) []byte
	faults map[path]PathFault
	next   uint16
	bytes  int64
}

// NewNetwork returns a network without meshes.
func NewNetwork() *Network {
	return &Network{serve: map[netip.AddrPort]func(context.Context, []byte) []byte{}, faults: map[path]PathFault{}}
}

// Mesh returns a mesh that is attached to the network with a new address until ctx is done.
func (n *Network) Mesh(ctx context.Context, name fleet.EntryName, incarnation peer.Incarnation, opts ...peer.Option) *peer.Mesh {
	n.mu.Lock()
	n.next++
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n.next >> 8), byte(n.next)}), 7000)
	n.mu.Unlock()

	self := peer.Peer{Name: name, Incarnation: incarnation, Address: address}
	opts = append(opts, peer.WithExchange(func(ctx context.Context, to peer.Peer, request []byte) ([]byte, error) {
		return n.exchange(ctx, name, to, request)
	}))
	m := peer.New(self, opts...)

	n.mu.Lock()
	n.serve[address] = m.Serve
	n.mu.Unlock()
	context.AfterFunc(ctx, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.serve, address)
	})

	return m
}

// SetFault sets the fault of later requests from one entry host to another.
func (n *Network) SetFault(from, to fleet.EntryName, f PathFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[path{from, to}] = f
}

// Cut partitions two entry hosts, or reconnects them.
func (n *Network) Cut(a, b fleet.EntryName, cut bool) {
	n.SetFault(a, b, PathFault{RequestLost: cut})
	n.SetFault(b, a, PathFault{RequestLost: cut})
}

// Bytes returns the total size of all messages.
func (n *Network) Bytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.bytes
}

func (n *Network) exchange(ctx context.Context, from fleet.EntryName, to peer.Peer, request []byte) ([]byte, error) {
	fault, serve := n.path(from, to)
	answered := make(chan []byte, 1)
	if serve != nil && !fault.RequestLost {
		// A request that has been sent arrives even if its sender has been cancelled.
		go func() { answered <- n.deliver(context.WithoutCancel(ctx), fault, serve, request) }()
	}

	select {
	case <-ctx.Done():
		return nil, merry.Prependf(peer.ErrUnreachable, "no response from %s", to.Name)
	case answer := <-answered:
		// The response is also lost if the path was cut in the meantime.
		if now, _ := n.path(from, to); !now.RequestLost && !fault.AnswerLost {
			return answer, nil
		}
	}
	<-ctx.Done()

	return nil, merry.Prependf(peer.ErrUnreachable, "response from %s lost", to.Name)
}

// deliver delivers a request to its receiver and returns the response.
func (n *Network) deliver(ctx context.Context, f PathFault, serve func(context.Context, []byte) []byte, request []byte) []byte {
	time.Sleep(f.RequestDelay)
	n.count(request)
	answer := serve(ctx, request)
	if f.Doubled {
		answer = serve(ctx, request)
	}
	n.count(answer)
	time.Sleep(f.AnswerDelay)

	return answer
}

func (n *Network) path(from fleet.EntryName, to peer.Peer) (PathFault, func(context.Context, []byte) []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.faults[path{from, to.Name}], n.serve[to.Address]
}

func (n *Network) count(message []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes += int64(len(message))
}
