package queue

import "time"

const (
	// estimateWeight is the weight of a new observation in the moving average of service times.
	estimateWeight = 0.05
	// minEstimateSamples is the number of observations that an estimate needs.
	minEstimateSamples = 16
)

// Estimate is a moving average of the service times of a queue; its zero value has no observations.
type Estimate struct {
	mean    float64
	samples int
}

// With returns the estimate with one more observation.
func (e Estimate) With(service time.Duration) Estimate {
	if e.samples < minEstimateSamples {
		e.mean += (float64(service) - e.mean) / float64(e.samples+1)
		e.samples++

		return e
	}
	e.mean += (float64(service) - e.mean) * estimateWeight

	return e
}

// Service returns the mean service time, and whether there were enough observations.
func (e Estimate) Service() (time.Duration, bool) {
	return time.Duration(e.mean), e.samples >= minEstimateSamples
}

// Wait returns the expected wait of an item with ahead items before it, of which slots run concurrently,
// or zero if there is no estimate.
func (e Estimate) Wait(ahead int, slots float64) time.Duration {
	if e.samples < minEstimateSamples || slots <= 0 {
		return 0
	}

	return time.Duration(float64(ahead+1) / slots * e.mean)
}
