package ingress

import (
	"math"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// heapShare is the part of the runtime's soft memory limit up to which requests may fill the heap; the collector needs the rest to
	// keep within the limit without running all the time.
	heapShare = 0.6
	// leastShare is the part of a budget that requests may take however much the rest of the process holds.
	leastShare = 8
	// heapInterval is the time between two looks at the heap.
	heapInterval = 50 * time.Millisecond

	liveHeapMetric = "/gc/heap/live:bytes"
)

// BudgetOption changes a new budget.
type BudgetOption func(*Budget)

// WithHeap lowers the limit of a budget while the rest of the process holds so much that a full budget would take the heap above the given
// bytes; live returns the bytes in use when they were last counted.
func WithHeap(limit int64, live func() int64) BudgetOption {
	return func(b *Budget) { b.heapLimit, b.liveHeap = limit, live }
}

// WithRuntimeHeap is WithHeap for the heap of this process and the runtime's soft memory limit, if it has one.
func WithRuntimeHeap() BudgetOption {
	soft := debug.SetMemoryLimit(-1)
	if soft == math.MaxInt64 {
		return func(*Budget) {}
	}

	return WithHeap(int64(heapShare*float64(soft)), liveHeap)
}

// liveHeap returns the bytes that the last collection found in use.
func liveHeap() int64 {
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}

	return int64(sample[0].Value.Uint64())
}

// currentLimit returns the limit at the moment. The budget's lock must be held.
func (b *Budget) currentLimit() int64 {
	if b.limit == 0 || b.liveHeap == nil {
		return b.limit
	}
	if now := time.Now(); now.Sub(b.heapSeen) >= heapInterval {
		b.heapSeen = now
		others := max(0, b.liveHeap()-b.used)
		b.lowered = min(b.limit, max(b.limit/leastShare, b.heapLimit-others))
	}

	return b.lowered
}
