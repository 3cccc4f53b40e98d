package move_test

import (
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

// TestOverHTTP checks that a move over HTTP completes although the response to every write and call is lost.
func TestOverHTTP(t *testing.T) {
	address := func(s *httptest.Server) netip.AddrPort {
		t.Cleanup(s.Close)
		return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	}
	st, p := standin.NewStore(), standin.NewPlatform()
	p.SetRebootTime(0)
	p.PutHost(fleet.Host{Name: "h0", Pool: "a", Zone: "z"})
	storeClient := store.Dial(address(httptest.NewServer(st)), time.Second)
	platformClient := hostapi.Dial(address(httptest.NewServer(p)), time.Second)
	c := move.New(storeClient, platformClient, func() (move.Config, bool) { return poolsAB(poolBudget, zoneBudget), true },
		move.WithMinDrain(0), move.WithProposals(func(v move.View, _ time.Time) []move.Proposal {
			if v.Hosts["h0"].Value.Pool != "a" {
				return nil
			}

			return []move.Proposal{{Host: "h0", To: "b", Reboot: true}}
		}))
	st.SetFault(standin.FaultAnswerLost)
	p.SetFault(standin.FaultAnswerLost)
	for range 40 {
		if _, err := c.Step(t.Context(), time.Now()); err != nil {
			t.Fatal(err)
		}
	}

	h := c.View().Hosts["h0"].Value
	if pool, usable := h.UsablePool(); pool != "b" || !usable || h.Intent != nil || p.Boots("h0") != 1 {
		t.Errorf("host %+v after %d reboots, want it live in b after one", h, p.Boots("h0"))
	}
	for name, b := range c.View().Budgets {
		if n := b.Value.Held(); n != 0 {
			t.Errorf("budget %s keeps %d units", name, n)
		}
	}
}
