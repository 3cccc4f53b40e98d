package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/balance"
	"lycheehook.example/lycheehook/fleet"
)

const (
	tick      = 100 * time.Millisecond
	hostCores = 16.0
	moveTime  = 1500 * time.Millisecond
	// hostPrice and movePrice are the users' prices of a second of a host in a pool and of a move.
	hostPrice = 0.064
	movePrice = 0.073
	// jobPrice is the value of a job that is done in time, as the mean of the users' four queues.
	jobPrice = 0.9
	standby  = fleet.PoolName("standby")
)

// task is one task of a job; all tasks of a job arrive together.
type task struct {
	cores    float64
	left     time.Duration
	deadline time.Time
	job      int
}

// simulation is a fleet with four queues whose demand peaks in turn, with the rates and prices that the users state.
type simulation struct {
	// scale multiplies the hosts and jobs of the smallest site; zero stands for the smallest site with at most one job
	// of each queue in a tick.
	scale   int
	now     time.Time
	rng     *rand.Rand
	hosts   map[fleet.HostName]fleet.PoolName
	arrives map[fleet.HostName]time.Time
	running map[fleet.HostName][]*task
	// names has all hosts in the order in which they are offered to the planner.
	names []fleet.HostName
	// busy has the cores in use on each host.
	busy    map[fleet.HostName]float64
	waiting map[fleet.PoolName][]*task
	late    map[int]bool
	jobs    int
	moves   int
	hostSec float64
}

var sitePools = []struct {
	name  fleet.PoolName
	hosts int
	// perSecond is the mean rate of jobs, cores the size of a task and seconds its mean duration.
	perSecond, cores, seconds float64
	tasks                     int
}{
	{"post", 8, 5.8, 0.88, 1.0, 10},
	{"recon", 9, 1.1, 1.9, 1.7, 16},
	{"receipts", 11, 7.2, 0.88, 1.0, 10},
	{"statements", 12, 1.3, 1.9, 1.7, 16},
}

func newSimulation(seed uint64, scale int) *simulation {
	s := &simulation{
		scale: scale,
		now:   time.Date(2026, 4, 15, 0, 0, 0, 0, time.UTC), rng: rand.New(rand.NewPCG(seed, 1)),
		hosts: map[fleet.HostName]fleet.PoolName{}, arrives: map[fleet.HostName]time.Time{}, running: map[fleet.HostName][]*task{}, busy: map[fleet.HostName]float64{},
		waiting: map[fleet.PoolName][]*task{}, late: map[int]bool{},
	}
	add := func(p fleet.PoolName, n int) {
		for i := range n {
			s.hosts[fleet.HostName(fmt.Sprintf("%s-%d", p, i))] = p
		}
	}
	for _, p := range sitePools {
		add(p.name, p.hosts*max(1, scale))
	}
	add(standby, 8*max(1, scale))

	return s
}

// rate returns the arrival rate of pool i in jobs per second: for nine seconds of each cycle it peaks at about four
// times the mean, and otherwise it is a twentieth of the mean.
func rate(i int, at time.Duration) float64 {
	cycle := 4 * 4.5
	phase := math.Mod(at.Seconds()-float64(i)*4.5+cycle, cycle)
	quiet := 0.05 * sitePools[i].perSecond
	if phase > 9 {
		return quiet
	}

	return quiet + 4*sitePools[i].perSecond*math.Pow(math.Sin(math.Pi*phase/9), 2)
}

func (s *simulation) arrive(at time.Duration, tell func(p fleet.PoolName, a balance.Arrival)) {
	for i, p := range sitePools {
		for range s.arrivals(rate(i, at) * tick.Seconds()) {
			s.jobs++
			work := time.Duration(p.seconds * (0.5 + s.rng.Float64()) * float64(time.Second))
			objective := time.Duration(1.6*float64(work)) + 600*time.Millisecond
			deadline := s.now.Add(objective)
			for range p.tasks {
				s.waiting[p.name] = append(s.waiting[p.name], &task{p.cores, work, deadline, s.jobs})
			}
			tell(p.name, balance.Arrival{HostSeconds: float64(p.tasks) * p.cores * work.Seconds() / hostCores, Length: work, Slack: objective - work})
		}
	}
}

// arrivals returns how many jobs arrive in a tick for which the smallest site expects mean.
func (s *simulation) arrivals(mean float64) int {
	if s.scale == 0 {
		if s.rng.Float64() > mean {
			return 0
		}

		return 1
	}
	mean *= float64(s.scale)
	n, p := 0, math.Exp(-mean)
	for left := s.rng.Float64() - p; left > 0 && p > 0; left -= p {
		n++
		p *= mean / float64(n)
	}

	return n
}

