package trace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lycheehook.example/lycheehook/budget"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/record"
	"lycheehook.example/lycheehook/trace"
)

const (
	rebootTime = 5 * time.Minute
	maxTask    = 10 * time.Minute
	// poolFraction and zoneFraction are the fractions of a pool and of an availability zone that the budgets allow to be unavailable.
	poolFraction = 0.2
	zoneFraction = 0.5
)

var epoch = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// simulation executes decisions in memory: writes take effect at once, drains and reboots after a delay.
type simulation struct {
	view    move.View
	config  move.Config
	sights  map[fleet.HostName]*move.Observation
	readyAt map[fleet.HostName]time.Time
	rng     *rand.Rand
	losses  []trace.Loss
	rev     uint64

	moves, writes, overspent int
}

func newSimulation(s trace.Size, seed uint64) *simulation {
	r := &simulation{
		view: move.View{
			Hosts:   map[fleet.HostName]record.Versioned[move.Record]{},
			Budgets: map[fleet.BudgetName]record.Versioned[budget.Record]{},
		},
		sights: map[fleet.HostName]*move.Observation{}, readyAt: map[fleet.HostName]time.Time{}, rng: rand.New(rand.NewPCG(seed, 2)), rev: 1,
	}
	for i, name := range trace.PoolNames(s) {
		r.config.Pools = r.config.Pools.With(name, fleet.Pool{Name: name, Spare: i == 0, MinHosts: 1 - boolInt(i == 0)})
	}
	perPool := max(1, int(poolFraction*float64(s.Hosts)/float64(s.Pools)))
	for _, name := range trace.PoolNames(s)[1:] {
		r.setBudget(fleet.Budget{Name: fleet.BudgetName(name), Pools: []fleet.PoolName{name}, MaxUnavailable: perPool})
	}
	zones := map[fleet.ZoneName]int{}
	for _, h := range trace.Hosts(s) {
		zones[h.Zone]++
		r.view.Hosts[h.Name] = record.Versioned[move.Record]{Value: move.Record{Host: h}, Revision: 1}
		r.sights[h.Name] = &move.Observation{Asked: true, Status: hostapi.HostStatus{Host: h.Name, Up: true}}
	}
	for zone, n := range zones {
		r.setBudget(fleet.Budget{Name: fleet.BudgetName(zone), Zones: []fleet.ZoneName{zone}, MaxUnavailable: int(zoneFraction * float64(n))})
	}

	return r
}

func boolInt(b bool) int {
	if b {
		return 1
	}

	return 0
}

func (r *simulation) setBudget(b fleet.Budget) {
	r.config.Budgets = r.config.Budgets.With(b.Name, b)
}

// tick processes due events, then decides on the proposals and executes the actions until none are left, in at most 4 rounds.
func (r *simulation) tick(now time.Time, proposals []move.Proposal) {
	r.applyEvents(now)
	yes := move.Owner{Pool: func(fleet.PoolName) bool { return true }, Budget: func(fleet.BudgetName) bool { return true }}
	for range 4 {
		d := move.Decide(r.input(now, proposals, yes))
		if len(d.Actions) == 0 {
			break
		}
		for _, a := range d.Actions {
			r.perform(a, now)
		}
	}
	r.checkBudgets()
}

func (r *simulation) input(now time.Time, proposals []move.Proposal, o move.Owner) move.Input {
	sights := map[fleet.HostName]move.Observation{}
	for name, v := range r.view.Hosts {
		if s := r.sights[name]; s.Lost || v.Value.Intent != nil || v.Value.OutOfService() {
			sights[name] = *s
		}
	}
	r.view.HostsAt = r.rev

	return move.Input{View: r.view, Config: r.config, Observations: sights, Proposals: proposals, Owner: o, Now: now}
}

