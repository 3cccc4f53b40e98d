package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"lycheehook.example/lycheehook/ingress"
)

const (
	// shutdownMargin is the part of StopLimit that is reserved for the answers to requests that are given up and for the release of
	// shared state.
	shutdownMargin = time.Second
	// marginShare is the part of StopLimit that the margin may be at most.
	marginShare = 2
	// deregistrationShare is the part of the time for a drain that new connections may take up at most, maxDeregistration the longest time.
	deregistrationShare = 2
	maxDeregistration   = 10 * time.Second
	// readinessMisses is the number of failed readiness checks after which load balancers send no new connections.
	readinessMisses = 2
)

// service is a server with its listener, which may have TLS around it.
type service struct {
	*http.Server
	listener *ingress.Listener
}

// drain ends the service of callers and operators, so early that shared state can be released within StopLimit. Readiness checks, which
// come to the operators' address, are answered until no caller is connected any more.
func (h *Host) drain(ctx context.Context, g *ingress.Gate, callers, operators service) {
	limit := drainLimit(h.Settings.StopLimit.Std())
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	closing, cancelClosing := context.WithTimeout(ctx, min(maxDeregistration, limit/deregistrationShare))
	defer cancelClosing()
	context.AfterFunc(closing, func() {
		h.Log.Info("accepting no more connections of callers", callers.listener.Phases().Fields()...)
	})
	// From then on a request that is given the longest time could not end before the drain does.
	admitting, cancelAdmitting := context.WithTimeout(closing, limit-h.Settings.MaxRequestTime.Std())
	defer cancelAdmitting()
	context.AfterFunc(admitting, h.Admission.Stop)
	go func() {
		defer cancelClosing()
		h.balancer.AwaitDeregistration(closing)
	}()
	served, cancelServed := context.WithCancel(ctx)
	defer cancelServed()
	var wg sync.WaitGroup
	wg.Go(func() {
		defer cancelServed()
		h.finish(ctx, g, closing.Done(), callers)
	})
	wg.Go(func() { h.finish(ctx, g, served.Done(), operators) })
	wg.Wait()
}

// drainLimit returns the time after which a stop gives up requests.
func drainLimit(stopLimit time.Duration) time.Duration {
	return stopLimit - min(shutdownMargin, stopLimit/marginShare)
}

// finish drains a service and closes it.
func (h *Host) finish(ctx context.Context, g *ingress.Gate, closing <-chan struct{}, s service) {
	logger := h.Log.With("address", s.listener.Addr())
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			logger.Warn("requests given up by the shutdown", s.listener.Phases().Fields()...)
		}
	})
	defer stop()
	if err := g.Drain(ctx, closing, s.listener); err != nil {
		logger.Warn("requests interrupted by the shutdown", append(s.listener.Phases().Fields(), "err", err)...)
	}
	if err := s.Close(); err != nil {
		logger.Debug("failed to close a server", "err", err)
	}
}
