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
	// shardCount is the number of shards that IDs are hashed to; all processes must use the same number.
	shardCount = 4
	// requestIDVersion is the UUID version that contains a timestamp.
	requestIDVersion = 7
	// storeRetryAfter is the retry delay given to callers when the store is unavailable.
	storeRetryAfter = time.Second
)

// Timing has the durations and sizes of the protocol; all entry hosts must use the same values.
type Timing struct {
	// Retention is how long a request ID may be used after its creation.
	Retention time.Duration
	// MaxSkew is how far the timestamp of an ID may be ahead of this process's clock.
	MaxSkew time.Duration
	// MaxRequestTime is the maximum run time of a request.
	MaxRequestTime time.Duration
	// WriteInterval is the time between two writes to one shard while claims are pending.
	WriteInterval time.Duration
	// OutcomeInterval is the maximum time that an outcome is held back to be written along with a claim.
	OutcomeInterval time.Duration
	// ClaimTimeout bounds one call of Claim, including retries.
	ClaimTimeout time.Duration
	// CallTimeout bounds one call to the store.
	CallTimeout time.Duration
	// SealThreshold is the size of a head's entries at which they are moved to a segment, in bytes.
	SealThreshold int
	// MaxBatchSize bounds the entries added by one write, in bytes.
	MaxBatchSize int
	// AnswerSize is the maximum size of a stored answer body, in bytes.
	AnswerSize int
}

// DefaultTiming returns the timing for entry hosts within one region.
func DefaultTiming() Timing {
	return Timing{
		Retention:       time.Hour,
		MaxSkew:         time.Minute,
		MaxRequestTime:  30 * time.Second,
		WriteInterval:   200 * time.Millisecond,
		OutcomeInterval: time.Second,
		ClaimTimeout:    3 * time.Second,
		CallTimeout:     time.Second,
		SealThreshold:   128 << 10,
		MaxBatchSize:    96 << 10,
		AnswerSize:      1 << 10,
	}
}

// Claim is the right to send a request once, or the answer that an earlier attempt received.
type Claim struct {
	ID uuid.UUID
	// Answer is the answer to return instead of sending the request; nil if the request is to be sent.
	Answer *Answer

	entry Entry
}

// Outcome is the result of a claimed request.
type Outcome struct {
	State  State
	Answer *Answer
}

// Registry claims request IDs and stores the outcomes of the requests.
type Registry struct {
	// Alive reports whether a process is a live member as far as this process knows.
	Alive func(owner fleet.Incarnation) bool

	self   fleet.Incarnation
	client *store.Client
	timing Timing
	// cacheBytes bounds the decoded segments of all shards.
	cacheBytes int
	shards     [shardCount]*shard

	mu       sync.Mutex
	attempts uint64
	// ownClaims has the claims of this process whose outcomes aren't stored yet.
	ownClaims map[uuid.UUID]Entry
}

// Option configures a Registry.
type Option func(*Registry)

// WithTiming sets the durations and sizes of the protocol.
func WithTiming(t Timing) Option {
	return func(b *Registry) { b.timing = t }
}

// WithCacheBytes bounds the decoded segments that the registry keeps, in bytes.
func WithCacheBytes(n int) Option {
	return func(b *Registry) { b.cacheBytes = n }
}

// New returns a registry for one process; no claim succeeds before Run is called.
func New(client *store.Client, self fleet.Incarnation, opts ...Option) *Registry {
	b := &Registry{
		Alive:      func(fleet.Incarnation) bool { return false },
		self:       self,
		client:     client,
		timing:     DefaultTiming(),
		cacheBytes: DefaultCacheBytes,
		ownClaims:  map[uuid.UUID]Entry{},
	}
	for _, opt := range opts {
		opt(b)
	}
	for i := range b.shards {
		b.shards[i] = newShard(b, i)
	}

	return b
}

// Run writes claims and outcomes until ctx is done.
func (reg *Registry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range reg.shards {
		wg.Go(func() { s.run(ctx) })
	}
	wg.Wait()
}

// Claim returns the right to send a request, or the answer that an earlier attempt received.
//
// A NotRunError means that this attempt sent nothing and never will; only with
// RequestExpired and StoreUnavailable may an earlier attempt with the same ID
// have run. An UnknownError reports the state of an earlier attempt.
func (reg *Registry) Claim(ctx context.Context, team fleet.TeamName, id string, digest [sha256.Size]byte) (Claim, error) {
	now := time.Now()
	u, err := reg.validateID(id, now)
	if err != nil {
		return Claim{}, err
	}

	attempt := Entry{ID: u, State: Claimed, Sum: requestSum(team, digest), Token: reg.nextToken(), At: now.UnixMilli()}
	if earlier, ok := reg.ownEntry(u); ok {
		return reg.repeatResult(attempt, earlier, now)
	}

	w := &waiter{entry: attempt, done: make(chan result, 1)}
	s := reg.shardOf(u)
	s.enqueue(w)

	timeout := time.NewTimer(reg.timing.ClaimTimeout)
	defer timeout.Stop()
	select {
	case r := <-w.done:
		return reg.resolve(w.entry, r)
	case <-ctx.Done():
		return reg.abandon(s, w, refusal.Refuse(refusal.Cancelled, "request %s was cancelled before it was claimed", u))
	case <-timeout.C:
		return reg.abandon(s, w, refusal.Refuse(refusal.StoreUnavailable,
			"request %s could not be claimed; repeat it with the same ID", u).WithRetryAfter(storeRetryAfter))
	}
}

