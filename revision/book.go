package revision

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/member"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/peer"
	"lycheehook.example/lycheehook/store"
)

const (
	// DefaultFreshFor is how long knowledge of what is in force counts.
	DefaultFreshFor = member.DefaultFreshFor
	// confirmAfter is the age from which a process confirms the head itself because no peer did.
	confirmAfter = time.Second
	// probeInterval is the longest time between two reads of the head while the store answers.
	probeInterval = 5 * time.Second
	// maxOvertaken bounds how often a read that was overtaken is made again.
	maxOvertaken = 4
	confirmTick  = 200 * time.Millisecond
	watchWait    = 10 * time.Second
	retryWait    = 500 * time.Millisecond
	tendInterval = time.Second
)

// Sentinel errors of revisions.
var (
	// ErrStale says that an edit was based on a revision that is no longer in force.
	ErrStale = merry.Sentinel("revision: base is not the revision in force")
	// ErrNotSeated says that this entry host may not accept edits yet; others may.
	ErrNotSeated = merry.Sentinel("revision: this entry host may not accept edits yet")
	// ErrDamaged says that a record of the configuration does not have the content that its key promises.
	ErrDamaged = merry.Sentinel("revision: damaged record")
	// ErrNoSuchRevision says that the history does not go back to a revision.
	ErrNoSuchRevision = merry.Sentinel("revision: not in the history")
)

// Book follows the configuration in the store and edits it.
type Book struct {
	client   *store.Client
	mesh     *peer.Mesh
	registry *member.Registry
	limits   member.Limits

	current atomic.Pointer[Revision]

	mu       sync.RWMutex
	standing member.Standing
	head     headRecord
	// raw is the head as it is in the store, and base its store revision there.
	raw   []byte
	base  uint64
	parts map[hash]*part
	data  map[hash][]byte
	// added are the parts that the revision in force has and the one before had not.
	added   []hash
	inForce map[fleet.EntryName]uint64
	moved   chan struct{}
	// reaching says whether the last read of the head was answered, and readAt when it was asked for.
	reaching bool
	readAt   time.Time

	// writing lets one write of this process be on its way at a time.
	writing turn
	// left says that the process gave its seat up and takes none again.
	left atomic.Bool
	// fetching lets one take-over of a head from a peer run at a time.
	fetching turn
}

// Option configures a Book.
type Option func(*Book)

// WithFreshFor sets how long knowledge of what is in force counts.
func WithFreshFor(d time.Duration) Option {
	return func(b *Book) { b.limits.FreshFor = d }
}

// WithOutageLimit sets how long a process may go on without renewing its lease in the store.
func WithOutageLimit(d time.Duration) Option {
	return func(b *Book) { b.limits.OutageLimit = d }
}

// WithPeers lets the book exchange revisions and what is known of them with other entry hosts, of which only those with a seat accept edits.
func WithPeers(m *peer.Mesh, r *member.Registry) Option {
	return func(b *Book) { b.mesh, b.registry = m, r }
}

// New returns a book over the store that has seen no revision yet.
func New(client *store.Client, opts ...Option) *Book {
	b := &Book{
		client: client, limits: member.Limits{FreshFor: DefaultFreshFor, OutageLimit: member.DefaultOutageLimit},
		parts: map[hash]*part{}, data: map[hash][]byte{}, inForce: map[fleet.EntryName]uint64{}, moved: make(chan struct{}), writing: newTurn(), fetching: newTurn(),
	}
	b.current.Store(&Revision{})
	for _, opt := range opts {
		opt(b)
	}
	b.standing = member.NewStanding(b.limits)
	if b.mesh != nil {
		b.join()
	}

	return b
}

// Current returns the newest revision seen.
func (b *Book) Current() *Revision {
	return b.current.Load()
}

// Fresh reports whether the current revision is known to have been in force recently enough to take keyed work.
func (b *Book) Fresh(now time.Time) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()

	return b.standing.Fresh(now)
}

// StoreLost reports whether every process that may accept edits said lately that it can't reach the store.
func (b *Book) StoreLost(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.standing.StoreLost(now)
}

// Licensed reports whether others still count what this process holds as held.
func (b *Book) Licensed(now time.Time) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()

	return b.standing.Licensed(now)
}

// Seated reports whether this process may accept edits.
func (b *Book) Seated() bool {
	b.mu.RLock()
	defer b.mu.RUnlock()

	return b.mayWrite()
}

// mayWrite reports whether this process may write the next head; the book is locked.
func (b *Book) mayWrite() bool {
	// Without a head there is nothing to withdraw, and a book without peers never relies on statements of seats.
	return b.standing.Seated() || len(b.head.Seats) == 0
}

// History returns the accepted edits, the newest first.
func (b *Book) History() []Entry {
	b.mu.RLock()
	defer b.mu.RUnlock()

	entries := make([]Entry, len(b.head.History))
	for i, r := range b.head.History {
		entries[i] = Entry{Number: r.Number, By: r.By, At: r.At}
	}

	return entries
}

// Follow keeps the book up to date until ctx ends.
func (b *Book) Follow(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { b.confirm(ctx) })
	wg.Go(func() { b.watch(ctx) })
	wg.Go(func() { b.every(ctx, collectInterval, b.collect) })
	if b.registry != nil {
		wg.Go(func() { b.every(ctx, tendInterval, b.tend) })
	}
	wg.Wait()
}

