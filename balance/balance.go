package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

const (
	// trendTime is how far back arrivals are looked at.
	trendTime = 3 * time.Second
	// sampleTime is the width of a bucket of arrivals.
	sampleTime = 500 * time.Millisecond
	// growthTime is the time over which the growth of a pool's work is measured.
	growthTime = time.Second
	// largeJob is what one large job may bring at once, in hosts.
	largeJob = 1.0
	// spareHosts is by how much a pool is larger than its work, so that a new job need not wait for a move.
	spareHosts = 1.6
	// keepTime is how long a host must have been needless before it leaves for standby; a move there and back costs
	// about as much as two seconds in a pool.
	keepTime = time.Second
	// surplusFrom is the part of its size by which a pool must be too large before busy hosts leave it.
	surplusFrom = 0.1
)

// Pool is what is known of a pool.
type Pool struct {
	Name fleet.PoolName
	// Hosts counts those that serve or are on their way into the pool.
	Hosts int
	// Demand is the work that runs, and that waits while its callers do, in hosts.
	Demand float64
	// Overdue is the work that waits and is worth nothing any more, in hosts; it gets what the others leave.
	Overdue float64
	// Least is how many hosts the pool's lasting tasks need.
	Least int
	// Idle hosts may leave at once; those that should go first come first.
	Idle []fleet.HostName
	// Busy hosts run only what ends by itself soon, and may leave then; those that should go first come first.
	Busy []fleet.HostName
}

// Move takes a host from one pool to another.
type Move struct {
	Host fleet.HostName
	From fleet.PoolName
	To   fleet.PoolName
}

// Balancer keeps what was seen of each pool.
type Balancer struct {
	lead time.Duration
	// began is when the first plan was made.
	began time.Time
	pools map[fleet.PoolName]*history
}

// history is what was seen of a pool.
type history struct {
	arrivals map[int64]arrivals
	// demands has the work that ran and waited, in hosts, in each bucket.
	demands map[int64]float64
	// wants has the largest size that was wanted in each bucket.
	wants map[int64]int
}

// arrivals is the work that came in one bucket, in host-seconds, with the sum of the squares of its parts.
type arrivals struct {
	sum, squares float64
}

// New returns a balancer for hosts that take lead to move.
func New(lead time.Duration) *Balancer {
	return &Balancer{lead: lead, pools: map[fleet.PoolName]*history{}}
}

func (b *Balancer) history(p fleet.PoolName) *history {
	h, ok := b.pools[p]
	if !ok {
		h = &history{arrivals: map[int64]arrivals{}, demands: map[int64]float64{}, wants: map[int64]int{}}
		b.pools[p] = h
	}

	return h
}

// Arrive notes that work of some host-seconds has come for a pool.
func (b *Balancer) Arrive(p fleet.PoolName, hostSeconds float64, now time.Time) {
	h := b.history(p)
	a := h.arrivals[bucket(now)]
	h.arrivals[bucket(now)] = arrivals{a.sum + hostSeconds, a.squares + hostSeconds*hostSeconds}
}

func bucket(t time.Time) int64 {
	return t.UnixNano() / int64(sampleTime)
}

// Inflow returns the work that is expected to arrive each second once a move that begins now is over, in hosts. A rise
// counts only as far as it is larger than what chance brings about when few large jobs come.
func (b *Balancer) Inflow(p fleet.PoolName, now time.Time) float64 {
	h := b.history(p)
	last := bucket(now) - 1
	count := int64(trendTime / sampleTime)
	for k := range h.arrivals {
		if k <= last-count {
			delete(h.arrivals, k)
		}
	}
	half := count / 2
	var older, newer arrivals
	for i := range half {
		n, o := h.arrivals[last-i], h.arrivals[last-half-i]
		newer = arrivals{newer.sum + n.sum, newer.squares + n.squares}
		older = arrivals{older.sum + o.sum, older.squares + o.squares}
	}
	span := (time.Duration(half) * sampleTime).Seconds()
	mean := (newer.sum + older.sum) / (2 * span)
	rise := newer.sum - older.sum - math.Sqrt(newer.squares+older.squares)
	slope := max(0, rise) / (span * span)

	// The mean is that of the middle of the time that was looked at.
	return mean + slope*(span+b.lead.Seconds())
}

// Want returns how many hosts a pool should have: for the work that is expected once a move that begins now is over.
func (b *Balancer) Want(p Pool, now time.Time) int {
	work := max(p.Demand+b.growth(p, now), b.Inflow(p.Name, now))

	return max(p.Least, int(math.Ceil(work+spareHosts)))
}

// targets returns what pools want, and the sizes that they get: first for work that is worth something and then for what is
// overdue, or equal parts of that beyond their least sizes where there are too few hosts.
func (b *Balancer) targets(pools []Pool, spares int, now time.Time) (wants, targets []int) {
	total := spares
	var least, all []int
	for _, p := range pools {
		total += p.Hosts
		want := b.Want(p, now)
		least, wants = append(least, p.Least), append(wants, want)
		all = append(all, max(want, int(math.Ceil(p.Demand+p.Overdue+spareHosts))))
	}
	switch {
	case sum(all) <= total:
		return all, all
	case sum(wants) <= total:
		return wants, between(wants, all, total)
	default:
		return wants, between(least, wants, total)
	}
}

