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
	// DefaultFreshFor is how long a process counts as fresh after the last moment at which its head was known to be in force.
	DefaultFreshFor = member.DefaultFreshFor
	// confirmAfter is the age of the last confirmation at which a process reads the head itself.
	confirmAfter = time.Second
	// probeInterval is the maximum time between two reads of the head while the store answers.
	probeInterval = 5 * time.Second
	// maxReadAttempts limits the reads of the head when newer heads arrive from peers during each read.
	maxReadAttempts     = 4
	confirmPollInterval = 200 * time.Millisecond
	watchTimeout        = 10 * time.Second
	retryDelay          = 500 * time.Millisecond
	seatInterval        = time.Second
)

// Sentinel errors of revisions.
var (
	// ErrStale reports an edit based on a revision that is no longer in force, or a head older than the current one.
	ErrStale = merry.Sentinel("revision: base is not the revision in force")
	// ErrNotSeated reports that this entry host may not accept edits yet; others may.
	ErrNotSeated = merry.Sentinel("revision: this entry host may not accept edits yet")
	// ErrCorrupt reports a configuration record that cannot be decoded or does not match the hash in its key.
	ErrCorrupt = merry.Sentinel("revision: damaged record")
	// ErrNoSuchRevision reports a revision that is not in the history.
	ErrNoSuchRevision = merry.Sentinel("revision: not in the history")
)

// Repository keeps the newest revision of the configuration from the store and its peers, and writes edits to the store.
type Repository struct {
	client   *store.Client
	mesh     *peer.Mesh
	registry *member.Registry
	limits   member.Limits

	current atomic.Pointer[Revision]

	mu       sync.RWMutex
	standing member.Standing
	head     headRecord
	// raw is the encoded head, and base its store revision.
	raw      []byte
	base     uint64
	parts    map[hash]*part
	partData map[hash][]byte
	// addedParts are the hashes of the parts that the previous revision did not have.
	addedParts []hash
	// inForce is the newest revision known to be in force on each entry host.
	inForce map[fleet.EntryName]uint64
	// changed is closed and replaced when the head or inForce changes.
	changed chan struct{}
	// storeReachable says whether the last read of the head was answered, and headReadAt when that read began.
	storeReachable bool
	headReadAt     time.Time

	// writeMu is held by the one write that is in progress.
	writeMu ctxMutex
	// resigned says that the process gave up its seat and must not write itself into the head again.
	resigned atomic.Bool
	// fetchMu is held while a head is fetched from a peer, so that one is fetched at a time.
	fetchMu ctxMutex
}

// Option configures a Repository.
type Option func(*Repository)

// WithFreshFor sets how long a process counts as fresh, instead of DefaultFreshFor.
func WithFreshFor(d time.Duration) Option {
	return func(b *Repository) { b.limits.FreshFor = d }
}

// WithOutageLimit sets how long a process may continue without renewing its lease in the store.
func WithOutageLimit(d time.Duration) Option {
	return func(b *Repository) { b.limits.OutageLimit = d }
}

// WithPeers lets the repository exchange revisions and their status with other entry hosts. Only entry hosts that hold a seat accept edits.
func WithPeers(m *peer.Mesh, r *member.Registry) Option {
	return func(b *Repository) { b.mesh, b.registry = m, r }
}

// New returns a Repository for the store that has not seen a revision yet.
func New(client *store.Client, opts ...Option) *Repository {
	b := &Repository{
		client: client, limits: member.Limits{FreshFor: DefaultFreshFor, OutageLimit: member.DefaultOutageLimit},
		parts: map[hash]*part{}, partData: map[hash][]byte{}, inForce: map[fleet.EntryName]uint64{}, changed: make(chan struct{}), writeMu: newCtxMutex(), fetchMu: newCtxMutex(),
	}
	b.current.Store(&Revision{})
	for _, opt := range opts {
		opt(b)
	}
	b.standing = member.NewStanding(b.limits)
	if b.mesh != nil {
		b.registerHandlers()
	}

	return b
}

// Current returns the newest revision that this process has seen.
func (repo *Repository) Current() *Revision {
	return repo.current.Load()
}

