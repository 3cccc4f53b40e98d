package queue

import "time"

const (
	// estimateWeight is the weight of one observation in the moving average of service times.
	estimateWeight = 0.05
	// estimateSamples is the number of observations below which there is no estimate.
	estimateSamples = 16
)

// Estimate is the observed service time of a queue; its zero value has no observations.
type Estimate struct {
	mean    float64
	samples int
}

// With returns the estimate with one more observation.
func (e Estimate) With(service time.Duration) Estimate {
	if e.samples < estimateSamples {
		e.mean += (float64(service) - e.mean) / float64(e.samples+1)
		e.samples++

		return e
	}
	e.mean += (float64(service) - e.mean) * estimateWeight

	return e
}

// Service returns the mean service time and whether there were enough observations.
func (e Estimate) Service() (time.Duration, bool) {
	return time.Duration(e.mean), e.samples >= estimateSamples
}

// Wait returns how long the next item waits behind ahead others while slots of them run at once,
// or zero when there is no estimate.
func (e Estimate) Wait(ahead int, slots float64) time.Duration {
	if e.samples < estimateSamples || slots <= 0 {
		return 0
	}

	return time.Duration(float64(ahead+1) / slots * e.mean)
}
