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
	hostCount = 25
	poolCount = 5
	budgetMax = 2
	tickTime  = 10 * time.Second
	jobCount  = 120
)

// site is stand-ins with entry hosts that come and go.
type site struct {
	store    *standin.Store
	platform *standin.Platform
	lists    upkeep.Lists
	demand   map[fleet.PoolName]move.Demand
	entries  []*upkeep.Controller
	// alive has the entry hosts that work is divided among.
	alive []int
}

func hostName(i int) fleet.HostName { return fleet.HostName(fmt.Sprintf("w%02d", i)) }
func poolName(i int) fleet.PoolName { return fleet.PoolName(fmt.Sprintf("p%d", i)) }

func newSite() *site {
	s := &site{store: standin.NewStore(), platform: standin.NewPlatform(), demand: map[fleet.PoolName]move.Demand{}, alive: []int{0, 1, 2}}
	s.platform.SetTaskTime(90 * time.Second)
	t := fleet.Tables{}
	for i := range poolCount {
		t = t.WithPool(fleet.Pool{Name: poolName(i), Spare: i == 0, MinHosts: 1})
		if i == 0 {
			continue
		}
		b := fleet.Budget{Name: fleet.BudgetName(poolName(i)), Pools: []fleet.PoolName{poolName(i)}, MaxUnavailable: budgetMax}
		t.Budgets = t.Budgets.With(b.Name, b)
		q := fleet.Queue{Name: fleet.QueueName(poolName(i)), Pool: poolName(i)}
		t.Queues = t.Queues.With(q.Name, q)
		s.demand[poolName(i)] = move.Demand{Hosts: 5}
	}
	s.demand[poolName(1)], s.demand[poolName(2)] = move.Demand{Hosts: 8}, move.Demand{Hosts: 2}
	s.lists = upkeep.Lists{Tables: t, Revision: 1, InForce: true}
	for i := range hostCount {
		s.platform.PutHost(fleet.Host{
			Name: hostName(i), Pool: poolName(i % poolCount), Zone: fleet.ZoneName(fmt.Sprint("z", i%4)),
			Rack: fleet.RackName(fmt.Sprint("r", i/4)), Capacity: fleet.Resources{Cores: 16_000, Memory: 32 << 10},
		})
	}
	for i := range 3 {
		s.entries = append(s.entries, s.newEntry(i))
	}

	return s
}

// newEntry returns an entry host that knows nothing but what is in the store.
func (s *site) newEntry(i int) *upkeep.Controller {
	policy := wave.DefaultPolicy()
	policy.Notice = fleet.Duration(time.Minute)
	owns := func(p fleet.PoolName) bool {
		h := fnv.New32a()
		_, _ = h.Write([]byte(p))

		return s.alive[int(h.Sum32())%len(s.alive)] == i
	}

	return upkeep.New(s.store.Client(), s.platform.Client(), func() upkeep.Lists { return s.lists },
		upkeep.WithOwns(owns), upkeep.WithWavePolicy(policy),
		upkeep.WithDemand(func() map[fleet.PoolName]move.Demand { return s.demand }),
		upkeep.WithJobOptions(job.WithRetention(48*time.Hour)))
}

func (s *site) step(ctx context.Context) {
	for i, e := range s.entries {
		for _, a := range s.alive {
			if a == i {
				_, _, _ = e.Step(ctx, time.Now())
			}
		}
	}
	time.Sleep(tickTime)
}

// outByPool counts the hosts that are out of service in each pool, by the records in the store.
func (s *site) outByPool(t *testing.T) map[fleet.PoolName]int {
	t.Helper()
	out := map[fleet.PoolName]int{}
	m := move.New(s.store.Client(), s.platform.Client(), func() (move.Config, bool) { return move.Config{}, false },
		move.WithOwner(move.Owner{
			Pool: func(fleet.PoolName) bool { return false }, Budget: func(fleet.BudgetName) bool { return false },
		}))
	if _, err := m.Step(t.Context(), time.Now()); err != nil {
		return nil
	}
	down := map[fleet.HostName]bool{}
	for _, h := range s.platform.OutOfService() {
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

// TestEverythingAtOnce runs a wave, moves and jobs together while entry hosts are replaced and calls fail.
func TestEverythingAtOnce(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newSite()
				s.submit(t)
				s.storm(t, rand.New(rand.NewPCG(seed, 3)))
				for i := 0; i < 3000 && s.entries[0].Waves.Record().State != wave.Done; i++ {
					s.step(t.Context())
				}
				// Entry hosts that live long enough remember the demand, and move hosts to where it is.
				for range 300 {
					s.step(t.Context())
				}
				s.check(t)
			})
		})
	}
}

