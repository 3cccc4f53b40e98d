package move

import (
	"maps"
	"math"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/record"
)

// Weights are the relative costs that the planner balances; only their ratios matter.
type Weights struct {
	// Moves is the cost of a host out of service for a move, and RollOut of a wave that takes longer.
	Moves   float64
	RollOut float64
	// Shortage is the cost of a host that a pool lacks, and Surplus of one that it doesn't need, per five minutes.
	Shortage float64
	Surplus  float64
}

// StableWeights returns weights for fleets in which moves delay requests: moves and roll-out time cost most.
func StableWeights() Weights {
	return Weights{Moves: 2, RollOut: 2, Shortage: 1, Surplus: 0.5}
}

// ResponsiveWeights returns weights for small fleets: shortages cost most, and surpluses twice as much as in StableWeights.
func ResponsiveWeights() Weights {
	return Weights{Moves: 1, RollOut: 1, Shortage: 2, Surplus: 1}
}

// WithDefaults returns the weights with those of StableWeights in place of components that are not set.
func (w Weights) WithDefaults() Weights {
	d := StableWeights()
	for _, c := range []struct {
		v *float64
		d float64
	}{{&w.Moves, d.Moves}, {&w.RollOut, d.RollOut}, {&w.Shortage, d.Shortage}, {&w.Surplus, d.Surplus}} {
		if *c.v <= 0 {
			*c.v = c.d
		}
	}

	return w
}

// overageRatio returns the fraction of a host up to which a pool's need is not rounded up, because a whole host would be
// idle for the rest of the time. It follows from the critical ratio of the newsvendor model (Arrow, Harris and Marschak,
// Optimal Inventory Policy, 1951): the cost of a surplus divided by the sum of the costs of a surplus and a shortage.
func (w Weights) overageRatio() float64 {
	return w.Surplus / (w.Surplus + w.Shortage)
}

// Policy is the policy of planned moves.
type Policy struct {
	Weights Weights
	// HalfLife is the half-life of the moving average of demand; changes of demand that are much shorter cause no moves.
	HalfLife fleet.Duration
	// Headroom is the fraction of the forecast by which a pool's capacity exceeds it.
	Headroom float64
	// Buffer is the fraction of the fleet that the spare pool keeps ready for growth and losses.
	Buffer float64
}

const (
	// regretPeriod is the time over which a lacking or surplus host costs as much as its weight.
	regretPeriod    = 5 * time.Minute
	defaultHalfLife = 10 * time.Minute
	defaultHeadroom = 0
	defaultBuffer   = 0.04
	// surplusSlack is how far a pool's need must fall below its number of hosts before a host counts as surplus.
	surplusSlack = 0.5
)

// DefaultPolicy returns a policy with the given weights.
func DefaultPolicy(w Weights) Policy {
	return Policy{
		Weights: w.WithDefaults(), HalfLife: fleet.Duration(defaultHalfLife), Headroom: defaultHeadroom, Buffer: defaultBuffer,
	}
}

// Demand is the demand of a pool's queues.
type Demand struct {
	// Hosts is the running and waiting work, averaged since the last tick, in hosts of the pool.
	Hosts float64
	// Share is the pool's weight when demand exceeds the fleet; zero counts as one.
	Share float64
}

// Forecast is the planner's state of a pool.
type Forecast struct {
	// Mean is the forecast demand in hosts, an exponential moving average.
	Mean  float64
	Share float64
	// Shortage and Surplus are the accumulated regrets of too few and of too many hosts, in host-time.
	Shortage time.Duration
	Surplus  time.Duration
	// Confidence grows from zero to one as the moving average fills.
	Confidence float64
}

// Planner plans moves from forecasts of demand. It is immutable.
type Planner struct {
	policy    Policy
	forecasts map[fleet.PoolName]Forecast
	at        time.Time
}

// NewPlanner returns a planner without forecasts, which plans no moves yet.
func NewPlanner(p Policy) Planner {
	return Planner{policy: p}
}

// WithPolicy returns the planner with another policy and the same forecasts.
func (pl Planner) WithPolicy(p Policy) Planner {
	pl.policy = p
	return pl
}

// Forecast returns the forecast of a pool.
func (pl Planner) Forecast(p fleet.PoolName) Forecast {
	return pl.forecasts[p]
}

// WithDemand returns the planner with forecasts updated by the demand of every pool at now and the hosts in the view.
func (pl Planner) WithDemand(demand map[fleet.PoolName]Demand, v View, cfg Config, now time.Time) Planner {
	elapsed := now.Sub(pl.at)
	if pl.at.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	decay := math.Exp2(-elapsed.Seconds() / pl.policy.HalfLife.Std().Seconds())
	if pl.at.IsZero() {
		decay = 0
	}

	next := Planner{policy: pl.policy, at: now, forecasts: make(map[fleet.PoolName]Forecast, cfg.Pools.Len())}
	for name := range cfg.Pools.All() {
		old, d := pl.forecasts[name], demand[name]
		t := Forecast{Mean: old.Mean*decay + d.Hosts*(1-decay), Share: max(d.Share, 0), Shortage: old.Shortage, Surplus: old.Surplus}
		t.Confidence = old.Confidence*decay + 1 - decay
		if pl.at.IsZero() {
			t.Confidence = 0
		}
		if t.Share == 0 {
			t.Share = 1
		}
		next.forecasts[name] = t
	}
	next.accrueRegrets(v, cfg, elapsed)

	return next
}

