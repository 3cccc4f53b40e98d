package move

import (
	"maps"
	"math"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/record"
)

// Weights say what a fleet cares about; only their ratios matter.
type Weights struct {
	// Moves and RollOut are the costs of a host out of service for a move, and of a wave that takes longer.
	Moves   float64
	RollOut float64
	// ShareNearness is the cost of a host that a pool lacks, and BufferCost of one that it doesn't need, per five minutes.
	ShareNearness float64
	BufferCost    float64
}

// LedgerWeights returns weights for fleets where a move may delay a posting: moves and roll-out time count most.
func LedgerWeights() Weights {
	return Weights{Moves: 2, RollOut: 2, ShareNearness: 1, BufferCost: 0.5}
}

// PressWeights returns weights for small fleets: nearness to shares and idle hosts count most.
func PressWeights() Weights {
	return Weights{Moves: 1, RollOut: 1, ShareNearness: 2, BufferCost: 1}
}

// WithDefaults returns the ledger's weights in place of components that are not set.
func (w Weights) WithDefaults() Weights {
	d := LedgerWeights()
	for _, c := range []struct {
		v *float64
		d float64
	}{{&w.Moves, d.Moves}, {&w.RollOut, d.RollOut}, {&w.ShareNearness, d.ShareNearness}, {&w.BufferCost, d.BufferCost}} {
		if *c.v <= 0 {
			*c.v = c.d
		}
	}

	return w
}

// spared returns the part of a host that a pool goes without, because a whole one would be idle for the rest of its
// time: the critical ratio of the newsvendor model (Arrow, Harris and Marschak, Optimal Inventory Policy, 1951).
func (w Weights) spared() float64 {
	return w.BufferCost / (w.BufferCost + w.ShareNearness)
}

// Policy is what operators set about moves.
type Policy struct {
	Weights Weights
	// HalfLife is the time in which the memory of demand halves; turns much shorter than it cause no moves.
	HalfLife fleet.Duration
	// Headroom is the part of the forecast that a pool keeps ready on top of it.
	Headroom float64
	// Buffer is the part of the fleet that the spare pool keeps ready for growth and losses.
	Buffer float64
}

const (
	// regretUnit is the time over which a lacking or idle host costs as much as its weight says.
	regretUnit      = 5 * time.Minute
	defaultHalfLife = 10 * time.Minute
	defaultHeadroom = 0
	defaultBuffer   = 0.04
	// shrinkSlack is how far below its hosts a pool's need must fall before a host counts as idle, in hosts.
	shrinkSlack = 0.5
)

// DefaultPolicy returns a policy with the given weights.
func DefaultPolicy(w Weights) Policy {
	return Policy{
		Weights: w.WithDefaults(), HalfLife: fleet.Duration(defaultHalfLife), Headroom: defaultHeadroom, Buffer: defaultBuffer,
	}
}

// Demand is what a pool's queues ask for.
type Demand struct {
	// Hosts is the work running and waiting, averaged since the last tick, in hosts of the pool.
	Hosts float64
	// Share is the pool's weight when the fleet is full; zero counts as one.
	Share float64
}

// Trend is what the planner remembers about a pool.
type Trend struct {
	// Mean is the forecast of the demand, in hosts.
	Mean  float64
	Share float64
	// Lack and Idle are the regrets of a host too few or too many, in host-time since they began.
	Lack time.Duration
	Idle time.Duration
	// Weight grows to one while the memory fills.
	Weight float64
}

// Planner plans moves from forecasts of demand; it is an immutable value.
type Planner struct {
	policy Policy
	trends map[fleet.PoolName]Trend
	at     time.Time
}

// NewPlanner returns a planner that has seen no demand and therefore plans no moves yet.
func NewPlanner(p Policy) Planner {
	return Planner{policy: p}
}

// WithPolicy returns the planner under another policy, with what it remembers.
func (pl Planner) WithPolicy(p Policy) Planner {
	pl.policy = p
	return pl
}

// Trend returns what the planner remembers about a pool.
func (pl Planner) Trend(p fleet.PoolName) Trend {
	return pl.trends[p]
}

