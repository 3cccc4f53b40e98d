package claim_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"lycheehook.example/lycheehook/claim"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

const (
	team = fleet.TeamName("posting")
	// writeDelay is longer than Timing.ClaimTimeout, so a delayed write takes effect after its claim was abandoned.
	writeDelay = 5 * time.Second
)

// cluster is a set of entry hosts with one store, and an endpoint that counts the runs of each request.
type cluster struct {
	ctx    context.Context
	cancel context.CancelFunc
	store  *standin.Store
	rng    *rand.Rand
	timing claim.Timing

	mu        sync.Mutex
	processes map[string]*process
	runs      map[string]int
	// claimed has the IDs that were claimed by any attempt.
	claimed map[string]bool
	// violation is the first violation of a guarantee.
	violation error
}

// process is one process of an entry host with its registry.
type process struct {
	cluster  *cluster
	self     fleet.Incarnation
	registry *claim.Registry
	cancel   context.CancelFunc

	mu sync.Mutex
	// storeDown, loseAnswers and delayWrites are faults of the store that only this process sees.
	storeDown, loseAnswers, delayWrites, crashed bool
}

func newCluster(t *testing.T, seed uint64, names ...string) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cl := &cluster{
		ctx: ctx, cancel: cancel, store: standin.NewStore(), rng: rand.New(rand.NewPCG(seed, 2)), timing: claim.DefaultTiming(),
		processes: map[string]*process{}, runs: map[string]int{}, claimed: map[string]bool{},
	}
	for _, name := range names {
		cl.start(name)
	}

	return cl
}

func (cl *cluster) stop() {
	cl.cancel()
	time.Sleep(2 * cl.timing.MaxRequestTime)
}

func (cl *cluster) start(name string) {
	ctx, cancel := context.WithCancel(cl.ctx)
	p := &process{cluster: cl, self: fleet.NewIncarnation(fleet.EntryName(name)), cancel: cancel}
	p.registry = claim.New(p.client(), p.self, claim.WithTiming(cl.timing))
	p.registry.Alive = cl.alive
	cl.mu.Lock()
	cl.processes[name] = p
	cl.mu.Unlock()
	go p.registry.Run(ctx)
}

func (cl *cluster) alive(i fleet.Incarnation) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	p := cl.processes[string(i.Entry())]

	return p.self == i
}

func (p *process) set(change func(*process)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func (p *process) client() *store.Client {
	c := *p.cluster.store.Client()
	get, swap := c.Get, c.CompareAndSwap
	c.Get = func(ctx context.Context, key string) (store.Record, error) {
		p.mu.Lock()
		storeDown := p.storeDown
		p.mu.Unlock()
		if storeDown {
			return store.Record{}, store.ErrUnavailable
		}
		return get(ctx, key)
	}
	c.CompareAndSwap = func(ctx context.Context, w store.Write) (uint64, error) {
		p.mu.Lock()
		storeDown, loseAnswers, delayWrites := p.storeDown, p.loseAnswers, p.delayWrites
		p.mu.Unlock()
		switch {
		case storeDown:
			return 0, store.ErrUnavailable
		case delayWrites:
			go func() {
				time.Sleep(writeDelay)
				_, _ = swap(p.cluster.ctx, w)
			}()
			return 0, store.ErrOutcomeUnknown
		}
		r, err := swap(ctx, w)
		if loseAnswers && err == nil {
			return 0, store.ErrOutcomeUnknown
		}
		return r, err
	}

	return &c
}

// bodyDigest returns the digest of the only body that is sent with a request ID.
func bodyDigest(id string) [sha256.Size]byte {
	return sha256.Sum256([]byte("body of " + id))
}

// attempt makes one attempt through a process, as an entry host would, and returns the error for the caller.
func (cl *cluster) attempt(ctx context.Context, name, id string, runTime time.Duration) error {
	cl.mu.Lock()
	p := cl.processes[name]
	cl.mu.Unlock()

	c, err := p.registry.Claim(ctx, team, id, bodyDigest(id))
	if err != nil {
		cl.checkError(id, err)
		return err
	}
	if c.Answer != nil {
		cl.check(string(c.Answer.Body) == "answer to "+id && cl.count(id) == 1, "repeat of %s returned answer %q after %d runs", id, c.Answer.Body, cl.count(id))
		return nil
	}

	cl.mu.Lock()
	cl.claimed[id] = true
	cl.runs[id]++
	n := cl.runs[id]
	cl.mu.Unlock()
	cl.check(n == 1, "request %s was executed %d times, last through %s", id, n, name)
	time.Sleep(runTime)
	if p.hasCrashed() {
		return refusal.Uncertain(refusal.OutcomeUnknown, "%s crashed", name)
	}
	answer := &claim.Answer{Status: 200, Body: []byte("answer to " + id)}
	p.registry.RecordOutcome(c, claim.Outcome{State: claim.Done, Answer: answer})

	return nil
}

// hasCrashed reports whether the process was stopped, which its running requests don't survive.
func (p *process) hasCrashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashed
}

// restart crashes a process and starts a new one with the same name and no state.
func (cl *cluster) restart(name string) {
	cl.mu.Lock()
	p := cl.processes[name]
	cl.mu.Unlock()
	p.set(func(p *process) { p.crashed, p.storeDown = true, true })
	p.cancel()
	cl.start(name)
}

func (cl *cluster) count(id string) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.runs[id]
}

// checkError checks that an AlreadyDone error is returned only after exactly one run.
func (cl *cluster) checkError(id string, err error) {
	var unknown *refusal.UnknownError
	if !errors.As(err, &unknown) {
		return
	}
	if unknown.Code == refusal.AlreadyDone {
		cl.check(cl.count(id) == 1, "repeat of %s returned %v after %d runs", id, err, cl.count(id))
	}
}

func (cl *cluster) check(ok bool, format string, args ...any) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if !ok && cl.violation == nil {
		cl.violation = fmt.Errorf(format, args...)
	}
}

func (cl *cluster) set(change func(*process)) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, p := range cl.processes {
		p.set(change)
	}
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		panic(err)
	}
	ms := time.Now().UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}

	return id.String()
}

// codeOf returns the refusal code of an error, or an empty code.
func codeOf(err error) refusal.Code {
	var notRun *refusal.NotRunError
	var unknown *refusal.UnknownError
	switch {
	case errors.As(err, &notRun):
		return notRun.Code
	case errors.As(err, &unknown):
		return unknown.Code
	}

	return ""
}
