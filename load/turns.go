package load

import (
	"math/rand/v2"
	"time"
)

// Turns makes demand alternate: for Burst at BurstFactor times the mean, then at LullFactor times the mean for as long as the mean needs.
//
// Its zero value is a steady demand.
type Turns struct {
	Burst       time.Duration
	BurstFactor float64
	LullFactor  float64
	// Offset shifts the turns, so that streams take theirs at different times.
	Offset time.Duration
}

// lull returns how long demand stays low so that the mean over both phases is one.
func (t Turns) lull() time.Duration {
	return time.Duration(float64(t.Burst) * (t.BurstFactor - 1) / (1 - t.LullFactor))
}

// factor returns the demand at a moment of the run as a multiple of the mean.
func (t Turns) factor(at time.Duration) float64 {
	if t.Burst <= 0 || t.BurstFactor <= 1 || t.LullFactor >= 1 {
		return 1
	}

	if (at+t.Offset)%(t.Burst+t.lull()) < t.Burst {
		return t.BurstFactor
	}

	return t.LullFactor
}

// next returns the first arrival after at of a Poisson process whose rate follows the turns, by thinning (Lewis and Shedler, 1979).
func (t Turns) next(at time.Duration, rate float64, rng *rand.Rand) time.Duration {
	peak := max(t.BurstFactor, 1)
	for {
		at += time.Duration(rng.ExpFloat64() / (rate * peak) * float64(time.Second))
		if rng.Float64()*peak <= t.factor(at) {
			return at
		}
	}
}