// WithDemand returns the planner after it saw the demand of every pool at now, over the hosts in the view.
func (pl Planner) WithDemand(demand map[fleet.PoolName]Demand, v View, cfg Config, now time.Time) Planner {
	elapsed := now.Sub(pl.at)
	if pl.at.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	keep := math.Exp2(-elapsed.Seconds() / pl.policy.HalfLife.Std().Seconds())
	if pl.at.IsZero() {
		keep = 0
	}

	next := Planner{policy: pl.policy, at: now, trends: make(map[fleet.PoolName]Trend, cfg.Pools.Len())}
	for name := range cfg.Pools.All() {
		old, d := pl.trends[name], demand[name]
		t := Trend{Mean: old.Mean*keep + d.Hosts*(1-keep), Share: max(d.Share, 0), Lack: old.Lack, Idle: old.Idle}
		t.Weight = old.Weight*keep + 1 - keep
		if pl.at.IsZero() {
			t.Weight = 0
		}
		if t.Share == 0 {
			t.Share = 1
		}
		next.trends[name] = t
	}
	next.regret(v, cfg, elapsed)

	return next
}

// regret adds what the last interval cost; the opposite regret is forgotten as fast as the new one grows.
func (pl Planner) regret(v View, cfg Config, elapsed time.Duration) {
	counts, _ := count(v)
	targets := pl.targets(cfg, v)
	for name, t := range pl.trends {
		t.Lack = accrue(t.Lack, float64(targets[name]-counts[name]), elapsed)
		t.Idle = accrue(t.Idle, pl.idle(name, counts[name], targets[name]), elapsed)
		pl.trends[name] = t
	}
}

// idle returns how many hosts a pool has beyond what it may need soon.
func (pl Planner) idle(p fleet.PoolName, count, target int) float64 {
	return float64(count) - max(pl.need(p), float64(target)) - shrinkSlack
}

// accrue grows a regret with hosts times elapsed, and shrinks it by elapsed while there is nothing to regret.
func accrue(regret time.Duration, hosts float64, elapsed time.Duration) time.Duration {
	if hosts > 0 {
		return regret + time.Duration(hosts*float64(elapsed))
	}

	return max(0, regret-elapsed)
}

// need returns a pool's forecast with headroom, in hosts.
func (pl Planner) need(p fleet.PoolName) float64 {
	return pl.trends[p].Mean * (1 + pl.policy.Headroom)
}

