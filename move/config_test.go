package move_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/move"
)

func TestEffectiveBudgets(t *testing.T) {
	tables := fleet.Tables{}
	for _, p := range []fleet.Pool{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "spare", Spare: true}} {
		tables = tables.WithPool(p)
	}
	tables.Queues = tables.Queues.With("post", fleet.Queue{Name: "post", Pool: "a"}).With("proof", fleet.Queue{Name: "proof", Pool: "b"})
	tables.Plans = tables.Plans.With("ledger", fleet.Plan{Name: "ledger", Queues: []fleet.QueueName{"proof", "post", "post"}}).
		With("unused", fleet.Plan{Name: "unused"})
	tables.Budgets = tables.Budgets.
		With("ledger", fleet.Budget{Name: "ledger", Plans: []fleet.PlanName{"ledger"}, MaxUnavailable: 2}).
		With("nobody", fleet.Budget{Name: "nobody", Plans: []fleet.PlanName{"unused"}}).
		With("zone", fleet.Budget{Name: "zone", Zones: []fleet.ZoneName{"z1"}, MaxUnavailable: 3})

	want := map[fleet.BudgetName][]fleet.PoolName{"ledger": {"a", "b"}, "zone": nil, "pool:c": {"c"}}
	got := map[fleet.BudgetName][]fleet.PoolName{}
	for name, b := range move.EffectiveBudgets(move.NewConfig(tables, 1)).All() {
		got[name] = b.Pools
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("budgets (-want +got):\n%s", diff)
	}
}
