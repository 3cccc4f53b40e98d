package claim

import (
	"context"
	"crypto/sha256"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	"github.com/google/uuid"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/store"
)

const (
	// shards is the number of heads over which IDs are spread; all processes must agree on it.
	shards = 4
	// uuidVersion is the version of UUID that carries the time.
	uuidVersion = 7
	// storeRetryAfter is the time to come back that a refusal for want of the store names.
	storeRetryAfter = time.Second
)

// Timing has the durations and sizes of the protocol; all entry hosts must use the same.
type Timing struct {
	// Retention is how long a request ID may be used after it was made.
	Retention time.Duration
	// MaxSkew is how far an ID's time may lie ahead of this process's clock.
	MaxSkew time.Duration
	// MaxRequestTime is the longest that a request can run.
	MaxRequestTime time.Duration
	// GroupEvery is the time between two writes to one shard while claims keep coming.
	GroupEvery time.Duration
	// SettleEvery is the longest that an outcome waits for a claim to be written with.
	SettleEvery time.Duration
	// ClaimTimeout bounds a claim, with all tries.
	ClaimTimeout time.Duration
	// CallTimeout bounds one call of the store.
	CallTimeout time.Duration
	// SealSize is the size of a head's entries from which they are sealed, in bytes.
	SealSize int
	// BatchSize bounds what one write adds, in bytes.
	BatchSize int
	// AnswerSize is the longest body of an answer that is kept, in bytes.
	AnswerSize int
}

// DefaultTiming returns the durations for one region.
func DefaultTiming() Timing {
	return Timing{
		Retention:      time.Hour,
		MaxSkew:        time.Minute,
		MaxRequestTime: 30 * time.Second,
		GroupEvery:     200 * time.Millisecond,
		SettleEvery:    time.Second,
		ClaimTimeout:   3 * time.Second,
		CallTimeout:    time.Second,
		SealSize:       128 << 10,
		BatchSize:      96 << 10,
		AnswerSize:     1 << 10,
	}
}

// Claim is the right to send a request once, or the answer that an earlier attempt got.
type Claim struct {
	ID uuid.UUID
	// Answer is the answer to return in place of sending; nil if the request is to be sent.
	Answer *Answer

	entry Entry
}

// Outcome is what became of a claimed request.
type Outcome struct {
	State  State
	Answer *Answer
}

// Book claims request IDs and remembers what became of them.
type Book struct {
	// Alive reports whether a process is a live member, as far as this one knows.
	Alive func(owner fleet.Incarnation) bool

	self   fleet.Incarnation
	client *store.Client
	timing Timing
	shards [shards]*shard

	mu       sync.Mutex
	attempts uint64
	// own has the claims of this process whose outcome is not in the store yet.
	own map[uuid.UUID]Entry
}

// Option configures a Book.
type Option func(*Book)

// WithTiming sets the durations and sizes of the protocol.
func WithTiming(t Timing) Option {
	return func(b *Book) { b.timing = t }
}

// New returns a book for one process; it claims nothing until Run runs.
func New(client *store.Client, self fleet.Incarnation, opts ...Option) *Book {
	b := &Book{
		Alive:  func(fleet.Incarnation) bool { return false },
		self:   self,
		client: client,
		timing: DefaultTiming(),
		own:    map[uuid.UUID]Entry{},
	}
	for _, opt := range opts {
		opt(b)
	}
	for i := range b.shards {
		b.shards[i] = newShard(b, i)
	}

	return b
}

// Run writes claims and outcomes until ctx ends.
func (b *Book) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range b.shards {
		wg.Go(func() { s.run(ctx) })
	}
	wg.Wait()
}

// Claim returns the right to send a request, or the answer that it got earlier.
//
// A NotRunError says that this attempt sent nothing and never will; only
// RequestExpired and StoreUnavailable leave open whether an earlier attempt with
// the same ID ran. An UnknownError tells what became of an earlier attempt.
func (b *Book) Claim(ctx context.Context, team fleet.TeamName, id string, digest [sha256.Size]byte) (Claim, error) {
	now := time.Now()
	u, err := b.check(id, now)
	if err != nil {
		return Claim{}, err
	}

	attempt := Entry{ID: u, State: Claimed, Sum: sumOf(team, digest), Token: b.nextToken(), At: now.UnixMilli()}
	if earlier, ok := b.ownEntry(u); ok {
		return b.answer(attempt, earlier, now)
	}

	w := &waiter{entry: attempt, done: make(chan result, 1)}
	s := b.shardOf(u)
	s.enqueue(w)

	timeout := time.NewTimer(b.timing.ClaimTimeout)
	defer timeout.Stop()
	select {
	case r := <-w.done:
		return b.resolve(w.entry, r)
	case <-ctx.Done():
		return b.abandon(s, w, refusal.Refuse(refusal.Cancelled, "request %s was cancelled before it was claimed", u))
	case <-timeout.C:
		return b.abandon(s, w, refusal.Refuse(refusal.StoreUnavailable,
			"request %s could not be claimed; repeat it with the same ID", u).WithRetryAfter(storeRetryAfter))
	}
}

