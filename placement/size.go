package placement

import (
	"slices"

	"lycheehook.example/lycheehook/fleet"
)

const (
	// keptSizes bounds the observations per queue.
	keptSizes = 64
	// minSizes is the number of observations from which they count more than what was declared.
	minSizes = 8
	// sizeQuantile is the part of observed jobs that fit into an estimate before headroom.
	sizeQuantile = 0.95
	// sizeHeadroom is added to the quantile, in percent.
	sizeHeadroom = 10
)

// Sizes is what the jobs of each queue were seen to use; it is an immutable value.
type Sizes struct {
	seen fleet.Table[fleet.QueueName, []fleet.Resources]
}

// With returns the sizes after a job of the queue was seen to use this much.
func (s Sizes) With(q fleet.QueueName, used fleet.Resources) Sizes {
	old, _ := s.seen.Get(q)
	if len(old) >= keptSizes {
		old = old[1:]
	}
	s.seen = s.seen.With(q, append(slices.Clone(old), used))

	return s
}

// Estimate returns the size to reserve for a job: the observed quantile with headroom, component by component, or what
// was declared while too little was observed. Slots and accelerators are handed out whole and stay as declared.
func (s Sizes) Estimate(q fleet.QueueName, declared fleet.Resources) fleet.Resources {
	seen, _ := s.seen.Get(q)
	if len(seen) < minSizes {
		return declared
	}
	cores := quantile(seen, func(r fleet.Resources) int64 { return int64(r.Cores) })
	memory := quantile(seen, func(r fleet.Resources) int64 { return int64(r.Memory) })
	declared.Cores, declared.Memory = fleet.MilliCores(cores), fleet.Mebibytes(memory)

	return declared
}

// quantile returns the sizeQuantile of one component with headroom (the nearest-rank method).
func quantile(seen []fleet.Resources, component func(fleet.Resources) int64) int64 {
	values := make([]int64, len(seen))
	for i, r := range seen {
		values[i] = component(r)
	}
	slices.Sort(values)
	rank := min(len(values)-1, int(sizeQuantile*float64(len(values))))

	return (values[rank]*(100+sizeHeadroom) + 99) / 100
}
