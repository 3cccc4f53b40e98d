package work

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// Job is a submitted job as it is stored.
type Job struct {
	ID    fleet.JobID     `cbor:"1,keyasint"`
	Queue fleet.QueueName `cbor:"2,keyasint"`
	// Pool is the queue's pool when the job was accepted; it applies while no configuration names the queue.
	Pool fleet.PoolName `cbor:"3,keyasint"`
	// Workspace is the workspace that the job is charged to; empty on an open queue.
	Workspace fleet.WorkspaceName `cbor:"4,keyasint,omitempty"`
	// Spec is passed to the workers unchanged.
	Spec  string `cbor:"5,keyasint,omitempty"`
	Steps []Step `cbor:"6,keyasint,omitempty"`
	// Repeats is how many times the steps run; zero means a single run that may start immediately.
	Repeats int `cbor:"7,keyasint,omitempty"`
	// FirstStart and Interval give the due time of each repeat.
	FirstStart time.Time     `cbor:"8,keyasint,omitzero"`
	Interval   time.Duration `cbor:"9,keyasint,omitempty"`
	Submitted  time.Time     `cbor:"10,keyasint"`
	// MaxAttempts is the queue's limit when the job was accepted; it applies while no configuration names the queue.
	MaxAttempts int `cbor:"12,keyasint,omitempty"`
	// ConfigRevision is the revision of the configuration under which the job was accepted. Its tasks start only under that or a
	// newer one, so that a host does not act on a configuration and refuse requests by an older one.
	ConfigRevision uint64 `cbor:"13,keyasint,omitempty"`
	// Cancelled marks a job that must no longer run; it is also stored for a job that is cancelled before it is submitted.
	Cancelled bool `cbor:"11,keyasint,omitempty"`
}

// WithCancelled returns the job marked as cancelled and without its Spec, which is needed only to run it.
func (j Job) WithCancelled() Job {
	j.Cancelled = true
	j.Spec = ""

	return j
}

// Occurrences returns how many times the steps run.
func (j Job) Occurrences() int {
	return max(1, j.Repeats)
}

// Due returns the time from which an occurrence may start; the zero time means immediately.
func (j Job) Due(occurrence int) time.Time {
	if j.Repeats == 0 {
		return time.Time{}
	}

	return j.FirstStart.Add(time.Duration(occurrence) * j.Interval)
}

// Lasting reports whether any step of the job runs until the job is cancelled.
func (j Job) Lasting() bool {
	for _, s := range j.Steps {
		if s.Lasting {
			return true
		}
	}

	return false
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count int `cbor:"1,keyasint"`
	// Size is the resources that one task uses on its worker.
	Size fleet.Resources `cbor:"2,keyasint"`
	// Estimate is the submitter's rough estimate of one task's duration.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of earlier steps whose tasks must all be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpointing tasks can resume on another worker from a saved state.
	Checkpointing bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks make progress only while all tasks of the step run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack gangs are slow when they span more than one rack.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the worker must have; empty means any worker.
	Label string `cbor:"8,keyasint,omitempty"`
	// Rack is the rack that holds the data; tasks are slow on any other.
	Rack fleet.RackName `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker; zero means no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative steps may run several copies of a task at the same time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// Lasting tasks run until the job is cancelled and are restarted however they end.
	Lasting bool `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run; tasks with the same image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// MaxTail bounds the tail response time of lasting tasks; zero means no bound.
	MaxTail time.Duration `cbor:"14,keyasint,omitempty"`
	// Filling tasks use only the cores that other tasks leave idle, so their cores are not reserved.
	Filling bool `cbor:"15,keyasint,omitempty"`
	// MaxAway bounds how many tasks of the step may be down at once if the scheduler is to stop one; zero counts as one.
	MaxAway int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the part of a worker's capacity that one task of the step reserves.
func (s Step) Reserved() fleet.Resources {
	r := s.Size
	if s.Filling {
		r.Cores = 0
	}

	return r
}
