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

// The simulation runs the queue and share code of several entry hosts with a simulated clock. It has no network: hosts
// read reports one interval after they were made, and a slot that one host releases can be used by another at once.
const (
	simSlots      = 80
	simHosts      = 7
	simService    = 200 * time.Millisecond
	simMaxWait    = 10 * time.Second
	simTick       = 100 * time.Millisecond
	simStep       = 10 * time.Millisecond
	simWarmUp     = 60 * time.Second
	simDuration   = 660 * time.Second
	simLoad       = 1.2
	burstFactor   = 5.0
	lullFactor    = 0.05
	burstFraction = (1 - lullFactor) / (burstFactor - lullFactor)
)

var simWeights = []int64{6, 4, 3, 2, 1, 1}

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// arrival is a unit of work that arrives at a host; all policies get the same arrivals.
type arrival struct {
	at, service time.Duration
	team, host  int
}

// generateArrivals returns arrivals in alternating bursts and lulls of each team, unevenly distributed over the hosts.
func generateArrivals(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 0))
	var all []arrival
	for team := range simWeights {
		rate := simLoad * simSlots / simService.Seconds() / float64(len(simWeights))
		for at := time.Duration(0); at < simDuration; {
			burst := time.Duration((3 + 4*r.Float64()) * float64(time.Second))
			lull := time.Duration(float64(burst) * (1 - burstFraction) / burstFraction * (0.5 + r.Float64()))
			hosts := unevenHosts(r)
			all = append(all, poissonArrivals(r, at, burst, rate*burstFactor, team, hosts)...)
			all = append(all, poissonArrivals(r, at+burst, lull, rate*lullFactor, team, hosts)...)
			at += burst + lull
		}
	}

	return all
}

// unevenHosts returns a random cumulative distribution over the hosts, with weights in proportion to 1, 1/2, 1/3, ...
func unevenHosts(r *rand.Rand) []float64 {
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

func poissonArrivals(r *rand.Rand, from, length time.Duration, rate float64, team int, hosts []float64) []arrival {
	var out []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return out
		}
		host, pick := 0, r.Float64()
		for hosts[host] < pick {
			host++
		}
		out = append(out, arrival{
			at: from + at, team: team, host: host,
			service: time.Duration((0.5 + r.Float64()) * float64(simService)),
		})
	}
}

// served is the slot time that each team used in each step, in seconds.
type served [][]float64

func newServed() served {
	s := make(served, len(simWeights))
	for i := range s {
		s[i] = make([]float64, simDuration/simStep+1)
	}

	return s
}

