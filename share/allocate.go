package share

import (
	"math"

	"lycheehook.example/lycheehook/fleet"
)

// epsilon is the tolerance for rounding errors when shares are compared.
const epsilon = 1e-9

// Demand is the resources that one team requests, with its weight.
type Demand struct {
	Weight int64
	// Wanted is the sum of running and queued work, capped at the team's upper limit.
	Wanted fleet.Resources
	// Used is the decayed average usage, as a dominant share.
	Used float64
}

// fillState is the state of one demand during progressive filling.
type fillState struct {
	weight float64
	// fractions is the requested fraction of each resource; dominant is the largest of them.
	fractions fleet.Fractions
	dominant  float64
	// start is the level at which the demand begins to receive resources.
	start float64
	fair  float64
	done  bool
}

// Allocate returns the fair dominant share of total for each demand, by weighted progressive filling
// (Ghodsi et al., Dominant Resource Fairness, NSDI 2011, with finite demands). Past usage delays the start of a
// team's filling: at level L its fair share is weight*L - Used/runningFactor.
func Allocate(total fleet.Resources, demands []Demand) []float64 {
	rows := make([]fillState, len(demands))
	for i, d := range demands {
		rows[i] = newFillState(d, total)
	}

	free := fleet.Fractions{1, 1, 1, 1}
	level := 0.0
	// Each round starts or finishes at least one demand, which bounds the number of rounds.
	for range 2 * len(rows) {
		step := nextStep(level, free, rows)
		if math.IsInf(step, 1) {
			break
		}
		fill(level, step, &free, rows)
		level += step
	}

	fair := make([]float64, len(rows))
	for i := range rows {
		fair[i] = rows[i].fair
	}

	return fair
}

func newFillState(d Demand, total fleet.Resources) fillState {
	f := fillState{weight: float64(d.Weight), fractions: d.Wanted.Fractions(total)}
	f.dominant = f.fractions.Max()
	f.done = f.dominant <= 0 || d.Weight <= 0
	if !f.done {
		f.start = d.Used / runningFactor / f.weight
	}

	return f
}

// nextStep returns how far the level can rise until a demand starts, a demand is met or a resource is exhausted.
func nextStep(level float64, free fleet.Fractions, rows []fillState) float64 {
	var rate fleet.Fractions
	step := math.Inf(1)
	for i := range rows {
		f := &rows[i]
		switch {
		case f.done:
		case f.start > level+epsilon:
			step = min(step, f.start-level)
		default:
			step = min(step, (f.dominant-f.fair)/f.weight)
			for k := range rate {
				rate[k] += f.weight * f.fractions[k] / f.dominant
			}
		}
	}
	for k := range rate {
		if rate[k] > 0 {
			step = min(step, max(free[k], 0)/rate[k])
		}
	}

	return step
}

// fill raises every started demand by step and finishes those that are met or that need an exhausted resource.
func fill(level, step float64, free *fleet.Fractions, rows []fillState) {
	for i := range rows {
		f := &rows[i]
		if f.done || f.start > level+epsilon {
			continue
		}
		amount := step * f.weight
		f.fair += amount
		for k := range free {
			free[k] -= amount * f.fractions[k] / f.dominant
		}
	}
	for i := range rows {
		f := &rows[i]
		f.done = f.done || f.fair >= f.dominant-epsilon
		for k := range free {
			if f.fractions[k] > 0 && free[k] <= epsilon {
				f.done = true
			}
		}
	}
}
