package schedule

import (
	"time"

	"lycheehook.example/lycheehook/work"
)

const (
	// tailHigh and tailLow are the parts of its bound above which a serving task is relieved, and below which what fills
	// beside it is let go on.
	tailHigh = 0.9
	tailLow  = 0.6
	// paceUp is by how many percent a filling task is sped up at a time; it is slowed by half.
	paceUp = 20
	// leastPace is the percentage below which a filling task is held altogether.
	leastPace = 15
	// paceInterval is the time between two changes of a run's pace: the figures are those of half a second.
	paceInterval = 600 * time.Millisecond
	// pacePollWait is how long a worker may hold back its answer while tasks fill beside tasks that serve.
	pacePollWait = 400 * time.Millisecond
)

// shares reports whether tasks fill on the worker beside tasks that serve under a bound, and how near the worst of
// those is to its bound; above one it is over.
func (w *worker) shares() (nearness float64, both bool) {
	if w.serving == 0 || w.filling == 0 {
		return 0, false
	}
	for _, r := range w.runs {
		if r.step != nil && !r.step.Filling && r.step.MaxTail > 0 {
			nearness = max(nearness, float64(r.tail)/float64(r.step.MaxTail))
		}
	}

	return nearness, true
}

// Paces returns the orders that slow what fills where it harms what serves, and let it go on where it does not.
func (s *Scheduler) Paces(now time.Time) []Order {
	var orders []Order
	for _, w := range s.workers {
		if !w.met || w.filling == 0 {
			continue
		}
		nearness, both := w.shares()
		for _, r := range w.runs {
			if r.step == nil || !r.step.Filling || r.phase != confirmed || r.stop || now.Sub(r.paced) < paceInterval {
				continue
			}
			pace := nextPace(r.pace, nearness, both)
			if pace == r.pace {
				continue
			}
			r.pace, r.paced = pace, now
			orders = append(orders, Order{Worker: w.reg, run: r, Pace: &work.Pace{Attempt: r.attempt, Percent: pace, Token: s.token(w)}})
		}
	}

	return orders
}

// nextPace returns the pace that follows from how near the worst serving task is to its bound.
func nextPace(pace int, nearness float64, both bool) int {
	switch {
	case !both, nearness < tailLow:
		return min(fullPace, pace+paceUp)
	case nearness <= tailHigh:
		return pace
	case pace/2 < leastPace:
		return 0
	default:
		return pace / 2
	}
}
