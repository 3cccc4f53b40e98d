package placement

import (
	"slices"

	"lycheehook.example/lycheehook/fleet"
)

const (
	// maxObservations bounds the observations per queue.
	maxObservations = 64
	// minObservations is the number of observations from which they replace the declared size.
	minObservations = 8
	// sizeQuantile is the fraction of observed jobs that fit into an estimate before headroom.
	sizeQuantile = 0.95
	// sizeHeadroomPercent is the headroom added to the quantile.
	sizeHeadroomPercent = 10
)

// Sizes is the observed resource usage of the jobs of each queue. It is immutable.
type Sizes struct {
	observed fleet.Table[fleet.QueueName, []fleet.Resources]
}

// With returns the sizes with an observation of a job of the queue added.
func (s Sizes) With(q fleet.QueueName, used fleet.Resources) Sizes {
	old, _ := s.observed.Get(q)
	if len(old) >= maxObservations {
		old = old[1:]
	}
	s.observed = s.observed.With(q, append(slices.Clone(old), used))

	return s
}

// Estimate returns the resources to reserve for a job: the observed quantile with headroom of cores and memory, or the
// declared size while there are too few observations. Slots and accelerators can't be divided and stay as declared.
func (s Sizes) Estimate(q fleet.QueueName, declared fleet.Resources) fleet.Resources {
	observed, _ := s.observed.Get(q)
	if len(observed) < minObservations {
		return declared
	}
	cores := quantile(observed, func(r fleet.Resources) int64 { return int64(r.Cores) })
	memory := quantile(observed, func(r fleet.Resources) int64 { return int64(r.Memory) })
	declared.Cores, declared.Memory = fleet.MilliCores(cores), fleet.Mebibytes(memory)

	return declared
}

// quantile returns the sizeQuantile of one component by the nearest-rank method, plus headroom.
func quantile(observed []fleet.Resources, component func(fleet.Resources) int64) int64 {
	values := make([]int64, len(observed))
	for i, r := range observed {
		values[i] = component(r)
	}
	slices.Sort(values)
	rank := min(len(values)-1, int(sizeQuantile*float64(len(values))))

	return (values[rank]*(100+sizeHeadroomPercent) + 99) / 100
}
