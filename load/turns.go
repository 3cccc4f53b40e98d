package load

import (
	"math/rand/v2"
	"time"
)

// Turns makes the rate alternate between bursts of length Burst at BurstFactor times the mean, and lulls at LullFactor times the
// mean whose length preserves the mean. Its zero value is a steady rate.
type Turns struct {
	Burst       time.Duration
	BurstFactor float64
	LullFactor  float64
	// Offset shifts the phase, so that the bursts of streams don't coincide.
	Offset time.Duration
}

// lull returns the length of a lull for which the mean factor over a period is 1.
func (t Turns) lull() time.Duration {
	return time.Duration(float64(t.Burst) * (t.BurstFactor - 1) / (1 - t.LullFactor))
}

// factor returns the rate at a time since the start as a multiple of the mean.
func (t Turns) factor(at time.Duration) float64 {
	if t.Burst <= 0 || t.BurstFactor <= 1 || t.LullFactor >= 1 {
		return 1
	}

	if (at+t.Offset)%(t.Burst+t.lull()) < t.Burst {
		return t.BurstFactor
	}

	return t.LullFactor
}

// next returns the first arrival after at of a Poisson process with the alternating rate, by thinning (Lewis and Shedler, 1979).
func (t Turns) next(at time.Duration, rate float64, rng *rand.Rand) time.Duration {
	peak := max(t.BurstFactor, 1)
	for {
		at += time.Duration(rng.ExpFloat64() / (rate * peak) * float64(time.Second))
		if rng.Float64()*peak <= t.factor(at) {
			return at
		}
	}
}
