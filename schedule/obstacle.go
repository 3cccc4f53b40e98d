package schedule

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/session"
	"lycheehook.example/lycheehook/work"
)

// WaitReason is why an accepted job that is ready has not started; it is a label of a metric.
type WaitReason string

// noObstacle is the reason where nothing keeps a task from a start.
const noObstacle WaitReason = ""

// The reasons of the placement that concern a job.
const (
	// NoConfiguration is a term without a configuration, in which nothing is placed.
	NoConfiguration WaitReason = "NoConfiguration"
	// OldConfiguration is a job that was accepted under a configuration that this owner has not read yet.
	OldConfiguration WaitReason = "OldConfiguration"
	// EvacuationsNotKnown is a term in which it is not known, or not recently enough, which zones are evacuated.
	EvacuationsNotKnown WaitReason = "EvacuationsNotKnown"
	// NoPlacement is a time without placements: the log is being written, or the term is not confirmed.
	NoPlacement WaitReason = "NoPlacement"
	// Overlooked tasks were not placed although a worker would take them.
	Overlooked WaitReason = "Overlooked"
	// WorkspaceAtLimit is a workspace whose upper limit permits no further task.
	WorkspaceAtLimit WaitReason = "WorkspaceAtLimit"
	// TooManyRuns is an owner whose memory permits no further run of the job.
	TooManyRuns WaitReason = "TooManyRuns"
	// GangNotOver is a gang of whose earlier attempt some members have not ended.
	GangNotOver WaitReason = "GangNotOver"
	// GangNoRoom is a gang of which only some members have room.
	GangNoRoom WaitReason = "GangNoRoom"
	// NoWorker is a pool without workers.
	NoWorker WaitReason = "NoWorker"
	// UnknownToOwner jobs are in the ledger, and the owner's scheduler did not have them.
	UnknownToOwner WaitReason = "UnknownToOwner"
	// NotExamined jobs wait so long, but there were too many to find the reason of each yet.
	NotExamined WaitReason = "NotExamined"
)

// The reasons of the placement that concern one worker.
const (
	// NotRegistered workers have no registration, or that of an earlier incarnation.
	NotRegistered WaitReason = "NotRegistered"
	// TokenNotSeen workers have not answered a poll with their present token.
	TokenNotSeen WaitReason = "TokenNotSeen"
	// HostNotUp workers are no longer in the cloud's list of hosts.
	HostNotUp WaitReason = "HostNotUp"
	// Isolated workers run, or are about to run, a task under which other workers crashed, and start no other.
	Isolated WaitReason = "Isolated"
	// ZoneEvacuated workers are in an availability zone that the operators have evacuated.
	ZoneEvacuated WaitReason = "ZoneEvacuated"
	// Cordoned workers are on hosts with planned maintenance or a planned move.
	Cordoned WaitReason = "Cordoned"
	// WorkerDraining workers are about to stop.
	WorkerDraining WaitReason = "WorkerDraining"
	// WorkerSilent workers have left polls unanswered.
	WorkerSilent WaitReason = "WorkerSilent"
	// Quarantined workers are slow, or runs failed there.
	Quarantined WaitReason = "Quarantined"
	// OnlyWhereFailed tasks have room only on workers on which they failed, and wait for another.
	OnlyWhereFailed WaitReason = "OnlyWhereFailed"
	// NoTicket workers have no valid ticket for the step.
	NoTicket WaitReason = "NoTicket"
	// PerWorkerLimit workers run as many tasks of the step as it permits on one worker.
	PerWorkerLimit WaitReason = "PerWorkerLimit"
	// ReservedForLasting workers keep their room for a lasting task.
	ReservedForLasting WaitReason = "ReservedForLasting"
	// ReservedForLarger workers keep their room for a larger task that found none.
	ReservedForLarger WaitReason = "ReservedForLarger"
	// NoRoom workers run other tasks.
	NoRoom WaitReason = "NoRoom"
	// NoLabel workers lack the step's label.
	NoLabel WaitReason = "NoLabel"
	// TooLarge tasks exceed the worker's capacity.
	TooLarge WaitReason = "TooLarge"
)

// workerReasons has the reasons that concern one worker; the worker with the first one is nearest to taking the task.
var workerReasons = []WaitReason{
	Overlooked, Isolated, OnlyWhereFailed, NoTicket, PerWorkerLimit, ReservedForLasting, ReservedForLarger, Quarantined, TokenNotSeen, WorkerSilent, Cordoned,
	ZoneEvacuated, NoRoom,
	WorkerDraining, HostNotUp, NotRegistered, NoLabel, TooLarge,
}

// WaitReasons returns all reasons.
func WaitReasons() []WaitReason {
	return slices.Concat(workerReasons, []WaitReason{
		NoConfiguration, OldConfiguration, EvacuationsNotKnown, NoPlacement, WorkspaceAtLimit, TooManyRuns, GangNotOver, GangNoRoom, NoWorker, UnknownToOwner, NotExamined,
		LogNotWritten, StartNotAnswered, StartNotSettled, InheritedNotSettled, OnSilentWorker, StopNotSettled,
	})
}

// placementOverdue is the time without placements from which on they are the reason why a job waits.
const placementOverdue = time.Second

