package queue_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/queue"
	"lycheehook.example/lycheehook/share"
)

// The simulation drives the real queue and share code of several entry hosts with a manual clock. It models no
// network: a report is read one interval after it was made, and a slot that one host gives up goes to another.
const (
	simSlots    = 80
	simHosts    = 7
	simService  = 200 * time.Millisecond
	simPatience = 10 * time.Second
	simTick     = 100 * time.Millisecond
	simStep     = 10 * time.Millisecond
	simWarmUp   = 60 * time.Second
	simLength   = 660 * time.Second
	simLoad     = 1.2
	burstFactor = 5.0
	lullFactor  = 0.05
	burstPart   = (1 - lullFactor) / (burstFactor - lullFactor)
)

var simWeights = []int64{6, 4, 3, 2, 1, 1}

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// arrival is one piece of work of the demand, the same for every policy.
type arrival struct {
	at, service time.Duration
	team, host  int
}

// demand returns arrivals in turns of bursts and lulls, unevenly spread over the hosts.
func demand(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 0))
	var all []arrival
	for team := range simWeights {
		rate := simLoad * simSlots / simService.Seconds() / float64(len(simWeights))
		for at := time.Duration(0); at < simLength; {
			burst := time.Duration((3 + 4*r.Float64()) * float64(time.Second))
			lull := time.Duration(float64(burst) * (1 - burstPart) / burstPart * (0.5 + r.Float64()))
			places := uneven(r)
			all = append(all, poisson(r, at, burst, rate*burstFactor, team, places)...)
			all = append(all, poisson(r, at+burst, lull, rate*lullFactor, team, places)...)
			at += burst + lull
		}
	}

	return all
}

func uneven(r *rand.Rand) []float64 {
	cumulative := make([]float64, simHosts)
	sum := 0.0
	for i, n := range r.Perm(simHosts) {
		sum += 1 / float64(n+1)
		cumulative[i] = sum
	}
	for i := range cumulative {
		cumulative[i] /= sum
	}

	return cumulative
}

func poisson(r *rand.Rand, from, length time.Duration, rate float64, team int, places []float64) []arrival {
	var out []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return out
		}
		host, pick := 0, r.Float64()
		for places[host] < pick {
			host++
		}
		out = append(out, arrival{
			at: from + at, team: team, host: host,
			service: time.Duration((0.5 + r.Float64()) * float64(simService)),
		})
	}
}

// served is the slot time that each team got in each step.
type served [][]float64

func newServed() served {
	s := make(served, len(simWeights))
	for i := range s {
		s[i] = make([]float64, simLength/simStep+1)
	}

	return s
}

func (s served) add(team int, from, to time.Duration) {
	to = min(to, simLength)
	for at := from; at < to; {
		step := at / simStep
		end := min((step+1)*simStep, to)
		s[team][step] += (end - at).Seconds()
		at = end
	}
}

func (s served) total() float64 {
	sum := 0.0
	for _, team := range s {
		for _, v := range team[simWarmUp/simStep:] {
			sum += v
		}
	}

	return sum
}

// ideal serves the same demand as a fluid from one place that knows everything at once, with the same memory.
func ideal(all []arrival) served {
	out := newServed()
	type cohort struct {
		at   time.Duration
		work float64
	}
	waiting := make([][]cohort, len(simWeights))
	arrivals := newServed()
	for _, a := range all {
		if a.at < simLength {
			arrivals[a.team][a.at/simStep] += a.service.Seconds()
		}
	}
	usage := make([]float64, len(simWeights))
	lambda := math.Ln2 / share.DefaultHalfLife.Seconds()
	step := simStep.Seconds()
	for k := range out[0] {
		now := time.Duration(k) * simStep
		backlog := make([]float64, len(simWeights))
		for t := range waiting {
			if w := arrivals[t][k]; w > 0 {
				waiting[t] = append(waiting[t], cohort{now, w})
			}
			for len(waiting[t]) > 0 && now-waiting[t][0].at > simPatience {
				waiting[t] = waiting[t][1:]
			}
			for _, c := range waiting[t] {
				backlog[t] += c.work
			}
		}
		parts := fill(usage, backlog, lambda, step)
		for t, got := range parts {
			out[t][k] = got
			usage[t] = usage[t]*math.Exp(-lambda*step) + got/simSlots
			for got > 1e-12 {
				c := &waiting[t][0]
				used := min(got, c.work)
				c.work -= used
				got -= used
				if c.work <= 1e-12 {
					waiting[t] = waiting[t][1:]
				}
				if len(waiting[t]) == 0 {
					break
				}
			}
		}
	}

	return out
}

