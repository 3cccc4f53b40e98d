package inquiry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/relay"
)

const (
	// askTimeout bounds a message to the owner, which answers from memory.
	askTimeout = 200 * time.Millisecond
	// failurePause is how long the owner is not asked after it did not answer.
	failurePause = time.Second
	// maxJobs bounds the jobs that one message asks for.
	maxJobs = 256
)

// Asker asks the owner for states, for many callers in one message.
type Asker struct {
	to func(address string) platform.Exchange
	// owner returns the owner as far as this host knows, and its term; zero if there is none.
	owner func() (ledger.Owner, uint64)
	log   *log.Logger

	mu      sync.Mutex
	waiting []*question
	busy    bool
	// failed is when the owner last did not answer.
	failed time.Time
}

// question is one caller's wait for a state.
type question struct {
	job Job
	// answer gets one value, or is closed if there is none.
	answer chan ledger.State
}

// Job names a job for the workspace that asks for it; one of another workspace is not told of.
type Job struct {
	_         struct{} `cbor:",toarray"`
	ID        fleet.JobID
	Workspace fleet.WorkspaceName
}

type wireQuestion struct {
	Term uint64 `cbor:"1,keyasint"`
	Jobs []Job  `cbor:"2,keyasint"`
}

type wireAnswer struct {
	// States has what the owner tells of each job, in the order of the question.
	States []wireState `cbor:"1,keyasint"`
}

type wireState struct {
	_     struct{} `cbor:",toarray"`
	Known bool
	State ledger.State
}

// NewAsker returns an asker; to returns the exchange with a peer, owner the owner as far as this host knows and its term.
func NewAsker(to func(address string) platform.Exchange, owner func() (ledger.Owner, uint64), l *log.Logger) *Asker {
	return &Asker{to: to, owner: owner, log: l}
}

// State returns the state of a job as the owner knows it, and whether the owner has told.
func (a *Asker) State(ctx context.Context, j Job) (ledger.State, bool) {
	q := a.ask(ctx, j)
	if q == nil {
		return ledger.Queued, false
	}
	select {
	case s, ok := <-q.answer:
		return s, ok
	case <-ctx.Done():
		return ledger.Queued, false
	}
}

// ask puts a question, or returns nil while the owner does not answer.
func (a *Asker) ask(ctx context.Context, j Job) *question {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.failed.IsZero() && time.Since(a.failed) < failurePause {
		return nil
	}
	q := &question{job: j, answer: make(chan ledger.State, 1)}
	a.waiting = append(a.waiting, q)
	if !a.busy {
		a.busy = true
		go a.work(context.WithoutCancel(ctx))
	}

	return q
}

// work sends messages until nobody waits; who comes meanwhile is asked for in the next one.
func (a *Asker) work(ctx context.Context) {
	for {
		batch := a.take()
		if len(batch) == 0 {
			return
		}
		states, err := a.send(ctx, batch)
		if err != nil {
			a.fail(err)
		}
		for i, q := range batch {
			if i < len(states) && states[i].Known {
				q.answer <- states[i].State
			}
			close(q.answer)
		}
	}
}

// take returns the questions of the next message; none ends the work.
func (a *Asker) take() []*question {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(a.waiting), maxJobs)
	batch := slices.Clone(a.waiting[:n])
	a.waiting = a.waiting[n:]
	a.busy = n > 0

	return batch
}

// send asks the owner; without one there are no states.
func (a *Asker) send(ctx context.Context, batch []*question) ([]wireState, error) {
	owner, term := a.owner()
	if term == 0 {
		return nil, nil
	}
	m := wireQuestion{Term: term}
	for _, q := range batch {
		m.Jobs = append(m.Jobs, q.job)
	}
	var reply wireAnswer
	err := relay.Send(ctx, a.to(owner.PeerAddress), Path, askTimeout, m, &reply)

	return reply.States, err
}

// fail notes that the owner did not answer, and lets those who wait go.
func (a *Asker) fail(err error) {
	a.log.Debug("owner did not tell states, this host's copy of the ledger is used", "error", err)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failed = time.Now()
	for _, q := range a.waiting {
		close(q.answer)
	}
	a.waiting = nil
}
