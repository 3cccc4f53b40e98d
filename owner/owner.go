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
	// strongerBy is how many times the processor time of this host another one must have to own the workers in its place.
	strongerBy = 1.5
	// weakPause is how long a host waits for a stronger one to seek the term, which learns of its end within a watch's pause.
	weakPause = 400 * time.Millisecond
)

// Term is a time in which this process owns the workers.
type Term struct {
	// Revision is the store revision at which the term began; it fences all that is written and ordered.
	Revision uint64
	lease    store.LeaseID
	seat     *Seat
}

// Valid reports whether the store vouches for the term right now.
func (t *Term) Valid() bool {
	id, vouched := t.seat.Lease()

	return vouched && id == t.lease
}

// Over reports whether the term has ended for good.
func (t *Term) Over() bool {
	id, _ := t.seat.Lease()

	return id != t.lease
}

// Candidate seeks terms for a process.
type Candidate struct {
	client   *store.Client
	seat     *Seat
	follower *ledger.Follower
	process  string
	log      *log.Logger
	// ended is the last term that this process gave up.
	ended uint64
}

// NewCandidate returns a candidate; process tells this life of the process from every other.
func NewCandidate(c *store.Client, s *Seat, f *ledger.Follower, process string, l *log.Logger) *Candidate {
	return &Candidate{client: c, seat: s, follower: f, process: process, log: l}
}

// Run seeks terms until the context ends, and calls serve for each; serve returns when the term is over.
func (c *Candidate) Run(ctx context.Context, serve func(ctx context.Context, t *Term)) {
	for ctx.Err() == nil {
		b := c.follower.Book()
		if b == nil {
			pause.For(ctx, contestPause)
			continue
		}
		o, revision := b.Owner()
		var t *Term
		switch {
		case revision != 0 && o.Process != c.process && o.Host == c.seat.host.Name && o.PeerAddress == c.seat.host.PeerAddress:
			// An earlier process of this very host owned the workers, and is surely dead.
			t = c.seek(ctx, revision)
		case revision != 0 && (o.Process != c.process || revision == c.ended):
			c.wait(ctx)
			continue
		case revision != 0:
			t = c.adopt(revision)
		default:
			c.giveWay(ctx, b.Hosts())
			t = c.seek(ctx, 0)
		}
		if t == nil {
			pause.For(ctx, contestPause)
			continue
		}
		c.log.Info("owns the workers", "term", t.Revision)
		serve(ctx, t)
		c.ended = t.Revision
		c.log.Info("no longer owns the workers", "term", t.Revision)
		c.resign(context.WithoutCancel(ctx), t)
	}
}

// giveWay lets a stronger entry host seek the term first, since the owner does most of the work.
func (c *Candidate) giveWay(ctx context.Context, hosts []ledger.Host) {
	for _, h := range hosts {
		if h.Cores > strongerBy*c.seat.host.Cores {
			pause.For(ctx, weakPause)
			return
		}
	}
}

// adopt returns the term of a record that this process wrote without learning so.
func (c *Candidate) adopt(revision uint64) *Term {
	lease, vouched := c.seat.Lease()
	if !vouched {
		return nil
	}

	return &Term{Revision: revision, lease: lease, seat: c.seat}
}

// resign removes the owner's record, so that the next term can begin at once.
func (c *Candidate) resign(ctx context.Context, t *Term) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := c.client.Commit(ctx, store.Txn{
		Expect: []store.Expectation{{Key: ledger.OwnerKey, Revision: t.Revision}}, Removes: []string{ledger.OwnerKey},
	})
	if err != nil && !errors.Is(err, store.ErrConflict) {
		c.log.Warn("owner's record not removed, it goes with its lease", "error", err)
	}
}

func (c *Candidate) wait(ctx context.Context) {
	t := time.NewTimer(time.Second)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-c.follower.Changed():
	case <-t.C:
	}
}

// seek returns a term if the owner's record still has revision base, zero for none, or nil.
func (c *Candidate) seek(ctx context.Context, base uint64) *Term {
	lease, vouched := c.seat.Lease()
	if !vouched {
		return nil
	}
	value, err := ledger.Encode(ledger.Owner{Host: c.seat.host.Name, Process: c.process, PeerAddress: c.seat.host.PeerAddress})
	if err != nil {
		c.log.Error("owner's record", "error", err)
		return nil
	}
	revision, err := c.client.Commit(ctx, store.Txn{
		Expect: []store.Expectation{{Key: ledger.OwnerKey, Revision: base}}, Puts: []store.Put{{Key: ledger.OwnerKey, Value: value, Lease: lease}},
	})
	if errors.Is(err, store.ErrOutcomeUnknown) {
		revision, err = c.settle(ctx, value)
	}
	if err != nil {
		c.log.Debug("another process was quicker, or the store can't be reached", "error", err)
		return nil
	}

	return &Term{Revision: revision, lease: lease, seat: c.seat}
}

// settle finds out whether a write of the owner's record whose answer was lost took effect.
func (c *Candidate) settle(ctx context.Context, value []byte) (uint64, error) {
	r, err := c.client.Get(ctx, ledger.OwnerKey)
	if err != nil {
		return 0, err
	}
	if string(r.Value) != string(value) {
		return 0, store.ErrConflict
	}

	return r.Revision, nil
}
