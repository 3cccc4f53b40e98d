package balance

import (
	"math"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

const (
	// trendWindow is the period of past arrivals that forecasts are based on.
	trendWindow = 3 * time.Second
	// bucketWidth is the width of the time buckets in which arrivals and wanted sizes are recorded.
	bucketWidth = 500 * time.Millisecond
	// urgentShare is the fraction of the expected arrivals that can't wait for hosts that are ordered when they arrive.
	urgentShare = 0.5
	// typicalWeight is the weight of a new job in the usual length and slack.
	typicalWeight = 0.1
	// expiryFactor times the slack after its arrival, expected work has no more value.
	expiryFactor = 3
)

// history is the recent past of a pool.
type history struct {
	arrivals map[int64]arrivalSums
	// length and slack are the usual duration of a task, and the usual time from a job's arrival to its latest start.
	length, slack time.Duration
	// demands has the demand in each bucket, in hosts.
	demands map[int64]float64
	// wanted has the largest size that was to be kept in each bucket.
	wanted map[int64]int
}

// arrivalSums is the work that arrived in a bucket, in host-seconds, as the sum and the sum of squares over the recorded
// arrivals.
type arrivalSums struct {
	sum, sumOfSquares float64
}

// Arrival is a job that arrived for a pool.
type Arrival struct {
	// HostSeconds is its work.
	HostSeconds float64
	// Length is the duration of its longest task, and Slack the time from its arrival to its latest start.
	Length, Slack time.Duration
}

// RecordArrival records the arrival of a job with work for a pool.
func (b *Balancer) RecordArrival(p fleet.PoolName, a Arrival, at time.Time) {
	h := b.history(p)
	if h.length == 0 {
		h.length, h.slack = a.Length, a.Slack
	}
	h.length += time.Duration(typicalWeight * float64(a.Length-h.length))
	h.slack += time.Duration(typicalWeight * float64(a.Slack-h.slack))
	sums := h.arrivals[bucket(at)]
	h.arrivals[bucket(at)] = arrivalSums{sums.sum + a.HostSeconds, sums.sumOfSquares + a.HostSeconds*a.HostSeconds}
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

// expectedWork returns the work that will probably arrive during a move that begins now, and that can't wait for hosts
// ordered later.
func (b *Balancer) expectedWork(p fleet.PoolName, now time.Time) []Work {
	h := b.history(p)
	if h.length <= 0 {
		return nil
	}
	width := b.slotWidth()
	hosts := urgentShare * b.ExpectedInflow(p, now) * width.Seconds() / h.length.Seconds()
	var list []Work
	for at := time.Duration(0); at < b.leadTime; at += width {
		list = append(list, Work{Hosts: hosts, Ready: at, Latest: at + h.slack, Expiry: at + expiryFactor*h.slack, Length: h.length})
	}

	return list
}

// recentMax records a size to keep and returns the largest one of the last releaseDelay.
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
