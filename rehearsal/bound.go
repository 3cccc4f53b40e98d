package rehearsal

import (
	"math"
	"slices"
	"time"

	"lycheehook.example/lycheehook/work"
)

// bestCost returns the cost of an offline planner that knows all jobs, starts each task as soon as its step is ready, and keeps
// or returns each host between two uses, whichever is cheaper.
func bestCost(list []arrival) float64 {
	demand := [poolCount][]float64{}
	for i := range poolCount {
		demand[i] = make([]float64, loadTime/sampleTime)
	}
	for i := range list {
		list[i].addTo(demand[poolIndex(list[i].job)])
	}
	cost := 0.0
	for _, d := range demand {
		cost += bestPoolCost(d)
	}

	return cost
}

func poolIndex(j work.Job) int {
	for i := range poolCount {
		if poolName(i) == j.Pool {
			return i
		}
	}

	return 0
}

// addTo adds the job to its pool's demand, in hosts for each interval.
func (a arrival) addTo(demand []float64) {
	from := a.at - settleTime
	for i, times := range a.trueTimes {
		size := a.job.Steps[i].Reserved().DominantShare(hostCapacity)
		for _, t := range times {
			for k := range demand {
				begin := time.Duration(k) * sampleTime
				overlap := min(from+t, begin+sampleTime) - max(from, begin)
				demand[k] += size * max(0, overlap).Seconds() / sampleTime.Seconds()
			}
		}
		from += slices.Max(times)
	}
}

// bestPoolCost returns the minimum cost of the hosts that cover a pool's demand: the n-th host is needed while demand exceeds
// n-1, and in a gap it is kept or returned, whichever is cheaper.
func bestPoolCost(demand []float64) float64 {
	trip := 2*MovePrice + moveTime.Seconds()*HostPrice
	cost := 0.0
	for level := range int(math.Ceil(slices.Max(demand))) {
		last := -1
		for k, d := range demand {
			if d <= float64(level) {
				continue
			}
			cost += sampleTime.Seconds() * HostPrice
			if gap := float64(k-last-1) * sampleTime.Seconds() * HostPrice; last >= 0 {
				cost += min(gap, trip)
			} else if k > 0 {
				cost += MovePrice + moveTime.Seconds()*HostPrice
			}
			last = k
		}
	}

	return cost
}
