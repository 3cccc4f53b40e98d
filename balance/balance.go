package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

const (
	// trendWindow is the period of past arrivals that forecasts are based on.
	trendWindow = 3 * time.Second
	// bucketWidth is the width of the time buckets in which arrivals and demand are recorded.
	bucketWidth = 500 * time.Millisecond
	// growthWindow is the period over which the growth of a pool's demand is measured.
	growthWindow = time.Second
	// largeJobHosts is the demand, in hosts, that a single large job may add at once.
	largeJobHosts = 1.0
	// headroomHosts is the number of hosts that a pool gets beyond its work, so that a new job need not wait for a move.
	headroomHosts = 1.6
	// releaseDelay is how long a host must have been unneeded before it moves to standby; a move there and back costs
	// about as much as two seconds of a host in a pool.
	releaseDelay = time.Second
	// minSurplus is the fraction of its target size by which a pool must be too large before it gives up busy hosts.
	minSurplus = 0.1
)

// Pool is the state of a pool.
type Pool struct {
	Name fleet.PoolName
	// Hosts counts the hosts that are in service or on their way into the pool.
	Hosts int
	// Demand is the work that runs, and the waiting work that is not overdue, in hosts.
	Demand float64
	// Overdue is the waiting work that no longer has any value, in hosts; it gets the capacity that other work leaves.
	Overdue float64
	// MinHosts is the number of hosts that the pool's lasting tasks need.
	MinHosts int
	// Idle hosts may leave at once, in order of preference.
	Idle []fleet.HostName
	// Busy hosts run only tasks that soon end by themselves, after which they may leave, in order of preference.
	Busy []fleet.HostName
}

// Move transfers a host from one pool to another.
type Move struct {
	Host fleet.HostName
	From fleet.PoolName
	To   fleet.PoolName
}

// Balancer plans the sizes of pools from their recorded history.
type Balancer struct {
	leadTime time.Duration
	// firstPlan is when the first plan was made.
	firstPlan time.Time
	pools     map[fleet.PoolName]*history
}

// history is the recent past of a pool.
type history struct {
	arrivals map[int64]arrivalSums
	// demands has the demand in each bucket, in hosts.
	demands map[int64]float64
	// wanted has the largest size that was wanted in each bucket.
	wanted map[int64]int
}

// arrivalSums is the work that arrived in a bucket, in host-seconds, as the sum and the sum of squares over the recorded
// arrivals.
type arrivalSums struct {
	sum, sumOfSquares float64
}

// New returns a Balancer for hosts whose moves take leadTime, including the time to decide on them.
func New(leadTime time.Duration) *Balancer {
	return &Balancer{leadTime: leadTime, pools: map[fleet.PoolName]*history{}}
}

// history returns the history of a pool, which it adds if there is none.
func (b *Balancer) history(p fleet.PoolName) *history {
	h, ok := b.pools[p]
	if !ok {
		h = &history{arrivals: map[int64]arrivalSums{}, demands: map[int64]float64{}, wanted: map[int64]int{}}
		b.pools[p] = h
	}

	return h
}

// RecordArrival records the arrival of work for a pool.
func (b *Balancer) RecordArrival(p fleet.PoolName, hostSeconds float64, now time.Time) {
	h := b.history(p)
	a := h.arrivals[bucket(now)]
	h.arrivals[bucket(now)] = arrivalSums{a.sum + hostSeconds, a.sumOfSquares + hostSeconds*hostSeconds}
}

// bucket returns the number of the time bucket that contains t.
func bucket(t time.Time) int64 {
	return t.UnixNano() / int64(bucketWidth)
}

// ExpectedInflow returns the work expected to arrive per second at the end of a move that begins now, in hosts. A rise
// counts only as far as it exceeds the random variation of arrivals, which is large if they are few large jobs.
func (b *Balancer) ExpectedInflow(p fleet.PoolName, now time.Time) float64 {
	h := b.history(p)
	last := bucket(now) - 1
	count := int64(trendWindow / bucketWidth)
	for k := range h.arrivals {
		if k <= last-count {
			delete(h.arrivals, k)
		}
	}
	half := count / 2
	var older, newer arrivalSums
	for i := range half {
		n, o := h.arrivals[last-i], h.arrivals[last-half-i]
		newer = arrivalSums{newer.sum + n.sum, newer.sumOfSquares + n.sumOfSquares}
		older = arrivalSums{older.sum + o.sum, older.sumOfSquares + o.sumOfSquares}
	}
	span := (time.Duration(half) * bucketWidth).Seconds()
	mean := (newer.sum + older.sum) / (2 * span)
	rise := newer.sum - older.sum - math.Sqrt(newer.sumOfSquares+older.sumOfSquares)
	slope := max(0, rise) / (span * span)

	// The mean is the rate at the middle of the window, so the slope is applied from there on.
	return mean + slope*(span+b.leadTime.Seconds())
}

// WantedHosts returns the size that a pool needs for the work expected at the end of a move that begins now.
func (b *Balancer) WantedHosts(p Pool, now time.Time) int {
	work := max(p.Demand+b.expectedGrowth(p, now), b.ExpectedInflow(p.Name, now))

	return max(p.MinHosts, int(math.Ceil(work+headroomHosts)))
}

