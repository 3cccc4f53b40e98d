package peer_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/peer"
)

// packetOverhead is the size of the IPv4 and UDP headers, in bytes.
const packetOverhead = 28

// countingSocket counts the bytes of a socket in both directions.
type countingSocket struct {
	net.PacketConn
	sent, received *atomic.Int64
}

func (c countingSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	n, a, err := c.PacketConn.ReadFrom(p)
	c.received.Add(int64(n + packetOverhead))

	return n, a, err
}

func (c countingSocket) WriteTo(p []byte, a net.Addr) (int, error) {
	c.sent.Add(int64(len(p) + packetOverhead))
	return c.PacketConn.WriteTo(p, a)
}

// teamUsage is as large as the entry of a team in reports of fair sharing.
type teamUsage struct {
	Team             string
	Running, Waiting int64
	Usage            float64
}

// BenchmarkBytes measures the traffic of one entry host per second, for several numbers of entry hosts and teams.
func BenchmarkBytes(b *testing.B) {
	for _, c := range []struct{ hosts, teams int }{{2, 0}, {7, 0}, {7, 43}, {7, 86}, {14, 0}, {14, 43}} {
		b.Run(fmt.Sprintf("hosts=%d/teams=%d", c.hosts, c.teams), func(b *testing.B) {
			var sent, received atomic.Int64
			measureBytes(b, c.hosts, c.teams, &sent, &received)
		})
	}
}

func measureBytes(b *testing.B, hosts, teams int, sent, received *atomic.Int64) {
	b.Helper()
	const warmUp, window = time.Second, 4 * time.Second
	ca := authority(b)
	counted := peer.WithDialSocket(func() (net.PacketConn, error) {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		return countingSocket{c, sent, received}, err
	})
	interval := peer.WithHeartbeatInterval(peer.DefaultHeartbeatInterval)
	meshes, peers := make([]host, 0, hosts), make([]peer.Peer, 0, hosts)
	for i := range hosts {
		name := fleet.EntryName(fmt.Sprintf("entry-%d", i+1))
		opts := []peer.Option{interval}
		if i == 0 {
			opts = append(opts, counted)
		}
		m := start(b, ca, name, opts...)
		m.SetStatus(func() peer.Status {
			return peer.Status{Generation: 3200, Revision: 3100, Confirmed: true, Age: time.Second, Seats: []string{string(name)}, StoreReachable: true, View: 1 << 60}
		})
		if teams > 0 {
			peer.Report(m.Mesh, "Usage", func() []teamUsage { return usages(teams) })
		}
		meshes, peers = append(meshes, m), append(peers, m.Self())
	}
	for _, m := range meshes {
		m.SetPeers(peers)
	}

	<-time.After(warmUp)
	s, r := sent.Load(), received.Load()
	<-time.After(window)
	// Only outgoing connections are measured. All peers behave alike, so incoming ones carry as much in the opposite direction.
	total := float64(sent.Load()-s+received.Load()-r) / window.Seconds()
	b.ReportMetric(total, "sent-B/s")
	b.ReportMetric(2*total, "sent+received-B/s")
}

func usages(n int) []teamUsage {
	us := make([]teamUsage, n)
	for i := range us {
		us[i] = teamUsage{Team: fmt.Sprintf("team-name-%d", i), Running: int64(i), Waiting: 100, Usage: 1.5}
	}

	return us
}
