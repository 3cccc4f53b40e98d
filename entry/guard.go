package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/ingress"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/telemetry"
)

// overloadRetry is the time after which a request that was shed may be accepted; a flood is shed within about that time.
const overloadRetry = time.Second

// guard bounds what all connections of callers and operators take together. Without a memory in the settings nothing is bounded.
type guard struct {
	gate    *ingress.Gate
	limits  ingress.Limits
	refused telemetry.Tally
}

func newGuard(s settings.Settings, m *operatorMetrics) *guard {
	g, budget := &guard{}, ingress.NewBudget(0)
	if s.MemoryMegabytes != 0 {
		g.limits = ingress.LimitsFor(s.MemoryMegabytes, ingress.OpenFileLimit())
		budget = ingress.NewBudget(g.limits.BudgetBytes, ingress.WithRuntimeHeap(), ingress.WithRuntimeCollector())
	}
	m.ingressBytes(budget.Used)
	for _, r := range ingress.Reasons() {
		m.refused.WithLabelValues(string(r))
	}
	observe := func(r ingress.Reason) {
		m.refused.WithLabelValues(string(r)).Inc()
		g.refused.Add(string(r))
	}
	g.gate = ingress.NewGate(
		budget, ingress.WithHeaderBytes(s.Limits.MaxHeaderBytes), ingress.WithOwnTimes(), ingress.WithObserver(observe),
	)

	return g
}

func (g *guard) listen(l net.Listener, connections int, logger *log.Logger) *ingress.Listener {
	err := errors.Join(ingress.LimitBacklog(l, connections), ingress.LimitSocketBuffers(l, g.limits.SocketBuffer))
	if err != nil {
		logger.Warn("the kernel keeps its limits for connections", "address", l.Addr(), "err", err)
	}

	return g.gate.Listen(l, connections)
}

func (g *guard) protect(s *http.Server) {
	g.gate.Guard(s, nil)
}

// orGivenUp returns the outcome of a request that this process gave up instead of that of one whose caller left.
func orGivenUp(ctx context.Context, err error) error {
	cancelled, stops := errors.Is(err, refusal.Refuse(refusal.Cancelled, "")), errors.Is(context.Cause(ctx), ingress.ErrStopping)
	switch {
	case cancelled && ingress.IsShed(ctx):
		return overloaded()
	case cancelled && stops:
		return stopping()
	case stops && errors.Is(err, refusal.Uncertain(refusal.CallerInterrupted, "")):
		return refusal.Uncertain(refusal.OutcomeUnknown, "the entry host stopped before the endpoint had answered")
	default:
		return err
	}
}

// stopping returns the refusal of a request that could not run before the process ends.
func stopping() error {
	return refusal.Refuse(refusal.Stopping, "entry host is stopping").WithRetryAfter(overloadRetry)
}

// overloaded returns the refusal of a request that was shed before it could run.
func overloaded() error {
	return refusal.Refuse(refusal.Overloaded, "no memory for the request, which arrived more slowly than others").WithRetryAfter(overloadRetry)
}
