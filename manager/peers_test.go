package manager

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/ledger"
)

// TestSortPeers guards against a slow failover: the owner loses its connection to the store for
// 12 s, and most entry hosts have 10 Mbit/s links, on which a batch of 1000 starts takes 0.1 s. Calls must go through a peer
// with a wide link.
func TestSortPeers(t *testing.T) {
	wide := ledger.Host{PeerAddress: "wide", LinkMegabits: 200}
	narrow := ledger.Host{PeerAddress: "narrow", LinkMegabits: 10}
	self := ledger.Host{PeerAddress: "self", LinkMegabits: 200}
	seed := ledger.Host{PeerAddress: "seed"}
	tests := []struct {
		name  string
		hosts []ledger.Host
		want  []string
	}{
		{"no hosts", nil, nil},
		{"only self", []ledger.Host{self}, nil},
		{"widest link first", []ledger.Host{narrow, self, seed, wide}, []string{"wide", "narrow", "seed"}},
		{"seed that is also a known host", []ledger.Host{narrow, wide, {PeerAddress: "narrow"}}, []string{"wide", "narrow"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, sortPeers(tt.hosts, "self")); diff != "" {
				t.Errorf("peers (-want +got):\n%s", diff)
			}
		})
	}
}
