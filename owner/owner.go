package owner

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/store"
)

const (
	// strongerRatio is how many times the cores of this host another host must have for this one to defer to it.
	strongerRatio = 1.5
	// deferLimit is the longest time for which a host leaves a new term to stronger hosts. The record of a host that has
	// failed is gone within leaseTime; the limit is for those that live and can't bid.
	deferLimit = 2 * leaseTime
	// yieldTime is how long a process that gave up its term leaves the next one to others.
	yieldTime = time.Second
	// restTime replaces yieldTime, while other hosts are expected to bid, for a process that gave up a short term for a reason of its own.
	// It is longer than the others wait for a stronger host, and doubles with each such term in a row.
	restTime = deferLimit + 2*time.Second
	// maxRestDoublings limits how often restTime is doubled.
	maxRestDoublings = 2
)

// Candidate competes for terms on behalf of a process.
type Candidate struct {
	client   *store.Client
	session  *Session
	follower *ledger.Follower
	process  string
	log      *log.Logger
	// ended is the revision of the last term of this process.
	ended     uint64
	standings standings
	// failedTerms is the number of short terms in a row that this process gave up for a reason of its own, and restUntil is until
	// when it leaves the next one to others.
	failedTerms int
	restUntil   time.Time
	// handedOver is when this process last handed over, or zero.
	handedOver time.Time
}

// NewCandidate returns a candidate; process uniquely identifies this run of the process.
func NewCandidate(c *store.Client, s *Session, f *ledger.Follower, process string, l *log.Logger) *Candidate {
	return &Candidate{client: c, session: s, follower: f, process: process, log: l}
}

// Run competes for terms until the context ends and calls serve in each; serve returns when the term has ended.
func (c *Candidate) Run(ctx context.Context, serve func(ctx context.Context, t *Term)) {
	for ctx.Err() == nil {
		b := c.follower.Replica()
		if b == nil {
			pause.For(ctx, contentionPause)
			continue
		}
		c.observe(0)
		o, revision := b.Owner()
		var t *Term
		switch {
		case revision != 0 && o.Process != c.process && o.Host == c.session.host.Name && o.PeerAddress == c.session.host.PeerAddress:
			// The owner is an earlier process on this host, which can't be running any more.
			t = c.takeOver(ctx, revision)
		case revision != 0 && (o.Process != c.process || revision == c.ended):
			c.waitForChange(ctx)
			continue
		case revision != 0:
			t = c.recoverTerm(revision)
		default:
			if !c.deferToStronger(ctx) {
				continue
			}
			t = c.acquire(ctx, 0)
		}
		if t == nil {
			pause.For(ctx, contentionPause)
			continue
		}
		if !c.standings.vacant.IsZero() {
			t.Unowned = t.began.Sub(c.standings.vacant)
		}
		c.log.Info("owns the workers", "term", t.Revision)
		c.serve(ctx, t, serve)
		c.ended = t.Revision
		c.log.Info("no longer owns the workers", "term", t.Revision)
		lost := c.resign(ctx, t)
		if id, _ := c.session.Lease(); id == t.lease && !lost {
			c.noteEnd(t)
			pause.For(ctx, yieldTime)
		}
	}
}

// deferToStronger leaves a new term to stronger hosts, since the owner does most of the work, and before the ledger is read to
// hosts that read it sooner. It returns once there are none that are expected to take it or deferLimit has passed, and the process
// doesn't rest, or once there is an owner, and reports whether there is still none.
func (c *Candidate) deferToStronger(ctx context.Context) bool {
	for ; ctx.Err() == nil; pause.For(ctx, contentionPause) {
		c.observe(0)
		if c.standings.owned != 0 {
			return false
		}
		if now := time.Now(); !c.rests(now) && !c.standings.awaits(c.session.host, now) && !c.leavesToReader(now) {
			return true
		}
	}

	return false
}

// noteEnd takes note of the end of a term that the process gave up.
func (c *Candidate) noteEnd(t *Term) {
	if c.handedOver.After(t.began) {
		return
	}
	if time.Since(t.began) >= provenTime {
		c.failedTerms = 0
		return
	}
	c.restUntil = time.Now().Add(restTime << min(c.failedTerms, maxRestDoublings))
	c.failedTerms++
}

