package telemetry

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"lycheehook.example/lycheehook/pause"
)

const refusalInterval = time.Second

// Tally counts events by kind until they are reported. Its zero value is ready for use.
type Tally struct {
	mu     sync.Mutex
	counts map[string]int
}

// Add counts an event.
func (t *Tally) Add(kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	t.counts[kind]++
}

// Take returns the counts since the last call.
func (t *Tally) Take() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts
	t.counts = nil

	return counts
}

// LogRefusals logs how many requests and connections of clients were refused or closed, by reason, once a second until ctx ends.
func (t *Tally) LogRefusals(ctx context.Context, l *log.Logger) {
	for ctx.Err() == nil {
		pause.For(ctx, refusalInterval)
		for reason, n := range t.Take() {
			l.Warn("ClientsRefused", "reason", reason, "count", n)
		}
	}
}

// Refused counts requests and connections of clients that were refused or closed for a reason.
func (m *Metrics) Refused(reason string, n int) {
	m.refused.WithLabelValues(reason).Add(float64(n))
}

// IngressBytes adds a gauge of the memory that is charged to requests.
func (m *Metrics) IngressBytes(used func() int64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "ingress_bytes", Help: "Memory that is charged to requests in progress.",
	}, func() float64 { return float64(used()) }))
}

// JobBytes adds a gauge of the memory of the accepted jobs.
func (m *Metrics) JobBytes(used func() int64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "job_bytes", Help: "Estimated memory of the accepted jobs in this host's copy of the ledger.",
	}, func() float64 { return float64(used()) }))
}
