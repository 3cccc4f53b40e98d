package owner

import (
	"context"
	"time"

	"lycheehook.example/lycheehook/ledger"
)

const (
	// widerRatio is how many times the bandwidth of this host's link another link must have to read the ledger in less time, whoever
	// begins first.
	widerRatio = 1.5
	// readerWait is how long a host that has not read the ledger leaves a new term to hosts with wider links. A term is of no use
	// before its owner has read the ledger, which takes longer than this on links of less than 50 Mbit/s.
	readerWait = 500 * time.Millisecond
)

// readsSooner reports whether a host can be expected to read the ledger sooner than another one and own the workers as well.
func readsSooner(a, b ledger.Host) bool {
	return b.LinkMegabits > 0 && a.LinkMegabits > widerRatio*b.LinkMegabits && !isStronger(b, a)
}

// ReadsFirst reports whether a host is likely to own the workers next, and so reads the ledger as soon as it starts: it is among the
// hosts, none of them is stronger, and none that is as strong has a wider link.
func ReadsFirst(self ledger.Host, hosts []ledger.Host) bool {
	listed := false
	for _, h := range hosts {
		listed = listed || h.Name == self.Name && h.PeerAddress == self.PeerAddress
		if isStronger(h, self) || !isStronger(self, h) && h.LinkMegabits > self.LinkMegabits {
			return false
		}
	}

	return listed
}

// awaitsReader reports whether a host that has not read the ledger should leave a new term to another one, which can read it
// sooner.
func (s *standings) awaitsReader(self ledger.Host, now time.Time) bool {
	if !s.vacant.IsZero() && now.Sub(s.vacant) >= readerWait {
		return false
	}
	for _, h := range s.hosts {
		if h.present() && !h.refuses(now) && readsSooner(h.host, self) {
			return true
		}
	}

	return false
}

// leavesToReader reports whether this process leaves a new term to hosts that read the ledger sooner.
func (c *Candidate) leavesToReader(now time.Time) bool {
	return !c.follower.Replica().HasJobs() && c.standings.awaitsReader(c.session.host, now)
}

// takeOver begins a term in place of an earlier process on this host. If another host can be expected to read the ledger sooner,
// it only removes the record, so that the other one need not wait for the end of the earlier process's lease.
func (c *Candidate) takeOver(ctx context.Context, revision uint64) *Term {
	if !c.leavesToReader(time.Now()) {
		return c.acquire(ctx, revision)
	}
	if err := c.removeRecord(ctx, revision); err != nil {
		c.log.Debug("failed to remove the owner record of an earlier process", "error", err)
	}

	return nil
}
