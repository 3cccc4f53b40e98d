package hostapi

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// Sentinel errors of the platform.
var (
	// ErrUnavailable says that the platform surely did not carry the call out.
	ErrUnavailable = merry.Sentinel("hostapi: unavailable")
	// ErrOutcomeUnknown says that a call may or may not have taken effect.
	ErrOutcomeUnknown = merry.Sentinel("hostapi: outcome unknown")
	// ErrRefused says that the platform answered and won't carry the call out.
	ErrRefused = merry.Sentinel("hostapi: refused")
	// ErrFenced says that a call with a higher fence reached the host or task before, so nothing was done.
	ErrFenced = merry.Sentinel("hostapi: fenced off by a newer call")
	// ErrNotFound says that the platform has no such host or task.
	ErrNotFound = merry.Sentinel("hostapi: not found")
)

// IntentID identifies one recorded intent; the platform treats calls of the same kind and intent as one.
type IntentID string

// Inventory is the platform's list of hosts and endpoints; it lags behind the truth.
type Inventory struct {
	Hosts     []fleet.Host
	Endpoints []fleet.Endpoint
}

// HostCall asks for something to be done to a host under a recorded intent.
type HostCall struct {
	Host   fleet.HostName
	Intent IntentID
	// Fence is the store revision of the host's record when the call was decided.
	Fence uint64
}

// HostStatus is what a host says about itself, without lag.
type HostStatus struct {
	Host fleet.HostName
	// Up reports whether the host answers the platform.
	Up bool
	// Draining reports whether the host takes no new tasks.
	Draining bool
	// Running counts tasks, and requests on the host's endpoints, in progress.
	Running int
	// Rebooted is the intent of the last reboot that the host came back from.
	Rebooted IntentID `json:",omitempty"`
	// Intent is the intent of the last call that took effect.
	Intent IntentID `json:",omitempty"`
}

// TaskState is the state of a task on its worker.
type TaskState string

// The states of a task.
const (
	TaskRunning TaskState = "Running"
	TaskDone    TaskState = "Done"
	TaskFailed  TaskState = "Failed"
	TaskStopped TaskState = "Stopped"
	// TaskLapsed is a task that its worker stopped because its lease was not renewed.
	TaskLapsed TaskState = "Lapsed"
)

// TaskStart asks a worker to run a job's task under a lease.
type TaskStart struct {
	Job  fleet.JobID
	Host fleet.HostName
	// Token fences the task: a worker refuses calls about a job whose token is lower than one that it saw.
	Token uint64
	// HostFence is the store revision of the host's record that was read; it is refused after a newer call to the host,
	// so that a reader of an old record can't use the host for a pool that it has left.
	HostFence uint64
	Size      fleet.Resources
	LeaseTTL  fleet.Duration
}

// TaskCall names a task on a worker with its fencing token.
type TaskCall struct {
	Job   fleet.JobID
	Host  fleet.HostName
	Token uint64
}

// ThrottleCall bounds the cores that a task may take.
type ThrottleCall struct {
	TaskCall
	Cores fleet.MilliCores
}

// TaskStatus is what a worker says about a task.
type TaskStatus struct {
	Job          fleet.JobID
	Host         fleet.HostName
	Token        uint64
	State        TaskState
	Checkpointed bool
	// Usage is the largest use seen so far; it lags behind the truth.
	Usage   fleet.Resources
	Started time.Time
	Ended   time.Time `json:",omitzero"`
}

// Client is the set of calls that the platform answers; its fields are seams for tests.
type Client struct {
	// Inventory returns the lagging list of live and leaving hosts with their endpoints.
	Inventory func(ctx context.Context) (Inventory, error)
	// Status returns what a host says about itself now.
	Status func(ctx context.Context, host fleet.HostName) (HostStatus, error)
	// Drain keeps new tasks off a host; tasks in progress go on.
	Drain func(ctx context.Context, c HostCall) error
	// CancelDrain lets a host take tasks again.
	CancelDrain func(ctx context.Context, c HostCall) error
	// Reboot restarts a drained host; it is refused while tasks run.
	Reboot func(ctx context.Context, c HostCall) error

	// StartTask starts a task; a repeat with the same token is the same task.
	StartTask func(ctx context.Context, t TaskStart) error
	// RenewTasks renews the leases of tasks on one worker and returns those that it no longer runs.
	RenewTasks func(ctx context.Context, host fleet.HostName, tasks []TaskCall) ([]fleet.JobID, error)
	// Task returns the status of a task; ErrNotFound is a proof that the worker never started it under this token or a higher one, and that it refuses to do so from now on.
	Task func(ctx context.Context, c TaskCall) (TaskStatus, error)
	// Tasks returns the status of every task that a worker knows.
	Tasks func(ctx context.Context, host fleet.HostName) ([]TaskStatus, error)
	// Checkpoint saves a task's state so that it may run on elsewhere.
	Checkpoint func(ctx context.Context, c TaskCall) error
	// Throttle bounds the cores that a task may take.
	Throttle func(ctx context.Context, c ThrottleCall) error
	// StopTasks stops tasks on one worker; unknown and ended tasks are passed over.
	StopTasks func(ctx context.Context, host fleet.HostName, tasks []TaskCall) error
}
