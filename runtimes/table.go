package runtimes

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
)

const (
	// maxKeys bounds the distributions, since submitters choose the names of images. One takes about 7 kB.
	maxKeys = 256
	// Unknown is the run time of a task without a declared estimate.
	Unknown = time.Hour
	// overrunFraction of the elapsed time is left to a run that has outlasted all that are known.
	overrunFraction = 0.5
)

// Key identifies tasks that behave alike.
type Key struct {
	Queue fleet.QueueName
	Image string
}

// Table has the distributions of a term of ownership. It is not safe for concurrent use.
type Table struct {
	ratios map[Key]*ratios
}

// NewTable returns a table without observations, in which each task is assumed to take about as long as declared.
func NewTable() *Table {
	return &Table{ratios: map[Key]*ratios{}}
}

// Record adds the duration of a run that completed its task.
func (t *Table) Record(k Key, declared, actual time.Duration, now time.Time) {
	if declared <= 0 || actual <= 0 {
		return
	}
	r, ok := t.ratios[k]
	if !ok {
		if len(t.ratios) >= maxKeys {
			t.evict()
		}
		r = newRatios(now)
		t.ratios[k] = r
	}
	r.record(actual.Seconds()/declared.Seconds(), now)
}

// evict removes the distribution that has gone longest without a run.
func (t *Table) evict() {
	var oldest Key
	first := true
	for k, r := range t.ratios {
		if first || r.recordedAt.Before(t.ratios[oldest].recordedAt) {
			oldest, first = k, false
		}
	}
	delete(t.ratios, oldest)
}

// Quantile returns the run time that a task exceeds with probability 1-q.
func (t *Table) Quantile(k Key, declared time.Duration, q float64) time.Duration {
	if declared <= 0 {
		return Unknown
	}

	return scale(declared, t.curve(k).at(q))
}

// Left returns the remaining time that a run exceeds with probability 1-q, given that it has already lasted for elapsed. Without a declared
// estimate, a run is expected to last as long again as it has lasted.
func (t *Table) Left(k Key, declared, elapsed time.Duration, q float64) time.Duration {
	if declared <= 0 {
		return elapsed
	}
	overrun := scale(elapsed, overrunFraction)
	c := t.curve(k)
	lasted := c.below(elapsed.Seconds() / declared.Seconds())
	if lasted >= 1 {
		return overrun
	}

	return max(0, scale(declared, c.at(lasted+(1-lasted)*q))-elapsed)
}

// Confidence returns how far the quantiles of a key rest on observed runs, from 0 for none towards 1.
func (t *Table) Confidence(k Key) float64 {
	r, ok := t.ratios[k]
	if !ok {
		return 0
	}

	return float64(r.samples()) / float64(r.samples()+minSamples)
}

// curve returns the quantiles for a key: the assumed ones while there are too few runs.
func (t *Table) curve(k Key) *curve {
	if r, ok := t.ratios[k]; ok && r.samples() >= minSamples {
		return &r.curve
	}

	return &assumed
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
