package move

import (
	"slices"

	"lycheehook.example/lycheehook/fleet"
)

// Config is the operators' lists in force.
type Config struct {
	Pools    fleet.Table[fleet.PoolName, fleet.Pool]
	Budgets  fleet.Table[fleet.BudgetName, fleet.Budget]
	Revision uint64
}

// ConfigOf returns the configuration of moves in the tables of a revision, with the plans of each budget resolved to
// pools; a budget of plans that have no queues covers no host and is left out.
func ConfigOf(t fleet.Tables, revision uint64) Config {
	c := Config{Pools: t.Pools, Revision: revision}
	for name, b := range t.Budgets.All() {
		if len(b.Plans) > 0 {
			b.Pools = poolsOf(t, b)
			if len(b.Pools) == 0 {
				continue
			}
		}
		c.Budgets = c.Budgets.With(name, b)
	}

	return c
}

// poolsOf returns the pools that a budget names by itself and by its plans, in order.
func poolsOf(t fleet.Tables, b fleet.Budget) []fleet.PoolName {
	pools := slices.Clone(b.Pools)
	for _, name := range b.Plans {
		plan, _ := t.Plans.Get(name)
		for _, queue := range plan.Queues {
			if q, ok := t.Queues.Get(queue); ok {
				pools = append(pools, q.Pool)
			}
		}
	}
	slices.Sort(pools)

	return slices.Compact(pools)
}

// EffectiveBudgets returns the operators' budgets, and one of a single host for each pool that none of them names; the
// hosts of a spare pool serve nobody and need none.
func EffectiveBudgets(c Config) fleet.Table[fleet.BudgetName, fleet.Budget] {
	named := map[fleet.PoolName]bool{}
	all := c.Budgets
	for _, b := range c.Budgets.All() {
		for _, pool := range b.Pools {
			named[pool] = true
		}
	}
	for name, pool := range c.Pools.All() {
		if !named[name] && !pool.Spare {
			b := fleet.Budget{Name: fleet.BudgetName("pool:" + name), Pools: []fleet.PoolName{name}, MaxUnavailable: 1}
			all = all.With(b.Name, b)
		}
	}

	return all
}