// count returns how many hosts each pool has or is about to have, and how many there are.
func count(v View) (map[fleet.PoolName]int, int) {
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

// targets returns the number of hosts that each pool should have: its need, or its fair part of the fleet when the
// needs together exceed it.
func (pl Planner) targets(cfg Config, v View) map[fleet.PoolName]int {
	_, total := count(v)
	needs := make(map[fleet.PoolName]int, len(pl.trends))
	shares := make(map[fleet.PoolName]float64, len(pl.trends))
	floors := make(map[fleet.PoolName]int, len(pl.trends))
	for name, p := range cfg.Pools.All() {
		if p.Spare {
			continue
		}
		floors[name] = p.MinHosts
		needs[name] = max(p.MinHosts, int(math.Ceil(pl.need(name)-pl.policy.Weights.spared())))
		shares[name] = pl.trends[name].Share
	}

	return FairHosts(needs, floors, shares, total)
}

// FairHosts divides total hosts by weighted max-min fairness: no pool gets more than its need, none less than its
// floor, and what one doesn't need goes to the others by their shares.
func FairHosts(needs, floors map[fleet.PoolName]int, shares map[fleet.PoolName]float64, total int) map[fleet.PoolName]int {
	given := make(map[fleet.PoolName]int, len(needs))
	left := total
	sum := 0
	for name, n := range needs {
		given[name] = min(n, floors[name])
		left -= given[name]
		sum += n
	}
	if sum <= total {
		return needs
	}

	names := slices.Sorted(maps.Keys(needs))
	for ; left > 0; left-- {
		best, lowest := fleet.PoolName(""), math.Inf(1)
		for _, name := range names {
			if level := float64(given[name]) / shares[name]; given[name] < needs[name] && level < lowest {
				best, lowest = name, level
			}
		}
		if best == "" {
			break
		}
		given[best]++
	}

	return given
}

// Propose returns the fewest moves that bring each pool to its target, once the regret of not moving exceeds the
// cost of a move. A lacking host is one move, from the spare pool if it has one and else from the pool with the most
// idle hosts; an idle host goes to the spare pool only when its own regret is due.
func (pl Planner) Propose(v View, cfg Config) []Proposal {
	p := newPlanning(pl, v, cfg)
	for _, name := range p.lacking() {
		for range p.targets[name] - p.counts[name] {
			if !p.moveTo(name) {
				break
			}
		}
	}
	p.fillSpare()

	return p.proposals
}

// due reports whether a regret under a weight exceeds the cost of one move.
func (pl Planner) due(regret time.Duration, weight float64) bool {
	return float64(regret)*weight >= float64(regretUnit)*pl.policy.Weights.Moves
}

// planning is the state of one plan.
type planning struct {
	Planner
	config    Config
	targets   map[fleet.PoolName]int
	counts    map[fleet.PoolName]int
	spare     fleet.PoolName
	reserve   int
	ready     map[fleet.PoolName][]Record
	spread    map[spreadKey]int
	proposals []Proposal
}

// spreadKey counts hosts of a pool in a failure domain.
type spreadKey struct {
	pool fleet.PoolName
	zone fleet.ZoneName
	rack fleet.RackName
}

func newPlanning(pl Planner, v View, cfg Config) *planning {
	p := &planning{
		Planner: pl, config: cfg, targets: pl.targets(cfg, v),
		ready: map[fleet.PoolName][]Record{}, spread: map[spreadKey]int{},
	}
	var total int
	p.counts, total = count(v)
	p.reserve = int(math.Ceil(pl.policy.Buffer * float64(total)))
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

func (p *planning) add(v record.Versioned[Record]) {
	r := v.Value
	pool := r.Pool
	if r.Intent != nil {
		pool = r.Intent.To
	}
	p.place(pool, r, 1)
	if r.State == fleet.HostLive && r.Intent == nil {
		p.ready[pool] = append(p.ready[pool], r)
	}
}

func (p *planning) place(pool fleet.PoolName, r Record, n int) {
	p.spread[spreadKey{pool, r.Zone, ""}] += n
	p.spread[spreadKey{pool, r.Zone, r.Rack}] += n
}

// lacking returns the pools whose lack is due, the largest regret for its share first.
func (p *planning) lacking() []fleet.PoolName {
	var names []fleet.PoolName
	for name, target := range p.targets {
		t := p.trends[name]
		if target > p.counts[name] && t.Weight > 0.5 && p.due(t.Lack, p.policy.Weights.ShareNearness) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b fleet.PoolName) int {
		ra, rb := p.trends[a].Lack.Seconds()*p.trends[a].Share, p.trends[b].Lack.Seconds()*p.trends[b].Share
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

func (p *planning) moveTo(to fleet.PoolName) bool {
	from := p.spare
	if from == "" || len(p.ready[from]) == 0 {
		from = p.richest(to)
	}
	if from == "" {
		return false
	}
	p.move(from, to)

	return true
}

// richest returns the pool that is furthest above its target, if any.
func (p *planning) richest(except fleet.PoolName) fleet.PoolName {
	best, most := fleet.PoolName(""), 0
	for _, name := range slices.Sorted(maps.Keys(p.targets)) {
		if over := p.counts[name] - p.targets[name]; name != except && over > most && len(p.ready[name]) > 0 {
			best, most = name, over
		}
	}

	return best
}

// fillSpare moves idle hosts to the spare pool: when their own regret is due, or when the spare pool lacks its reserve.
func (p *planning) fillSpare() {
	if p.spare == "" {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(p.targets)) {
		t := p.trends[name]
		weight := p.policy.Weights.BufferCost
		if p.counts[p.spare] < p.reserve {
			weight = max(weight, p.policy.Weights.ShareNearness)
		}
		if t.Weight < 0.5 || p.idle(name, p.counts[name], p.targets[name]) < 0 || !p.due(t.Idle, weight) || len(p.ready[name]) == 0 {
			continue
		}
		p.move(name, p.spare)
	}
}

// move takes the host whose leaving and arrival spread both pools best over zones and racks.
func (p *planning) move(from, to fleet.PoolName) {
	best, lowest := -1, math.MaxInt
	for i, r := range p.ready[from] {
		if cost := p.spreadCost(from, to, r); cost < lowest {
			best, lowest = i, cost
		}
	}
	r := p.ready[from][best]
	p.ready[from] = slices.Delete(p.ready[from], best, best+1)
	p.place(from, r, -1)
	p.place(to, r, 1)
	p.counts[from]--
	p.counts[to]++
	p.proposals = append(p.proposals, Proposal{Host: r.Name, To: to})
}

// zoneWeight makes one host more in a zone count as much as this many in a rack.
const zoneWeight = 16

func (p *planning) spreadCost(from, to fleet.PoolName, r Record) int {
	gain := p.spread[spreadKey{to, r.Zone, ""}]*zoneWeight + p.spread[spreadKey{to, r.Zone, r.Rack}]
	loss := p.spread[spreadKey{from, r.Zone, ""}]*zoneWeight + p.spread[spreadKey{from, r.Zone, r.Rack}]

	return gain - loss
}
