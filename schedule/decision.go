package schedule

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// DecisionKind is the kind of a decision or an observation.
type DecisionKind string

// The kinds of decisions.
const (
	// DecidedAssigned is the assignment of a run to a worker.
	DecidedAssigned DecisionKind = "Assigned"
	// DecidedUnanswered is a start without an answer; the worker's token is raised to learn whether it began.
	DecidedUnanswered DecisionKind = "Unanswered"
	// DecidedEnded is the end of a run.
	DecidedEnded DecisionKind = "Ended"
	// DecidedStrayEnd is work completed by a run that was believed over.
	DecidedStrayEnd DecisionKind = "StrayEnd"
	// DecidedStrayRun is an active run that is not in the scheduler's tables; it holds its task.
	DecidedStrayRun DecisionKind = "StrayRun"
	// DecidedLateStartExpected is a start without an answer that its worker has not carried out, but the worker's next incarnation may.
	DecidedLateStartExpected DecisionKind = "LateStartExpected"
	// DecidedJobFailed is the failure of a job because a task has used up its attempts.
	DecidedJobFailed DecisionKind = "JobFailed"
	// DecidedJobOver is the end of a job, after which none of its tasks starts.
	DecidedJobOver DecisionKind = "JobOver"
	// DecidedWorkerSilent is a worker that left session.MaxMissed polls in a row unanswered; no task is placed there until
	// it answers.
	DecidedWorkerSilent DecisionKind = "WorkerSilent"
	// DecidedWorkerSuspected is a worker that gets no tasks for a time because runs failed there.
	DecidedWorkerSuspected DecisionKind = "WorkerSuspected"
	// DecidedWorkerCrashed is a worker that ended unexpectedly, which speaks against the tasks that ran there.
	DecidedWorkerCrashed DecisionKind = "WorkerCrashed"
	// DecidedRestartSuspected is a worker that must have restarted: its clock in an answer is behind, or another incarnation has answered a
	// probe. It is polled.
	DecidedRestartSuspected DecisionKind = "RestartSuspected"
	// DecidedWorkerSlow is a worker whose runs are far slower than estimated; it gets no tasks for a time.
	DecidedWorkerSlow DecisionKind = "WorkerSlow"
	// DecidedRoomReserved is room that is kept for a task that found none, or for a gang; Age is the time until it is expected.
	DecidedRoomReserved DecisionKind = "RoomReserved"
	// DecidedReservationMoved is a reservation that others will fulfil sooner, or whose worker is no longer usable.
	DecidedReservationMoved DecisionKind = "ReservationMoved"
	// DecidedReservationUsed is a reservation that its task has taken.
	DecidedReservationUsed DecisionKind = "ReservationUsed"
	// DecidedReservationDropped is a reservation that is not needed any more.
	DecidedReservationDropped DecisionKind = "ReservationDropped"
	// DecidedBackfilled is a task that was placed in reserved room because it is likely to end before that is used.
	DecidedBackfilled DecisionKind = "Backfilled"
	// DecidedNoAdvice is a question about workers that was not answered.
	DecidedNoAdvice DecisionKind = "NoAdvice"
	// DecidedUnstarted is an accepted job of which no ready task has started for some seconds, with a new reason.
	DecidedUnstarted DecisionKind = "Unstarted"
	// DecidedPoolShort is a pool that lacks room for all that waits, so that its steps are placed by fair shares; observed once a second.
	DecidedPoolShort DecisionKind = "PoolShort"
	// DecidedHostDraining is a host that gets no new tasks because of planned maintenance or a planned move.
	DecidedHostDraining DecisionKind = "HostEmptying"
	// DecidedHostKept is a host that stays in service although its maintenance is due, since its lasting tasks can't leave.
	DecidedHostKept DecisionKind = "HostKept"
	// DecidedHostHeld is a host that has got no tasks for some seconds, as it is to be maintained or moved; Age is for how long.
	DecidedHostHeld DecisionKind = "HostHeld"
	// DecidedZoneEvacuated is an availability zone whose workers get no tasks from now on, DecidedZoneReturned one whose workers
	// do again.
	DecidedZoneEvacuated DecisionKind = "ZoneEvacuated"
	DecidedZoneReturned  DecisionKind = "ZoneReturned"
	// DecidedZoneUnknown is an evacuation of a zone without workers, which has no effect.
	DecidedZoneUnknown DecisionKind = "ZoneUnknown"
	// DecidedNoZoneLeft is an evacuation after which no zone has workers that get tasks.
	DecidedNoZoneLeft DecisionKind = "NoZoneLeft"
	// DecidedHostOrdered is the answer to an order to a host.
	DecidedHostOrdered DecisionKind = "HostOrdered"
)

// Observer is called with each decision, for logs and metrics.
type Observer func(Decision)

// Decision is a decision or an observation about a run, a worker or a host.
type Decision struct {
	Kind    DecisionKind
	Attempt work.Attempt
	Worker  work.WorkerID
	Host    fleet.HostName
	Zone    fleet.ZoneName
	Outcome work.Outcome
	// Reason is why the decision was made.
	Reason string
	// Urgency is the urgency class of the job.
	Urgency string
	// Age is the age of the job, or the known duration of the run.
	Age time.Duration
	// Token is the fencing token, Life the incarnation of the worker that is known; of an assigned or unanswered run they are those that the
	// start was made for.
	Token uint64
	Life  work.Life
	// Source is who said that a run is over, and SourceAge how long ago it was asked.
	Source    EndSource
	SourceAge time.Duration
}
