package ingress

import (
	"runtime"
	"runtime/metrics"
)

const collectionsMetric = "/gc/cycles/total:gc-cycles"

// collectShare is the part of a budget that requests which are over may take before a collection is started for them.
const collectShare = 2

// garbage is the memory of requests that are over, which stays taken until the collector has freed it.
type garbage struct {
	// collections returns how many collections have ended, collect runs one; nil if memory is free at once.
	collections func() uint64
	collect     func()
	// seen is the number of collections that had ended when recent was empty.
	seen uint64
	// recent was released since then. What was released while the last collection ran, earlier, may be freed by the next one only.
	recent, earlier int64
	collecting      bool
}

// WithCollector makes a budget count the memory of requests that are over until the collector has freed it: collections returns how many
// collections have ended, and collect runs one.
func WithCollector(collections func() uint64, collect func()) BudgetOption {
	return func(b *Budget) { b.garbage.collections, b.garbage.collect = collections, collect }
}

// WithRuntimeCollector is WithCollector for the collector of this process.
func WithRuntimeCollector() BudgetOption {
	return WithCollector(runtimeCollections, runtime.GC)
}

func runtimeCollections() uint64 {
	sample := []metrics.Sample{{Name: collectionsMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}

	return sample[0].Value.Uint64()
}

// add counts released memory.
func (g *garbage) add(bytes int64) {
	if g.collections != nil {
		g.recent += bytes
	}
}

func (g *garbage) bytes() int64 {
	return g.recent + g.earlier
}

// refresh forgets what collections have freed since the last call.
func (g *garbage) refresh() {
	if g.collections == nil {
		return
	}
	ended := g.collections()
	switch ended - g.seen {
	case 0:
		return
	case 1:
		g.earlier = g.recent
	default:
		g.earlier = 0
	}
	g.recent, g.seen = 0, ended
}

// fits reports whether a request may take more memory beside those that are over. The budget's lock must be held.
func (b *Budget) fits(cost int64) bool {
	if b.used+b.garbage.bytes()+cost <= b.limit {
		return true
	}
	b.garbage.refresh()

	return b.used+b.garbage.bytes()+cost <= b.limit
}

// collectAbove starts a collection if requests that are over take more than the given bytes and none runs for them yet. The budget's lock
// must be held.
func (b *Budget) collectAbove(bytes int64) {
	g := &b.garbage
	if g.collecting || b.limit == 0 || g.bytes() <= bytes {
		return
	}
	if g.refresh(); g.bytes() <= bytes {
		return
	}
	g.collecting = true
	go b.collectOnce()
}

func (b *Budget) collectOnce() {
	b.garbage.collect()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.garbage.collecting = false
	b.garbage.refresh()
	b.freed.Broadcast()
}
