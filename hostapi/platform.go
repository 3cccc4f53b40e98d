package hostapi

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// Sentinel errors of calls to the platform.
var (
	// ErrUnavailable means that the platform is unavailable and that the call had no effect.
	ErrUnavailable = merry.Sentinel("hostapi: unavailable")
	// ErrOutcomeUnknown means that the call may or may not have taken effect.
	ErrOutcomeUnknown = merry.Sentinel("hostapi: outcome unknown")
	// ErrRefused means that the platform rejected the call.
	ErrRefused = merry.Sentinel("hostapi: refused")
	// ErrFenced means that the host or task has already seen a higher fencing token, so the call had no effect.
	ErrFenced = merry.Sentinel("hostapi: fenced off by a newer call")
	// ErrNotFound means that the host or task doesn't exist.
	ErrNotFound = merry.Sentinel("hostapi: not found")
)

// IntentID is an idempotency key: the platform applies calls of the same kind with the same intent once.
type IntentID string

// Inventory is the platform's list of hosts and endpoints; it is eventually consistent.
type Inventory struct {
	Hosts     []fleet.Host
	Endpoints []fleet.Endpoint
}

// HostCall is a request to drain a host, to cancel its drain or to reboot it.
type HostCall struct {
	Host   fleet.HostName
	Intent IntentID
	// Fence is the fencing token: the store revision of the host's record on which the call is based.
	Fence uint64
}

// HostStatus is the current status of a host, as reported by the host itself.
type HostStatus struct {
	Host fleet.HostName
	// Up reports whether the host responds to the platform.
	Up bool
	// Draining reports whether the host rejects new tasks.
	Draining bool
	// Running is the number of tasks, and of requests on the host's endpoints, in progress.
	Running int
	// Rebooted is the intent of the last completed reboot.
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
	// TaskLapsed means that the worker stopped the task because its lease expired.
	TaskLapsed TaskState = "Lapsed"
)

// TaskStart is a request to a worker to run a job's task under a lease.
type TaskStart struct {
	Job  fleet.JobID
	Host fleet.HostName
	// Token is the task's fencing token: a worker rejects calls about a job with a token lower than the highest seen.
	Token uint64
	// HostFence is the store revision of the host's record on which the placement is based. The start is rejected after a
	// newer call to the host, so that a stale record can't place a task on a host that has left the pool.
	HostFence uint64
	Size      fleet.Resources
	LeaseTTL  fleet.Duration
}

// TaskCall identifies a task on a worker, with its fencing token.
type TaskCall struct {
	Job   fleet.JobID
	Host  fleet.HostName
	Token uint64
}

// ThrottleCall limits the cores that a task may use.
type ThrottleCall struct {
	TaskCall
	Cores fleet.MilliCores
}

// TaskStatus is the status of a task, as reported by its worker.
type TaskStatus struct {
	Job          fleet.JobID
	Host         fleet.HostName
	Token        uint64
	State        TaskState
	Checkpointed bool
	// Usage is the peak usage so far; it is updated with a delay.
	Usage   fleet.Resources
	Started time.Time
	Ended   time.Time `json:",omitzero"`
}

// Client has one function for each call of the platform's API; tests replace them.
type Client struct {
	// Inventory lists live and leaving hosts with their endpoints; the list is eventually consistent.
	Inventory func(ctx context.Context) (Inventory, error)
	// Status returns the current status of a host.
	Status func(ctx context.Context, host fleet.HostName) (HostStatus, error)
	// Drain stops new tasks from starting on a host; tasks in progress continue.
	Drain func(ctx context.Context, c HostCall) error
	// CancelDrain makes a draining host accept tasks again.
	CancelDrain func(ctx context.Context, c HostCall) error
	// Reboot restarts a drained host; it is rejected while tasks are running.
	Reboot func(ctx context.Context, c HostCall) error

	// StartTask starts a task; it is idempotent for the same token.
	StartTask func(ctx context.Context, t TaskStart) error
	// RenewTasks renews the leases of tasks on one worker and returns those that it no longer runs.
	RenewTasks func(ctx context.Context, host fleet.HostName, tasks []TaskCall) ([]fleet.JobID, error)
	// Task returns the status of a task. ErrNotFound proves that the worker never started the task with this token or a
	// higher one, and that it will reject a delayed start with this token or a lower one.
	Task func(ctx context.Context, c TaskCall) (TaskStatus, error)
	// Tasks returns the status of all tasks known to a worker.
	Tasks func(ctx context.Context, host fleet.HostName) ([]TaskStatus, error)
	// Checkpoint saves a task's state, so that the task can resume on another worker.
	Checkpoint func(ctx context.Context, c TaskCall) error
	// Throttle limits the cores that a task may use.
	Throttle func(ctx context.Context, c ThrottleCall) error
	// StopTasks stops tasks on one worker; unknown and ended tasks are ignored.
	StopTasks func(ctx context.Context, host fleet.HostName, tasks []TaskCall) error
}