// Fresh reports whether the current revision was in force recently enough to accept work authenticated by its keys.
func (repo *Repository) Fresh(now time.Time) bool {
	repo.mu.RLock()
	defer repo.mu.RUnlock()

	return repo.standing.Fresh(now)
}

// StoreLost reports whether every process that may accept edits recently reported that it cannot reach the store.
func (repo *Repository) StoreLost(now time.Time) bool {
	repo.mu.Lock()
	defer repo.mu.Unlock()

	return repo.standing.StoreLost(now)
}

// Licensed reports whether a lease of this process was renewed within the outage limit, so that others still count what it holds as taken.
func (repo *Repository) Licensed(now time.Time) bool {
	repo.mu.RLock()
	defer repo.mu.RUnlock()

	return repo.standing.Licensed(now)
}

// Seated reports whether this process may accept edits.
func (repo *Repository) Seated() bool {
	repo.mu.RLock()
	defer repo.mu.RUnlock()

	return repo.mayWrite()
}

// mayWrite reports whether this process may write the next head. The caller must hold b.mu.
func (repo *Repository) mayWrite() bool {
	// Without a head there is no key to revoke yet, and a repository without peers never relies on the statements of seat holders.
	return repo.standing.Seated() || len(repo.head.Seats) == 0
}

// History returns the accepted edits, newest first.
func (repo *Repository) History() []Entry {
	repo.mu.RLock()
	defer repo.mu.RUnlock()

	entries := make([]Entry, len(repo.head.History))
	for i, r := range repo.head.History {
		entries[i] = Entry{Number: r.Number, By: r.By, At: r.At}
	}

	return entries
}

// Follow keeps the repository up to date until ctx ends.
func (repo *Repository) Follow(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { repo.confirm(ctx) })
	wg.Go(func() { repo.watch(ctx) })
	wg.Go(func() { repo.runEvery(ctx, collectInterval, repo.collectGarbage) })
	if repo.registry != nil {
		wg.Go(func() { repo.runEvery(ctx, seatInterval, repo.maintainSeats) })
	}
	wg.Wait()
}

// runEvery calls f about every d until ctx ends.
func (repo *Repository) runEvery(ctx context.Context, d time.Duration, f func(context.Context)) {
	for ctx.Err() == nil {
		pause.For(ctx, jitter(d))
		f(ctx)
	}
}

// confirm reads the head when neither this process nor a peer has confirmed it recently, and periodically to check whether the
// store can be reached.
func (repo *Repository) confirm(ctx context.Context) {
	for ctx.Err() == nil {
		if !repo.readDue(time.Now()) {
			pause.For(ctx, jitter(confirmPollInterval))
			continue
		}
		if err := repo.refresh(ctx); err != nil {
			pause.For(ctx, jitter(retryDelay))
		}
	}
}

func (repo *Repository) readDue(now time.Time) bool {
	repo.mu.RLock()
	defer repo.mu.RUnlock()
	probe := probeInterval
	if !repo.storeReachable {
		probe = confirmAfter
	}

	return now.Sub(repo.standing.Confirmed()) >= confirmAfter || now.Sub(repo.headReadAt) >= probe
}

// watch accepts new heads from a watch of the store. A watch does not confirm the current head, because it may lag or stop without an error.
func (repo *Repository) watch(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		repo.mu.RLock()
		after = max(after, repo.base)
		repo.mu.RUnlock()
		ev, err := repo.client.Watch(ctx, headKey, after, watchTimeout)
		if err != nil {
			// The events may be compacted or the store unreachable. The next read of the head gives the revision to resume from.
			after = 0
			pause.For(ctx, jitter(retryDelay))
			continue
		}
		after = max(after, ev.Revision)
		if n := len(ev.Events); n > 0 && !ev.Events[n-1].Deleted {
			r := ev.Events[n-1].Record
			_ = repo.acceptHead(ctx, r.Value, r.Revision, time.Time{}, repo.readPartFromStore)
		}
	}
}

