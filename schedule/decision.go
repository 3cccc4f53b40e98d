package schedule

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// Kind says what was decided or learnt.
type Kind string

// The kinds of decisions.
const (
	// DecidedAssigned puts a run on a worker.
	DecidedAssigned Kind = "Assigned"
	// DecidedUnanswered is an order without an answer; the worker's token is raised to settle it.
	DecidedUnanswered Kind = "Unanswered"
	// DecidedEnded is the end of a run.
	DecidedEnded Kind = "Ended"
	// DecidedStrayEnd is work that was done by a run which was believed over.
	DecidedStrayEnd Kind = "StrayEnd"
	// DecidedStrayRun is a run that nobody should have started; it is stopped.
	DecidedStrayRun Kind = "StrayRun"
	// DecidedJobFailed is a job of which a task used up its attempts.
	DecidedJobFailed Kind = "JobFailed"
	// DecidedJobOver is a job of which nothing will start any more.
	DecidedJobOver Kind = "JobOver"
	// DecidedWorkerSilent is a worker that did not answer twice; no task is placed there until it does.
	DecidedWorkerSilent Kind = "WorkerSilent"
	// DecidedWorkerSuspected is a worker that is left alone for a time since runs failed there.
	DecidedWorkerSuspected Kind = "WorkerSuspected"
	// DecidedWorkerSlow is a worker on which nothing makes progress as its estimate promises; no task is placed there for a time.
	DecidedWorkerSlow Kind = "WorkerSlow"
	// DecidedNoAdvice is a question about workers that was not answered.
	DecidedNoAdvice Kind = "NoAdvice"
	// DecidedHostEmptying is a host that gets no new tasks, for maintenance or a move.
	DecidedHostEmptying Kind = "HostEmptying"
	// DecidedHostOrdered is the answer to an order to a host.
	DecidedHostOrdered Kind = "HostOrdered"
)

// Observer is told of each decision, for logs and metrics.
type Observer func(Decision)

// Decision is one thing that was decided or learnt about a run, a worker or a host.
type Decision struct {
	What    Kind
	Attempt work.Attempt
	Worker  work.WorkerID
	Host    fleet.HostName
	Outcome work.Outcome
	// Reason says what decided it.
	Reason string
	// Standing is how much may still come of the job.
	Standing string
	// Age is how old the job was, or how long the run had run as far as is known.
	Age time.Duration
	// Token is the worker's fencing token.
	Token uint64
}
