package revision

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/plan"
	"lycheehook.example/lycheehook/store"
)

const (
	headKey   = "config/head"
	watchWait = time.Second
	retryWait = 200 * time.Millisecond
	// DefaultFreshFor is how long a confirmation of the revision in force counts.
	DefaultFreshFor = 3 * time.Second
)

// ErrStale says that an edit was based on a revision that is no longer in force.
var ErrStale = merry.Sentinel("revision: base is not the revision in force")

// Edit returns the next state of the configuration from the one in force.
type Edit func(Revision) (Revision, error)

// headRecord is the form of the revision in the store.
type headRecord struct {
	Number    uint64
	Customers plan.CustomersList
	Plans     plan.PlansList
	Keys      []key.Key
}

// Book follows the configuration in the store and edits it.
type Book struct {
	client   *store.Client
	freshFor time.Duration

	mu        sync.Mutex
	base      uint64
	confirmed time.Time
	current   atomic.Pointer[Revision]
}

// Option configures a Book.
type Option func(*Book)

// WithFreshFor sets how long a confirmation of the revision in force counts.
func WithFreshFor(d time.Duration) Option {
	return func(b *Book) { b.freshFor = d }
}

// New returns a book over the store that has seen no revision yet.
func New(client *store.Client, opts ...Option) *Book {
	b := &Book{client: client, freshFor: DefaultFreshFor}
	b.current.Store(&Revision{})
	for _, opt := range opts {
		opt(b)
	}

	return b
}

// Current returns the newest revision seen.
func (b *Book) Current() *Revision {
	return b.current.Load()
}

// Fresh reports whether the store confirmed the current revision recently enough to take keyed work.
func (b *Book) Fresh(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return !b.confirmed.IsZero() && now.Sub(b.confirmed) < b.freshFor
}

// Follow keeps the book up to date until ctx ends.
func (b *Book) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		if err := b.refresh(ctx); err != nil {
			pause(ctx, retryWait)
			continue
		}
		b.awaitChange(ctx)
	}
}

// Apply carries out an edit of the revision in force and returns the accepted revision.
func (b *Book) Apply(ctx context.Context, edit Edit) (Revision, error) {
	if err := b.refresh(ctx); err != nil {
		return Revision{}, err
	}

	b.mu.Lock()
	base, cur := b.base, *b.Current()
	b.mu.Unlock()

	edited, err := edit(cur)
	if err != nil {
		return Revision{}, err
	}
	if err := edited.Lists.Check(); err != nil {
		return Revision{}, err
	}

	next := edited.next()
	if err := b.write(ctx, next, base); err != nil {
		return Revision{}, err
	}

	return next, b.refresh(ctx)
}

func (b *Book) write(ctx context.Context, next Revision, base uint64) error {
	value, err := json.Marshal(headRecord{
		Number: next.Number, Customers: next.Lists.CustomersList, Plans: next.Lists.PlansList, Keys: next.Keys.Keys(),
	})
	if err != nil {
		return merry.Prepend(err, "encode revision")
	}

	_, err = b.client.CompareAndSwap(ctx, store.Write{Key: headKey, Value: value, Base: base})
	if errors.Is(err, store.ErrConflict) {
		return merry.Prependf(ErrStale, "revision %d", next.Number-1)
	}

	return err
}

// refresh reads the head; the moment before the read is what it confirms.
func (b *Book) refresh(ctx context.Context) error {
	asked := time.Now()
	r, err := b.client.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return b.adopt(Revision{}, 0, asked)
	}
	if err != nil {
		return err
	}

	var h headRecord
	if err := json.Unmarshal(r.Value, &h); err != nil {
		return merry.Prepend(err, "decode revision")
	}
	rev := Revision{Number: h.Number}.
		WithLists(plan.Lists{CustomersList: h.Customers, PlansList: h.Plans}).
		WithKeys(key.NewRing(h.Keys...))

	return b.adopt(rev, r.Revision, asked)
}

// adopt puts a revision in force unless a newer one already is.
func (b *Book) adopt(r Revision, base uint64, asked time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()

	if r.Number < b.Current().Number {
		return merry.Prependf(ErrStale, "store answered revision %d after %d", r.Number, b.Current().Number)
	}
	b.base = base
	if asked.After(b.confirmed) {
		b.confirmed = asked
	}
	b.current.Store(&r)

	return nil
}

// awaitChange returns when the head changed or a confirmation is due.
func (b *Book) awaitChange(ctx context.Context) {
	b.mu.Lock()
	after := b.base
	b.mu.Unlock()

	if _, err := b.client.Watch(ctx, headKey, after, watchWait); err != nil {
		pause(ctx, retryWait)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