// fill finds the common level of (lambda*usage + 2*rate)/weight at which the capacity of one step is used.
func fill(usage, backlog []float64, lambda, step float64) []float64 {
	parts := make([]float64, len(usage))
	at := func(level float64) float64 {
		sum := 0.0
		for i := range parts {
			rate := (level*float64(simWeights[i]) - lambda*usage[i]) / 2
			parts[i] = min(max(rate*simSlots*step, 0), backlog[i], simSlots*step)
			sum += parts[i]
		}

		return sum
	}
	low, high := 0.0, 1e3
	for range 60 {
		mid := (low + high) / 2
		if at(mid) < simSlots*step {
			low = mid
		} else {
			high = mid
		}
	}
	at(low)

	return parts
}

// policy says which parts of the mechanism a run uses.
type policy struct {
	name string
	// merged hosts know each other's reports and move slots by demand.
	merged bool
	// fifo serves one line in the order of arrival.
	fifo bool
	// single is one entry host that sees everything.
	single bool
	// static gives each team its own slots.
	static bool
}

type event struct {
	at   time.Duration
	work func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]

	return x
}

// simHost is one entry host (or, for static, one team's own pool) in the simulation.
type simHost struct {
	pool     *queue.Pool
	ledger   *share.Ledger
	accounts []*share.Account
	used     int64
	part     int64
}

type simulation struct {
	policy  policy
	hosts   []*simHost
	reports []share.Report
	used    int64
	now     time.Duration
	events  events
	served  served
}

func (s *simulation) time() time.Time { return simStart.Add(s.now) }

func run(p policy, all []arrival) served {
	s := &simulation{policy: p, served: newServed()}
	count := simHosts
	switch {
	case p.fifo, p.single:
		count = 1
	case p.static:
		count = len(simWeights)
	}
	var weights int64
	for _, w := range simWeights {
		weights += w
	}
	for i := range count {
		h := &simHost{pool: queue.New(), ledger: share.New(), part: int64(simSlots / count)}
		if p.static {
			h.part = simSlots * simWeights[i] / weights
		}
		for t, w := range simWeights {
			if p.fifo {
				w, t = 1, 0
			}
			h.accounts = append(h.accounts, h.ledger.Open(fleet.Team{Name: teamName(t), Share: w}, simStart))
		}
		s.hosts = append(s.hosts, h)
	}
	for _, a := range all {
		s.push(a.at, func() { s.arrive(a) })
	}
	for at := time.Duration(0); at < simLength; at += simTick {
		s.push(at, s.tick)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.work()
	}

	return s.served
}

func teamName(t int) fleet.TeamName { return fleet.TeamName(fmt.Sprintf("team-%d", t)) }

func (s *simulation) push(at time.Duration, f func()) {
	if at < simLength {
		heap.Push(&s.events, event{at, f})
	}
}

func (s *simulation) arrive(a arrival) {
	h := s.hosts[a.host%len(s.hosts)]
	if s.policy.static {
		h = s.hosts[a.team]
	}
	it := &queue.Item{Account: h.accounts[a.team], Queue: "work", Size: fleet.Resources{Slots: 1}, Value: a}
	if _, err := h.pool.Add(it, fleet.Queue{Name: "work", MaxLength: 1 << 30}, simWeights[a.team]); err != nil {
		panic(err)
	}
	h.ledger.Wait(it.Account, it.Size)
	s.push(s.now+simPatience, func() {
		if h.pool.Remove(it) {
			h.ledger.Unwait(it.Account, it.Size)
		}
	})
	s.dispatch(h)
}

