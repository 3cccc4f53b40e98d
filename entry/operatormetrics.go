package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/revision"
)

// operatorMetrics serves the metrics of the entry host and counts operator requests.
type operatorMetrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	refused  *prometheus.CounterVec
}

func newRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))

	return r
}

func newOperatorMetrics(r *prometheus.Registry, b *revision.Repository, t *audit.Trail) *operatorMetrics {
	m := &operatorMetrics{
		registry: r,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lycheehook_operator_requests_total",
			Help: "Requests of operators by operation and HTTP status.",
		}, []string{"operation", "status"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lycheehook_refused_clients_total",
			Help: "Requests and connections of clients that were refused or closed, by reason.",
		}, []string{"reason"}),
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	counter := func(name, help string, value func() uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value()) })
	}
	r.MustRegister(
		m.requests, m.refused,
		gauge("lycheehook_revision", "Number of the newest revision seen.", func() float64 { return float64(b.Current().Number) }),
		gauge("lycheehook_fresh", "1 if the revision is known to be in force, else 0.", func() float64 {
			if b.Fresh(time.Now()) {
				return 1
			}

			return 0
		}),
		counter("lycheehook_audit_recorded_total", "Entries recorded for the audit trail.", func() uint64 { return t.Counts().Recorded }),
		counter("lycheehook_audit_written_total", "Entries of the audit trail that are in the store.", func() uint64 { return t.Counts().Written }),
		counter("lycheehook_audit_lost_total", "Entries that did not fit into the buffer.", func() uint64 { return t.Counts().Lost }),
		gauge("lycheehook_audit_waiting", "Entries that wait to be written.", func() float64 { return float64(t.Counts().Waiting) }),
	)

	return m
}

// ingressBytes registers the gauge of the memory that is charged to requests.
func (m *operatorMetrics) ingressBytes(used func() int64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lycheehook_ingress_bytes", Help: "Memory that is charged to requests in progress.",
	}, func() float64 { return float64(used()) }))
}

func (m *operatorMetrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *operatorMetrics) count(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	chain.ProcessFilter(r, w)
	operation := "None"
	if route := r.SelectedRoute(); route != nil {
		operation = route.Operation()
	}
	m.requests.WithLabelValues(operation, strconv.Itoa(w.StatusCode())).Inc()
}
