package upkeep_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/job"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/upkeep"
	"lycheehook.example/lycheehook/wave"
)

const (
	hostCount      = 25
	poolCount      = 5
	maxUnavailable = 2
	tickTime       = 10 * time.Second
	jobCount       = 120
)

// testFleet is a fleet on fake services, with entry hosts that can be replaced.
type testFleet struct {
	store    *standin.Store
	platform *standin.Platform
	lists    upkeep.Lists
	demand   map[fleet.PoolName]move.Demand
	entries  []*upkeep.Controller
	// alive has the indexes of the entry hosts among which work is divided.
	alive []int
}

func hostName(i int) fleet.HostName { return fleet.HostName(fmt.Sprintf("w%02d", i)) }
func poolName(i int) fleet.PoolName { return fleet.PoolName(fmt.Sprintf("p%d", i)) }

func newTestFleet() *testFleet {
	f := &testFleet{store: standin.NewStore(), platform: standin.NewPlatform(), demand: map[fleet.PoolName]move.Demand{}, alive: []int{0, 1, 2}}
	f.platform.SetTaskTime(90 * time.Second)
	t := fleet.Tables{}
	for i := range poolCount {
		t = t.WithPool(fleet.Pool{Name: poolName(i), Spare: i == 0, MinHosts: 1})
		if i == 0 {
			continue
		}
		b := fleet.Budget{Name: fleet.BudgetName(poolName(i)), Pools: []fleet.PoolName{poolName(i)}, MaxUnavailable: maxUnavailable}
		t.Budgets = t.Budgets.With(b.Name, b)
		q := fleet.Queue{Name: fleet.QueueName(poolName(i)), Pool: poolName(i)}
		t.Queues = t.Queues.With(q.Name, q)
		f.demand[poolName(i)] = move.Demand{Hosts: 5}
	}
	f.demand[poolName(1)], f.demand[poolName(2)] = move.Demand{Hosts: 8}, move.Demand{Hosts: 2}
	f.lists = upkeep.Lists{Tables: t, Revision: 1, InForce: true}
	for i := range hostCount {
		f.platform.PutHost(fleet.Host{
			Name: hostName(i), Pool: poolName(i % poolCount), Zone: fleet.ZoneName(fmt.Sprint("z", i%4)),
			Rack: fleet.RackName(fmt.Sprint("r", i/4)), Capacity: fleet.Resources{Cores: 16_000, Memory: 32 << 10},
		})
	}
	for i := range 3 {
		f.entries = append(f.entries, f.newEntry(i))
	}

	return f
}

// newEntry returns an entry host without any state in memory.
func (f *testFleet) newEntry(i int) *upkeep.Controller {
	policy := wave.DefaultPolicy()
	policy.Notice = fleet.Duration(time.Minute)
	owns := func(p fleet.PoolName) bool {
		h := fnv.New32a()
		_, _ = h.Write([]byte(p))

		return f.alive[int(h.Sum32())%len(f.alive)] == i
	}

	return upkeep.New(f.store.Client(), f.platform.Client(), func() upkeep.Lists { return f.lists },
		upkeep.WithOwnership(owns), upkeep.WithWavePolicy(policy),
		upkeep.WithDemand(func() map[fleet.PoolName]move.Demand { return f.demand }),
		upkeep.WithJobOptions(job.WithRetention(48*time.Hour)))
}

func (f *testFleet) step(ctx context.Context) {
	for i, e := range f.entries {
		for _, a := range f.alive {
			if a == i {
				_, _, _ = e.Step(ctx, time.Now())
			}
		}
	}
	time.Sleep(tickTime)
}

// outByPool counts the hosts out of service in each pool by the records in the store, without the spare pool and without
// hosts that are returning, which may join a pool where they have not served yet.
func (f *testFleet) outByPool(t *testing.T) map[fleet.PoolName]int {
	t.Helper()
	out := map[fleet.PoolName]int{}
	m := move.New(f.store.Client(), f.platform.Client(), func() (move.Config, bool) { return move.Config{}, false },
		move.WithOwner(move.Owner{
			Pool: func(fleet.PoolName) bool { return false }, Budget: func(fleet.BudgetName) bool { return false },
		}))
	if _, err := m.Step(t.Context(), time.Now()); err != nil {
		return nil
	}
	down := map[fleet.HostName]bool{}
	for _, h := range f.platform.OutOfService() {
		down[h] = true
	}
	for name, v := range m.View().Hosts {
		joining := v.Value.Intent != nil && v.Value.Intent.Phase == move.Returning
		if down[name] && !joining && v.Value.Pool != poolName(0) {
			out[v.Value.Pool]++
		}
	}

	return out
}

// TestWaveMovesAndJobsUnderFaults checks budgets, reboots, jobs and pool sizes when a wave, moves and jobs run together
// while entry hosts are replaced and calls fail.
func TestWaveMovesAndJobsUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet()
				f.submitJobs(t)
				f.injectFaults(t, rand.New(rand.NewPCG(seed, 3)))
				for i := 0; i < 3000 && f.entries[0].Waves.Record().State != wave.Done; i++ {
					f.step(t.Context())
				}
				// Moves start only once entry hosts have run long enough to forecast the demand.
				for range 300 {
					f.step(t.Context())
				}
				f.checkFinalState(t)
			})
		})
	}
}

