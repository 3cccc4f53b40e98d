package balance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

const (
	// headroomHosts and headroomShare are what a pool gets beyond the need of its work, so that new jobs need not wait for
	// a move: a number of hosts, and a fraction of an equal part of all hosts.
	headroomHosts = 2.0
	headroomShare = 0.2
	// growthWindow is the period over which the growth of a pool's demand is measured.
	growthWindow = time.Second
	// largeJobHosts is the demand, in hosts, that a single large job may add at once.
	largeJobHosts = 1.0
	// releaseDelay is how long a host must have been unneeded before it moves to standby.
	releaseDelay = time.Second
	// tolerance is the number of hosts by which a pool may be smaller or larger than it wants, so that the end of one
	// task and the start of the next cause no move.
	tolerance = 1
	// minSurplus is the fraction of its target size by which a pool must be too large before it gives up busy hosts.
	minSurplus = 0.1
)

// Pool is the state of a pool.
type Pool struct {
	Name fleet.PoolName
	// Hosts counts the hosts that are in service or on their way into the pool.
	Hosts int
	// Running is what runs, and Waiting the work that waits without being overdue or that will become ready.
	Running []Run
	Waiting []Work
	// Arrivals has the times until the hosts that are on their way come into service.
	Arrivals []time.Duration
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
	// Reason is the size of the pool that gets or gives up the host, beside the size that was decided, for logs.
	Reason string
}

// demand returns the work that runs and the work that could run now, in hosts.
func (p Pool) demand() float64 {
	sum := 0.0
	for _, r := range p.Running {
		sum += r.Hosts
	}
	for _, w := range p.Waiting {
		if w.Ready <= 0 {
			sum += w.Hosts
		}
	}

	return sum
}

// Balancer plans the sizes of pools from their recorded history.
type Balancer struct {
	leadTime time.Duration
	// firstPlan is when the first plan was made.
	firstPlan time.Time
	pools     map[fleet.PoolName]*history
}

// New returns a Balancer for hosts whose moves take leadTime, including the time to decide on them.
func New(leadTime time.Duration) *Balancer {
	return &Balancer{leadTime: leadTime, pools: map[fleet.PoolName]*history{}}
}

// slotWidth returns the grain of time of the plans.
func (b *Balancer) slotWidth() time.Duration {
	return max(1, b.leadTime/leadSlots)
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

// WantedHosts returns the size that a pool wants for its work at the end of a move that begins now, if an equal part of all
// hosts is part. If some work can't start in time with any number of hosts, or demand grows, there must be room for all of it
// at once.
func (b *Balancer) WantedHosts(p Pool, part float64, now time.Time) int {
	f := newForecast(p, b.expectedWork(p.Name, now), b.slotWidth())
	late := f.relax()
	size := float64(f.need()) + headroomHosts + headroomShare*part
	if growth := max(0, b.growth(p, now)); growth > 0 || late {
		size = max(size, p.demand()+growth*b.leadTime.Seconds()+headroomHosts)
	}

	return max(p.MinHosts, int(math.Ceil(size)))
}

// growth returns the growth of a pool's demand per second, beyond what a single large job may add at once.
func (b *Balancer) growth(p Pool, now time.Time) float64 {
	h := b.history(p.Name)
	k := bucket(now)
	h.demands[k] = p.demand()
	before, ok := h.demands[k-int64(growthWindow/bucketWidth)]
	for at := range h.demands {
		if at < k-int64(growthWindow/bucketWidth) {
			delete(h.demands, at)
		}
	}
	if !ok {
		return 0
	}

	return (h.demands[k] - before - largeJobHosts) / growthWindow.Seconds()
}

// targets returns the sizes that pools want and the sizes that they get. Hosts go to work that still has value first and
// to overdue work after that; if there are too few, pools get equal numbers beyond their minimum sizes, up to what they
// want.
func (b *Balancer) targets(pools []Pool, spares int, now time.Time) (wants, targets []int) {
	total := spares
	for _, p := range pools {
		total += p.Hosts
	}
	part := float64(total) / float64(max(1, len(pools)))
	var minSizes, fullSizes []int
	for _, p := range pools {
		want := b.WantedHosts(p, part, now)
		minSizes, wants = append(minSizes, p.MinHosts), append(wants, want)
		fullSizes = append(fullSizes, max(want, int(math.Ceil(p.demand()+p.Overdue+headroomHosts))))
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
		// What the overdue work has been given stays too: the same plan would call it back.
		keep := max(wants[i], target)
		recent := b.history(p.Name).recentMax(keep, now)
		if p.Hosts < p.MinHosts || p.Hosts+tolerance < target {
			shortages = append(shortages, shortage{p.Name, target - p.Hosts, sizeReason(p, target)})
			continue
		}
		idle := p.Idle[:max(0, min(len(p.Idle), p.Hosts-keep))]
		for n, host := range idle {
			unneeded = append(unneeded, unneededHost{
				Move{Host: host, From: p.Name, To: standby, Reason: sizeReason(p, keep)}, p.Hosts-n > recent+tolerance,
			})
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
		// A new owner has not seen the demand for long enough to send hosts to standby.
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
	slices.SortStableFunc(unneeded, func(a, b unneededHost) int { return cmp.Compare(a.order(), b.order()) })
	var moves []Move
	for _, l := range shortages {
		for range l.hosts {
			switch {
			case len(unneeded) > 0 && unneeded[0].releasable:
				moves = append(moves, l.move(unneeded[0].Host, unneeded[0].From))
				unneeded = unneeded[1:]
			case len(spares) > 0:
				moves = append(moves, l.move(spares[0], standby))
				spares = spares[1:]
			case len(unneeded) > 0:
				moves = append(moves, l.move(unneeded[0].Host, unneeded[0].From))
				unneeded = unneeded[1:]
			case len(surplus) > 0:
				moves = append(moves, l.move(surplus[0].Host, surplus[0].From))
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

// order returns 0 for a host that leaves its pool anyway, and 1 for others.
func (u unneededHost) order() int {
	if u.releasable {
		return 0
	}

	return 1
}

// shortage is the number of hosts that a pool is short of.
type shortage struct {
	pool   fleet.PoolName
	hosts  int
	reason string
}

// move returns the move of a host into the pool.
func (s shortage) move(h fleet.HostName, from fleet.PoolName) Move {
	return Move{Host: h, From: from, To: s.pool, Reason: s.reason}
}

// sizeReason returns the size of a pool beside the size that was decided for it, and its overdue work, which only some sizes count.
func sizeReason(p Pool, size int) string {
	text := fmt.Sprintf("%s has %d hosts of %d", p.Name, p.Hosts, size)
	if p.Overdue > 0 {
		text += fmt.Sprintf(" with overdue work of %.1f", p.Overdue)
	}

	return text
}