// run advances the tasks by a tick, and places waiting ones first come, first served.
func (s *simulation) run() {
	for h, tasks := range s.running {
		rest := tasks[:0]
		for _, t := range tasks {
			if t.left -= tick; t.left > 0 {
				rest = append(rest, t)
				continue
			}
			s.busy[h] -= t.cores
			if s.now.After(t.deadline) {
				s.late[t.job] = true
			}
		}
		s.running[h] = rest
	}
	for _, p := range sitePools {
		for len(s.waiting[p.name]) > 0 && s.place(p.name, s.waiting[p.name][0]) {
			s.waiting[p.name] = s.waiting[p.name][1:]
		}
	}
	for h, p := range s.hosts {
		if p != standby && !s.now.Before(s.arrives[h]) {
			s.hostSec += tick.Seconds()
		}
	}
	s.now = s.now.Add(tick)
}

func (s *simulation) place(p fleet.PoolName, t *task) bool {
	best, most := fleet.HostName(""), -1.0
	for h, pool := range s.hosts {
		used := s.used(h)
		if pool == p && !s.now.Before(s.arrives[h]) && used+t.cores <= hostCores && (used > most || used == most && h < best) {
			best, most = h, used
		}
	}
	if best == "" {
		return false
	}
	s.running[best] = append(s.running[best], t)
	s.busy[best] += t.cores

	return true
}

func (s *simulation) used(h fleet.HostName) float64 {
	return s.busy[h]
}

// states returns the planner's input.
func (s *simulation) states() (pools []balance.Pool, spares []fleet.HostName) {
	for _, p := range sitePools {
		st := balance.Pool{Name: p.name, MinHosts: 3}
		for _, t := range s.waiting[p.name] {
			latest := t.deadline.Sub(s.now) - t.left
			st.Waiting = append(st.Waiting, balance.Work{Hosts: t.cores / hostCores, Latest: latest, Expiry: latest + t.left, Length: t.left})
		}
		for _, h := range s.sorted() {
			if s.hosts[h] != p.name {
				continue
			}
			st.Hosts++
			for _, t := range s.running[h] {
				st.Running = append(st.Running, balance.Run{Hosts: t.cores / hostCores, Left: t.left})
			}
			if len(s.running[h]) == 0 && !s.now.Before(s.arrives[h]) {
				st.Idle = append(st.Idle, h)
			}
		}
		pools = append(pools, st)
	}
	for _, h := range s.sorted() {
		if s.hosts[h] == standby && !s.now.Before(s.arrives[h]) {
			spares = append(spares, h)
		}
	}

	return pools, spares
}

func (s *simulation) sorted() []fleet.HostName {
	if len(s.names) > 0 {
		return s.names
	}
	var names []fleet.HostName
	for _, p := range append([]string{string(standby)}, "post", "receipts", "recon", "statements") {
		for i := range 12 * max(1, s.scale) {
			h := fleet.HostName(fmt.Sprintf("%s-%d", p, i))
			if _, ok := s.hosts[h]; ok {
				names = append(names, h)
			}
		}
	}

	s.names = names

	return names
}

func (s *simulation) move(moves []balance.Move) {
	for _, m := range moves {
		s.hosts[m.Host] = m.To
		s.arrives[m.Host] = s.now.Add(moveTime)
		s.moves++
	}
}

// planner is a strategy for the sizes of pools.
type planner struct {
	name   string
	arrive func(p fleet.PoolName, a balance.Arrival, now time.Time)
	plan   func(pools []balance.Pool, spares []fleet.HostName, now time.Time) []balance.Move
}

// static makes no moves.
func static() planner {
	return planner{
		"static", func(fleet.PoolName, balance.Arrival, time.Time) {},
		func([]balance.Pool, []fleet.HostName, time.Time) []balance.Move { return nil },
	}
}

// reactive plans by the demand alone, without a record of arrivals.
func reactive() planner {
	b := balance.New(moveTime)

	return planner{"reactive", func(fleet.PoolName, balance.Arrival, time.Time) {}, func(p []balance.Pool, s []fleet.HostName, now time.Time) []balance.Move {
		return b.Plan(p, standby, s, now)
	}}
}

// forecasting plans by the demand and the forecast of arrivals.
func forecasting() planner {
	b := balance.New(moveTime)

	return planner{"forecasting", b.RecordArrival, func(p []balance.Pool, s []fleet.HostName, now time.Time) []balance.Move {
		return b.Plan(p, standby, s, now)
	}}
}