func (s *simulation) dispatch(h *simHost) {
	for h.used < h.part && s.used < simSlots && h.pool.Next(h.ledger, func(it *queue.Item) queue.Verdict {
		s.start(h, it)
		return queue.Taken
	}) {
	}
}

func (s *simulation) start(h *simHost, it *queue.Item) {
	a := it.Value.(arrival)
	h.used++
	s.used++
	h.ledger.Unwait(it.Account, it.Size)
	h.ledger.Start(it.Account, it.Size, s.time())
	s.served.add(a.team, s.now, s.now+a.service)
	s.push(s.now+a.service, func() {
		h.used--
		s.used--
		h.ledger.End(it.Account, it.Size, s.time())
		s.dispatch(h)
		for _, other := range s.hosts {
			s.dispatch(other)
		}
	})
}

// tick gives every host the reports of one interval ago and makes new ones.
func (s *simulation) tick() {
	weights := map[fleet.TeamName]int64{}
	for t, w := range simWeights {
		weights[teamName(t)] = w
	}
	for i, h := range s.hosts {
		var others []share.Report
		if s.policy.merged {
			for j, r := range s.reports {
				if i != j {
					r.Age = simTick
					others = append(others, r)
				}
			}
		}
		h.ledger.Refresh(fleet.Resources{Slots: simSlots}, others, s.time())
	}
	if s.policy.merged && s.reports != nil {
		for i, part := range share.Divide(simSlots, weights, share.DefaultHalfLife, s.reports) {
			s.hosts[i].part = part
		}
	}
	s.reports = nil
	for i, h := range s.hosts {
		s.reports = append(s.reports, h.ledger.Report(fleet.EntryName(fmt.Sprint(i)), s.time()))
	}
	for _, h := range s.hosts {
		s.dispatch(h)
	}
}

// nearness is how far the teams were from the ideal over windows of one length.
type nearness struct {
	mean, worst, peak float64
}

// compare returns the deviation from the ideal, as a part of what the ideal gave: the mean over teams and windows,
// the worst team's mean over its windows, and the peak of any one team in any one window in which it was due
// a hundredth of the pool.
func compare(got, want served, window time.Duration) nearness {
	var n nearness
	per := int(window / simStep)
	var off, all float64
	for t := range got {
		var teamOff, teamAll float64
		for k := int(simWarmUp / simStep); k+per <= len(got[t]); k += per {
			g, w := 0.0, 0.0
			for i := k; i < k+per; i++ {
				g += got[t][i]
				w += want[t][i]
			}
			teamOff += math.Abs(g - w)
			if w > simSlots*window.Seconds()/100 {
				n.peak = max(n.peak, math.Abs(g-w)/w)
			}
			teamAll += w
		}
		n.worst = max(n.worst, teamOff/teamAll)
		off += teamOff
		all += teamAll
	}
	n.mean = off / all

	return n
}

// TestNearness compares the policies on the same demand and holds the real one to the stated goals.
func TestNearness(t *testing.T) {
	windows := []time.Duration{time.Second, 10 * time.Second, 60 * time.Second}
	policies := []policy{
		{name: "weighted share, merged", merged: true},
		{name: "share on one host", single: true},
		{name: "per-host share only"},
		{name: "static split", static: true},
		{name: "one global FIFO", fifo: true},
	}
	for seed := range uint64(3) {
		all := demand(seed)
		want := ideal(all)
		for _, p := range policies {
			if seed > 0 && !p.merged {
				continue
			}
			got := run(p, all)
			utilisation := got.total() / want.total()
			line := fmt.Sprintf("seed %d %-24s utilisation %.4f", seed, p.name, utilisation)
			var last nearness
			for _, w := range windows {
				last = compare(got, want, w)
				line += fmt.Sprintf("  %v mean %.4f worst %.4f peak %.4f", w, last.mean, last.worst, last.peak)
			}
			t.Log(line)
			if p.merged && last.worst > 0.02 {
				t.Errorf("seed %d: worst team is %.4f from its share over 60 s", seed, last.worst)
			}
			if p.merged && utilisation < 0.97 {
				t.Errorf("seed %d: utilisation is %.4f of work-conserving", seed, utilisation)
			}
		}
	}
}
