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
	// lateness is longer than a claim is tried for.
	lateness = 5 * time.Second
)

// desk is several books over one store and an endpoint that counts what runs.
type desk struct {
	ctx    context.Context
	cancel context.CancelFunc
	store  *standin.Store
	rng    *rand.Rand
	timing claim.Timing

	mu    sync.Mutex
	books map[string]*process
	runs  map[string]int
	// claimed has the IDs that were claimed by any attempt, told those of which something untrue was said.
	claimed  map[string]bool
	violated error
}

// process is one entry host with its book.
type process struct {
	desk   *desk
	self   fleet.Incarnation
	book   *claim.Book
	cancel context.CancelFunc

	mu                    sync.Mutex
	down, lose, late, die bool
}

func newDesk(t *testing.T, seed uint64, names ...string) *desk {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	d := &desk{
		ctx: ctx, cancel: cancel, store: standin.NewStore(), rng: rand.New(rand.NewPCG(seed, 2)), timing: claim.DefaultTiming(),
		books: map[string]*process{}, runs: map[string]int{}, claimed: map[string]bool{},
	}
	for _, name := range names {
		d.boot(name)
	}

	return d
}

func (d *desk) stop() {
	d.cancel()
	time.Sleep(2 * d.timing.MaxRequestTime)
}

func (d *desk) boot(name string) {
	ctx, cancel := context.WithCancel(d.ctx)
	p := &process{desk: d, self: fleet.NewIncarnation(fleet.EntryName(name)), cancel: cancel}
	p.book = claim.New(p.client(), p.self, claim.WithTiming(d.timing))
	p.book.Alive = d.alive
	d.mu.Lock()
	d.books[name] = p
	d.mu.Unlock()
	go p.book.Run(ctx)
}

func (d *desk) alive(i fleet.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.books[string(i.Entry())]

	return p.self == i
}

func (p *process) set(change func(*process)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func (p *process) client() *store.Client {
	c := *p.desk.store.Client()
	get, swap := c.Get, c.CompareAndSwap
	c.Get = func(ctx context.Context, key string) (store.Record, error) {
		p.mu.Lock()
		down := p.down
		p.mu.Unlock()
		if down {
			return store.Record{}, store.ErrUnavailable
		}
		return get(ctx, key)
	}
	c.CompareAndSwap = func(ctx context.Context, w store.Write) (uint64, error) {
		p.mu.Lock()
		down, lose, late := p.down, p.lose, p.late
		p.mu.Unlock()
		switch {
		case down:
			return 0, store.ErrUnavailable
		case late:
			go func() {
				time.Sleep(lateness)
				_, _ = swap(p.desk.ctx, w)
			}()
			return 0, store.ErrOutcomeUnknown
		}
		r, err := swap(ctx, w)
		if lose && err == nil {
			return 0, store.ErrOutcomeUnknown
		}
		return r, err
	}

	return &c
}

// body returns the one body that a request ID goes with.
func body(id string) [sha256.Size]byte {
	return sha256.Sum256([]byte("body of " + id))
}

// post makes one attempt through a process, as an entry host would, and returns what the caller is told.
func (d *desk) post(ctx context.Context, name, id string, runs time.Duration) error {
	d.mu.Lock()
	p := d.books[name]
	d.mu.Unlock()

	c, err := p.book.Claim(ctx, team, id, body(id))
	if err != nil {
		d.checkTold(id, err)
		return err
	}
	if c.Answer != nil {
		d.check(string(c.Answer.Body) == "answer to "+id && d.count(id) == 1, "%s was told %q after %d runs", id, c.Answer.Body, d.count(id))
		return nil
	}

	d.mu.Lock()
	d.claimed[id] = true
	d.runs[id]++
	n := d.runs[id]
	d.mu.Unlock()
	d.check(n == 1, "%s runs for the %d. time, through %s", id, n, name)
	time.Sleep(runs)
	if p.died() {
		return refusal.Uncertain(refusal.OutcomeUnknown, "%s died", name)
	}
	answer := &claim.Answer{Status: 200, Body: []byte("answer to " + id)}
	p.book.Settle(c, claim.Outcome{State: claim.Done, Answer: answer})

	return nil
}

// died reports whether the process is to die with its requests.
func (p *process) died() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.die
}

// kill replaces a process by an empty one of the same name.
func (d *desk) kill(name string) {
	d.mu.Lock()
	p := d.books[name]
	d.mu.Unlock()
	p.set(func(p *process) { p.die, p.down = true, true })
	p.cancel()
	d.boot(name)
}

func (d *desk) count(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id]
}

// checkTold compares what a caller is told with what is true.
func (d *desk) checkTold(id string, err error) {
	var unknown *refusal.UnknownError
	if !errors.As(err, &unknown) {
		return
	}
	if unknown.Code == refusal.AlreadyDone {
		d.check(d.count(id) == 1, "%s was told %v after %d runs", id, err, d.count(id))
	}
}

func (d *desk) check(ok bool, format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !ok && d.violated == nil {
		d.violated = fmt.Errorf(format, args...)
	}
}

func (d *desk) set(change func(*process)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.books {
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

// code returns the code that the caller was told.
func code(err error) refusal.Code {
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
