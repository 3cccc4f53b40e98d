package estate

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/plan"
)

const (
	sampleMaxLength = 1000
	sampleMaxWait   = fleet.Duration(30 * time.Second)
)

// LedgerLists returns sample lists of a ledger service.
func LedgerLists() plan.Lists {
	slots := func(n int64) fleet.Resources { return fleet.Resources{Slots: n, Cores: 64_000, Memory: 128 << 10} }

	return plan.Lists{
		CustomersList: plan.CustomersList{Customers: []fleet.Customer{
			{Name: "nairobi-chamas", Plan: "ledger", SignedUp: "2011-03-01", Teams: []fleet.Team{
				{Name: "postings", Workspace: "nairobi", Share: 4, UpperLimit: slots(48)},
				{Name: "receipts", Workspace: "nairobi", Share: 2, UpperLimit: slots(24)},
			}},
			{Name: "kisumu-clubs", Plan: "ledger", SignedUp: "2013-07-15", Teams: []fleet.Team{
				{Name: "statements", Workspace: "kisumu", Share: 1, UpperLimit: slots(16)},
			}},
		}},
		PlansList: plan.PlansList{
			Plans: []fleet.Plan{{
				Name: "ledger", Queues: []fleet.QueueName{"post", "reconcile"}, UpperLimit: slots(80), Claim: fleet.Resources{Slots: 16},
			}},
			Queues: []fleet.Queue{
				{Name: "post", Pool: "ledger-a", Urgent: true, MaxLength: sampleMaxLength, MaxWait: sampleMaxWait},
				{Name: "reconcile", Pool: "ledger-a", MaxLength: sampleMaxLength, MaxWait: sampleMaxWait},
				{Name: "balance-check", Pool: "ledger-b", Open: true, MaxLength: sampleMaxLength, MaxWait: sampleMaxWait},
			},
			Pools: []fleet.Pool{
				{Name: "ledger-a", MinHosts: 6},
				{Name: "ledger-b", MinHosts: 4},
				{Name: "spare", Spare: true},
			},
			Budgets: []fleet.Budget{
				{Name: "ledger-a", Pools: []fleet.PoolName{"ledger-a"}, MaxUnavailable: 2},
				{Name: "zone-a", Zones: []fleet.ZoneName{"zone-a"}, MaxUnavailable: 4},
			},
		},
	}
}
