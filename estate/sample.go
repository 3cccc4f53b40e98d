package estate

import (
	"fmt"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/plan"
)

// Sizes of the samples.
const (
	hostsPerPool        = 10
	hostsPerRack        = 4
	zoneCount           = 4
	endpointSlots       = 8
	endpointConnections = 64
	sampleMaxLength     = 1000
	sampleMaxWait       = fleet.Duration(30 * time.Second)
)

// Sample is the lists, hosts and endpoints of an estate.
type Sample struct {
	Lists plan.Lists
	Hosts []fleet.Host
	// Endpoints have no addresses until they are started.
	Endpoints []fleet.Endpoint
}

// Ledger returns a sample of a ledger service: postings, reconciliation and receipts for clubs.
func Ledger() Sample {
	pools := []fleet.PoolName{"posting", "reconciling", "receipts", "statements"}
	runners := []int{4, 2, 2, 2}

	return Sample{
		Lists:     plan.Lists{CustomersList: ledgerCustomers(), PlansList: ledgerPlans(pools)},
		Hosts:     sampleHosts(fleet.Resources{Cores: 16_000, Memory: 32 << 10}, pools),
		Endpoints: sampleEndpoints(pools, runners),
	}
}

func ledgerCustomers() plan.CustomersList {
	return plan.CustomersList{Customers: []fleet.Customer{
		{Name: "nairobi-chamas", Plan: "full-ledger", SignedUp: "2011-03-01", Teams: []fleet.Team{
			{Name: "postings", Workspace: "nairobi", Share: 4, UpperLimit: sampleLimit(32)},
			{Name: "reconciliation", Workspace: "nairobi", Share: 2, UpperLimit: sampleLimit(24)},
		}},
		{Name: "kisumu-clubs", Plan: "full-ledger", SignedUp: "2013-07-15", Teams: []fleet.Team{
			{Name: "kisumu", Workspace: "kisumu", Share: 2, UpperLimit: sampleLimit(24)},
		}},
		{Name: "mombasa-savers", Plan: "receipts-only", SignedUp: "2009-11-20", Teams: []fleet.Team{
			{Name: "mombasa", Workspace: "mombasa", Share: 1, UpperLimit: sampleLimit(8)},
		}},
	}}
}

func ledgerPlans(pools []fleet.PoolName) plan.PlansList {
	return plan.PlansList{
		Plans: []fleet.Plan{
			{
				Name: "full-ledger", Queues: []fleet.QueueName{"post", "reconcile", "receipt", "statement"},
				UpperLimit: sampleLimit(64), Claim: fleet.Resources{Slots: 16},
			},
			{Name: "receipts-only", Queues: []fleet.QueueName{"receipt"}, UpperLimit: sampleLimit(8), Claim: fleet.Resources{Slots: 2}},
		},
		Queues: []fleet.Queue{
			sampleQueue("post", "posting", true),
			sampleQueue("reconcile", "reconciling", false),
			sampleQueue("receipt", "receipts", false),
			sampleQueue("statement", "statements", false),
			{Name: "opening-hours", Pool: "statements", Open: true, MaxLength: sampleMaxLength, MaxWait: sampleMaxWait},
		},
		Pools:   samplePools(pools),
		Budgets: sampleBudgets(pools),
	}
}

// Sleeves returns a sample of a print service: proofs, plates, cut paths and stock for cafés and stalls.
func Sleeves() Sample {
	pools := []fleet.PoolName{"proofing", "plates", "cutting", "stock"}
	runners := []int{3, 2, 3, 2}

	return Sample{
		Lists:     plan.Lists{CustomersList: sleeveCustomers(), PlansList: sleevePlans(pools)},
		Hosts:     sampleHosts(fleet.Resources{Cores: 64_000, Memory: 128 << 10}, pools),
		Endpoints: sampleEndpoints(pools, runners),
	}
}

func sleeveCustomers() plan.CustomersList {
	return plan.CustomersList{Customers: []fleet.Customer{
		{Name: "harbour-cafes", Plan: "chain", SignedUp: "2012-02-10", Teams: []fleet.Team{
			{Name: "cafe-artwork", Workspace: "cafes", Share: 3, UpperLimit: sampleLimit(24)},
			{Name: "cafe-stock", Workspace: "cafes", Share: 1, UpperLimit: sampleLimit(16)},
		}},
		{Name: "weekend-stalls", Plan: "stall", SignedUp: "2014-10-05", Teams: []fleet.Team{
			{Name: "stalls", Workspace: "stalls", Share: 2, UpperLimit: sampleLimit(16)},
		}},
		{Name: "press-crew", Plan: "chain", SignedUp: "2008-06-01", Teams: []fleet.Team{
			{Name: "press", Workspace: "press", Share: 4, UpperLimit: sampleLimit(32)},
		}},
	}}
}

