package endpoint

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"
)

const (
	// HealthPath is the path of a health probe; any answer shows that the endpoint is alive.
	HealthPath    = "/healthz"
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	// probeIdleAfter is the time since its last read after which an idle connection is probed.
	probeIdleAfter = time.Second
)

// Prober checks which endpoints are alive or leaving and which idle connections no longer answer. It needs neither
// the endpoint list nor the store, so it works while they are down.
type Prober struct {
	set    *Set
	sender *Sender
}

// NewProber returns a prober of the endpoints of set that dials as sender does.
func NewProber(set *Set, sender *Sender) *Prober {
	return &Prober{set: set, sender: sender}
}

// Run probes all endpoints repeatedly until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.ProbeAll(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// ProbeAll probes each endpoint once.
func (p *Prober) ProbeAll(ctx context.Context) {
	p.set.mu.Lock()
	states := make([]*endpointState, 0, len(p.set.states))
	for _, st := range p.set.states {
		states = append(states, st)
	}
	p.set.mu.Unlock()

	var wg sync.WaitGroup
	for _, st := range states {
		wg.Go(func() { p.probe(ctx, st) })
	}
	wg.Wait()
	if ctx.Err() == nil {
		p.set.Changed()
	}
}

// probe sends a probe on each connection that was idle for probeIdleAfter, and on a new one if none of them answers.
func (p *Prober) probe(ctx context.Context, st *endpointState) {
	began := time.Now()
	answered := false
	for c := st.conns.popIdleSince(began.Add(-probeIdleAfter)); c != nil; c = st.conns.popIdleSince(began.Add(-probeIdleAfter)) {
		answered = p.sendProbe(ctx, st, c) || answered
	}
	if !answered {
		c, err := st.conns.connect(ctx, p.sender.dial, p.set.connectionLimit(st)+1)
		answered = err == nil && p.sendProbe(ctx, st, c)
	}
	if ctx.Err() != nil {
		return
	}

	p.set.mu.Lock()
	defer p.set.mu.Unlock()
	if answered {
		st.health.failedProbes, st.health.unreachable = 0, false
		return
	}
	st.health.failedProbes++
	st.health.unreachable = st.health.failedProbes >= maxFailedProbes
}

// sendProbe sends one probe and reports whether it was answered.
func (p *Prober) sendProbe(ctx context.Context, st *endpointState, c *connection) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	u := startExchange(ctx, c, Slot{set: p.set, state: st})
	address := st.conns.address.String()
	r := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: HealthPath}, Host: address,
		Header: http.Header{"User-Agent": {""}},
	}
	sent, err := u.Write(r)
	if err != nil {
		return false
	}
	resp, err := sent.Answer(r) //nolint:bodyclose // answerBody closes it.
	if err != nil {
		return false
	}
	body := &answerBody{exchange: sent.exchange, resp: resp}
	defer func() { _ = body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(body, maxHeaderSize)); err != nil {
		return false
	}
	p.set.setLeaving(st, resp.Header.Get(HeaderState) == StateLeaving)

	return true
}
