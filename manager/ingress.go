package manager

import (
	"cmp"
	"net/http"

	"lycheehook.example/lycheehook/agent"
	"lycheehook.example/lycheehook/ingress"
	"lycheehook.example/lycheehook/telemetry"
)

// ingressGate is the limits of all listeners.
type ingressGate struct {
	gate    *ingress.Gate
	limits  ingress.Limits
	refused telemetry.Tally
}

// newIngress returns the limits that follow from the memory and the descriptors in the settings.
func newIngress(m *Manager) *ingressGate {
	l := ingress.LimitsFor(m.settings.MemoryMegabytes, cmp.Or(m.settings.MaxDescriptors, ingress.OpenFileLimit()))
	b := ingress.NewBudget(l.BudgetBytes, ingress.WithRuntimeHeap(), ingress.WithRuntimeCollector())
	m.metrics.IngressBytes(b.Used)
	for _, r := range ingress.Reasons() {
		m.metrics.Refused(string(r), 0)
	}
	m.metrics.Refused(noRoom, 0)

	return &ingressGate{limits: l, gate: ingress.NewGate(
		b, ingress.WithHeaderBytes(cmp.Or(m.settings.MaxHeaderBytes, ingress.DefaultHeaderBytes)), ingress.WithObserver(m.observeRefused),
		ingress.WithStreams(l.Streams),
	)}
}

// isStream reports whether a request opens a stream of calls from an owner, which lasts as long as the owner's term.
func isStream(r *http.Request) bool {
	return r.URL.Path == agent.Path
}

// observeRefused counts a request or a connection that was refused or closed.
func (m *Manager) observeRefused(r ingress.Reason) {
	m.metrics.Refused(string(r), 1)
	m.ingress.refused.Add(string(r))
}
