package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/estate"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/plan"
)

// idleTime is how long an estate without requests is measured.
const idleTime = 3 * time.Second

// roleEntry is the role of the processes of lycheehook.
const roleEntry = "entry host"

// Measures returns the measures that docs/CAPACITY.md reports.
func Measures() []Measure {
	return []Measure{
		{
			Role: roleEntry, Cost: "heap of the tables of hosts", Unit: "MiB", Mechanism: "fleet.Table, shared between snapshots",
			Variable: "host", Sizes: []float64{50, 200, 890, 3560}, Target: TargetHosts, Limit: LimitMemory,
			Run: func(_ context.Context, n float64) (float64, error) {
				return heapOf(func() any { return hostTables(int(n)) }), nil
			},
		},
		{
			Role: roleEntry, Cost: "heap of lists and keys", Unit: "MiB", Mechanism: "one revision in memory",
			Variable: "team", Sizes: []float64{6, 43, 172, 430}, Target: TargetTeams, Limit: LimitMemory,
			Run: func(_ context.Context, n float64) (float64, error) {
				return heapOf(func() any { return snapshotOf(listsOf(int(n), TargetPools)) }), nil
			},
		},
		{
			Role: "store", Cost: "size of lists and keys", Unit: "kB", Mechanism: "content-addressed parts under one head",
			Variable: "team", Sizes: []float64{6, 43, 172, 430}, Target: TargetTeams, Limit: 1024,
			Run: func(_ context.Context, n float64) (float64, error) { return encodedSize(int(n)) },
		},
		{
			Role: roleEntry, Cost: "processor time without requests", Unit: "% of a core", Mechanism: "ticks, watches and heartbeats",
			Variable: "entry host", Sizes: []float64{1, 3, 7, 14}, Target: 1, Limit: LimitCore,
			Run: measureIdle(func(ctx context.Context, _ *estate.Estate) (float64, error) { return processorPercent(ctx, idleTime) }),
		},
		{
			Role: "store", Cost: "calls without requests", Unit: "calls/s", Mechanism: "one watch per prefix, batched records",
			Variable: "entry host", Sizes: []float64{1, 3, 7, 14}, Target: TargetEntries, Limit: LimitStoreReads,
			Run: measureIdle(func(ctx context.Context, e *estate.Estate) (float64, error) {
				before := callsOf(e)
				err := sleep(ctx, idleTime)

				return float64(callsOf(e)-before) / idleTime.Seconds(), err
			}),
		},
	}
}

// measureIdle returns a measure's function that starts an estate with the given number of entry hosts, waits, and calls probe.
func measureIdle(probe func(context.Context, *estate.Estate) (float64, error)) func(context.Context, float64) (float64, error) {
	return func(ctx context.Context, n float64) (float64, error) {
		e := estate.New(log.New(io.Discard), estate.WithEntries(int(n)))
		if err := e.Start(ctx); err != nil {
			return 0, err
		}
		defer e.Stop()
		if err := e.Prepare(ctx); err != nil {
			return 0, err
		}
		if err := sleep(ctx, idleTime); err != nil {
			return 0, err
		}

		return probe(ctx, e)
	}
}

func callsOf(e *estate.Estate) int64 {
	total := int64(0)
	for _, n := range e.Store.Calls() {
		total += n
	}

	return total
}

// hostTables returns tables of n hosts that are spread over the target's numbers of pools and zones.
func hostTables(n int) fleet.Tables {
	var t fleet.Tables
	for i := range n {
		t = t.WithHost(fleet.Host{
			Name: fleet.HostName(fmt.Sprintf("worker-%04d", i)), Region: fleet.RegionName(fmt.Sprintf("region-%d", i%2)),
			Zone: fleet.ZoneName(fmt.Sprintf("zone-%d", i%TargetZones)), Rack: fleet.RackName(fmt.Sprintf("rack-%d", i/4)),
			Pool: fleet.PoolName(fmt.Sprintf("pool-%d", i%TargetPools)), State: fleet.HostLive,
			Capacity: fleet.Resources{Cores: 64_000, Memory: 128 << 10, Accelerators: 1},
		})
	}

	return t
}

// listsOf returns lists with the given numbers of teams, four to a customer, and of pools with a queue and a budget each.
func listsOf(teams, pools int) plan.Lists {
	var l plan.Lists
	for i := range pools {
		pool := fleet.PoolName(fmt.Sprintf("pool-%d", i))
		queue := fleet.QueueName(fmt.Sprintf("queue-%d", i))
		l.Pools = append(l.Pools, fleet.Pool{Name: pool, MinHosts: 4})
		l.Queues = append(l.Queues, fleet.Queue{Name: queue, Pool: pool, MaxLength: 1000, MaxWait: fleet.Duration(time.Minute)})
		l.Budgets = append(l.Budgets, fleet.Budget{Name: fleet.BudgetName(pool), Pools: []fleet.PoolName{pool}, MaxUnavailable: 2})
	}
	limit := fleet.Resources{Slots: 64, Cores: 256_000, Memory: 1 << 20, Accelerators: 16}
	l.Plans = []fleet.Plan{{Name: "plan", UpperLimit: limit}}
	for _, q := range l.Queues {
		l.Plans[0].Queues = append(l.Plans[0].Queues, q.Name)
	}

	for i := range teams {
		if i%4 == 0 {
			l.Customers = append(l.Customers, fleet.Customer{Name: fleet.CustomerName(fmt.Sprintf("customer-%d", i/4)), Plan: "plan"})
		}
		c := &l.Customers[len(l.Customers)-1]
		c.Teams = append(c.Teams, fleet.Team{Name: fleet.TeamName(fmt.Sprintf("team-%d", i)), Share: 1, UpperLimit: limit})
	}

	return l
}

// snapshot is the data of a revision that an entry host keeps in memory.
type snapshot struct {
	lists  plan.Lists
	tables fleet.Tables
	keys   key.Ring
}

func snapshotOf(l plan.Lists) snapshot {
	return snapshot{lists: l, tables: l.Fill(fleet.Tables{}), keys: keysOf(l)}
}

// keysOf returns two keys for each team, as during a key rotation.
func keysOf(l plan.Lists) key.Ring {
	var ring key.Ring
	for _, t := range l.Teams() {
		for range 2 {
			k, _ := key.Issue(t.Name, time.Now())
			ring = ring.With(k)
		}
	}

	return ring
}

func encodedSize(teams int) (float64, error) {
	l := listsOf(teams, TargetPools)
	lists, err := json.Marshal(l)
	if err != nil {
		return 0, err
	}
	keys, err := json.Marshal(keysOf(l).Keys())

	return float64(len(lists)+len(keys)) / 1000, err
}
