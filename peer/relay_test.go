package peer_test

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
)

// packetFault selects the rate of each fault: one in so many packets; zero means none.
type packetFault struct {
	lose, double, hold int
}

// relay forwards packets between clients and one server, and can stop forwarding open flows, like a middlebox that lost its state.
type relay struct {
	server netip.AddrPort
	front  *net.UDPConn

	mu     sync.Mutex
	flows  map[netip.AddrPort]*flow
	fault  packetFault
	random *rand.Rand
	bytes  int64
}

type flow struct {
	back   *net.UDPConn
	silent bool
	held   []byte
}

func newRelay(tb testing.TB, server netip.AddrPort) *relay {
	tb.Helper()
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		tb.Fatal(err)
	}
	r := &relay{server: server, front: front, flows: map[netip.AddrPort]*flow{}, random: rand.New(rand.NewPCG(1, 2))}
	var wg sync.WaitGroup
	wg.Go(func() { r.forward(tb, &wg) })
	tb.Cleanup(func() {
		_ = front.Close()
		r.mu.Lock()
		for _, f := range r.flows {
			_ = f.back.Close()
		}
		r.mu.Unlock()
		wg.Wait()
	})

	return r
}

func (r *relay) address() netip.AddrPort {
	return r.front.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (r *relay) setFault(f packetFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

func (r *relay) silenceOpenFlows() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.silent = true
	}
}

func (r *relay) forward(tb testing.TB, wg *sync.WaitGroup) {
	tb.Helper()
	buf := make([]byte, 65536)
	for {
		n, from, err := r.front.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		f, ok := r.flows[from]
		if !ok {
			back, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				tb.Error(err)
				r.mu.Unlock()
				return
			}
			f = &flow{back: back}
			r.flows[from] = f
			wg.Go(func() { r.backward(from, f) })
		}
		r.pass(f, buf[:n], func(p []byte) { _, _ = f.back.WriteToUDPAddrPort(p, r.server) })
		r.mu.Unlock()
	}
}

func (r *relay) backward(client netip.AddrPort, f *flow) {
	buf := make([]byte, 65536)
	for {
		n, _, err := f.back.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.pass(f, buf[:n], func(p []byte) { _, _ = r.front.WriteToUDPAddrPort(p, client) })
		r.mu.Unlock()
	}
}

// pass forwards a packet subject to the current faults; the caller holds the lock.
func (r *relay) pass(f *flow, p []byte, write func([]byte)) {
	hit := func(n int) bool { return n > 0 && r.random.IntN(n) == 0 }
	r.bytes += int64(len(p))
	if f.silent || hit(r.fault.lose) {
		return
	}
	if hit(r.fault.hold) {
		// A held packet is sent after later ones, which reorders packets.
		p, f.held = f.held, append([]byte(nil), p...)
		if p == nil {
			return
		}
	}
	write(p)
	if hit(r.fault.double) {
		write(p)
	}
}