// every calls f in intervals until ctx ends.
func (b *Book) every(ctx context.Context, d time.Duration, f func(context.Context)) {
	for ctx.Err() == nil {
		pause.For(ctx, jitter(d))
		f(ctx)
	}
}

// confirm reads the head when neither this process nor a peer has confirmed it for a while, and from time to time to see that the
// store can be reached.
func (b *Book) confirm(ctx context.Context) {
	for ctx.Err() == nil {
		if !b.readDue(time.Now()) {
			pause.For(ctx, jitter(confirmTick))
			continue
		}
		if err := b.refresh(ctx); err != nil {
			pause.For(ctx, jitter(retryWait))
		}
	}
}

func (b *Book) readDue(now time.Time) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	probe := probeInterval
	if !b.reaching {
		probe = confirmAfter
	}

	return now.Sub(b.standing.Confirmed()) >= confirmAfter || now.Sub(b.readAt) >= probe
}

// watch takes over heads as the store tells of them; confirmations do not depend on it, because a watch may fall silent or lag.
func (b *Book) watch(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		b.mu.RLock()
		after = max(after, b.base)
		b.mu.RUnlock()
		ev, err := b.client.Watch(ctx, headKey, after, watchWait)
		if err != nil {
			// The events may be compacted or the store away; the next head read shows where to go on.
			after = 0
			pause.For(ctx, jitter(retryWait))
			continue
		}
		after = max(after, ev.Revision)
		if n := len(ev.Events); n > 0 && !ev.Events[n-1].Deleted {
			r := ev.Events[n-1].Record
			_ = b.takeOver(ctx, r.Value, r.Revision, time.Time{}, b.fromStore)
		}
	}
}

// refresh reads the head. A read that news of a newer head have overtaken is made again; a store that keeps to an older
// head than the one held is ErrStale.
func (b *Book) refresh(ctx context.Context) error {
	var err error
	for range maxOvertaken {
		if err = b.readHead(ctx); !errors.Is(err, ErrStale) {
			return err
		}
	}

	return err
}

// readHead reads the head; the moment before the read is what it confirms.
func (b *Book) readHead(ctx context.Context) error {
	asked := time.Now()
	r, err := b.client.Get(ctx, headKey)
	switch {
	case err == nil:
		b.setReaching(true, asked)
		return b.takeOver(ctx, r.Value, r.Revision, asked, b.fromStore)
	case isNotFound(err):
		b.setReaching(true, asked)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.standing = b.standing.WithRead(member.Head{}, asked)
		if b.head.Generation > 0 {
			return merry.Prependf(ErrStale, "store has no head after generation %d", b.head.Generation)
		}

		return nil
	default:
		b.setReaching(false, asked)
		return err
	}
}

func (b *Book) setReaching(ok bool, asked time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reaching, b.readAt = ok, asked
}

// source returns the content of a part.
type source func(context.Context, hash) ([]byte, error)

// takeOver puts a head in force unless it is older than the one held; asked is zero for news that confirm nothing.
func (b *Book) takeOver(ctx context.Context, raw []byte, base uint64, asked time.Time, from source) error {
	h, err := parseHead(raw)
	if err != nil {
		return err
	}
	b.mu.RLock()
	held := b.head
	b.mu.RUnlock()
	if h.Generation < held.Generation {
		return merry.Prependf(ErrStale, "generation %d after %d", h.Generation, held.Generation)
	}

	parts, err := b.load(ctx, h.Parts, from)
	if err != nil {
		return err
	}

	return b.adopt(h, raw, base, asked, parts)
}

func (b *Book) adopt(h headRecord, raw []byte, base uint64, asked time.Time, parts []*part) error {
	var next *Revision
	if cur := b.Current(); cur.Number < h.Number {
		r := join(h.Number, parts)
		next = &r
	}

	b.mu.Lock()
	defer b.mu.Unlock()
	if h.Generation < b.head.Generation {
		return merry.Prependf(ErrStale, "generation %d after %d", h.Generation, b.head.Generation)
	}
	b.standing = b.standing.WithHead(h.membership())
	if !asked.IsZero() {
		b.standing = b.standing.WithRead(h.membership(), asked)
	}
	if h.Generation == b.head.Generation {
		b.base = max(b.base, base)
		return nil
	}
	if next != nil && next.Number > b.Current().Number {
		b.current.Store(next)
	}
	if h.Number > b.head.Number {
		b.added = slices.DeleteFunc(slices.Clone(h.Parts), func(p hash) bool { return slices.Contains(b.head.Parts, p) })
	}
	b.head, b.raw, b.base = h, slices.Clone(raw), max(b.base, base)
	b.prune()
	close(b.moved)
	b.moved = make(chan struct{})

	return nil
}

// prune forgets the parts that are not of the revision in force; the book is locked.
func (b *Book) prune() {
	keep := make(map[hash]bool, len(b.head.Parts))
	for _, h := range b.head.Parts {
		keep[h] = true
	}
	for h := range b.parts {
		if !keep[h] {
			delete(b.parts, h)
			delete(b.data, h)
		}
	}
}

// jitter returns d less up to a quarter, so that many processes do not act together.
func jitter(d time.Duration) time.Duration {
	return d - time.Duration(rand.Int64N(int64(d)/4+1))
}
