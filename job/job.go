package job

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
)

// Prefix is the key prefix of job shards in the store; the number of the shard follows.
const Prefix = "job/"

// Entry is a stored job with its placement, which is written before the worker is called.
type Entry struct {
	fleet.Job
	// Token is the fencing token of the task; it increases with each placement.
	Token uint64 `json:",omitempty"`
	// HostFence is the store revision of the host's record on which the placement is based.
	HostFence uint64 `json:",omitempty"`
	// Reserved is the resources that the job occupies on its worker.
	Reserved fleet.Resources `json:",omitzero"`
	// Placed is the time of the placement.
	Placed time.Time `json:",omitzero"`
	// Cancel requests that the job is stopped.
	Cancel bool      `json:",omitempty"`
	Ended  time.Time `json:",omitzero"`
}

// Shard is the jobs of one store record. Sharding keeps the number of writes independent of the number of jobs.
type Shard struct {
	Jobs map[fleet.JobID]Entry `json:",omitempty"`
}

// Ongoing reports whether the job may be running on its worker.
func (e Entry) Ongoing() bool {
	return e.State == fleet.JobStarting || e.State == fleet.JobRunning
}

// Over reports whether the job's state is final.
func (e Entry) Over() bool {
	return !e.Ongoing() && e.State != fleet.JobWaiting
}

// Call identifies the job's task for calls to its worker, with the fencing token.
func (e Entry) Call() hostapi.TaskCall {
	return hostapi.TaskCall{Job: e.ID, Host: e.Host, Token: e.Token}
}

// PlacedOn returns the entry placed on h with a new token; the caller writes it before it calls the worker.
func (e Entry) PlacedOn(h fleet.HostName, fence uint64, reserved fleet.Resources, now time.Time) Entry {
	e.State, e.Host, e.HostFence, e.Reserved, e.Placed = fleet.JobStarting, h, fence, reserved, now
	e.Token++

	return e
}

// Unplaced returns the entry in the waiting state. The task must never have been started, or the job must be safe to run again.
func (e Entry) Unplaced() Entry {
	e.State, e.Host, e.HostFence, e.Reserved = fleet.JobWaiting, "", 0, fleet.Resources{}
	return e
}

// EndedAs returns the entry in the final state s.
func (e Entry) EndedAs(s fleet.JobState, now time.Time) Entry {
	e.State, e.Ended, e.Reserved = s, now, fleet.Resources{}
	return e
}

// NotStarted returns the entry for a task that its worker has not started and never will, so that it can be placed again.
func (e Entry) NotStarted(now time.Time) Entry {
	if e.Cancel {
		return e.EndedAs(fleet.JobCancelled, now)
	}
	if e.State == fleet.JobRunning {
		// The worker lost the state of a task that it had started, so the progress of the task is unknown.
		return e.Interrupted(now)
	}

	return e.Unplaced()
}

// Interrupted returns the entry for a task that ended before it completed; only idempotent jobs run again.
func (e Entry) Interrupted(now time.Time) Entry {
	switch {
	case e.Cancel:
		return e.EndedAs(fleet.JobCancelled, now)
	case e.Idempotent:
		return e.Unplaced()
	default:
		return e.EndedAs(fleet.JobOutcomeUnknown, now)
	}
}

// WithStatus returns the entry updated with the status that its worker reported.
func (e Entry) WithStatus(s hostapi.TaskStatus, now time.Time) Entry {
	switch s.State {
	case hostapi.TaskRunning:
		if e.State == fleet.JobStarting {
			e.State, e.Started = fleet.JobRunning, s.Started.UTC().Round(0)
		}

		return e
	case hostapi.TaskDone:
		return e.EndedAs(fleet.JobDone, now)
	case hostapi.TaskFailed:
		return e.EndedAs(fleet.JobFailed, now)
	case hostapi.TaskStopped:
		if s.Checkpointed && !e.Cancel {
			return e.Unplaced()
		}

		return e.Interrupted(now)
	case hostapi.TaskLapsed:
		return e.Interrupted(now)
	default:
		return e
	}
}
