package owner

import (
	"context"
	"sync"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/pause"
)

const (
	// handoverCheck is how often an owner looks whether another host should have the workers.
	handoverCheck = 500 * time.Millisecond
	// handoverDelay is how long a host must have held its lease before an owner hands over to it; the time doubles with each
	// time that it went away.
	handoverDelay = 2 * leaseTime
	// handoverInterval is the minimum time between two handovers of a process, in case that the other hosts don't take the
	// workers and they come back to it.
	handoverInterval = time.Minute
	// lateLimit is how long an owner may begin all passes late before it hands over to a host that is as strong as it is.
	lateLimit = 3 * time.Second
	// minLateTerm is the minimum length of a term that ends because the owner is late: where every host is too weak for the
	// work, the workers must not change hands all the time.
	minLateTerm = 30 * time.Second
)

// serve calls f until it returns, and ends the term when another host should have the workers.
func (c *Candidate) serve(ctx context.Context, t *Term, f func(ctx context.Context, t *Term)) {
	serving, cancel := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() {
		if h, ok := c.awaitSuccessor(serving, t); ok {
			c.log.Info("handing over the workers", "term", t.Revision, "to", h, "late", t.lateFor())
			c.handedOver = time.Now()
			t.over.Store(true)
			cancel()
		}
	})
	f(serving, t)
	t.over.Store(true)
	cancel()
	watch.Wait()
}

// awaitSuccessor waits until a host should have the workers in place of this one, and returns its name.
func (c *Candidate) awaitSuccessor(ctx context.Context, t *Term) (fleet.EntryName, bool) {
	for pause.For(ctx, handoverCheck) {
		c.observe(t.Revision)
		now := time.Now()
		if !c.handedOver.IsZero() && now.Sub(c.handedOver) < handoverInterval {
			continue
		}
		for _, h := range c.standings.settled(now) {
			if c.shouldHandOver(t, h) {
				return h.Name, true
			}
		}
	}

	return "", false
}

// shouldHandOver reports whether a host should have the workers: if it is stronger, or if it is as strong and this one has
// fallen behind.
func (c *Candidate) shouldHandOver(t *Term, h ledger.Host) bool {
	if h.Name == c.session.host.Name {
		return false
	}
	late := t.lateFor() >= lateLimit && time.Since(t.began) >= minLateTerm

	return isStronger(h, c.session.host) || late && strongerRatio*h.Cores >= c.session.host.Cores
}
