package load

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// Limits of a run.
const (
	// MaxDuration is the longest time for which a run sends requests.
	MaxDuration = 10 * time.Minute
	// MaxRequests is the largest expected number of requests of a run.
	MaxRequests = 2_000_000

	defaultDuration = 10 * time.Second
	defaultWindow   = time.Second
	defaultTimeout  = 10 * time.Second
	dialTimeout     = time.Second
	// maxOutstanding is the limit of concurrent requests of a run.
	maxOutstanding = 8192
)

// Errors of a load.
var (
	// ErrInvalid is returned for invalid options.
	ErrInvalid = merry.Sentinel("load: invalid options")
	// ErrBroken is returned if the responses show that a guarantee was violated.
	ErrBroken = merry.Sentinel("load: guarantee violated")
)

// Stream is the load of one team on one queue.
type Stream struct {
	Team   fleet.TeamName
	Secret string
	Queue  fleet.QueueName
	// Share is the team's weight, from which its fair share is computed.
	Share int64
	// Rate is the mean number of requests per second.
	Rate float64
	// BodySize is the size of a request body in bytes.
	BodySize int
	// Idempotent is the fraction of requests that are marked as idempotent.
	Idempotent float64
	// Turns makes the rate alternate between bursts and lulls.
	Turns Turns
}

// Load sends the requests of its streams and records the responses.
type Load struct {
	targets   []netip.AddrPort
	endpoints []netip.AddrPort
	streams   []Stream
	duration  time.Duration
	window    time.Duration
	timeout   time.Duration
	seed      uint64
	allowAny  bool
	client    *http.Client
}

// Option configures a Load.
type Option func(*Load)

// WithTargets sets the callers' addresses of the entry hosts; requests are sent to them round-robin.
func WithTargets(addrs ...netip.AddrPort) Option {
	return func(l *Load) { l.targets = addrs }
}

// WithEndpoints sets the addresses of stand-in endpoints, whose run counts are compared with the responses after the run.
func WithEndpoints(addrs ...netip.AddrPort) Option {
	return func(l *Load) { l.endpoints = addrs }
}

// WithStreams sets the streams.
func WithStreams(streams ...Stream) Option {
	return func(l *Load) { l.streams = streams }
}

// WithDuration sets how long requests are sent.
func WithDuration(d time.Duration) Option {
	return func(l *Load) { l.duration = d }
}

// WithWindow sets the length of the windows of the report.
func WithWindow(d time.Duration) Option {
	return func(l *Load) { l.window = d }
}

// WithTimeout sets the timeout of a request.
func WithTimeout(d time.Duration) Option {
	return func(l *Load) { l.timeout = d }
}

// WithSeed sets the random seed of arrivals and bodies.
func WithSeed(seed uint64) Option {
	return func(l *Load) { l.seed = seed }
}

// WithAnyAddress allows targets other than loopback addresses.
func WithAnyAddress() Option {
	return func(l *Load) { l.allowAny = true }
}

// New returns a load, or ErrInvalid if its options are invalid.
func New(opts ...Option) (*Load, error) {
	l := &Load{duration: defaultDuration, window: defaultWindow, timeout: defaultTimeout, seed: 1}
	for _, opt := range opts {
		opt(l)
	}
	if err := l.check(); err != nil {
		return nil, err
	}

	dialer := &net.Dialer{Timeout: dialTimeout}
	l.client = &http.Client{
		Timeout: l.timeout,
		Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxOutstanding, DisableCompression: true,
		},
	}

	return l, nil
}

func (l *Load) check() error {
	if len(l.targets) == 0 || len(l.streams) == 0 {
		return merry.Prepend(ErrInvalid, "at least one target and one stream are needed")
	}
	if l.duration <= 0 || l.duration > MaxDuration {
		return merry.Prependf(ErrInvalid, "duration %v is not between 0 and %v", l.duration, MaxDuration)
	}
	if l.window <= 0 {
		return merry.Prependf(ErrInvalid, "window %v is not positive", l.window)
	}
	for _, a := range l.targets {
		if !l.allowAny && !a.Addr().IsLoopback() {
			return merry.Prependf(ErrInvalid, "target %s is not a loopback address", a)
		}
	}

	total := 0.0
	for _, s := range l.streams {
		if s.Rate <= 0 || s.BodySize < 0 || s.Idempotent < 0 || s.Idempotent > 1 {
			return merry.Prependf(ErrInvalid, "stream of team %q: rate %v, body size %d, idempotent %v", s.Team, s.Rate, s.BodySize, s.Idempotent)
		}
		total += s.Rate * l.duration.Seconds()
	}
	if total > MaxRequests {
		return merry.Prependf(ErrInvalid, "%.0f requests are more than %d", total, MaxRequests)
	}

	return nil
}

// Run sends the requests, waits for the responses and returns the report. The error is ErrBroken if a guarantee was violated.
func (l *Load) Run(ctx context.Context) (Report, error) {
	rec := newRecorder(time.Now(), l.window, l.streams)
	outstanding := make(chan struct{}, maxOutstanding)

	var senders sync.WaitGroup
	for i, s := range l.streams {
		rng := rand.New(rand.NewPCG(l.seed, uint64(i)))
		senders.Go(func() { l.sendStream(ctx, i, s, rng, rec, outstanding) })
	}
	senders.Wait()
	l.client.CloseIdleConnections()

	runCounts, err := l.fetchRuns(context.WithoutCancel(ctx))
	if err != nil {
		return Report{}, err
	}
	report := rec.report(runCounts)

	return report, report.Broken()
}

// sendStream starts the requests of one stream at their intended times and returns when all have completed.
func (l *Load) sendStream(ctx context.Context, index int, s Stream, rng *rand.Rand, rec *recorder, outstanding chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()

	for n, intended := 0, s.Turns.next(0, s.Rate, rng); intended < l.duration; n, intended = n+1, s.Turns.next(intended, s.Rate, rng) {
		if !sleepUntil(ctx, rec.start.Add(intended)) {
			return
		}

		req := newRequest(s, rng)
		select {
		case outstanding <- struct{}{}:
		default:
			rec.skipped(index, intended)
			continue
		}
		wg.Go(func() {
			defer func() { <-outstanding }()
			rec.sent(index, intended)
			out := l.send(ctx, n+index, s, req)
			rec.answered(index, intended, req, out)
		})
	}
}

// sleepUntil returns false if ctx is done first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}

	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