func (r *simulation) perform(a fleet.Action, now time.Time) {
	switch a := a.(type) {
	case move.WriteHost:
		r.rev++
		r.writes++
		if old := r.view.Hosts[a.Record.Name].Value; old.Pool != a.Record.Pool {
			r.moves++
		}
		r.view.Hosts[a.Record.Name] = record.Versioned[move.Record]{Value: a.Record, Revision: r.rev}
	case move.WriteBudget:
		r.rev++
		r.writes++
		r.view.Budgets[a.Record.Name] = record.Versioned[budget.Record]{Value: a.Record, Revision: r.rev}
	case move.CallHost:
		r.call(a, now)
	}
}

func (r *simulation) call(a move.CallHost, now time.Time) {
	s := &r.sights[a.Call.Host].Status
	switch a.Kind {
	case move.CallDrain:
		s.Draining = true
		if pool, _ := r.config.Pools.Get(r.view.Hosts[a.Call.Host].Value.Pool); !pool.Spare {
			s.Running = 1
		}
		r.readyAt[a.Call.Host] = now.Add(time.Duration(r.rng.Int64N(int64(maxTask))))
	case move.CallCancelDrain:
		s.Draining, s.Running = false, 0
	case move.CallReboot:
		s.Up = false
		r.readyAt[a.Call.Host] = now.Add(rebootTime)
	}
	s.Intent = a.Call.Intent
}

// applyEvents completes tasks and reboots that are due, and starts and ends host failures.
func (r *simulation) applyEvents(now time.Time) {
	for name, at := range r.readyAt {
		if now.Before(at) {
			continue
		}
		s := &r.sights[name].Status
		s.Running = 0
		if !s.Up {
			s.Up, s.Rebooted = true, s.Intent
		}
		delete(r.readyAt, name)
	}
	for _, l := range r.losses {
		s := r.sights[l.Host]
		if begin := epoch.Add(l.Begin); !now.Before(begin) && now.Before(epoch.Add(l.End)) {
			s.Lost, s.Status.Up = true, false
		} else if s.Lost && !now.Before(epoch.Add(l.End)) {
			s.Lost, s.Status.Up = false, true
		}
	}
}

// checkBudgets counts budgets whose planned outages exceed the maximum.
func (r *simulation) checkBudgets() {
	var out []move.Record
	for _, v := range r.view.Hosts {
		if v.Value.OutOfService() && v.Value.Intent != nil {
			out = append(out, v.Value)
		}
	}
	for _, b := range r.config.Budgets.All() {
		planned := 0
		for _, h := range out {
			joining := h.Intent.From != h.Pool && !b.Covers(h.WithPool(h.Intent.From))
			if b.Covers(h.Host) && !joining {
				planned++
			}
		}
		if planned > b.MaxUnavailable {
			r.overspent++
		}
	}
}

// serving returns the number of usable hosts of each pool.
func (r *simulation) serving() map[fleet.PoolName]int {
	n := map[fleet.PoolName]int{}
	for _, v := range r.view.Hosts {
		if pool, ok := v.Value.UsablePool(); ok {
			n[pool]++
		}
	}

	return n
}

// nearness returns the fraction of their max-min fair allocation that the pools have, for a fleet of the given size; 1 is all of it.
func nearness(serving map[fleet.PoolName]int, demand map[fleet.PoolName]float64, hosts int) float64 {
	sum := 0.0
	for _, d := range demand {
		sum += d
	}
	// All pools have the same weight, so the fair allocation of a pool is its demand, capped at a common level.
	level := fairLevel(demand, float64(hosts))
	allocated := 0.0
	for name, d := range demand {
		allocated += math.Min(float64(serving[name]), math.Min(d, level))
	}

	return allocated / math.Min(sum, float64(hosts))
}

func fairLevel(demand map[fleet.PoolName]float64, total float64) float64 {
	low, high := 0.0, total
	for range 40 {
		mid, sum := (low+high)/2, 0.0
		for _, d := range demand {
			sum += math.Min(d, mid)
		}
		if sum > total {
			high = mid
		} else {
			low = mid
		}
	}

	return high
}

func sizeName(s trace.Size) string { return fmt.Sprintf("%d hosts, %d pools", s.Hosts, s.Pools) }
