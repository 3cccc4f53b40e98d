package placement

import (
	"cmp"
	"slices"

	"lycheehook.example/lycheehook/fleet"
)

// Shortfall is a pool whose hosts can't provide the resources promised to its customers if one zone is lost.
type Shortfall struct {
	Pool fleet.PoolName
	// Lost is the availability zone that is assumed to be lost; empty means none.
	Lost fleet.ZoneName `json:",omitempty"`
	// Promised is the sum of the customers' claims, and Capacity that of the remaining hosts and endpoint slots.
	Promised fleet.Resources
	Capacity fleet.Resources
}

// Shortfalls returns every pool and lost zone for which the claims of all customers exceed the remaining capacity.
// A plan's claim counts against the pool of each of its queues; resources that no claim names don't count.
func Shortfalls(t fleet.Tables) []Shortfall {
	promised := sumClaims(t)
	zones := map[fleet.ZoneName]bool{"": true}
	for _, h := range t.Hosts.All() {
		zones[h.Zone] = true
	}

	var all []Shortfall
	for pool, sum := range promised {
		for zone := range zones {
			left := remainingCapacity(t, pool, zone)
			if !sum.FitsIn(left) {
				all = append(all, Shortfall{Pool: pool, Lost: zone, Promised: sum, Capacity: left})
			}
		}
	}
	slices.SortFunc(all, func(a, b Shortfall) int { return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Lost, b.Lost)) })

	return all
}

// sumClaims sums the claims on each pool. A customer's claim counts once per pool, even if several queues use the pool.
func sumClaims(t fleet.Tables) map[fleet.PoolName]fleet.Resources {
	sums := map[fleet.PoolName]fleet.Resources{}
	for _, c := range t.Customers.All() {
		plan, ok := t.Plans.Get(c.Plan)
		if !ok || plan.Claim.IsZero() {
			continue
		}
		counted := map[fleet.PoolName]bool{}
		for _, name := range plan.Queues {
			q, ok := t.Queues.Get(name)
			if !ok || counted[q.Pool] {
				continue
			}
			counted[q.Pool] = true
			sums[q.Pool] = sums[q.Pool].Plus(plan.Claim)
		}
	}

	return sums
}

// remainingCapacity sums the hosts of a pool outside the lost zone, and the slots of the endpoints there that aren't
// leaving.
func remainingCapacity(t fleet.Tables, pool fleet.PoolName, lost fleet.ZoneName) fleet.Resources {
	var sum fleet.Resources
	for _, h := range t.Hosts.All() {
		if h.Pool == pool && (h.Zone != lost || lost == "") {
			sum = sum.Plus(h.Capacity)
		}
	}
	for _, e := range t.Endpoints.All() {
		if e.Pool == pool && (e.Zone != lost || lost == "") && !e.Leaving {
			sum.Slots += int64(e.Slots)
		}
	}

	return sum
}
