package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// leadSlots is the lead time of a move in time slots, including the time to decide on it, and slots the length of a plan.
	leadSlots = 8
	slots     = 5 * leadSlots
	// packing is the fraction of a host that tasks can fill if enough of them wait.
	packing = 0.95
	// maxNeed is the upper bound of the search for a pool's need.
	maxNeed = 1 << 20
	// negligible is an amount of hosts within the rounding error.
	negligible = 1e-6
)

// Run is a running task, or several that end at the same time.
type Run struct {
	// Hosts is the size, in hosts.
	Hosts float64
	// Left is the estimated time until the end.
	Left time.Duration
}

// Work is the tasks of one step that wait or will become ready. Its times are relative to the time of planning.
type Work struct {
	// Hosts is the size of all the tasks, in hosts.
	Hosts float64
	// Ready is when the tasks may start.
	Ready time.Duration
	// Latest is the latest start for the job to meet its objective, Expiry the one after which its end has no more value.
	Latest, Expiry time.Duration
	// Length is the estimated duration of a task.
	Length time.Duration
}

// forecast is the known and the expected work of a pool over the slots to come.
type forecast struct {
	// used is the usage of the current runs in each slot, in hosts.
	used [slots]float64
	// present is the number of hosts in service in each slot if no move is ordered.
	present [slots]float64
	work    []Work
	// width is the length of a slot. Hosts whose moves begin now serve from slot leadSlots on.
	width time.Duration
}

// slotOf returns the slot that contains a time from now, within the plan.
func (f *forecast) slotOf(t time.Duration) int {
	return min(slots-1, max(0, int(t/f.width)))
}

// slotsIn returns the number of slots that a duration touches, at least one.
func (f *forecast) slotsIn(d time.Duration) int {
	return max(1, int(math.Ceil(float64(d)/float64(f.width))))
}

// newForecast returns the forecast of a pool with its known work and the expected work.
func newForecast(p Pool, expected []Work, width time.Duration) *forecast {
	f := &forecast{work: slices.Concat(p.Waiting, expected), width: width}
	for _, r := range p.Running {
		for i := range min(slots, f.slotsIn(r.Left)) {
			f.used[i] += r.Hosts
		}
	}
	arriving := len(p.Arrivals)
	for i := range slots {
		f.present[i] = float64(p.Hosts - arriving)
	}
	for _, at := range p.Arrivals {
		for i := f.slotOf(at); i < slots; i++ {
			f.present[i]++
		}
	}
	slices.SortStableFunc(f.work, func(a, b Work) int { return cmp.Compare(a.Latest, b.Latest) })

	return f
}

// relax replaces the latest starts that no number of hosts can meet by the expiry of the work, and reports whether there were
// any.
func (f *forecast) relax() bool {
	missed := f.missed(maxNeed)
	for _, i := range missed {
		w := &f.work[i]
		w.Latest = max(w.Expiry, w.Ready, leadSlots*f.width)
	}
	slices.SortStableFunc(f.work, func(a, b Work) int { return cmp.Compare(a.Latest, b.Latest) })

	return len(missed) > 0
}

// need returns the minimum number of hosts with which the runs that outlast a move continue and all work starts in
// time. All latest starts must be feasible, see relax.
func (f *forecast) need() int {
	low, high := int(math.Ceil(f.used[leadSlots]/packing)), maxNeed
	for low < high {
		mid := (low + high) / 2
		if len(f.missed(mid)) == 0 {
			high = mid
		} else {
			low = mid + 1
		}
	}

	return low
}

// missed returns the indexes of the work that doesn't start in time if the pool has the given number of hosts as soon as
// moves allow. It starts the work in the order of the latest start, each part of it as early as there is room.
func (f *forecast) missed(hosts int) []int {
	var free [slots]float64
	for i := range slots {
		n := float64(hosts)
		if i < leadSlots {
			n = min(n, f.present[i])
		}
		free[i] = n*packing - f.used[i]
	}
	var late []int
	for i, w := range f.work {
		if !f.start(w, &free) {
			late = append(late, i)
		}
	}

	return late
}

// start allocates room for work, and reports whether all of it starts in time.
func (f *forecast) start(w Work, free *[slots]float64) bool {
	left := w.Hosts
	length := f.slotsIn(w.Length)
	for at := f.slotOf(w.Ready); at <= f.slotOf(w.Latest) && left > negligible; at++ {
		end := min(slots, at+length)
		part := max(0, min(left, slices.Min(free[at:end])))
		for i := at; i < end; i++ {
			free[i] -= part
		}
		left -= part
	}

	return left <= negligible
}
