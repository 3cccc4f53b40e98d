package move_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/record"
)

// plannerFleet returns hosts in four zones: three in the spare pool and four in each of two other pools.
func plannerFleet() (move.View, move.Config) {
	pools := []fleet.Pool{{Name: "spare", Spare: true}, {Name: "a", MinHosts: 1}, {Name: "b", MinHosts: 1}}
	v := move.View{Hosts: map[fleet.HostName]record.Versioned[move.Record]{}}
	for i := range 11 {
		pool := fleet.PoolName("spare")
		if i >= 3 {
			pool = pools[1+i%2].Name
		}
		v.Hosts[hostName(i)] = record.Versioned[move.Record]{Revision: 1, Value: move.Record{Host: fleet.Host{
			Name: hostName(i), Pool: pool, Zone: fleet.ZoneName(fmt.Sprint("z", i%4)), State: fleet.HostLive,
		}}}
	}

	return v, move.Config{Pools: fleet.NewTable(func(p fleet.Pool) fleet.PoolName { return p.Name }, pools...)}
}

// proposalsAfter gives the planner a demand of pools a and b per tick, and returns its proposals after the last tick.
func proposalsAfter(v move.View, cfg move.Config, ticks int, demand func(i int) (float64, float64)) []move.Proposal {
	pl := move.NewPlanner(move.DefaultPolicy(move.StableWeights()))
	now := time.Unix(0, 0)
	var all []move.Proposal
	for i := range ticks {
		a, b := demand(i)
		pl = pl.WithDemand(map[fleet.PoolName]move.Demand{"a": {Hosts: a}, "b": {Hosts: b}}, v, cfg, now)
		all = pl.Propose(v, cfg)
		now = now.Add(tickTime)
	}

	return all
}

func TestProposals(t *testing.T) {
	const hour = int(time.Hour / tickTime)
	steady := func(a, b float64) func(int) (float64, float64) { return func(int) (float64, float64) { return a, b } }
	cases := []struct {
		name   string
		ticks  int
		demand func(int) (float64, float64)
		want   map[fleet.PoolName]int
	}{
		{"needs are met", hour, steady(4, 4), nil},
		{"changes within seconds", 6 * hour, func(i int) (float64, float64) {
			if i%5 == 0 {
				return 17, 0.1
			}

			return 0.1, 4.4
		}, nil},
		{"one host more is one move", hour, steady(5, 4), map[fleet.PoolName]int{"a": 1}},
		{"growth takes the spare pool and then idle hosts", hour, steady(8, 2.8), map[fleet.PoolName]int{"a": 4}},
		{"an idle pool fills the spare pool", 2 * hour, steady(4, 1), map[fleet.PoolName]int{"spare": 1}},
		{"a new planner waits for enough demand", 15, steady(30, 1), nil},
		{"an excess of some minutes", hour + 48, func(i int) (float64, float64) {
			if i < hour {
				return 4, 4
			}

			return 6, 4
		}, nil},
		{"a full fleet is divided by shares", hour, steady(40, 40), map[fleet.PoolName]int{"a": 2, "b": 1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			v, cfg := plannerFleet()
			var got map[fleet.PoolName]int
			for _, p := range proposalsAfter(v, cfg, tc.ticks, tc.demand) {
				if got == nil {
					got = map[fleet.PoolName]int{}
				}
				got[p.To]++
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("moves to each pool (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSpread checks that a pool grows in the zones where it has the fewest hosts.
func TestSpread(t *testing.T) {
	v, cfg := plannerFleet()
	for i := 3; i < 11; i++ {
		h := v.Hosts[hostName(i)]
		h.Value.Zone = "z1"
		v.Hosts[hostName(i)] = h
	}
	got := proposalsAfter(v, cfg, 360, func(int) (float64, float64) { return 6, 4 })
	want := []move.Proposal{{Host: hostName(0), To: "a"}, {Host: hostName(2), To: "a"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("moves (-want +got):\n%s", diff)
	}
}

func TestFairHosts(t *testing.T) {
	type pools map[fleet.PoolName]int
	cases := []struct {
		name          string
		needs, floors pools
		shares        map[fleet.PoolName]float64
		total         int
		want          pools
	}{
		{"enough for all", pools{"a": 3, "b": 2}, pools{}, map[fleet.PoolName]float64{"a": 1, "b": 1}, 9, pools{"a": 3, "b": 2}},
		{"equal shares", pools{"a": 9, "b": 9}, pools{}, map[fleet.PoolName]float64{"a": 1, "b": 1}, 10, pools{"a": 5, "b": 5}},
		{"by shares", pools{"a": 9, "b": 9}, pools{}, map[fleet.PoolName]float64{"a": 4, "b": 1}, 10, pools{"a": 8, "b": 2}},
		{"what one leaves goes to the other", pools{"a": 2, "b": 9}, pools{}, map[fleet.PoolName]float64{"a": 4, "b": 1}, 8, pools{"a": 2, "b": 6}},
		{"floors first", pools{"a": 9, "b": 9}, pools{"b": 4}, map[fleet.PoolName]float64{"a": 9, "b": 1}, 6, pools{"a": 2, "b": 4}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, pools(move.FairHosts(tc.needs, tc.floors, tc.shares, tc.total))); diff != "" {
				t.Errorf("hosts (-want +got):\n%s", diff)
			}
		})
	}
}
