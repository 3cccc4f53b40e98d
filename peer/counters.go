package peer

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// counters are the metrics of a mesh.
type counters struct {
	requests *prometheus.CounterVec
	drops    *prometheus.CounterVec
}

func newCounters() *counters {
	return &counters{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lycheehook_peer_requests_total", Help: "Requests to other entry hosts by kind and outcome.",
		}, []string{"kind", "outcome"}),
		drops: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lycheehook_peer_reports_dropped_total", Help: "Reports left out of or not read from heartbeats.",
		}, []string{"reason"}),
	}
}

func (c *counters) request(kind Kind, err error) {
	outcome := "Answered"
	switch {
	case err == nil:
	case errors.Is(err, ErrUnreachable):
		outcome = "NoAnswer"
	default:
		outcome = "Refused"
	}
	c.requests.WithLabelValues(string(kind), outcome).Inc()
}

func (c *counters) dropped(reason string) {
	c.drops.WithLabelValues(reason).Inc()
}

// Collectors returns the metrics of the mesh.
func (m *Mesh) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.counters.requests, m.counters.drops}
}