// rests reports whether the process leaves a new term to other hosts that are expected to take it: to any after a short term
// that it gave up, and to equally strong ones until it has had a longer term. If all have failed, as while the store takes no
// writes, none rests.
func (c *Candidate) rests(now time.Time) bool {
	if now.Before(c.restUntil) {
		return c.standings.others(c.session.host.Name, 0, now)
	}

	return c.failedTerms > 0 && !c.standings.deferLimitPassed(now) && c.standings.others(c.session.host.Name, c.session.host.Cores/strongerRatio, now)
}

// observe takes note of the present state of the hosts. Its argument is the revision of this process's term, or zero, since
// the follower may learn later of that.
func (c *Candidate) observe(term uint64) {
	b := c.follower.Replica()
	o, revision := b.Owner()
	v := view{at: time.Now(), hosts: b.Hosts(), revisions: b.HostRevisions(), owner: o.Host, owned: revision}
	if term != 0 {
		v.owner, v.owned = c.session.host.Name, term
	}
	if id, valid := c.session.Lease(); valid {
		v.lease = id
	}
	c.standings.observe(v)
}

// recoverTerm returns the term of a record that this process wrote without receiving the store's answer.
func (c *Candidate) recoverTerm(revision uint64) *Term {
	lease, valid := c.session.Lease()
	if !valid {
		return nil
	}

	return newTerm(c.session, lease, revision)
}

// resign removes the Owner record, so that the next term can begin at once. It tries until the record is gone, since otherwise
// the record lasts as long as the lease, which the process keeps. Once the context has ended, it tries once. It reports whether
// the record was gone before, so that the process has lost the term and not given it up.
func (c *Candidate) resign(ctx context.Context, t *Term) (lost bool) {
	for try := 0; ; try++ {
		err := c.removeRecord(context.WithoutCancel(ctx), t.Revision)
		if id, _ := c.session.Lease(); err == nil || errors.Is(err, store.ErrConflict) || id != t.lease {
			// After a try without an answer, the conflict may be due to that try.
			return try == 0 && errors.Is(err, store.ErrConflict)
		}
		c.log.Warn("failed to remove the owner record", "term", t.Revision, "error", err)
		if !pause.For(ctx, retryPause) {
			return false
		}
	}
}

func (c *Candidate) removeRecord(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, err := c.client.Commit(ctx, store.Txn{
		Expect: []store.Expectation{{Key: ledger.OwnerKey, Revision: revision}}, Removes: []string{ledger.OwnerKey},
	})

	return err
}

func (c *Candidate) waitForChange(ctx context.Context) {
	t := time.NewTimer(time.Second)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-c.follower.Changed():
	case <-t.C:
	}
}

// acquire begins a term if the Owner record still has revision base, where zero means that there is none. It returns nil on
// failure.
func (c *Candidate) acquire(ctx context.Context, base uint64) *Term {
	lease, valid := c.session.Lease()
	if !valid {
		return nil
	}
	value, err := ledger.Encode(ledger.Owner{Host: c.session.host.Name, Process: c.process, PeerAddress: c.session.host.PeerAddress})
	if err != nil {
		c.log.Error("failed to encode the owner record", "error", err)
		return nil
	}
	revision, err := c.client.Commit(ctx, store.Txn{
		Expect: []store.Expectation{{Key: ledger.OwnerKey, Revision: base}}, Puts: []store.Put{{Key: ledger.OwnerKey, Value: value, Lease: lease}},
	})
	if errors.Is(err, store.ErrOutcomeUnknown) {
		revision, err = c.resolveWrite(ctx, value)
	}
	if errors.Is(err, store.ErrLeaseLapsed) {
		c.session.expired(lease)
	}
	if err != nil {
		c.log.Debug("failed to write the owner record", "error", err)
		return nil
	}

	return newTerm(c.session, lease, revision)
}

// resolveWrite determines whether a write of the Owner record took effect after its outcome was lost.
func (c *Candidate) resolveWrite(ctx context.Context, value []byte) (uint64, error) {
	r, err := c.client.Get(ctx, ledger.OwnerKey)
	if err != nil {
		return 0, err
	}
	if string(r.Value) != string(value) {
		return 0, store.ErrConflict
	}

	return r.Revision, nil
}