// result is the outcome of a simulated run.
type result struct {
	inTime float64
	cost   float64
	moves  int
	jobs   int
}

// worth returns the value of the jobs in time less the cost of the hosts.
func (r result) worth() float64 {
	return r.inTime*float64(r.jobs)*jobPrice - r.cost
}

// mean returns the mean result of a planner over several seeds.
func mean(p func() planner, days, scale int) result {
	var sum result
	for seed := range uint64(days) {
		r := simulate(p(), seed, scale)
		sum = result{sum.inTime + r.inTime/float64(days), sum.cost + r.cost/float64(days), sum.moves + r.moves/days, sum.jobs + r.jobs/days}
	}

	return sum
}

// simulate runs a planner on 36 seconds of simulated demand.
func simulate(p planner, seed uint64, scale int) result {
	s := newSimulation(seed, scale)
	for at := time.Duration(0); at < 36*time.Second; at += tick {
		s.arrive(at, func(pool fleet.PoolName, a balance.Arrival) { p.arrive(pool, a, s.now) })
		s.run()
		pools, spares := s.states()
		s.move(p.plan(pools, spares, s.now))
	}

	return result{1 - float64(len(s.late))/float64(s.jobs), s.hostSec*hostPrice + float64(s.moves)*movePrice, s.moves, s.jobs}
}

// When the queues peak in turn at four times their mean, moved hosts serve at least as many
// jobs in time as static pools, at no higher cost, and the forecast serves at least as many as reacting.
func TestAlternatingPeaks(t *testing.T) {
	const days = 5
	sum := map[string]result{}
	for seed := range uint64(days) {
		for _, p := range []planner{static(), reactive(), forecasting()} {
			r := simulate(p, seed, 0)
			old := sum[p.name]
			sum[p.name] = result{old.inTime + r.inTime/days, old.cost + r.cost/days, old.moves + r.moves/days, old.jobs + r.jobs/days}
		}
	}
	for name, r := range sum {
		t.Logf("%-12s %.3f in time, cost %.1f, %d moves", name, r.inTime, r.cost, r.moves)
	}
	if f, s := sum["forecasting"], sum["static"]; f.inTime < s.inTime || f.cost > s.cost {
		t.Errorf("forecasting %+v is worse than static pools %+v", f, s)
	}
	if f, r := sum["forecasting"], sum["reactive"]; f.inTime < r.inTime {
		t.Errorf("forecasting %+v serves less than reacting %+v", f, r)
	}
}

// demand returns the work that runs and waits, in hosts.
func demand(p balance.Pool) float64 {
	sum := 0.0
	for _, r := range p.Running {
		sum += r.Hosts
	}
	for _, w := range p.Waiting {
		sum += w.Hosts
	}

	return sum
}

// followingDemand sizes pools by their present demand, with the same headroom.
func followingDemand() planner {
	return planner{"following", func(fleet.PoolName, balance.Arrival, time.Time) {}, func(pools []balance.Pool, spares []fleet.HostName, _ time.Time) []balance.Move {
		var moves []balance.Move
		for _, p := range pools {
			want := max(p.MinHosts, int(math.Ceil(demand(p)+1.6)))
			for _, h := range p.Idle[:max(0, min(len(p.Idle), p.Hosts-want))] {
				moves = append(moves, balance.Move{Host: h, From: p.Name, To: standby})
			}
			n := max(0, min(len(spares), want-p.Hosts))
			for _, h := range spares[:n] {
				moves = append(moves, balance.Move{Host: h, From: standby, To: p.Name})
			}
			spares = spares[n:]
		}

		return moves
	}}
}

// With many jobs arriving at once, also with seven times the
// hosts, the additional cost of the forecast must be less than the value of the jobs that it additionally serves.
func TestAlternatingPeaksAtScale(t *testing.T) {
	for _, scale := range []int{1, 7} {
		t.Run(fmt.Sprint(48*scale, " hosts"), func(t *testing.T) {
			const days = 3
			forecast := mean(forecasting, days, scale)
			for _, p := range []func() planner{static, followingDemand} {
				other := mean(p, days, scale)
				t.Logf("%-12s %.3f in time, cost %.1f, %d moves, worth %.0f", p().name, other.inTime, other.cost, other.moves, other.worth())
				if forecast.worth() < other.worth() || forecast.inTime < other.inTime {
					t.Errorf("the forecast %+v is worth less than %s pools %+v", forecast, p().name, other)
				}
			}
			t.Logf("%-12s %.3f in time, cost %.1f, %d moves, worth %.0f", "forecasting", forecast.inTime, forecast.cost, forecast.moves, forecast.worth())
		})
	}
}