// refresh reads the head. It repeats the read if a newer head arrived from a peer meanwhile, and returns ErrStale if the
// store keeps returning an older head than the current one.
func (repo *Repository) refresh(ctx context.Context) error {
	var err error
	for range maxReadAttempts {
		if err = repo.readHead(ctx); !errors.Is(err, ErrStale) {
			return err
		}
	}

	return err
}

// readHead reads and accepts the head, which is confirmed as of the moment before the read.
func (repo *Repository) readHead(ctx context.Context) error {
	requestedAt := time.Now()
	r, err := repo.client.Get(ctx, headKey)
	switch {
	case err == nil:
		repo.setStoreReachable(true, requestedAt)
		return repo.acceptHead(ctx, r.Value, r.Revision, requestedAt, repo.readPartFromStore)
	case isNotFound(err):
		repo.setStoreReachable(true, requestedAt)
		repo.mu.Lock()
		defer repo.mu.Unlock()
		repo.standing = repo.standing.WithRead(member.Head{}, requestedAt)
		if repo.head.Generation > 0 {
			return merry.Prependf(ErrStale, "store has no head after generation %d", repo.head.Generation)
		}

		return nil
	default:
		repo.setStoreReachable(false, requestedAt)
		return err
	}
}

func (repo *Repository) setStoreReachable(ok bool, requestedAt time.Time) {
	repo.mu.Lock()
	defer repo.mu.Unlock()
	repo.storeReachable, repo.headReadAt = ok, requestedAt
}

// partReader returns the encoded part with the hash.
type partReader func(context.Context, hash) ([]byte, error)

// acceptHead loads the parts of a head and installs it, unless it is older than the current head.
// A zero requestedAt means that the head's source does not confirm that it is in force.
func (repo *Repository) acceptHead(ctx context.Context, raw []byte, base uint64, requestedAt time.Time, from partReader) error {
	h, err := parseHead(raw)
	if err != nil {
		return err
	}
	repo.mu.RLock()
	head := repo.head
	repo.mu.RUnlock()
	if h.Generation < head.Generation {
		return merry.Prependf(ErrStale, "generation %d after %d", h.Generation, head.Generation)
	}

	parts, err := repo.loadParts(ctx, h.Parts, from)
	if err != nil {
		return err
	}

	return repo.installHead(h, raw, base, requestedAt, parts)
}

// installHead replaces the current head and revision with newer ones and records the confirmation.
func (repo *Repository) installHead(h headRecord, raw []byte, base uint64, requestedAt time.Time, parts []*part) error {
	var next *Revision
	if cur := repo.Current(); cur.Number < h.Number {
		r := joinParts(h.Number, parts)
		next = &r
	}

	repo.mu.Lock()
	defer repo.mu.Unlock()
	if h.Generation < repo.head.Generation {
		return merry.Prependf(ErrStale, "generation %d after %d", h.Generation, repo.head.Generation)
	}
	repo.standing = repo.standing.WithHead(h.membership())
	if !requestedAt.IsZero() {
		repo.standing = repo.standing.WithRead(h.membership(), requestedAt)
	}
	if h.Generation == repo.head.Generation {
		repo.base = max(repo.base, base)
		return nil
	}
	if next != nil && next.Number > repo.Current().Number {
		repo.current.Store(next)
	}
	if h.Number > repo.head.Number {
		repo.addedParts = slices.DeleteFunc(slices.Clone(h.Parts), func(p hash) bool { return slices.Contains(repo.head.Parts, p) })
	}
	repo.head, repo.raw, repo.base = h, slices.Clone(raw), max(repo.base, base)
	repo.pruneParts()
	close(repo.changed)
	repo.changed = make(chan struct{})

	return nil
}

// pruneParts drops the cached parts that the current head does not refer to. The caller must hold b.mu.
func (repo *Repository) pruneParts() {
	keep := make(map[hash]bool, len(repo.head.Parts))
	for _, h := range repo.head.Parts {
		keep[h] = true
	}
	for h := range repo.parts {
		if !keep[h] {
			delete(repo.parts, h)
			delete(repo.partData, h)
		}
	}
}

// jitter returns d reduced by a random amount of up to a quarter, so that processes do not act in step.
func jitter(d time.Duration) time.Duration {
	return d - time.Duration(rand.Int64N(int64(d)/4+1))
}