// between returns sizes from low to high that use up total, so that the lesser needs are met first and the others get the
// same beyond low; low, if that is too much already.
func between(low, high []int, total int) []int {
	sizes := slices.Clone(low)
	left := total - sum(low)
	open := make([]int, 0, len(low))
	for i := range low {
		if high[i] > low[i] {
			open = append(open, i)
		}
	}
	slices.SortFunc(open, func(i, j int) int { return cmp.Compare(high[i]-low[i], high[j]-low[j]) })
	for n, i := range open {
		part := min(high[i]-low[i], max(0, left)/(len(open)-n))
		sizes[i] += part
		left -= part
	}

	return sizes
}

func sum(list []int) int {
	n := 0
	for _, v := range list {
		n += v
	}

	return n
}

// growth returns by how many hosts the work that runs and waits will have grown when a move that begins now is over, if
// it grows on as it did of late. A rise counts only beyond what one large job brings about.
func (b *Balancer) growth(p Pool, now time.Time) float64 {
	h := b.history(p.Name)
	k := bucket(now)
	h.demands[k] = p.Demand
	before, ok := h.demands[k-int64(growthTime/sampleTime)]
	for at := range h.demands {
		if at < k-int64(growthTime/sampleTime) {
			delete(h.demands, at)
		}
	}
	if !ok {
		return 0
	}

	return max(0, p.Demand-before-largeJob) * b.lead.Seconds() / growthTime.Seconds()
}

// keep returns the largest size that was wanted within the time for which a host is kept.
func (h *history) keep(want int, now time.Time) int {
	k := bucket(now)
	h.wants[k] = max(h.wants[k], want)
	most := 0
	for at, w := range h.wants {
		if at <= k-int64(keepTime/sampleTime) {
			delete(h.wants, at)
			continue
		}
		most = max(most, w)
	}

	return most
}

// Plan returns the moves that bring pools to their sizes: hosts from standby first, then those that others don't need, and
// where there are too few for all, those that a pool has beyond its part.
func (b *Balancer) Plan(pools []Pool, standby fleet.PoolName, spares []fleet.HostName, now time.Time) []Move {
	if b.began.IsZero() {
		b.began = now
	}
	wants, targets := b.targets(pools, len(spares), now)
	var lacking []lack
	var offers []offer
	var surplus []Move
	for i, p := range pools {
		target := targets[i]
		keep := b.history(p.Name).keep(wants[i], now)
		if p.Hosts < target {
			lacking = append(lacking, lack{p.Name, target - p.Hosts})
			continue
		}
		idle := p.Idle[:max(0, min(len(p.Idle), p.Hosts-wants[i]))]
		for n, host := range idle {
			offers = append(offers, offer{Move{Host: host, From: p.Name, To: standby}, p.Hosts-n > keep})
		}
		if over := p.Hosts - target - len(idle); float64(over) > surplusFrom*float64(target) {
			rest := slices.Concat(p.Idle[len(idle):], p.Busy)
			for _, host := range rest[:min(len(rest), over)] {
				surplus = append(surplus, Move{Host: host, From: p.Name})
			}
		}
	}
	slices.SortFunc(lacking, func(x, y lack) int { return cmp.Or(cmp.Compare(y.hosts, x.hosts), cmp.Compare(x.pool, y.pool)) })

	moves, rest := fill(lacking, standby, spares, offers, surplus)
	if standby == "" || now.Sub(b.began) < trendTime {
		// A new owner has not seen yet what arrives.
		return moves
	}
	for _, o := range rest {
		if o.needless {
			moves = append(moves, o.Move)
		}
	}

	return moves
}

// fill returns the moves into pools that lack hosts, and the offers that are left.
func fill(lacking []lack, standby fleet.PoolName, spares []fleet.HostName, offers []offer, surplus []Move) ([]Move, []offer) {
	var moves []Move
	for _, l := range lacking {
		for range l.hosts {
			switch {
			case len(spares) > 0:
				moves = append(moves, Move{Host: spares[0], From: standby, To: l.pool})
				spares = spares[1:]
			case len(offers) > 0:
				moves = append(moves, Move{Host: offers[0].Host, From: offers[0].From, To: l.pool})
				offers = offers[1:]
			case len(surplus) > 0:
				moves = append(moves, Move{Host: surplus[0].Host, From: surplus[0].From, To: l.pool})
				surplus = surplus[1:]
			}
		}
	}

	return moves, offers
}

// offer is a host that its pool does not need now; a needless one was not needed for a time.
type offer struct {
	Move
	needless bool
}

// lack is how many hosts a pool is short of.
type lack struct {
	pool  fleet.PoolName
	hosts int
}
