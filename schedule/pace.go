package schedule

import (
	"time"

	"lycheehook.example/lycheehook/work"
)

const (
	// highTailRatio and lowTailRatio are fractions of a serving task's tail latency bound: above the first the filling
	// tasks on its worker are slowed, and below the second they are sped up.
	highTailRatio = 0.9
	lowTailRatio  = 0.6
	// paceIncrease is the percentage by which a filling task is sped up at a time; to slow it, its pace is halved.
	paceIncrease = 20
	// minPace is the percentage below which a filling task is paused.
	minPace = 15
	// paceInterval is the least time between two changes of a run's pace, since tail latencies are measured over half a
	// second.
	paceInterval = 600 * time.Millisecond
	// pacePollWait is how long a worker may delay its answer while filling and serving tasks share it.
	pacePollWait = 400 * time.Millisecond
)

// tailRatio reports whether filling tasks share the worker with tasks that have a bound on their tail latency, and
// returns the highest ratio of tail latency to bound among the latter.
func (w *worker) tailRatio() (ratio float64, shared bool) {
	if w.servingTasks == 0 || w.fillingTasks == 0 {
		return 0, false
	}
	for _, r := range w.runs {
		if r.step != nil && !r.step.Filling && r.step.MaxTail > 0 {
			ratio = max(ratio, float64(r.tailLatency)/float64(r.step.MaxTail))
		}
	}

	return ratio, true
}

// PaceOrders returns the orders that slow filling tasks where they harm serving ones, and speed them up elsewhere.
func (s *Scheduler) PaceOrders(now time.Time) []Order {
	var orders []Order
	for _, w := range s.workers {
		if !w.TokenSeen() || w.fillingTasks == 0 {
			continue
		}
		ratio, shared := w.tailRatio()
		for _, r := range w.runs {
			if r.step == nil || !r.step.Filling || r.phase != confirmed || r.stopRequested || now.Sub(r.pacedAt) < paceInterval {
				continue
			}
			pace := nextPace(r.pace, ratio, shared)
			if pace == r.pace {
				continue
			}
			r.pace, r.pacedAt = pace, now
			orders = append(orders, Order{Worker: w.reg, run: r, asked: now, Pace: &work.Pace{Attempt: r.attempt, Percent: pace, Token: w.Token()}})
		}
	}

	return orders
}

// nextPace returns the next pace of a filling task, given the highest tail latency ratio on its worker.
func nextPace(pace int, ratio float64, shared bool) int {
	switch {
	case !shared, ratio < lowTailRatio:
		return min(fullPace, pace+paceIncrease)
	case ratio <= highTailRatio:
		return pace
	case pace/2 < minPace:
		return 0
	default:
		return pace / 2
	}
}
