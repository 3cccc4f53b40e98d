package owner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/pause"
)

const (
	// handoverDelay is how long a stronger host must have held its lease before the owner hands over, and handoverCheck how
	// often the owner looks.
	handoverDelay = 2 * leaseTime
	handoverCheck = 500 * time.Millisecond
	// handoverInterval is the minimum time between two handovers of a process, in case that the stronger hosts don't take
	// the workers and they come back to it.
	handoverInterval = time.Minute
)

// serve calls f until it returns, and ends its context when a stronger host can take over.
func (c *Candidate) serve(ctx context.Context, t *Term, f func(ctx context.Context, t *Term)) {
	serving, cancel := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() {
		if h, ok := c.awaitStronger(serving); ok {
			c.log.Info("handing over to stronger hosts", "term", t.Revision, "host", h)
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

// awaitStronger waits until a stronger host has held its lease for handoverDelay, and returns its name.
func (c *Candidate) awaitStronger(ctx context.Context) (fleet.EntryName, bool) {
	seen := map[fleet.EntryName]time.Time{}
	for pause.For(ctx, handoverCheck) {
		now := time.Now()
		stronger := c.stronger(c.follower.Book().Hosts())
		maps.DeleteFunc(seen, func(h fleet.EntryName, _ time.Time) bool { return !slices.Contains(stronger, h) })
		for _, h := range stronger {
			switch since, ok := seen[h]; {
			case !ok:
				seen[h] = now
			case now.Sub(since) >= handoverDelay && (c.handedOver.IsZero() || now.Sub(c.handedOver) >= handoverInterval):
				return h, true
			}
		}
	}

	return "", false
}

// stronger returns those of the hosts that are stronger than this one.
func (c *Candidate) stronger(hosts []ledger.Host) []fleet.EntryName {
	var list []fleet.EntryName
	for _, h := range hosts {
		if h.Cores > strongerRatio*c.seat.host.Cores {
			list = append(list, h.Name)
		}
	}

	return list
}
