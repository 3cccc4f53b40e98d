package manager

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/ledger"
)

// Harambee grown, scale-2: the owner is cut off from the store for twelve seconds, and most entry hosts have links of
// 10 Mbit/s, on which a batch of a thousand starts takes a tenth of a second. It goes through one with a wide link.
func TestHelpers(t *testing.T) {
	wide := ledger.Host{PeerAddress: "wide", LinkMegabits: 200}
	narrow := ledger.Host{PeerAddress: "narrow", LinkMegabits: 10}
	self := ledger.Host{PeerAddress: "self", LinkMegabits: 200}
	seed := ledger.Host{PeerAddress: "seed"}
	tests := []struct {
		name  string
		hosts []ledger.Host
		want  []string
	}{
		{"nobody", nil, nil},
		{"only itself", []ledger.Host{self}, nil},
		{"the widest first", []ledger.Host{narrow, self, seed, wide}, []string{"wide", "narrow", "seed"}},
		{"a seed that is known by now", []ledger.Host{narrow, wide, {PeerAddress: "narrow"}}, []string{"wide", "narrow"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, helpers(tt.hosts, "self")); diff != "" {
				t.Errorf("helpers (-want +got):\n%s", diff)
			}
		})
	}
}
