package share

import (
	"math"

	"lycheehook.example/lycheehook/fleet"
)

// kinds is the number of resources in fleet.Resources.
const kinds = 4

// epsilon absorbs rounding when a resource or a demand is used up.
const epsilon = 1e-9

// Demand is what one team wants, with the weight of its share.
type Demand struct {
	Weight int64
	// Wanted is what runs and what waits together, already bounded by the upper limit.
	Wanted fleet.Resources
	// Used is the remembered rate of use, as a dominant share.
	Used float64
}

type vector [kinds]float64

// filling is the state of one demand while the common level rises.
type filling struct {
	weight float64
	// parts is the wanted fraction of each resource; largest is its dominant share.
	parts   vector
	largest float64
	// start is the level at which the demand begins to grow.
	start float64
	due   float64
	done  bool
}

// Allocate returns for each demand the dominant share of total that it is due, by weighted progressive
// filling (Ghodsi et al., Dominant Resource Fairness, NSDI 2011, with finite demands). A team that used more
// for its weight begins to grow later: at common level L it is due weight*L - Used/runningFactor.
func Allocate(total fleet.Resources, demands []Demand) []float64 {
	rows := make([]filling, len(demands))
	for i, d := range demands {
		rows[i] = newFilling(d, total)
	}

	free := vector{1, 1, 1, 1}
	level := 0.0
	// Each round starts or ends the growth of at least one demand.
	for range 2 * len(rows) {
		step := nextStep(level, free, rows)
		if math.IsInf(step, 1) {
			break
		}
		grow(level, step, &free, rows)
		level += step
	}

	due := make([]float64, len(rows))
	for i := range rows {
		due[i] = rows[i].due
	}

	return due
}

func newFilling(d Demand, total fleet.Resources) filling {
	f := filling{weight: float64(d.Weight), parts: partsOf(d.Wanted, total)}
	f.largest = max(f.parts[0], f.parts[1], f.parts[2], f.parts[3])
	f.done = f.largest <= 0 || d.Weight <= 0
	if !f.done {
		f.start = d.Used / runningFactor / f.weight
	}

	return f
}

// nextStep returns how far the level rises until a demand starts, a demand is met or a resource is used up.
func nextStep(level float64, free vector, rows []filling) float64 {
	var rate vector
	step := math.Inf(1)
	for i := range rows {
		f := &rows[i]
		switch {
		case f.done:
		case f.start > level+epsilon:
			step = min(step, f.start-level)
		default:
			step = min(step, (f.largest-f.due)/f.weight)
			for k := range rate {
				rate[k] += f.weight * f.parts[k] / f.largest
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

// grow raises every started demand by step and ends those that are met or that need a used-up resource.
func grow(level, step float64, free *vector, rows []filling) {
	for i := range rows {
		f := &rows[i]
		if f.done || f.start > level+epsilon {
			continue
		}
		rise := step * f.weight
		f.due += rise
		for k := range free {
			free[k] -= rise * f.parts[k] / f.largest
		}
	}
	for i := range rows {
		f := &rows[i]
		f.done = f.done || f.due >= f.largest-epsilon
		for k := range free {
			if f.parts[k] > 0 && free[k] <= epsilon {
				f.done = true
			}
		}
	}
}

func partsOf(r, total fleet.Resources) vector {
	return vector{
		fraction(r.Slots, total.Slots),
		fraction(int64(r.Cores), int64(total.Cores)),
		fraction(int64(r.Memory), int64(total.Memory)),
		fraction(r.Accelerators, total.Accelerators),
	}
}

func fraction(part, total int64) float64 {
	if total <= 0 {
		return 0
	}

	return float64(part) / float64(total)
}
