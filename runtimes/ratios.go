package runtimes

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minSamples is the number of runs from which their distribution replaces the assumed one.
	minSamples = 16
	// generation is how long runs are added to one histogram. Quantiles cover the current and the previous one, so that a run
	// counts for one to two generations.
	generation = 15 * time.Second
	// refreshEvery is the number of runs after which the quantiles are computed anew.
	refreshEvery = 16

	// Ratios are recorded in thousandths, up to a hundred times the estimate, with a resolution of a tenth, which is finer
	// than run times repeat.
	thousandths = 1000
	maxRatio    = 100 * thousandths
	ratioDigits = 1
)

// levels are the probabilities at which quantiles are kept. They are dense at the end since few tasks of a hundred take
// several times as long as the others.
var levels = [...]float64{0, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.97, 0.99, 1}

// curve has the ratio at each level.
type curve [len(levels)]float64

// assumed is the curve without observations: the declared estimate is the median, and one task of ten takes twice as long.
var assumed = curve{0.1, 0.3, 0.5, 0.65, 0.8, 0.9, 1, 1.2, 1.4, 1.7, 2, 2.5, 3, 4, 7}

// at returns the ratio that is exceeded with probability 1-q.
func (c *curve) at(q float64) float64 {
	i := sort.SearchFloat64s(levels[:], q)
	switch {
	case i == 0:
		return c[0]
	case i == len(levels):
		return c[i-1]
	}
	part := (q - levels[i-1]) / (levels[i] - levels[i-1])

	return c[i-1] + part*(c[i]-c[i-1])
}

// below returns the probability of ratios below a value.
func (c *curve) below(ratio float64) float64 {
	i := sort.SearchFloat64s(c[:], ratio)
	switch {
	case i == 0:
		return 0
	case i == len(c):
		return 1
	}
	part := (ratio - c[i-1]) / (c[i] - c[i-1])

	return levels[i-1] + part*(levels[i]-levels[i-1])
}

// ratios is the decaying distribution of the ratios of one key.
type ratios struct {
	current, previous *hdrhistogram.Histogram
	// since is when the current generation began.
	since, recordedAt time.Time
	curve             curve
	// pending counts the runs since the curve was computed.
	pending int
}

func newRatios(now time.Time) *ratios {
	return &ratios{current: newHistogram(), previous: newHistogram(), since: now}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRatio, ratioDigits)
}

// samples returns the number of runs that count.
func (r *ratios) samples() int64 {
	return r.current.TotalCount() + r.previous.TotalCount()
}

// record adds a run.
func (r *ratios) record(ratio float64, now time.Time) {
	if age := now.Sub(r.since); age >= generation {
		r.current, r.previous = r.previous, r.current
		r.current.Reset()
		if age >= 2*generation {
			r.previous.Reset()
		}
		r.since, r.pending = now, refreshEvery
	}
	// Values are within the range of the histogram, so recording can't fail.
	_ = r.current.RecordValue(min(maxRatio, max(1, int64(ratio*thousandths))))
	r.recordedAt = now
	if r.pending++; r.pending >= refreshEvery || r.samples() <= minSamples {
		r.refresh()
	}
}

// refresh computes the curve.
func (r *ratios) refresh() {
	r.pending = 0
	all := newHistogram()
	all.Merge(r.current)
	all.Merge(r.previous)
	for i, level := range levels {
		r.curve[i] = float64(all.ValueAtQuantile(100*level)) / thousandths
	}
	r.curve[0] = float64(all.Min()) / thousandths
}
