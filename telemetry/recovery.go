package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// newRecovery returns the gauge of the stages of a recovery.
func newRecovery() *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "recovery_seconds", Help: "Time from the beginning of this process's last term to each stage of the recovery.",
	}, []string{"stage"})
}

// Recovery records how long a stage took in the process's last term.
func (m *Metrics) Recovery(stage string, took time.Duration) {
	m.recovery.WithLabelValues(stage).Set(took.Seconds())
}

// ResetRecovery removes the stages of the last term when another begins.
func (m *Metrics) ResetRecovery() {
	m.recovery.Reset()
}