// Settle records what became of a claimed request; it is written with later claims.
func (b *Book) Settle(c Claim, o Outcome) {
	e := c.entry.WithState(o.State)
	if o.State == Done && o.Answer != nil && len(o.Answer.Body) <= b.timing.AnswerSize {
		e = e.WithAnswer(o.Answer)
	}

	b.mu.Lock()
	b.own[e.ID] = e
	b.mu.Unlock()
	b.shardOf(e.ID).settle(e)
}

// Close writes all outcomes that wait.
func (b *Book) Close(ctx context.Context) error {
	for _, s := range b.shards {
		for s.unsettled() {
			if err := s.flush(ctx); err != nil && !errors.Is(err, store.ErrConflict) {
				return err
			}
		}
	}

	return nil
}

// check refuses IDs for which a claim could not be remembered long enough.
func (b *Book) check(id string, now time.Time) (uuid.UUID, error) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != uuidVersion {
		return u, refusal.Refuse(refusal.RequestInvalid, "request ID %q is not a UUID of version 7", id)
	}

	made := asTime(timeOf(u))
	if made.After(now.Add(b.timing.MaxSkew)) {
		return u, refusal.Refuse(refusal.RequestInvalid, "request ID %s was made at %s, in the future", u, made.UTC())
	}
	if now.Sub(made) > b.timing.Retention {
		return u, expiredError(u)
	}

	return u, nil
}

func expiredError(u uuid.UUID) error {
	return refusal.Refuse(refusal.RequestExpired, "request ID %s was made at %s, too long ago", u, asTime(timeOf(u)).UTC())
}

// resolve turns the result of a write into what the caller is told.
func (b *Book) resolve(attempt Entry, r result) (Claim, error) {
	switch r.verdict {
	case granted, owned:
		return Claim{ID: attempt.ID, entry: attempt}, nil
	case expired:
		return Claim{}, expiredError(attempt.ID)
	default:
		return b.answer(attempt, r.earlier, time.Now())
	}
}

// answer tells a repeat what became of the earlier attempt.
func (b *Book) answer(attempt, earlier Entry, now time.Time) (Claim, error) {
	id := attempt.ID
	if earlier.Sum != attempt.Sum {
		return Claim{}, refusal.Refuse(refusal.RequestInvalid, "request ID %s was used for another request", id)
	}

	switch earlier.State {
	case Done:
		if earlier.Answer == nil {
			return Claim{}, refusal.Uncertain(refusal.AlreadyDone, "request %s was done; its answer is not kept", id)
		}
		return Claim{ID: id, Answer: earlier.Answer}, nil
	case Claimed:
		if b.withdrawing(earlier) {
			return Claim{}, refusal.Refuse(refusal.StoreUnavailable,
				"an earlier attempt of request %s is being withdrawn; repeat it with the same ID", id).WithRetryAfter(storeRetryAfter)
		}
		if b.running(earlier, now) {
			return Claim{}, refusal.Uncertain(refusal.InProgress, "request %s is in progress on %s", id, earlier.Token.Owner.Entry())
		}
	case Withdrawn, Unknown:
	}

	return Claim{}, refusal.Uncertain(refusal.OutcomeUnknown, "request %s may have run through %s", id, earlier.Token.Owner.Entry())
}

// running reports whether a claim's owner may still be at it.
func (b *Book) running(e Entry, now time.Time) bool {
	if now.Sub(asTime(e.At)) > b.timing.MaxRequestTime+b.timing.ClaimTimeout {
		return false
	}

	return e.Token.Owner == b.self || b.Alive(e.Token.Owner)
}

// abandon gives up an attempt, unless it was granted at the same moment; then the claim is withdrawn.
func (b *Book) abandon(s *shard, w *waiter, err error) (Claim, error) {
	if s.abandon(w) {
		return Claim{}, err
	}

	r := <-w.done
	if r.verdict != granted && r.verdict != owned {
		return b.resolve(w.entry, r)
	}
	b.Settle(Claim{ID: w.entry.ID, entry: w.entry}, Outcome{State: Withdrawn})

	return Claim{}, err
}

func (b *Book) nextToken() Token {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts++

	return Token{Owner: b.self, Attempt: b.attempts}
}

// ownEntry returns what this process itself knows of an ID.
func (b *Book) ownEntry(id uuid.UUID) (Entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.own[id]

	return e, ok && e.State != Withdrawn
}

// withdrawing reports whether this process made a claim, sent nothing, and has yet to write that.
func (b *Book) withdrawing(e Entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own, ok := b.own[e.ID]

	return ok && own.Token == e.Token && own.State == Withdrawn
}

// keep remembers a claim of this process.
func (b *Book) keep(e Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.own[e.ID] = e
}

// forget drops a claim whose outcome is in the store.
func (b *Book) forget(e Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.own[e.ID].Token == e.Token {
		delete(b.own, e.ID)
	}
}

func (b *Book) shardOf(id uuid.UUID) *shard {
	sum := fnv.New32a()
	_, _ = sum.Write(id[:])

	return b.shards[sum.Sum32()%shards]
}
