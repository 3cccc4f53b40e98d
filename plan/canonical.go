package plan

import (
	"cmp"
	"slices"

	"lycheehook.example/lycheehook/fleet"
)

// Canonical returns the lists sorted by name, so that lists with the same content are equal.
func (l Lists) Canonical() Lists {
	l.Customers = sorted(l.Customers, func(c fleet.Customer) fleet.CustomerName { return c.Name })
	for i := range l.Customers {
		l.Customers[i].Teams = sorted(l.Customers[i].Teams, func(t fleet.Team) fleet.TeamName { return t.Name })
	}
	l.Plans = sorted(l.Plans, func(p fleet.Plan) fleet.PlanName { return p.Name })
	for i := range l.Plans {
		l.Plans[i].Queues = sorted(l.Plans[i].Queues, func(q fleet.QueueName) fleet.QueueName { return q })
	}
	l.Queues = sorted(l.Queues, func(q fleet.Queue) fleet.QueueName { return q.Name })
	l.Pools = sorted(l.Pools, func(p fleet.Pool) fleet.PoolName { return p.Name })
	l.Budgets = sorted(l.Budgets, func(b fleet.Budget) fleet.BudgetName { return b.Name })
	for i := range l.Budgets {
		l.Budgets[i].Pools = sorted(l.Budgets[i].Pools, func(p fleet.PoolName) fleet.PoolName { return p })
		l.Budgets[i].Zones = sorted(l.Budgets[i].Zones, func(z fleet.ZoneName) fleet.ZoneName { return z })
	}

	return l
}

// sorted returns a sorted copy, or nil for an empty list.
func sorted[T any, K cmp.Ordered](values []T, key func(T) K) []T {
	if len(values) == 0 {
		return nil
	}

	return slices.SortedStableFunc(slices.Values(values), func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}