func (s *site) submit(t *testing.T) {
	t.Helper()
	for i := range jobCount {
		j := fleet.Job{
			ID: fleet.JobID(fmt.Sprintf("j%03d", i)), Queue: fleet.QueueName(poolName(1 + i%(poolCount-1))), Idempotent: i%2 == 0,
			Size: fleet.Resources{Cores: 6_000, Memory: 1 << 10},
		}
		if err := s.entries[0].Jobs.Submit(t.Context(), j); err != nil {
			t.Fatal(err)
		}
	}
}

// storm lets calls fail and replaces an entry host every now and then.
func (s *site) storm(t *testing.T, rng *rand.Rand) {
	t.Helper()
	faults := []standin.Fault{standin.FaultNone, standin.FaultNone, standin.FaultNone, standin.FaultDown, standin.FaultAnswerLost}
	for i := range 400 {
		s.store.SetFault(faults[rng.IntN(len(faults))])
		s.platform.SetFault(faults[rng.IntN(len(faults))])
		if i%10 == 0 {
			gone := rng.IntN(3)
			s.entries[gone] = s.newEntry(gone)
			s.alive = [][]int{{0, 1, 2}, {0, 1}, {1, 2}, {2}}[rng.IntN(4)]
		}
		s.step(t.Context())
		s.store.SetFault(standin.FaultNone)
		for pool, n := range s.outByPool(t) {
			if n > budgetMax {
				t.Fatalf("%d hosts of %s out of service, want at most %d", n, pool, budgetMax)
			}
		}
	}
	s.store.SetFault(standin.FaultNone)
	s.platform.SetFault(standin.FaultNone)
	s.alive = []int{0, 1, 2}
}

func (s *site) check(t *testing.T) {
	t.Helper()
	for i := range hostCount {
		if n := s.platform.Boots(hostName(i)); n != 1 {
			t.Errorf("%s was rebooted %d times in one wave", hostName(i), n)
		}
	}
	if n := s.platform.CutOff(); n != 0 {
		t.Errorf("%d tasks cut off", n)
	}
	for i := range jobCount {
		id := fleet.JobID(fmt.Sprintf("j%03d", i))
		e, _, err := s.entries[0].Jobs.Find(t.Context(), id)
		if err != nil || e.State != fleet.JobDone && (e.Idempotent || e.State != fleet.JobOutcomeUnknown) {
			t.Errorf("%s ends as %s, %v", id, e.State, err)
		}
		if n := s.platform.Starts(id); !e.Idempotent && n > 1 {
			t.Errorf("%s is not idempotent and was started %d times", id, n)
		}
	}
	hosts := map[fleet.PoolName]int{}
	for _, v := range s.entries[0].Moves.View().Hosts {
		hosts[v.Value.Pool]++
	}
	if hosts[poolName(1)] < 8 {
		t.Errorf("pools have %v hosts, want at least 8 in %s", hosts, poolName(1))
	}
}

// TestPolicyOfLists holds that the policies which the lists carry go before those of the options.
func TestPolicyOfLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite()
		moves, waves := move.DefaultPolicy(move.PressWeights()), wave.DefaultPolicy()
		moves.HalfLife, waves.Notice = fleet.Duration(1000*time.Hour), fleet.Duration(1000*time.Hour)
		s.lists.Moves, s.lists.Waves = &moves, &waves
		for range 300 {
			s.step(t.Context())
		}
		if n := s.platform.Calls()["Drain"]; n != 0 {
			t.Errorf("%d drains under policies that plan none yet", n)
		}
	})
}

// TestNotInForce holds that nothing new begins under lists that may be old.
func TestNotInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite()
		s.lists.InForce = false
		for range 300 {
			s.step(t.Context())
		}
		if s.platform.Calls()["Drain"] != 0 {
			t.Errorf("%d drains under lists that are not known to be in force", s.platform.Calls()["Drain"])
		}
	})
}

// TestIdleCalls holds that a fleet at rest costs each entry host four reads of the store a step, and no write.
func TestIdleCalls(t *testing.T) {
	const steps = 50
	synctest.Test(t, func(t *testing.T) {
		s := newSite()
		s.demand, s.alive = nil, []int{0}
		waves := wave.DefaultPolicy()
		s.lists.Waves = &waves
		for range 5 {
			s.step(t.Context())
		}
		before := s.store.Calls()
		for range steps {
			s.step(t.Context())
		}
		after := s.store.Calls()
		for call, want := range map[string]int64{"List": 3 * steps, "Get": steps, "CompareAndSwap": 0} {
			if n := after[call] - before[call]; n != want {
				t.Errorf("%d calls of %s in %d steps, want %d", n, call, steps, want)
			}
		}
	})
}