// accrueRegrets updates the regrets of each pool for the last interval; one without a current cause shrinks by elapsed.
func (pl Planner) accrueRegrets(v View, cfg Config, elapsed time.Duration) {
	counts, _ := countHosts(v)
	targets := pl.targets(cfg, v)
	for name, t := range pl.forecasts {
		t.Shortage = accrue(t.Shortage, float64(targets[name]-counts[name]), elapsed)
		t.Surplus = accrue(t.Surplus, pl.surplus(name, counts[name], targets[name]), elapsed)
		pl.forecasts[name] = t
	}
}

// surplus returns by how many hosts a pool exceeds the larger of its need and its target, less surplusSlack. It is
// negative for a pool without a surplus.
func (pl Planner) surplus(p fleet.PoolName, count, target int) float64 {
	return float64(count) - max(pl.need(p), float64(target)) - surplusSlack
}

// accrue adds hosts times elapsed to a regret, or subtracts elapsed, down to zero, if hosts is not positive.
func accrue(regret time.Duration, hosts float64, elapsed time.Duration) time.Duration {
	if hosts > 0 {
		return regret + time.Duration(hosts*float64(elapsed))
	}

	return max(0, regret-elapsed)
}

// need returns a pool's forecast with headroom, in hosts.
func (pl Planner) need(p fleet.PoolName) float64 {
	return pl.forecasts[p].Mean * (1 + pl.policy.Headroom)
}

// countHosts returns the number of hosts in each pool, with hosts on a move counted in their destination, and in total.
// Lost hosts don't count.
func countHosts(v View) (map[fleet.PoolName]int, int) {
	counts, total := map[fleet.PoolName]int{}, 0
	for _, h := range v.Hosts {
		pool := h.Value.Pool
		if h.Value.State == fleet.HostLost {
			continue
		}
		if in := h.Value.Intent; in != nil {
			pool = in.To
		}
		counts[pool]++
		total++
	}

	return counts, total
}

// targets returns the number of hosts that each pool should have: its need, or its fair share of the fleet if the needs
// together exceed the fleet.
func (pl Planner) targets(cfg Config, v View) map[fleet.PoolName]int {
	_, total := countHosts(v)
	needs := make(map[fleet.PoolName]int, len(pl.forecasts))
	shares := make(map[fleet.PoolName]float64, len(pl.forecasts))
	floors := make(map[fleet.PoolName]int, len(pl.forecasts))
	for name, p := range cfg.Pools.All() {
		if p.Spare {
			continue
		}
		floors[name] = p.MinHosts
		needs[name] = max(p.MinHosts, int(math.Ceil(pl.need(name)-pl.policy.Weights.overageRatio())))
		shares[name] = pl.forecasts[name].Share
	}

	return FairHosts(needs, floors, shares, total)
}

// FairHosts divides total hosts by weighted max-min fairness: no pool gets more than its need or less than its floor,
// and hosts that one pool doesn't need go to the others by their shares.
func FairHosts(needs, floors map[fleet.PoolName]int, shares map[fleet.PoolName]float64, total int) map[fleet.PoolName]int {
	allocated := make(map[fleet.PoolName]int, len(needs))
	left := total
	sum := 0
	for name, n := range needs {
		allocated[name] = min(n, floors[name])
		left -= allocated[name]
		sum += n
	}
	if sum <= total {
		return needs
	}

	names := slices.Sorted(maps.Keys(needs))
	for ; left > 0; left-- {
		best, lowest := fleet.PoolName(""), math.Inf(1)
		for _, name := range names {
			if level := float64(allocated[name]) / shares[name]; allocated[name] < needs[name] && level < lowest {
				best, lowest = name, level
			}
		}
		if best == "" {
			break
		}
		allocated[best]++
	}

	return allocated
}

// Propose returns the fewest moves that bring each pool to its target, once the regret of not moving reaches the cost
// of a move. A lacking host takes one move: from the spare pool if it has a host, or else from the pool with the largest
// surplus. A surplus host moves to the spare pool only once the regret of keeping it reaches the cost of a move.
func (pl Planner) Propose(v View, cfg Config) []Proposal {
	p := newPlanState(pl, v, cfg)
	for _, name := range p.shortPools() {
		for range p.targets[name] - p.counts[name] {
			if !p.proposeMoveTo(name) {
				break
			}
		}
	}
	p.fillSparePool()

	return p.proposals
}

// worthMove reports whether a regret with a weight reaches the cost of one move.
func (pl Planner) worthMove(regret time.Duration, weight float64) bool {
	return float64(regret)*weight >= float64(regretPeriod)*pl.policy.Weights.Moves
}