func (s served) add(team int, from, to time.Duration) {
	to = min(to, simDuration)
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

// idealServed returns what a fluid scheduler would serve with complete and immediate knowledge of all hosts, and with
// the same half-life of usage.
func idealServed(all []arrival) served {
	out := newServed()
	type cohort struct {
		at   time.Duration
		work float64
	}
	waiting := make([][]cohort, len(simWeights))
	arrivals := newServed()
	for _, a := range all {
		if a.at < simDuration {
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
			for len(waiting[t]) > 0 && now-waiting[t][0].at > simMaxWait {
				waiting[t] = waiting[t][1:]
			}
			for _, c := range waiting[t] {
				backlog[t] += c.work
			}
		}
		allocated := waterFill(usage, backlog, lambda, step)
		for t, got := range allocated {
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

// waterFill returns the slot time of each team in one step: it finds the common level of
// (lambda*usage + 2*rate)/weight at which the capacity of the step is used up.
func waterFill(usage, backlog []float64, lambda, step float64) []float64 {
	allocated := make([]float64, len(usage))
	allocate := func(level float64) float64 {
		sum := 0.0
		for i := range allocated {
			rate := (level*float64(simWeights[i]) - lambda*usage[i]) / 2
			allocated[i] = min(max(rate*simSlots*step, 0), backlog[i], simSlots*step)
			sum += allocated[i]
		}

		return sum
	}
	low, high := 0.0, 1e3
	for range 60 {
		mid := (low + high) / 2
		if allocate(mid) < simSlots*step {
			low = mid
		} else {
			high = mid
		}
	}
	allocate(low)

	return allocated
}

// policy selects the scheduling mechanisms of a run.
type policy struct {
	name string
	// shareReports lets hosts read each other's reports, and moves slots between them by demand.
	shareReports bool
	// fifo serves all work from one queue in the order of arrival.
	fifo bool
	// single uses one entry host for all arrivals.
	single bool
	// static gives each team a fixed number of slots.
	static bool
}

type event struct {
	at  time.Duration
	run func()
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

// simHost is an entry host in the simulation, or the slots of one team with the static policy.
type simHost struct {
	pool     *queue.Pool
	ledger   *share.Ledger
	accounts []*share.Account
	used     int64
	slots    int64
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
		h := &simHost{pool: queue.New(), ledger: share.New(), slots: int64(simSlots / count)}
		if p.static {
			h.slots = simSlots * simWeights[i] / weights
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
	for at := time.Duration(0); at < simDuration; at += simTick {
		s.push(at, s.refreshAll)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}

	return s.served
}

func teamName(t int) fleet.TeamName { return fleet.TeamName(fmt.Sprintf("team-%d", t)) }

func (s *simulation) push(at time.Duration, f func()) {
	if at < simDuration {
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
	h.ledger.AddWaiting(it.Account, it.Size)
	s.push(s.now+simMaxWait, func() {
		if h.pool.Remove(it) {
			h.ledger.RemoveWaiting(it.Account, it.Size)
		}
	})
	s.dispatch(h)
}

func (s *simulation) dispatch(h *simHost) {
	for h.used < h.slots && s.used < simSlots && h.pool.Next(h.ledger, func(it *queue.Item) queue.OfferResult {
		s.start(h, it)
		return queue.Taken
	}) {
	}
}

func (s *simulation) start(h *simHost, it *queue.Item) {
	a := it.Value.(arrival)
	h.used++
	s.used++
	h.ledger.RemoveWaiting(it.Account, it.Size)
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

// refreshAll passes the reports of the last interval to every host and makes new ones.
func (s *simulation) refreshAll() {
	weights := map[fleet.TeamName]int64{}
	for t, w := range simWeights {
		weights[teamName(t)] = w
	}
	for i, h := range s.hosts {
		var others []share.Report
		if s.policy.shareReports {
			for j, r := range s.reports {
				if i != j {
					r.Age = simTick
					others = append(others, r)
				}
			}
		}
		h.ledger.Refresh(fleet.Resources{Slots: simSlots}, others, s.time())
	}
	if s.policy.shareReports && s.reports != nil {
		for i, part := range share.Divide(simSlots, weights, share.DefaultHalfLife, s.reports) {
			s.hosts[i].slots = part
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

// deviation is the deviation of the teams from the ideal over windows of one length.
type deviation struct {
	mean, worst, peak float64
}

// compareWithIdeal returns the deviation from the ideal, relative to the ideal: the mean over teams and windows,
// the worst mean of a team over its windows, and the peak of any team in any window in which its ideal is more than
// a hundredth of the pool.
func compareWithIdeal(got, want served, window time.Duration) deviation {
	var d deviation
	steps := int(window / simStep)
	var deviationSum, total float64
	for t := range got {
		var teamDeviation, teamTotal float64
		for k := int(simWarmUp / simStep); k+steps <= len(got[t]); k += steps {
			g, w := 0.0, 0.0
			for i := k; i < k+steps; i++ {
				g += got[t][i]
				w += want[t][i]
			}
			teamDeviation += math.Abs(g - w)
			if w > simSlots*window.Seconds()/100 {
				d.peak = max(d.peak, math.Abs(g-w)/w)
			}
			teamTotal += w
		}
		d.worst = max(d.worst, teamDeviation/teamTotal)
		deviationSum += teamDeviation
		total += teamTotal
	}
	d.mean = deviationSum / total

	return d
}

// TestShareDeviation compares the policies on the same arrivals, and checks that with shared reports no team deviates
// by more than 2% from its share over 60 s and that at least 97% of the ideal utilisation is reached.
func TestShareDeviation(t *testing.T) {
	windows := []time.Duration{time.Second, 10 * time.Second, 60 * time.Second}
	policies := []policy{
		{name: "weighted share, merged", shareReports: true},
		{name: "share on one host", single: true},
		{name: "per-host share only"},
		{name: "static split", static: true},
		{name: "one global FIFO", fifo: true},
	}
	for seed := range uint64(3) {
		all := generateArrivals(seed)
		want := idealServed(all)
		for _, p := range policies {
			if seed > 0 && !p.shareReports {
				continue
			}
			got := run(p, all)
			utilisation := got.total() / want.total()
			line := fmt.Sprintf("seed %d %-24s utilisation %.4f", seed, p.name, utilisation)
			var last deviation
			for _, w := range windows {
				last = compareWithIdeal(got, want, w)
				line += fmt.Sprintf("  %v mean %.4f worst %.4f peak %.4f", w, last.mean, last.worst, last.peak)
			}
			t.Log(line)
			if p.shareReports && last.worst > 0.02 {
				t.Errorf("seed %d: worst team deviates by %.4f from its share over 60 s, want at most 0.02", seed, last.worst)
			}
			if p.shareReports && utilisation < 0.97 {
				t.Errorf("seed %d: utilisation is %.4f of the ideal, want at least 0.97", seed, utilisation)
			}
		}
	}
}
