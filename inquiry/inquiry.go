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
	// queryTimeout limits a query to the owner, which answers from memory.
	queryTimeout = 200 * time.Millisecond
	// failureBackoff is how long no query is sent after the owner failed to answer one.
	failureBackoff = time.Second
	// maxJobs is the maximum number of jobs in one query.
	maxJobs = 256
)

// Client queries the owner for job states and batches the requests of concurrent callers into one query.
type Client struct {
	exchange func(address string) platform.Exchange
	// owner returns the owner known to this host and its term; the term is zero if there is no owner.
	owner func() (ledger.Owner, uint64)
	log   *log.Logger

	mu      sync.Mutex
	queue   []*pendingState
	running bool
	// lastFailure is the time at which the last failed query ended.
	lastFailure time.Time
}

// pendingState is a caller's request for the state of a job.
type pendingState struct {
	job Job
	// result receives the state if the owner knows it, and is then closed.
	result chan ledger.State
}

// Job identifies a job and the workspace that asks for it. The state of another workspace's job is not disclosed.
type Job struct {
	_         struct{} `cbor:",toarray"`
	ID        fleet.JobID
	Workspace fleet.WorkspaceName
}

type wireQuery struct {
	Term uint64 `cbor:"1,keyasint"`
	Jobs []Job  `cbor:"2,keyasint"`
}

type wireAnswer struct {
	// States holds the state of each job, in the order of the query.
	States []wireState `cbor:"1,keyasint"`
}

type wireState struct {
	_     struct{} `cbor:",toarray"`
	Known bool
	State ledger.State
}

// NewClient returns a client. Function exchange returns the exchange with the peer at an address, and owner returns the
// owner known to this host and its term.
func NewClient(exchange func(address string) platform.Exchange, owner func() (ledger.Owner, uint64), l *log.Logger) *Client {
	return &Client{exchange: exchange, owner: owner, log: l}
}

// State returns the state of a job as known to the owner, and whether the owner supplied it.
func (c *Client) State(ctx context.Context, j Job) (ledger.State, bool) {
	p := c.enqueue(ctx, j)
	if p == nil {
		return ledger.Queued, false
	}
	select {
	case s, ok := <-p.result:
		return s, ok
	case <-ctx.Done():
		return ledger.Queued, false
	}
}

// enqueue queues a request for a job's state, or returns nil during the backoff after a failed query.
func (c *Client) enqueue(ctx context.Context, j Job) *pendingState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lastFailure.IsZero() && time.Since(c.lastFailure) < failureBackoff {
		return nil
	}
	p := &pendingState{job: j, result: make(chan ledger.State, 1)}
	c.queue = append(c.queue, p)
	if !c.running {
		c.running = true
		go c.run(context.WithoutCancel(ctx))
	}

	return p
}

// run sends queries until the queue is empty; requests that arrive during a query go into the next one.
func (c *Client) run(ctx context.Context) {
	for {
		batch := c.nextBatch()
		if len(batch) == 0 {
			return
		}
		states, err := c.send(ctx, batch)
		if err != nil {
			c.fail(err)
		}
		for i, p := range batch {
			if i < len(states) && states[i].Known {
				p.result <- states[i].State
			}
			close(p.result)
		}
	}
}

// nextBatch returns the requests of the next query; an empty batch ends run.
func (c *Client) nextBatch() []*pendingState {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.queue), maxJobs)
	batch := slices.Clone(c.queue[:n])
	c.queue = c.queue[n:]
	c.running = n > 0

	return batch
}

// send queries the owner and returns the states in the order of the batch, or none if there is no owner.
func (c *Client) send(ctx context.Context, batch []*pendingState) ([]wireState, error) {
	owner, term := c.owner()
	if term == 0 {
		return nil, nil
	}
	m := wireQuery{Term: term}
	for _, p := range batch {
		m.Jobs = append(m.Jobs, p.job)
	}
	var reply wireAnswer
	err := relay.Send(ctx, c.exchange(owner.PeerAddress), Path, queryTimeout, m, &reply)

	return reply.States, err
}

// fail starts the backoff after a failed query and releases all queued callers without a state.
func (c *Client) fail(err error) {
	c.log.Debug("owner did not answer a job state query, using the local copy of the ledger", "error", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFailure = time.Now()
	for _, p := range c.queue {
		close(p.result)
	}
	c.queue = nil
}