// RecordOutcome records the outcome of a claimed request, which is written along with later claims.
func (reg *Registry) RecordOutcome(c Claim, o Outcome) {
	e := c.entry.WithState(o.State)
	if o.State == Done && o.Answer != nil && len(o.Answer.Body) <= reg.timing.AnswerSize {
		e = e.WithAnswer(o.Answer)
	}

	reg.mu.Lock()
	reg.ownClaims[e.ID] = e
	reg.mu.Unlock()
	reg.shardOf(e.ID).addOutcome(e)
}

// Close writes all pending outcomes.
func (reg *Registry) Close(ctx context.Context) error {
	for _, s := range reg.shards {
		for s.hasOutcomes() {
			if err := s.flush(ctx); err != nil && !errors.Is(err, store.ErrConflict) {
				return err
			}
		}
	}

	return nil
}

// validateID parses a request ID, and refuses one whose timestamp is outside of the retention period.
func (reg *Registry) validateID(id string, now time.Time) (uuid.UUID, error) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != requestIDVersion {
		return u, refusal.Refuse(refusal.RequestInvalid, "request ID %q is not a UUID of version 7", id)
	}

	created := fromMillis(creationMillis(u))
	if created.After(now.Add(reg.timing.MaxSkew)) {
		return u, refusal.Refuse(refusal.RequestInvalid, "request ID %s was made at %s, in the future", u, created.UTC())
	}
	if now.Sub(created) > reg.timing.Retention {
		return u, expiredError(u)
	}

	return u, nil
}

func expiredError(u uuid.UUID) error {
	return refusal.Refuse(refusal.RequestExpired, "request ID %s was made at %s, too long ago", u, fromMillis(creationMillis(u)).UTC())
}

// resolve converts a shard's result into the return values of Claim.
func (reg *Registry) resolve(attempt Entry, r result) (Claim, error) {
	switch r.decision {
	case granted, alreadyGranted:
		return Claim{ID: attempt.ID, entry: attempt}, nil
	case expired:
		return Claim{}, expiredError(attempt.ID)
	default:
		return reg.repeatResult(attempt, r.earlier, time.Now())
	}
}

// repeatResult returns what a repeat is answered, given the entry of the earlier attempt.
func (reg *Registry) repeatResult(attempt, earlier Entry, now time.Time) (Claim, error) {
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
		if reg.withdrawalPending(earlier) {
			return Claim{}, refusal.Refuse(refusal.StoreUnavailable,
				"an earlier attempt of request %s is being withdrawn; repeat it with the same ID", id).WithRetryAfter(storeRetryAfter)
		}
		if reg.mayBeRunning(earlier, now) {
			return Claim{}, refusal.Uncertain(refusal.InProgress, "request %s is in progress on %s", id, earlier.Token.Owner.Entry())
		}
	case Withdrawn, Unknown:
	}

	return Claim{}, refusal.Uncertain(refusal.OutcomeUnknown, "request %s may have run through %s", id, earlier.Token.Owner.Entry())
}

// mayBeRunning reports whether a claim's owner may still be executing the request.
func (reg *Registry) mayBeRunning(e Entry, now time.Time) bool {
	if now.Sub(fromMillis(e.At)) > reg.timing.MaxRequestTime+reg.timing.ClaimTimeout {
		return false
	}

	return e.Token.Owner == reg.self || reg.Alive(e.Token.Owner)
}

// abandon gives up an attempt; if its claim was granted in the meantime, the claim is withdrawn.
func (reg *Registry) abandon(s *shard, w *waiter, err error) (Claim, error) {
	if s.abandon(w) {
		return Claim{}, err
	}

	r := <-w.done
	if r.decision != granted && r.decision != alreadyGranted {
		return reg.resolve(w.entry, r)
	}
	reg.RecordOutcome(Claim{ID: w.entry.ID, entry: w.entry}, Outcome{State: Withdrawn})

	return Claim{}, err
}

func (reg *Registry) nextToken() Token {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.attempts++

	return Token{Owner: reg.self, Attempt: reg.attempts}
}

// ownEntry returns this process's own claim of an ID, unless it was withdrawn.
func (reg *Registry) ownEntry(id uuid.UUID) (Entry, bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	e, ok := reg.ownClaims[id]

	return e, ok && e.State != Withdrawn
}

// withdrawalPending reports whether e is a claim of this process whose withdrawal isn't stored yet.
func (reg *Registry) withdrawalPending(e Entry) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	own, ok := reg.ownClaims[e.ID]

	return ok && own.Token == e.Token && own.State == Withdrawn
}

func (reg *Registry) addOwn(e Entry) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.ownClaims[e.ID] = e
}

// removeOwn removes a claim whose outcome is stored, unless the ID was claimed again since.
func (reg *Registry) removeOwn(e Entry) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.ownClaims[e.ID].Token == e.Token {
		delete(reg.ownClaims, e.ID)
	}
}

func (reg *Registry) shardOf(id uuid.UUID) *shard {
	sum := fnv.New32a()
	_, _ = sum.Write(id[:])

	return reg.shards[sum.Sum32()%shardCount]
}
