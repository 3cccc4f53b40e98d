package trace_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/trace"
	"lycheehook.example/lycheehook/wave"
)

const (
	traceSeed  = 20260105
	traceTime  = 24 * time.Hour
	traceTick  = 30 * time.Second
	traceLoad  = 0.7
	meanWindow = 10 * time.Minute
	warmUp     = time.Hour
)

var sizes = []trace.Size{{Hosts: 50, Pools: 5}, {Hosts: 890, Pools: 144}}

// result has the metrics of one planner over a trace.
type result struct {
	movesPerHour, buffer, nearness, instant float64
	writesPerMove                           float64
	overspent                               int
}

func (r result) String() string {
	return fmt.Sprintf("%8.2f moves/h  buffer %7.2f hosts  nearness %.4f (in the tick %.4f)  %4.1f writes/move  overspent %d",
		r.movesPerHour, r.buffer, r.nearness, r.instant, r.writesPerMove, r.overspent)
}

// reactive allocates for the demand of the last tick, without smoothing or hysteresis.
func reactive() move.Policy {
	p := move.DefaultPolicy(move.StableWeights())
	p.HalfLife, p.Weights.Moves = fleet.Duration(time.Second), 0

	return p
}

// smoothed uses the default forecast, without hysteresis.
func smoothed() move.Policy {
	p := move.DefaultPolicy(move.StableWeights())
	p.Weights.Moves = 0

	return p
}

func runPlanner(s trace.Size, p move.Policy) result {
	tr := trace.New(s, traceSeed, traceTime, traceTick, traceLoad)
	run := newSimulation(s, traceSeed)
	run.losses = tr.Losses
	pl := move.NewPlanner(p)
	var m totals
	for i := range tr.Ticks {
		now := epoch.Add(time.Duration(i) * traceTick)
		demand := map[fleet.PoolName]move.Demand{}
		last := map[fleet.PoolName]float64{}
		for name, d := range tr.Demand {
			demand[name], last[name] = move.Demand{Hosts: d[i]}, d[i]
		}
		pl = pl.WithDemand(demand, run.view, run.config, now)
		run.tick(now, pl.Propose(run.view, run.config))
		if now.Before(epoch.Add(warmUp)) {
			run.moves, run.writes = 0, 0
			continue
		}
		serving := run.serving()
		mean := tr.Mean(i, meanWindow)
		reserve := min(float64(serving[trace.PoolNames(s)[0]]), math.Ceil(p.Buffer*float64(s.Hosts)))
		m.add(serving, mean, last, s.Hosts, reserve)
	}
	hours := (traceTime - warmUp).Hours()

	return result{
		movesPerHour: float64(run.moves) / hours, buffer: m.buffer / m.n, nearness: m.near / m.n, instant: m.instant / m.n,
		writesPerMove: float64(run.writes) / math.Max(1, float64(run.moves)), overspent: run.overspent,
	}
}

// runFixed simulates a static allocation: each pool has its mean demand plus a constant number of spare hosts, the same
// for all pools and the smallest with which the nearness reaches wanted.
func runFixed(s trace.Size, wanted float64) (result, int) {
	tr := trace.New(s, traceSeed, traceTime, traceTick, traceLoad)
	all := tr.Mean(tr.Ticks-1, traceTime)
	for spare := 0; ; spare++ {
		fixed, total := map[fleet.PoolName]int{}, 0
		for name, d := range all {
			fixed[name] = int(math.Ceil(d)) + spare
			total += fixed[name]
		}
		var m totals
		for i := int(warmUp / traceTick); i < tr.Ticks; i++ {
			last := map[fleet.PoolName]float64{}
			for name, d := range tr.Demand {
				last[name] = d[i]
			}
			m.add(fixed, tr.Mean(i, meanWindow), last, max(total, s.Hosts), 0)
		}
		if m.near/m.n >= wanted {
			return result{buffer: m.buffer / m.n, nearness: m.near / m.n, instant: m.instant / m.n}, spare
		}
	}
}

// totals accumulates metrics over ticks.
type totals struct {
	n, buffer, near, instant float64
}

func (m *totals) add(serving map[fleet.PoolName]int, mean, last map[fleet.PoolName]float64, hosts int, reserve float64) {
	m.n++
	m.near += nearness(serving, mean, hosts)
	m.instant += nearness(serving, last, hosts)
	m.buffer += reserve
	for name, d := range mean {
		m.buffer += math.Max(0, float64(serving[name])-d)
	}
}

