package move

import (
	"slices"

	"lycheehook.example/lycheehook/fleet"
)

// Config is the part of the operators' lists that moves depend on.
type Config struct {
	Pools    fleet.Table[fleet.PoolName, fleet.Pool]
	Budgets  fleet.Table[fleet.BudgetName, fleet.Budget]
	Revision uint64
}

// NewConfig returns the configuration for the tables of a revision, with the plans of each budget resolved to pools.
// A budget whose plans have no queues covers no host and is left out.
func NewConfig(t fleet.Tables, revision uint64) Config {
	c := Config{Pools: t.Pools, Revision: revision}
	for name, b := range t.Budgets.All() {
		if len(b.Plans) > 0 {
			b.Pools = budgetPools(t, b)
			if len(b.Pools) == 0 {
				continue
			}
		}
		c.Budgets = c.Budgets.With(name, b)
	}

	return c
}

// budgetPools returns the pools that a budget names directly or through its plans, sorted and without duplicates.
func budgetPools(t fleet.Tables, b fleet.Budget) []fleet.PoolName {
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

// EffectiveBudgets returns the operators' budgets, and a budget of one host for each pool that none of them names.
// Spare pools need no budget because their hosts serve nobody.
func EffectiveBudgets(c Config) fleet.Table[fleet.BudgetName, fleet.Budget] {
	hasBudget := map[fleet.PoolName]bool{}
	all := c.Budgets
	for _, b := range c.Budgets.All() {
		for _, pool := range b.Pools {
			hasBudget[pool] = true
		}
	}
	for name, pool := range c.Pools.All() {
		if !hasBudget[name] && !pool.Spare {
			b := fleet.Budget{Name: fleet.BudgetName("pool:" + name), Pools: []fleet.PoolName{name}, MaxUnavailable: 1}
			all = all.With(b.Name, b)
		}
	}

	return all
}
