package ingress

import (
	"context"
	"time"

	"lycheehook.example/lycheehook/pause"
)

// deregistrationDelay is how long connections may be on their way after the load balancer has seen that this process is not ready.
const deregistrationDelay = 200 * time.Millisecond

// Balancer is what a stopping process knows of the load balancer that sends connections to it.
type Balancer struct {
	// unready gets a value for each readiness check that failed.
	unready chan struct{}
}

// NewBalancer returns a balancer that sends no new connections after the given number of failed readiness checks.
func NewBalancer(misses int) *Balancer {
	return &Balancer{unready: make(chan struct{}, misses)}
}

// Miss notes that a readiness check has failed because the process stops.
func (b *Balancer) Miss() {
	select {
	case b.unready <- struct{}{}:
	default:
	}
}

// AwaitDeregistration returns when the balancer sends no new connections, or when ctx ends.
func (b *Balancer) AwaitDeregistration(ctx context.Context) {
	for range cap(b.unready) {
		select {
		case <-b.unready:
		case <-ctx.Done():
			return
		}
	}
	pause.For(ctx, deregistrationDelay)
}
