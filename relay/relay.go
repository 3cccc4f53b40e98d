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
	// probeInterval is the pause between two tries of the direct way while it fails.
	probeInterval = 700 * time.Millisecond
	// probeTimeout bounds such a try; a slow store answers within it.
	probeTimeout = 500 * time.Millisecond
	// silenceTime is how long the store answers nothing before that counts as silence, some fifty times what it takes.
	silenceTime = 200 * time.Millisecond
	// maxPeers bounds how many peers are asked for one call.
	maxPeers = 3
	// leaveAt is the weight of failures in a row that makes calls go through peers. A refusal weighs one, since it may
	// be about the rate of calls, and a missing answer two.
	leaveAt       = 2
	refusalWeight = 1
	silenceWeight = 2
)

// Route is the way to the store: direct, or through a peer while the direct way fails.
type Route struct {
	direct platform.Exchange
	via    func(address string) platform.Exchange
	peers  func() []string
	log    *log.Logger
	probe  platform.Request

	mu sync.Mutex
	// failures weighs the direct failures in a row.
	failures int
	left     bool
	probed   time.Time
	// good is the peer through which the last call went.
	good string
}

// New returns a route; via returns the exchange with a peer, peers the addresses of those that are known, the best
// first, and probe is a cheap call that shows whether the direct way works again.
func New(
	direct platform.Exchange, via func(address string) platform.Exchange, peers func() []string, probe platform.Request, l *log.Logger,
) *Route {
	probe.Timeout = probeTimeout

	return &Route{direct: direct, via: via, peers: peers, probe: probe, log: l}
}

// Exchange carries out a call. One that was surely not carried out is tried through peers; one whose outcome is
// unknown is tried again only if it can't change anything.
func (r *Route) Exchange(ctx context.Context, req platform.Request) (platform.Response, error) {
	if !r.leaves(ctx) {
		resp, err := r.tryDirect(ctx, req)
		if served(resp, err) || ctx.Err() != nil || unsettled(err) && req.Method != http.MethodGet {
			return resp, err
		}
	}

	return r.throughPeers(ctx, req)
}

// throughPeers asks peers in turn, and the store itself when none can help.
func (r *Route) throughPeers(ctx context.Context, req platform.Request) (platform.Response, error) {
	for _, p := range r.order() {
		resp, err := r.via(p)(ctx, req)
		switch {
		case served(resp, err):
			r.setGood(p)
			return resp, nil
		case ctx.Err() != nil, unsettled(err) && req.Method != http.MethodGet:
			return resp, err
		}
	}

	return r.tryDirect(ctx, req)
}

// tryDirect makes a call to the store itself, and learns from what comes of it. A caller that gives up early proves
// nothing about the store.
func (r *Route) tryDirect(ctx context.Context, req platform.Request) (platform.Response, error) {
	began := time.Now()
	resp, err := r.direct(ctx, req)
	if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) && time.Since(began) >= silenceTime {
		r.note(resp, err)
	}

	return resp, err
}

// served reports whether the store itself has dealt with a call.
func served(resp platform.Response, err error) bool {
	return err == nil && resp.Status != http.StatusTooManyRequests && resp.Status != http.StatusServiceUnavailable &&
		resp.Status != http.StatusBadGateway
}

// unsettled reports whether a call may have been carried out, or may be later.
func unsettled(err error) bool {
	return errors.Is(err, platform.ErrNoAnswer)
}

// leaves reports whether calls go through peers, and tries the direct way again from time to time.
func (r *Route) leaves(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left && time.Since(r.probed) >= probeInterval {
		r.probed = time.Now()
		go func() {
			resp, err := r.direct(context.WithoutCancel(ctx), r.probe)
			r.note(resp, err)
		}()
	}

	return r.left
}

// note learns from an answer on the direct way.
func (r *Route) note(resp platform.Response, err error) {
	ok := served(resp, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.failures = 0
		if r.left {
			r.left = false
			r.log.Info("the store answers this host again")
		}

		return
	}
	r.failures += refusalWeight
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, platform.ErrNotSent) {
		r.failures += silenceWeight - refusalWeight
	}
	if !r.left && r.failures >= leaveAt {
		r.left, r.probed = true, time.Now()
		r.log.Warn("the store turns this host away, calls go through peers", "status", resp.Status, "error", err)
	}
}

// Direct reports whether the direct way works, as far as is known.
func (r *Route) Direct() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return !r.left
}

func (r *Route) setGood(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.good = peer
}

// order returns the peers to ask: the one that helped last, and then the others in their order.
func (r *Route) order() []string {
	r.mu.Lock()
	good := r.good
	r.mu.Unlock()
	all := r.peers()
	list := make([]string, 0, maxPeers)
	for _, p := range all {
		if p == good {
			list = append(list, p)
		}
	}
	for _, p := range all {
		if p != good && len(list) < maxPeers {
			list = append(list, p)
		}
	}

	return list
}