// runWave returns the duration of a maintenance wave; with single, one host is out of service at a time.
func runWave(s trace.Size, single bool) (time.Duration, *simulation) {
	run := newSimulation(s, traceSeed)
	rec := wave.Record{Number: 1, State: wave.Running, StartsAt: epoch}
	for now := epoch; ; now = now.Add(traceTick) {
		props, pr := wave.Decide(rec, wave.DefaultPolicy(), run.view.Hosts, now)
		if pr.Left+pr.Moving == 0 {
			return now.Sub(epoch), run
		}
		if single {
			props = oneAtATime(props, pr)
		}
		run.tick(now, props)
	}
}

func oneAtATime(props []move.Proposal, pr wave.Progress) []move.Proposal {
	if pr.Moving > 0 || len(props) == 0 {
		return nil
	}

	return props[:1]
}

// BenchmarkPlanners compares the planners on the same trace and prints their metrics and ratios.
func BenchmarkPlanners(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("%d-%d", s.Hosts, s.Pools), func(b *testing.B) {
			for b.Loop() {
				comparePlanners(b, s)
			}
		})
	}
}

func comparePlanners(b *testing.B, s trace.Size) {
	b.Helper()
	ledger := runPlanner(s, move.DefaultPolicy(move.StableWeights()))
	press := runPlanner(s, move.DefaultPolicy(move.ResponsiveWeights()))
	simple, noHysteresis := runPlanner(s, reactive()), runPlanner(s, smoothed())
	fixed, spare := runFixed(s, min(ledger.nearness, press.nearness))
	b.Logf("%s, %v at a load of %.2f", sizeName(s), traceTime, traceLoad)
	b.Logf("  planner, ledger weights  %v", ledger)
	b.Logf("  planner, press weights   %v", press)
	b.Logf("  (a) reactive             %v", simple)
	b.Logf("  forecast, no hysteresis  %v", noHysteresis)
	b.Logf("  (c) fixed spare of %d     %v", spare, fixed)
	b.Logf("  ratios: (a)/ledger moves %.1f, (a)/press moves %.1f, ledger/(c) buffer %.2f, press/(c) buffer %.2f",
		simple.movesPerHour/ledger.movesPerHour, simple.movesPerHour/press.movesPerHour, ledger.buffer/fixed.buffer, press.buffer/fixed.buffer)
}

// BenchmarkWaves compares the duration of a maintenance wave with that of maintaining one host at a time.
func BenchmarkWaves(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("%d-%d", s.Hosts, s.Pools), func(b *testing.B) {
			for b.Loop() {
				all, run := runWave(s, false)
				single, _ := runWave(s, true)
				b.Logf("wave over %s: %v, (b) one host at a time %v, ratio %.1f, overspent %d, %.1f writes/host",
					sizeName(s), all, single, single.Seconds()/all.Seconds(), run.overspent, float64(run.writes)/float64(s.Hosts))
			}
		})
	}
}

// BenchmarkTick measures one planning tick: forecast, proposals of moves and maintenance, and decision.
func BenchmarkTick(b *testing.B) {
	for _, s := range []trace.Size{{Hosts: 50, Pools: 5}, {Hosts: 222, Pools: 36}, {Hosts: 445, Pools: 72}, {Hosts: 890, Pools: 144}} {
		b.Run(fmt.Sprintf("%d-%d", s.Hosts, s.Pools), func(b *testing.B) {
			tr := trace.New(s, traceSeed, time.Hour, traceTick, traceLoad)
			run := newSimulation(s, traceSeed)
			pl := move.NewPlanner(move.DefaultPolicy(move.StableWeights()))
			rec := wave.Record{Number: 1, State: wave.Running, StartsAt: epoch}
			owner := move.Owner{Pool: func(fleet.PoolName) bool { return true }, Budget: func(fleet.BudgetName) bool { return true }}
			i := 0
			for b.Loop() {
				now := epoch.Add(time.Duration(i) * traceTick)
				demand := map[fleet.PoolName]move.Demand{}
				for name, d := range tr.Demand {
					demand[name] = move.Demand{Hosts: d[i%tr.Ticks]}
				}
				pl = pl.WithDemand(demand, run.view, run.config, now)
				props, _ := wave.Decide(rec, wave.DefaultPolicy(), run.view.Hosts, now)
				move.Decide(run.input(now, wave.Merge(pl.Propose(run.view, run.config), props), owner))
				i++
			}
		})
	}
}
