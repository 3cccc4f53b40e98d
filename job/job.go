package job

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
)

// Prefix is the store prefix of job shards; the shard's number follows.
const Prefix = "job/"

// Entry is one job with its place, as written before its worker is called.
type Entry struct {
	fleet.Job
	// Token fences the task on its worker; it grows with each placement.
	Token uint64 `json:",omitempty"`
	// HostFence is the store revision of the host's record that the placement was decided on.
	HostFence uint64 `json:",omitempty"`
	// Reserved is what the job takes of its worker.
	Reserved fleet.Resources `json:",omitzero"`
	// Placed is when the place was written.
	Placed time.Time `json:",omitzero"`
	// Cancel asks for the job to be stopped.
	Cancel bool      `json:",omitempty"`
	Ended  time.Time `json:",omitzero"`
}

// Shard is many jobs in one store value, so that writes stay flat as jobs grow.
type Shard struct {
	Jobs map[fleet.JobID]Entry `json:",omitempty"`
}

// Ongoing reports whether the job may be on its worker.
func (e Entry) Ongoing() bool {
	return e.State == fleet.JobStarting || e.State == fleet.JobRunning
}

// Over reports whether the job's state is final.
func (e Entry) Over() bool {
	return !e.Ongoing() && e.State != fleet.JobWaiting
}

// Call returns the fenced name of the job's task.
func (e Entry) Call() hostapi.TaskCall {
	return hostapi.TaskCall{Job: e.ID, Host: e.Host, Token: e.Token}
}

// PlacedOn returns the entry with a place that is written before the worker is called.
func (e Entry) PlacedOn(h fleet.HostName, fence uint64, reserved fleet.Resources, now time.Time) Entry {
	e.State, e.Host, e.HostFence, e.Reserved, e.Placed = fleet.JobStarting, h, fence, reserved, now
	e.Token++

	return e
}

// Unplaced returns the entry of a job that its worker surely never started, or that may run again.
func (e Entry) Unplaced() Entry {
	e.State, e.Host, e.HostFence, e.Reserved = fleet.JobWaiting, "", 0, fleet.Resources{}
	return e
}

// EndedAs returns the entry in a final state.
func (e Entry) EndedAs(s fleet.JobState, now time.Time) Entry {
	e.State, e.Ended, e.Reserved = s, now, fleet.Resources{}
	return e
}

// NotStarted returns the entry after its worker proved that it never started the task and never will: it is placed anew.
func (e Entry) NotStarted(now time.Time) Entry {
	if e.Cancel {
		return e.EndedAs(fleet.JobCancelled, now)
	}
	if e.State == fleet.JobRunning {
		// A worker that ran the task and forgot it proves nothing about how far it came.
		return e.Interrupted(now)
	}

	return e.Unplaced()
}

// Interrupted returns the entry of a task that ended before its work did: only an idempotent job runs again.
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

// Settled returns the entry after its worker told the task's status.
func (e Entry) Settled(s hostapi.TaskStatus, now time.Time) Entry {
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
