package work

import (
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// Sentinel errors of calls to workers.
var (
	// ErrNoAnswer means that the outcome is unknown: the call may have been carried out, or may still be.
	ErrNoAnswer = merry.Sentinel("work: no answer")
	// ErrNotSent means that the call had no effect, because it was not sent or the receiver was unavailable.
	ErrNotSent = merry.Sentinel("work: not sent")
	// ErrFenced means that the receiver has seen a higher fencing token.
	ErrFenced = merry.Sentinel("work: fenced off by a higher token")
	// ErrOldAttempt means that the worker has already ended or stopped this attempt or a later one.
	ErrOldAttempt = merry.Sentinel("work: attempt is no longer accepted")
	// ErrLate means that the lease in the call had already ended on the worker's clock.
	ErrLate = merry.Sentinel("work: lease already ended")
	// ErrNoRoom means that the worker's free capacity is too small for the task.
	ErrNoRoom = merry.Sentinel("work: no room")
	// ErrTicket means that the call lacks a valid ticket, which the worker requires.
	ErrTicket = merry.Sentinel("work: no valid ticket")
	// ErrUnhealthy means that the worker is unhealthy or overloaded and did not carry out the call.
	ErrUnhealthy = merry.Sentinel("work: worker is unhealthy")
	// ErrAnotherLife means that another incarnation responds at the worker's address.
	ErrAnotherLife = merry.Sentinel("work: another incarnation answers")
	// ErrEvacuated means that the order was not sent because the worker's zone is evacuated, or because that is not known.
	ErrEvacuated = merry.Sentinel("work: zone evacuated")
	// ErrRejected means that the receiver rejected the request as malformed.
	ErrRejected = merry.Sentinel("work: request rejected as malformed")
)

// WorkerID identifies a worker's registration.
type WorkerID string

// Life identifies one incarnation of a worker by its start time in Unix milliseconds.
type Life int64

// Registration describes a worker, as the worker itself writes it to the store.
type Registration struct {
	ID       WorkerID
	Life     Life
	Address  string
	Pool     fleet.PoolName
	Zone     fleet.ZoneName
	Capacity fleet.Resources
	// Labels holds the worker's kind and then its rack.
	Labels []string
	Rack   fleet.RackName
	// Draining workers accept no new tasks and will leave.
	Draining bool
}

// Start requests that a worker run a task.
type Start struct {
	_          struct{} `cbor:",toarray"`
	Attempt    Attempt
	Spec       string
	Checkpoint string
	Ticket     string
	// Until is the end of the lease that all runs of the worker share, on the worker's clock.
	Until time.Duration
	Token uint64
}

// Stop requests that a worker end a run.
type Stop struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	Token   uint64
}

// Pace limits the speed of a run to a percentage of its full speed.
type Pace struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	Percent int
	Token   uint64
}

// Poll renews the lease of all runs on a worker and requests the lists of its active and ended runs.
type Poll struct {
	_     struct{} `cbor:",toarray"`
	Token uint64
	// Acked is the number of the last end that is stored; the worker discards it and all earlier ones.
	Acked uint64
	// Until is the new end of the lease on the worker's clock; zero renews nothing.
	Until time.Duration
	// Wait is how long the worker may delay its reply while no run has ended.
	Wait time.Duration
}

// Answer is the part that all replies of a worker have in common.
type Answer struct {
	_ struct{} `cbor:",toarray"`
	// Clock is the reading of the worker's monotonic clock.
	Clock time.Duration
	// Life is the incarnation that replied; zero if the reply does not name it.
	Life Life
}

// PollReply is a worker's reply to a Poll.
type PollReply struct {
	Answer
	Active []Activity
	Ended  []End
}

// Workers is the set of calls to workers; tests replace its fields.
type Workers struct {
	Start func(r Registration, s Start) (Answer, error)
	Stop  func(r Registration, s Stop) (Answer, error)
	Pace  func(r Registration, p Pace) (Answer, error)
	Poll  func(r Registration, p Poll) (PollReply, error)
	// Probe shows a worker a token, so that it refuses orders under lower ones, and is not answered as late as a poll may be.
	Probe func(r Registration, token uint64) (Answer, error)
}
