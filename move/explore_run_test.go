package move_test

import (
	"testing"

	"lycheehook.example/lycheehook/fleet"
)

func TestExplore(t *testing.T) {
	both, pool := []fleet.Budget{poolBudget, zoneBudget}, []fleet.Budget{poolBudget}
	cases := []struct {
		name    string
		budgets []fleet.Budget
		exploration
		broken bool
	}{
		{"one host", both, exploration{hosts: 1, maxRev: 18}, false},
		{"one host and a loss", both, exploration{hosts: 1, crashes: 1, maxRev: 9}, false},
		{"two hosts", pool, exploration{hosts: 2, maxRev: 17}, false},
		{"two hosts and a loss", pool, exploration{hosts: 2, crashes: 1, maxRev: 8}, false},
		{"without compare-and-swap of host records", pool, exploration{hosts: 1, maxRev: 14, disabled: mechanisms{hostSwap: true}}, true},
		{"without compare-and-swap of budgets", pool, exploration{hosts: 2, maxRev: 14, disabled: mechanisms{budgetSwap: true}}, true},
		{"without fencing at the platform", pool, exploration{hosts: 1, maxRev: 14, disabled: mechanisms{platformFence: true}}, true},
		{"without ordered reads", pool, exploration{hosts: 2, maxRev: 14, disabled: mechanisms{readOrder: true}}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			e := tc.exploration
			e.config, e.limit = poolsAB(tc.budgets...), 1_000_000
			fault := e.search()
			if broken := fault != ""; broken != tc.broken {
				t.Errorf("fault %q after %d states, want a fault: %v", fault, e.states, tc.broken)
			}
			if !tc.broken && !e.complete {
				t.Errorf("exploration ended after %d states before it was complete", e.states)
			}
			t.Logf("%d states: %s", e.states, fault)
		})
	}
}