// planState is the state of one call of Propose.
type planState struct {
	Planner
	config      Config
	targets     map[fleet.PoolName]int
	counts      map[fleet.PoolName]int
	spare       fleet.PoolName
	spareTarget int
	movable     map[fleet.PoolName][]Record
	spread      map[spreadKey]int
	proposals   []Proposal
}

// spreadKey identifies the hosts of a pool in a failure domain: a rack, or a whole zone if rack is empty.
type spreadKey struct {
	pool fleet.PoolName
	zone fleet.ZoneName
	rack fleet.RackName
}

func newPlanState(pl Planner, v View, cfg Config) *planState {
	p := &planState{
		Planner: pl, config: cfg, targets: pl.targets(cfg, v),
		movable: map[fleet.PoolName][]Record{}, spread: map[spreadKey]int{},
	}
	var total int
	p.counts, total = countHosts(v)
	p.spareTarget = int(math.Ceil(pl.policy.Buffer * float64(total)))
	for name, pool := range cfg.Pools.All() {
		if pool.Spare && p.spare == "" {
			p.spare = name
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.Hosts)) {
		p.add(v.Hosts[name])
	}

	return p
}

func (p *planState) add(v record.Versioned[Record]) {
	r := v.Value
	pool := r.Pool
	if r.Intent != nil {
		pool = r.Intent.To
	}
	p.adjustSpread(pool, r, 1)
	if r.State == fleet.HostLive && r.Intent == nil {
		p.movable[pool] = append(p.movable[pool], r)
	}
}

func (p *planState) adjustSpread(pool fleet.PoolName, r Record, n int) {
	p.spread[spreadKey{pool, r.Zone, ""}] += n
	p.spread[spreadKey{pool, r.Zone, r.Rack}] += n
}

// shortPools returns the pools whose shortage is worth a move, in decreasing order of regret times share.
func (p *planState) shortPools() []fleet.PoolName {
	var names []fleet.PoolName
	for name, target := range p.targets {
		t := p.forecasts[name]
		if target > p.counts[name] && t.Confidence > 0.5 && p.worthMove(t.Shortage, p.policy.Weights.Shortage) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b fleet.PoolName) int {
		ra, rb := p.forecasts[a].Shortage.Seconds()*p.forecasts[a].Share, p.forecasts[b].Shortage.Seconds()*p.forecasts[b].Share
		switch {
		case ra > rb:
			return -1
		case ra < rb:
			return 1
		default:
			return compareNames(a, b)
		}
	})

	return names
}

func compareNames(a, b fleet.PoolName) int {
	if a < b {
		return -1
	}

	return 1
}

func (p *planState) proposeMoveTo(to fleet.PoolName) bool {
	from := p.spare
	if from == "" || len(p.movable[from]) == 0 {
		from = p.largestSurplus(to)
	}
	if from == "" {
		return false
	}
	p.proposeMove(from, to)

	return true
}

// largestSurplus returns the pool with the most hosts above its target, or an empty name if none has any.
func (p *planState) largestSurplus(except fleet.PoolName) fleet.PoolName {
	best, most := fleet.PoolName(""), 0
	for _, name := range slices.Sorted(maps.Keys(p.targets)) {
		if over := p.counts[name] - p.targets[name]; name != except && over > most && len(p.movable[name]) > 0 {
			best, most = name, over
		}
	}

	return best
}

// fillSparePool moves surplus hosts to the spare pool once their regret is worth a move. The regret weighs at least as
// much as a shortage while the spare pool is below its target.
func (p *planState) fillSparePool() {
	if p.spare == "" {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(p.targets)) {
		t := p.forecasts[name]
		weight := p.policy.Weights.Surplus
		if p.counts[p.spare] < p.spareTarget {
			weight = max(weight, p.policy.Weights.Shortage)
		}
		if t.Confidence < 0.5 || p.surplus(name, p.counts[name], p.targets[name]) < 0 || !p.worthMove(t.Surplus, weight) || len(p.movable[name]) == 0 {
			continue
		}
		p.proposeMove(name, p.spare)
	}
}

// proposeMove moves the host that leaves both pools spread best over zones and racks.
func (p *planState) proposeMove(from, to fleet.PoolName) {
	best, lowest := -1, math.MaxInt
	for i, r := range p.movable[from] {
		if cost := p.spreadCost(from, to, r); cost < lowest {
			best, lowest = i, cost
		}
	}
	r := p.movable[from][best]
	p.movable[from] = slices.Delete(p.movable[from], best, best+1)
	p.adjustSpread(from, r, -1)
	p.adjustSpread(to, r, 1)
	p.counts[from]--
	p.counts[to]++
	p.proposals = append(p.proposals, Proposal{Host: r.Name, To: to})
}

// zoneWeight is the number of hosts in a rack that count as much as one host in a zone.
const zoneWeight = 16

func (p *planState) spreadCost(from, to fleet.PoolName, r Record) int {
	gain := p.spread[spreadKey{to, r.Zone, ""}]*zoneWeight + p.spread[spreadKey{to, r.Zone, r.Rack}]
	loss := p.spread[spreadKey{from, r.Zone, ""}]*zoneWeight + p.spread[spreadKey{from, r.Zone, r.Rack}]

	return gain - loss
}