func sleevePlans(pools []fleet.PoolName) plan.PlansList {
	return plan.PlansList{
		Plans: []fleet.Plan{
			{
				Name: "chain", Queues: []fleet.QueueName{"proof", "plate", "cut", "restock"},
				UpperLimit: sampleLimit(48), Claim: fleet.Resources{Slots: 12},
			},
			{Name: "stall", Queues: []fleet.QueueName{"proof"}, UpperLimit: sampleLimit(16), Claim: fleet.Resources{Slots: 4}},
		},
		Queues: []fleet.Queue{
			sampleQueue("proof", "proofing", true),
			sampleQueue("plate", "plates", false),
			sampleQueue("cut", "cutting", true),
			sampleQueue("restock", "stock", false),
		},
		Pools:   samplePools(pools),
		Budgets: sampleBudgets(pools),
	}
}

func sampleLimit(slots int64) fleet.Resources {
	return fleet.Resources{Slots: slots, Cores: fleet.MilliCores(slots * 2000), Memory: fleet.Mebibytes(slots * 4096)}
}

func sampleQueue(name fleet.QueueName, pool fleet.PoolName, urgent bool) fleet.Queue {
	return fleet.Queue{Name: name, Pool: pool, Urgent: urgent, MaxLength: sampleMaxLength, MaxWait: sampleMaxWait}
}

func samplePools(names []fleet.PoolName) []fleet.Pool {
	pools := []fleet.Pool{{Name: "spare", Spare: true}}
	for _, n := range names {
		pools = append(pools, fleet.Pool{Name: n, MinHosts: hostsPerPool - 2})
	}

	return pools
}

func sampleBudgets(pools []fleet.PoolName) []fleet.Budget {
	var budgets []fleet.Budget
	for _, p := range pools {
		budgets = append(budgets, fleet.Budget{Name: fleet.BudgetName("pool-" + p), Pools: []fleet.PoolName{p}, MaxUnavailable: 2})
	}
	for i := range zoneCount {
		z := zoneOf(i)
		budgets = append(budgets, fleet.Budget{Name: fleet.BudgetName(z), Zones: []fleet.ZoneName{z}, MaxUnavailable: 4})
	}

	return budgets
}

// sampleHosts returns ten hosts for each pool and for the spare pool, four to a rack, with the racks spread over the zones.
func sampleHosts(capacity fleet.Resources, pools []fleet.PoolName) []fleet.Host {
	var hosts []fleet.Host
	for p, pool := range append(pools[:len(pools):len(pools)], "spare") {
		for i := range hostsPerPool {
			n := p*hostsPerPool + i
			rack := n / hostsPerRack
			hosts = append(hosts, fleet.Host{
				Name: fleet.HostName(fmt.Sprintf("worker-%02d", n+1)), Region: "region-1", Zone: zoneOf(rack),
				Rack: fleet.RackName(fmt.Sprintf("rack-%02d", rack+1)), Pool: pool, State: fleet.HostLive, Capacity: capacity,
			})
		}
	}

	return hosts
}

// sampleEndpoints returns the given number of endpoints for each pool, each on its own host.
func sampleEndpoints(pools []fleet.PoolName, runners []int) []fleet.Endpoint {
	var endpoints []fleet.Endpoint
	for p, pool := range pools {
		for i := range runners[p] {
			n := p*hostsPerPool + i
			endpoints = append(endpoints, fleet.Endpoint{
				Name: fleet.EndpointName(fmt.Sprintf("runner-%02d", len(endpoints)+1)), Pool: pool,
				Host: fleet.HostName(fmt.Sprintf("worker-%02d", n+1)), Zone: zoneOf(n / hostsPerRack),
				Slots: endpointSlots, Connections: endpointConnections,
			})
		}
	}

	return endpoints
}

func zoneOf(i int) fleet.ZoneName {
	return fleet.ZoneName("zone-" + string(rune('a'+i%zoneCount)))
}
