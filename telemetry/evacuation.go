package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Evacuations adds gauges of the number of evacuated zones and of the age of that knowledge, at the owner.
func (m *Metrics) Evacuations(zones func() int, age func() time.Duration) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "evacuated_zones", Help: "Availability zones that the operators have evacuated, at the owner.",
	}, func() float64 { return float64(zones()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "evacuations_age_seconds", Help: "Time since the start of the last successful read of the evacuated zones, at the owner.",
	}, func() float64 { return age().Seconds() }))
}