// obstacle returns why no task may be placed on the worker, whose registration must be that of the present incarnation.
func (w *worker) obstacle(now time.Time) WaitReason {
	switch {
	case !w.present() || w.reg.Life != w.Life():
		return NotRegistered
	case w.delisted:
		return HostNotUp
	case !w.TokenSeen():
		return TokenNotSeen
	case w.evacuated:
		return ZoneEvacuated
	case w.cordoned:
		return Cordoned
	case w.reg.Draining:
		return WorkerDraining
	case w.Missed() >= session.MaxMissed:
		return WorkerSilent
	case now.Before(w.quarantinedUntil):
		return Quarantined
	default:
		return noObstacle
	}
}

// obstacle returns why a usable worker may not take one more task of a step.
func (s *Scheduler) obstacle(r *readyStep, step *work.Step, need fleet.Resources, w *worker, now time.Time) WaitReason {
	switch {
	case !need.FitsIn(w.freeFor(step)):
		return NoRoom
	case !hasLabel(w.reg, step.Label):
		return NoLabel
	case !r.withinMaxPerWorker(step, w):
		return PerWorkerLimit
	}
	if _, ok := s.ticketFor(r, w, now); !ok {
		return NoTicket
	}

	return noObstacle
}

// roomObstacle returns why a worker has no room for a task of a step.
func (w *worker) roomObstacle(step *work.Step, need fleet.Resources) WaitReason {
	switch {
	case !need.FitsIn(w.reg.Capacity):
		return TooLarge
	case !hasLabel(w.reg, step.Label):
		return NoLabel
	case need.FitsIn(w.reg.Capacity.Minus(w.used)):
		return ReservedForLasting
	default:
		return NoRoom
	}
}

// refusal returns why the last placement did not start a step's first waiting task, and the same in words. Among the
// usable workers, p has those of the step's pool.
func (s *Scheduler) refusal(r *readyStep, p *workerSet, now time.Time) (WaitReason, string) {
	step := &r.job.entry.Job.Steps[r.step.Step]
	switch {
	case !s.configured:
		return NoConfiguration, string(NoConfiguration)
	case !s.evacuation.Current(now):
		return EvacuationsNotKnown, string(EvacuationsNotKnown)
	case s.AwaitsConfig(&r.job.entry.Job):
		return OldConfiguration, string(OldConfiguration)
	case step.Gang && r.membersLeft():
		return GangNotOver, string(GangNotOver)
	case !s.withinLimit(r.job.entry.Job.Workspace, step.Size):
		return WorkspaceAtLimit, fmt.Sprintf("%s, in use %+v", WorkspaceAtLimit, s.workspaceUsage[r.job.entry.Job.Workspace])
	}
	if !s.runLimit.mayRun(&r.job.entry.Job) {
		return TooManyRuns, string(TooManyRuns)
	}
	if s.chooseWorker(r, r.tasks.first(), p, now) == nil {
		return s.refusalByWorkers(r, step, now)
	}
	switch {
	case step.Gang && !s.gangFits(r, step, p, now):
		return GangNoRoom, string(GangNoRoom)
	case now.Sub(s.placedAt) >= placementOverdue:
		return NoPlacement, string(NoPlacement)
	default:
		return Overlooked, string(Overlooked)
	}
}

// refusalByWorkers returns the reason of the worker that is nearest to taking a step's task, and those of all workers of
// its pool in words.
func (s *Scheduler) refusalByWorkers(r *readyStep, step *work.Step, now time.Time) (WaitReason, string) {
	need := step.Reserved()
	counts := map[WaitReason]int{}
	for _, w := range s.workers {
		if w.reg.Pool == r.queue.Pool {
			counts[s.obstacleAt(r, step, need, w, now)]++
		}
	}
	first := NoWorker
	var words []string
	for _, reason := range workerReasons {
		if counts[reason] == 0 {
			continue
		}
		if first == NoWorker {
			first = reason
		}
		words = append(words, fmt.Sprintf("%s on %d", reason, counts[reason]))
	}
	if first == NoWorker {
		return NoWorker, string(NoWorker)
	}

	return first, strings.Join(words, ", ")
}

// obstacleAt returns why a worker did not take a task of a step, which is what lies with the task if that excludes it.
func (s *Scheduler) obstacleAt(r *readyStep, step *work.Step, need fleet.Resources, w *worker, now time.Time) WaitReason {
	reason := s.obstacle(r, step, need, w, now)
	if reason == NoRoom {
		return w.roomObstacle(step, need)
	}
	if unusable := w.obstacle(now); reason == noObstacle || reason == NoTicket && unusable != noObstacle {
		// No question is asked about a worker that is not usable.
		reason = unusable
	}
	task := r.task(r.tasks.first())
	switch {
	case reason != noObstacle:
		return reason
	case !w.mayStart(r.job.mustIsolate(task), now):
		return Isolated
	case !r.job.mustIsolate(task) && s.keptForLarger(r, step, need, w, now):
		return ReservedForLarger
	case r.job.failedOn(task, w.id):
		return OnlyWhereFailed
	default:
		return Overlooked
	}
}

// gangFits reports whether the workers have room for a whole gang.
func (s *Scheduler) gangFits(r *readyStep, step *work.Step, p *workerSet, now time.Time) bool {
	observe, dirty := s.observe, s.dirty
	s.observe = func(Decision) {}
	defer func() { s.observe, s.dirty = observe, dirty }()
	firstRun, firstChange := len(s.pendingRuns), len(s.changes)
	if !s.placeGangMembers(r, step, p, now) {
		return false
	}
	s.rollBack(firstRun, firstChange)

	return true
}