func (f *testFleet) submitJobs(t *testing.T) {
	t.Helper()
	for i := range jobCount {
		j := fleet.Job{
			ID: fleet.JobID(fmt.Sprintf("j%03d", i)), Queue: fleet.QueueName(poolName(1 + i%(poolCount-1))), Idempotent: i%2 == 0,
			Size: fleet.Resources{Cores: 6_000, Memory: 1 << 10},
		}
		if err := f.entries[0].Jobs.Submit(t.Context(), j); err != nil {
			t.Fatal(err)
		}
	}
}

// injectFaults makes calls fail at random and replaces an entry host every ten steps.
func (f *testFleet) injectFaults(t *testing.T, rng *rand.Rand) {
	t.Helper()
	faults := []standin.Fault{standin.FaultNone, standin.FaultNone, standin.FaultNone, standin.FaultDown, standin.FaultAnswerLost}
	for i := range 400 {
		f.store.SetFault(faults[rng.IntN(len(faults))])
		f.platform.SetFault(faults[rng.IntN(len(faults))])
		if i%10 == 0 {
			gone := rng.IntN(3)
			f.entries[gone] = f.newEntry(gone)
			f.alive = [][]int{{0, 1, 2}, {0, 1}, {1, 2}, {2}}[rng.IntN(4)]
		}
		f.step(t.Context())
		f.store.SetFault(standin.FaultNone)
		for pool, n := range f.outByPool(t) {
			if n > maxUnavailable {
				t.Fatalf("%d hosts of %s out of service, want at most %d", n, pool, maxUnavailable)
			}
		}
	}
	f.store.SetFault(standin.FaultNone)
	f.platform.SetFault(standin.FaultNone)
	f.alive = []int{0, 1, 2}
}

func (f *testFleet) checkFinalState(t *testing.T) {
	t.Helper()
	for i := range hostCount {
		if n := f.platform.Boots(hostName(i)); n != 1 {
			t.Errorf("%s was rebooted %d times in one wave", hostName(i), n)
		}
	}
	if n := f.platform.CutOff(); n != 0 {
		t.Errorf("%d tasks cut off", n)
	}
	for i := range jobCount {
		id := fleet.JobID(fmt.Sprintf("j%03d", i))
		e, _, err := f.entries[0].Jobs.Find(t.Context(), id)
		if err != nil || e.State != fleet.JobDone && (e.Idempotent || e.State != fleet.JobOutcomeUnknown) {
			t.Errorf("%s ends as %s, %v", id, e.State, err)
		}
		if n := f.platform.Starts(id); !e.Idempotent && n > 1 {
			t.Errorf("%s is not idempotent and was started %d times", id, n)
		}
	}
	hosts := map[fleet.PoolName]int{}
	for _, v := range f.entries[0].Moves.View().Hosts {
		hosts[v.Value.Pool]++
	}
	if hosts[poolName(1)] < 8 {
		t.Errorf("pools have %v hosts, want at least 8 in %s", hosts, poolName(1))
	}
}

// TestListsOverridePolicies checks that policies in the lists override those of the options.
func TestListsOverridePolicies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		moves, waves := move.DefaultPolicy(move.ResponsiveWeights()), wave.DefaultPolicy()
		moves.HalfLife, waves.Notice = fleet.Duration(1000*time.Hour), fleet.Duration(1000*time.Hour)
		f.lists.MovePolicy, f.lists.WavePolicy = &moves, &waves
		for range 300 {
			f.step(t.Context())
		}
		if n := f.platform.Calls()["Drain"]; n != 0 {
			t.Errorf("%d drains under policies that plan none yet", n)
		}
	})
}

// TestNotInForce checks that no drain starts under lists that may be outdated.
func TestNotInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		f.lists.InForce = false
		for range 300 {
			f.step(t.Context())
		}
		if f.platform.Calls()["Drain"] != 0 {
			t.Errorf("%d drains under lists that are not known to be in force", f.platform.Calls()["Drain"])
		}
	})
}

// TestIdleCalls checks that an idle fleet costs each entry host four store reads and no write per step.
func TestIdleCalls(t *testing.T) {
	const steps = 50
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		f.demand, f.alive = nil, []int{0}
		waves := wave.DefaultPolicy()
		f.lists.WavePolicy = &waves
		for range 5 {
			f.step(t.Context())
		}
		before := f.store.Calls()
		for range steps {
			f.step(t.Context())
		}
		after := f.store.Calls()
		for call, want := range map[string]int64{"List": 3 * steps, "Get": steps, "CompareAndSwap": 0} {
			if n := after[call] - before[call]; n != want {
				t.Errorf("%d calls of %s in %d steps, want %d", n, call, steps, want)
			}
		}
	})
}
