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
	// HealthPath is what endpoints are probed with; any answer shows that they are alive.
	HealthPath    = "/healthz"
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	// probeSilentAfter is the time since an idle connection spoke after which it is probed.
	probeSilentAfter = time.Second
)

// Prober finds out by itself which endpoints are alive or leaving and which idle connections went silent,
// so that both are known while the list and the store are down.
type Prober struct {
	set    *Set
	sender *Sender
}

// NewProber returns a prober of the set's endpoints over the sender's connections.
func NewProber(set *Set, sender *Sender) *Prober {
	return &Prober{set: set, sender: sender}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.Round(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// Round probes each endpoint once.
func (p *Prober) Round(ctx context.Context) {
	p.set.mu.Lock()
	states := make([]*state, 0, len(p.set.states))
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

// probe asks on every idle connection that was silent for a while, and on a new one if none of them answers.
func (p *Prober) probe(ctx context.Context, st *state) {
	began := time.Now()
	answered := false
	for c := st.conns.popSilent(began.Add(-probeSilentAfter)); c != nil; c = st.conns.popSilent(began.Add(-probeSilentAfter)) {
		answered = p.ask(ctx, st, c) || answered
	}
	if !answered {
		c, err := st.conns.connect(ctx, p.sender.dial, p.set.connectionLimit(st)+1)
		answered = err == nil && p.ask(ctx, st, c)
	}
	if ctx.Err() != nil {
		return
	}

	p.set.mu.Lock()
	defer p.set.mu.Unlock()
	if answered {
		st.health.probesLost, st.health.unreachable = 0, false
		return
	}
	st.health.probesLost++
	st.health.unreachable = st.health.probesLost >= probeFailures
}

// ask sends one probe and reports whether an answer came.
func (p *Prober) ask(ctx context.Context, st *state, c *connection) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	u := begin(ctx, c, Slot{set: p.set, state: st})
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
