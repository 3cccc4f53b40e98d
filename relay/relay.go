package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/platform"
)

const (
	// probeInterval is the time between two probes of the direct connection while calls go through peers.
	probeInterval = 700 * time.Millisecond
	// probeTimeout limits a probe; even a slow store answers within it.
	probeTimeout = 500 * time.Millisecond
	// minSilence is the shortest wait without a response after which an exceeded deadline counts as a failure of the store.
	// It is about fifty times the usual latency.
	minSilence = 200 * time.Millisecond
	// maxPeers is the maximum number of peers tried for one call.
	maxPeers = 3
	// failoverThreshold is the total weight of consecutive failures at which calls go through peers. A timeout or a call that
	// could not be sent weighs two; any other failure weighs one, because a rejection may be due to rate limiting.
	failoverThreshold = 2
	rejectionWeight   = 1
	noResponseWeight  = 2
)

// Route sends calls to the store directly, or through a peer while direct calls fail.
type Route struct {
	direct  platform.Exchange
	viaPeer func(address string) platform.Exchange
	peers   func() []string
	// widerPeers returns the peers whose links are far wider than this host's, in the order in which they are tried.
	widerPeers func() []string
	log        *log.Logger
	probe      platform.Request

	mu sync.Mutex
	// failures is the total weight of consecutive failures of direct calls.
	failures  int
	usePeers  bool
	lastProbe time.Time
	// lastSuccess is when a direct call was last answered.
	lastSuccess time.Time
	// lastPeer is the peer that last forwarded a call successfully.
	lastPeer string
}

// New returns a route. Function viaPeer returns the exchange with the store through the peer at an address, peers returns the
// addresses of the known peers in order of preference, and probe is a cheap call that tests the direct connection.
func New(
	direct platform.Exchange, viaPeer func(address string) platform.Exchange, peers func() []string, probe platform.Request, l *log.Logger,
	options ...Option,
) *Route {
	probe.Timeout = probeTimeout
	r := &Route{direct: direct, viaPeer: viaPeer, peers: peers, widerPeers: func() []string { return nil }, probe: probe, log: l}
	for _, o := range options {
		o(r)
	}

	return r
}

// Exchange makes a call to the store. A direct call that was not carried out is retried through peers; a call with an
// unknown outcome is retried only if it is a read. A read that is overdue is sent again by another way.
func (r *Route) Exchange(ctx context.Context, req platform.Request) (platform.Response, error) {
	if req.Method == http.MethodGet {
		return r.read(ctx, req)
	}
	if !r.failedOver(ctx) {
		resp, err := r.exchangeDirect(ctx, req)
		if answered(resp, err) || ctx.Err() != nil || outcomeUnknown(err) {
			return resp, err
		}
	}

	return r.writeViaPeers(ctx, req)
}

// writeViaPeers tries peers in turn, and the direct connection if none of them succeeds.
func (r *Route) writeViaPeers(ctx context.Context, req platform.Request) (platform.Response, error) {
	for _, p := range r.peerOrder() {
		resp, err := r.viaPeer(p)(ctx, req)
		switch {
		case answered(resp, err):
			r.setLastPeer(p)
			return resp, nil
		case ctx.Err() != nil, outcomeUnknown(err):
			return resp, err
		}
	}

	return r.exchangeDirect(ctx, req)
}

// exchangeDirect makes a direct call to the store and records its result, unless the result says nothing about the store.
func (r *Route) exchangeDirect(ctx context.Context, req platform.Request) (platform.Response, error) {
	start := time.Now()
	resp, err := r.direct(ctx, req)
	if ctx.Err() == nil || wasSilent(ctx, time.Since(start), req) {
		r.recordDirect(start, resp, err)
	}

	return resp, err
}

// wasSilent reports whether a call that its caller ended had waited so long that the store counts as silent: until the caller's
// deadline, or until another way was faster although it began later.
func wasSilent(ctx context.Context, waited time.Duration, req platform.Request) bool {
	switch {
	case errors.Is(context.Cause(ctx), errOvertaken):
		return waited >= req.HedgeDelay
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return waited >= minSilence
	default:
		return false
	}
}

// answered reports whether the store itself answered a call, with a status other than those that a store or a peer uses to
// turn a call away.
func answered(resp platform.Response, err error) bool {
	return err == nil && resp.Status != http.StatusTooManyRequests && resp.Status != http.StatusServiceUnavailable &&
		resp.Status != http.StatusBadGateway
}

// outcomeUnknown reports whether a failed call may have been carried out or may still be.
func outcomeUnknown(err error) bool {
	return errors.Is(err, platform.ErrNoAnswer)
}

// failedOver reports whether calls go through peers; if so, it probes the direct connection every probeInterval.
func (r *Route) failedOver(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.usePeers && time.Since(r.lastProbe) >= probeInterval {
		r.lastProbe = time.Now()
		go func() {
			start := time.Now()
			resp, err := r.direct(context.WithoutCancel(ctx), r.probe)
			r.recordDirect(start, resp, err)
		}()
	}

	return r.usePeers
}

// recordDirect updates the state of the direct connection with the result of a direct call. The failure of a call that was
// made before the last success is out of date.
func (r *Route) recordDirect(start time.Time, resp platform.Response, err error) {
	ok := answered(resp, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok && start.Before(r.lastSuccess) {
		return
	}
	if ok {
		r.failures, r.lastSuccess = 0, time.Now()
		if r.usePeers {
			r.usePeers = false
			r.log.Info("direct connection to the store restored")
		}

		return
	}
	r.failures += rejectionWeight
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, platform.ErrNotSent) {
		r.failures += noResponseWeight - rejectionWeight
	}
	if !r.usePeers && r.failures >= failoverThreshold {
		r.usePeers, r.lastProbe = true, time.Now()
		r.log.Warn("direct calls to the store fail, routing calls through peers", "status", resp.Status, "error", err)
	}
}

// Direct reports whether calls go to the store directly.
func (r *Route) Direct() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return !r.usePeers
}

// setLastPeer notes the peer that forwarded a call; it is empty if the store answered directly.
func (r *Route) setLastPeer(peer string) {
	if peer == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastPeer = peer
}

// peerOrder returns the peers to try: the last one that succeeded, then the others in order of preference.
func (r *Route) peerOrder() []string {
	r.mu.Lock()
	lastPeer := r.lastPeer
	r.mu.Unlock()
	all := r.peers()
	list := make([]string, 0, maxPeers)
	for _, p := range all {
		if p == lastPeer {
			list = append(list, p)
		}
	}
	for _, p := range all {
		if p != lastPeer && len(list) < maxPeers {
			list = append(list, p)
		}
	}

	return list
}