// targets returns the sizes that pools want and the sizes that they get. Hosts go to work that still has value first and
// to overdue work after that; if there are too few, pools get equal numbers beyond their minimum sizes, up to what they
// want.
func (b *Balancer) targets(pools []Pool, spares int, now time.Time) (wants, targets []int) {
	total := spares
	var minSizes, fullSizes []int
	for _, p := range pools {
		total += p.Hosts
		want := b.WantedHosts(p, now)
		minSizes, wants = append(minSizes, p.MinHosts), append(wants, want)
		fullSizes = append(fullSizes, max(want, int(math.Ceil(p.Demand+p.Overdue+headroomHosts))))
	}
	switch {
	case sum(fullSizes) <= total:
		return fullSizes, fullSizes
	case sum(wants) <= total:
		return wants, distribute(wants, fullSizes, total)
	default:
		return wants, distribute(minSizes, wants, total)
	}
}

// distribute returns sizes from low to high with the given total, or low if that exceeds it already. The remainder
// beyond low is divided equally, and what pools with small needs can't use goes to the others.
func distribute(low, high []int, total int) []int {
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

// expectedGrowth returns the growth of a pool's demand until the end of a move that begins now, in hosts, if its recent
// growth continues. Growth counts only beyond what a single large job may cause.
func (b *Balancer) expectedGrowth(p Pool, now time.Time) float64 {
	h := b.history(p.Name)
	k := bucket(now)
	h.demands[k] = p.Demand
	before, ok := h.demands[k-int64(growthWindow/bucketWidth)]
	for at := range h.demands {
		if at < k-int64(growthWindow/bucketWidth) {
			delete(h.demands, at)
		}
	}
	if !ok {
		return 0
	}

	return max(0, p.Demand-before-largeJobHosts) * b.leadTime.Seconds() / growthWindow.Seconds()
}

// recentMax records a wanted size and returns the largest one of the last releaseDelay.
func (h *history) recentMax(want int, now time.Time) int {
	k := bucket(now)
	h.wanted[k] = max(h.wanted[k], want)
	most := 0
	for at, w := range h.wanted {
		if at <= k-int64(releaseDelay/bucketWidth) {
			delete(h.wanted, at)
			continue
		}
		most = max(most, w)
	}

	return most
}

// Plan returns the moves that bring pools to their target sizes. It takes hosts from standby first, then unneeded ones
// of other pools, and finally, if there are too few for all, those that a pool has beyond its target.
func (b *Balancer) Plan(pools []Pool, standby fleet.PoolName, spares []fleet.HostName, now time.Time) []Move {
	if b.firstPlan.IsZero() {
		b.firstPlan = now
	}
	wants, targets := b.targets(pools, len(spares), now)
	var shortages []shortage
	var unneeded []unneededHost
	var surplus []Move
	for i, p := range pools {
		target := targets[i]
		recent := b.history(p.Name).recentMax(wants[i], now)
		if p.Hosts < target {
			shortages = append(shortages, shortage{p.Name, target - p.Hosts})
			continue
		}
		idle := p.Idle[:max(0, min(len(p.Idle), p.Hosts-wants[i]))]
		for n, host := range idle {
			unneeded = append(unneeded, unneededHost{Move{Host: host, From: p.Name, To: standby}, p.Hosts-n > recent})
		}
		if over := p.Hosts - target - len(idle); float64(over) > minSurplus*float64(target) {
			rest := slices.Concat(p.Idle[len(idle):], p.Busy)
			for _, host := range rest[:min(len(rest), over)] {
				surplus = append(surplus, Move{Host: host, From: p.Name})
			}
		}
	}
	slices.SortFunc(shortages, func(x, y shortage) int { return cmp.Or(cmp.Compare(y.hosts, x.hosts), cmp.Compare(x.pool, y.pool)) })

	moves, rest := coverShortages(shortages, standby, spares, unneeded, surplus)
	if standby == "" || now.Sub(b.firstPlan) < trendWindow {
		// A new owner has no record of arrivals yet, so it sends no host to standby.
		return moves
	}
	for _, o := range rest {
		if o.releasable {
			moves = append(moves, o.Move)
		}
	}

	return moves
}

// coverShortages returns the moves into pools that are short of hosts, and the unneeded hosts that are left.
func coverShortages(shortages []shortage, standby fleet.PoolName, spares []fleet.HostName, unneeded []unneededHost, surplus []Move) ([]Move, []unneededHost) {
	// A host that leaves its pool anyway costs one move instead of two, so it goes first.
	slices.SortStableFunc(unneeded, func(a, b unneededHost) int { return cmp.Compare(releasableFirst(a), releasableFirst(b)) })
	var moves []Move
	for _, l := range shortages {
		for range l.hosts {
			switch {
			case len(unneeded) > 0 && unneeded[0].releasable:
				moves = append(moves, Move{Host: unneeded[0].Host, From: unneeded[0].From, To: l.pool})
				unneeded = unneeded[1:]
			case len(spares) > 0:
				moves = append(moves, Move{Host: spares[0], From: standby, To: l.pool})
				spares = spares[1:]
			case len(unneeded) > 0:
				moves = append(moves, Move{Host: unneeded[0].Host, From: unneeded[0].From, To: l.pool})
				unneeded = unneeded[1:]
			case len(surplus) > 0:
				moves = append(moves, Move{Host: surplus[0].Host, From: surplus[0].From, To: l.pool})
				surplus = surplus[1:]
			}
		}
	}

	return moves, unneeded
}

// unneededHost is a move to standby of a host that its pool does not need; it is releasable if the host has been
// unneeded for releaseDelay.
type unneededHost struct {
	Move
	releasable bool
}

func releasableFirst(u unneededHost) int {
	if u.releasable {
		return 0
	}

	return 1
}

// shortage is the number of hosts that a pool is short of.
type shortage struct {
	pool  fleet.PoolName
	hosts int
}
