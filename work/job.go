package work

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// Job is what a caller submitted, as it is kept in the store.
type Job struct {
	ID    fleet.JobID     `cbor:"1,keyasint"`
	Queue fleet.QueueName `cbor:"2,keyasint"`
	// Pool ran the queue when the job was accepted; it holds while no configuration names the queue.
	Pool fleet.PoolName `cbor:"3,keyasint"`
	// Workspace is charged for the job; empty on an open queue.
	Workspace fleet.WorkspaceName `cbor:"4,keyasint,omitempty"`
	// Spec is handed to the workers as it came.
	Spec  string `cbor:"5,keyasint,omitempty"`
	Steps []Step `cbor:"6,keyasint,omitempty"`
	// Repeats is how many times the steps run; zero means once, at once.
	Repeats int `cbor:"7,keyasint,omitempty"`
	// FirstStart and Interval give the due time of each repeat.
	FirstStart time.Time     `cbor:"8,keyasint,omitzero"`
	Interval   time.Duration `cbor:"9,keyasint,omitempty"`
	Submitted  time.Time     `cbor:"10,keyasint"`
	// MaxAttempts is the queue's when the job was accepted; it holds while no configuration names the queue.
	MaxAttempts int `cbor:"12,keyasint,omitempty"`
	// Cancelled marks a job that must not run any more, also one that was never submitted.
	Cancelled bool `cbor:"11,keyasint,omitempty"`
}

// WithCancelled returns the job as cancelled, without what only its run needs.
func (j Job) WithCancelled() Job {
	j.Cancelled = true
	j.Spec = ""

	return j
}

// Occurrences returns how many times the steps run.
func (j Job) Occurrences() int {
	return max(1, j.Repeats)
}

// Due returns when an occurrence may start; the zero time means at once.
func (j Job) Due(occurrence int) time.Time {
	if j.Repeats == 0 {
		return time.Time{}
	}

	return j.FirstStart.Add(time.Duration(occurrence) * j.Interval)
}

// Lasting reports whether the job runs until it is cancelled.
func (j Job) Lasting() bool {
	for _, s := range j.Steps {
		if s.Lasting {
			return true
		}
	}

	return false
}

// Step is a set of like tasks of a job.
type Step struct {
	Count int `cbor:"1,keyasint"`
	// Size is what one task reserves on its worker.
	Size fleet.Resources `cbor:"2,keyasint"`
	// Estimate is the submitter's rough guess of a task's duration.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps, by index, whose tasks must all be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpointing tasks can go on elsewhere from a saved state.
	Checkpointing bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks work only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack gangs are slow when they run on more than one rack.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is one that the worker must have; empty means any worker.
	Label string `cbor:"8,keyasint,omitempty"`
	// Rack is where the data is; tasks are slow on any other.
	Rack fleet.RackName `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker; zero means no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative steps may run copies of a task at the same time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// Lasting tasks run until the job is cancelled and are restarted however they end.
	Lasting bool `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// MaxTail bounds the tail of the response times of lasting tasks; zero means that they have none.
	MaxTail time.Duration `cbor:"14,keyasint,omitempty"`
	// Filling tasks take only the cores that others leave, so their cores are not reserved.
	Filling bool `cbor:"15,keyasint,omitempty"`
	// MaxAway bounds how many tasks may be away at the same time by our own doing; zero means no bound.
	MaxAway int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns what a task of the step takes of a worker's capacity.
func (s Step) Reserved() fleet.Resources {
	r := s.Size
	if s.Filling {
		r.Cores = 0
	}

	return r
}
