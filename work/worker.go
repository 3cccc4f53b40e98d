package work

import (
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// Sentinel errors of calls to workers.
var (
	// ErrNoAnswer says that a call may have been carried out, or may be later.
	ErrNoAnswer = merry.Sentinel("work: no answer")
	// ErrNotSent says that a call surely did not reach the worker.
	ErrNotSent = merry.Sentinel("work: not sent")
	// ErrFenced says that the worker has seen a higher fencing token.
	ErrFenced = merry.Sentinel("work: fenced off by a higher token")
	// ErrOldAttempt says that the worker has ended or stopped this attempt or a later one.
	ErrOldAttempt = merry.Sentinel("work: attempt is no longer accepted")
	// ErrLate says that the lease in the call had ended on the worker's clock.
	ErrLate = merry.Sentinel("work: lease already ended")
	// ErrNoRoom says that the worker has no room for the task.
	ErrNoRoom = merry.Sentinel("work: no room")
	// ErrTicket says that the worker wants a valid ticket.
	ErrTicket = merry.Sentinel("work: no valid ticket")
	// ErrUnhealthy says that an unhealthy worker did nothing.
	ErrUnhealthy = merry.Sentinel("work: worker is unhealthy")
	// ErrAnotherLife says that another incarnation answers at the worker's address.
	ErrAnotherLife = merry.Sentinel("work: another incarnation answers")
	// ErrRejected says that the worker calls the request malformed.
	ErrRejected = merry.Sentinel("work: request rejected as malformed")
)

// WorkerID identifies a worker's registration.
type WorkerID string

// Life identifies one incarnation of a worker, as the time of its start in Unix milliseconds.
type Life int64

// Registration is what a worker says about itself in the store.
type Registration struct {
	ID       WorkerID
	Life     Life
	Address  string
	Pool     fleet.PoolName
	Zone     fleet.ZoneName
	Capacity fleet.Resources
	// Labels are the worker's kind and its rack.
	Labels []string
	Rack   fleet.RackName
	// Draining workers take no new tasks and will leave.
	Draining bool
}

// Start orders a worker to run a task.
type Start struct {
	_          struct{} `cbor:",toarray"`
	Attempt    Attempt
	Spec       string
	Checkpoint string
	Ticket     string
	// Until is the end of the lease of all that runs there, on the worker's clock.
	Until time.Duration
	Token uint64
}

// Stop orders a worker to end a run.
type Stop struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	Token   uint64
}

// Pace sets how much of its speed a run may work at.
type Pace struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	Percent int
	Token   uint64
}

// Poll renews the leases of all that runs on a worker and asks what runs and what has ended.
type Poll struct {
	_     struct{} `cbor:",toarray"`
	Token uint64
	// Acked is the number of the last end that is stored; the worker forgets it and all before.
	Acked uint64
	// Until is the end of the lease on the worker's clock; zero renews nothing.
	Until time.Duration
	// Wait is how long the worker may hold the answer back until there is an end.
	Wait time.Duration
}

// Answer is what every answer of a worker has.
type Answer struct {
	_ struct{} `cbor:",toarray"`
	// Clock is the worker's own steady clock.
	Clock time.Duration
	// Life is the incarnation that answered; zero where the answer does not say.
	Life Life
}

// PollReply is a worker's answer to a poll.
type PollReply struct {
	Answer
	Active []Activity
	Ended  []End
}

// Workers is the set of calls that workers answer; its fields are seams for tests.
type Workers struct {
	Start func(r Registration, s Start) (Answer, error)
	Stop  func(r Registration, s Stop) (Answer, error)
	Pace  func(r Registration, p Pace) (Answer, error)
	Poll  func(r Registration, l Poll) (PollReply, error)
}