// A single large job is no trend; it must not bring in hosts for more like it.
func TestOneLargeJobIsNoTrend(t *testing.T) {
	b := balance.New(moveTime)
	now := time.Date(2026, 4, 15, 0, 0, 0, 0, time.UTC)
	b.RecordArrival("recon", balance.Arrival{HostSeconds: 6, Length: time.Second}, now)
	if in := b.ExpectedInflow("recon", now.Add(time.Second)); in > 2.5 {
		t.Errorf("an inflow of %.1f hosts after one job of 6 host-seconds in three seconds", in)
	}
}

// Steady arrivals are forecast to continue unchanged.
func TestSteadyInflow(t *testing.T) {
	b := balance.New(moveTime)
	now := time.Date(2026, 4, 15, 0, 0, 0, 0, time.UTC)
	for range 100 {
		b.RecordArrival("post", balance.Arrival{HostSeconds: 0.5, Length: time.Second}, now)
		now = now.Add(tick)
	}
	if in := b.ExpectedInflow("post", now); math.Abs(in-5) > 0.5 {
		t.Errorf("an inflow of %.2f hosts, want 5", in)
	}
}

// A new owner has no record of arrivals yet and must send no host to standby.
func TestNewOwnerKeepsHosts(t *testing.T) {
	b := balance.New(moveTime)
	now := time.Date(2026, 4, 15, 0, 0, 0, 0, time.UTC)
	pools := []balance.Pool{{Name: "post", Hosts: 8, MinHosts: 3, Idle: []fleet.HostName{"h1", "h2", "h3", "h4", "h5"}}}
	if moves := b.Plan(pools, standby, nil, now); len(moves) > 0 {
		t.Errorf("moves at once: %v", moves)
	}
	now = now.Add(5 * time.Second)
	b.Plan(pools, standby, nil, now)
	if moves := b.Plan(pools, standby, nil, now.Add(time.Second)); len(moves) != 3 {
		t.Errorf("moves later: %v", moves)
	}
}

// busyPool returns a pool in which all hosts run tasks that end by themselves.
// Work beyond them waits and is due.
func busyPool(name fleet.PoolName, hosts int, demand, overdue float64) balance.Pool {
	p := balance.Pool{Name: name, Hosts: hosts, Overdue: overdue, MinHosts: 1}
	running := min(demand, float64(hosts))
	p.Running = []balance.Run{{Hosts: running, Left: time.Minute}}
	p.Waiting = []balance.Work{{Hosts: demand - running, Expiry: 3 * time.Second, Length: time.Second}}
	for i := range hosts {
		p.Busy = append(p.Busy, fleet.HostName(fmt.Sprint(name, "-", i)))
	}

	return p
}

// When the work exceeds all hosts, pools get equal parts and overdue work comes last. Otherwise the pool that peaks first can keep
// most of the fleet; in a failure it had two thirds of the hosts for twenty seconds.
func TestOverload(t *testing.T) {
	tests := []struct {
		name  string
		pools []balance.Pool
		spare int
		want  map[fleet.PoolName]int
	}{
		{"like parts", []balance.Pool{busyPool("a", 40, 80, 0), busyPool("b", 10, 80, 0)}, 0, map[fleet.PoolName]int{"b": 15}},
		{"small needs first", []balance.Pool{busyPool("a", 40, 80, 0), busyPool("b", 4, 8, 0), busyPool("c", 6, 80, 0)}, 0, map[fleet.PoolName]int{"b": 9, "c": 13}},
		{"overdue work waits", []balance.Pool{busyPool("a", 40, 20, 200), busyPool("b", 10, 25, 0)}, 0, map[fleet.PoolName]int{"b": 15}},
		{"overdue work takes what is left", []balance.Pool{busyPool("a", 10, 8, 200), busyPool("b", 10, 8, 0)}, 12, map[fleet.PoolName]int{"a": 7, "b": 5}},
		{"a small surplus stays", []balance.Pool{busyPool("a", 26, 80, 0), busyPool("b", 24, 80, 0)}, 0, map[fleet.PoolName]int{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var spares []fleet.HostName
			for i := range tt.spare {
				spares = append(spares, fleet.HostName(fmt.Sprint("spare-", i)))
			}
			got := map[fleet.PoolName]int{}
			now := time.Date(2026, 4, 15, 0, 0, 0, 0, time.UTC)
			for _, m := range balance.New(moveTime).Plan(tt.pools, standby, spares, now) {
				got[m.To]++
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("hosts moved to each pool (-want +got):\n%s", diff)
			}
		})
	}
}
