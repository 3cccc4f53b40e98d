package work

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// Sentinel errors of calls to the cloud, in addition to those of calls to workers.
var (
	// ErrHostBusy means that the host is not up, or is leaving.
	ErrHostBusy = merry.Sentinel("work: host is busy")
	// ErrNotOfWave means that the host is not part of the maintenance wave.
	ErrNotOfWave = merry.Sentinel("work: host is not of the wave")
)

// Fence identifies the sender of a request about a host, with a fencing token that is compared for each host separately.
type Fence struct {
	Holder string
	Token  uint64
}

// HostState is the state of a host in the cloud.
type HostState string

// The states of hosts.
const (
	HostUp          HostState = "Up"
	HostMoving      HostState = "Moving"
	HostMaintenance HostState = "Maintenance"
	HostDown        HostState = "Down"
)

// HostStatus is the state of a host as the cloud reports it.
type HostStatus struct {
	Host     fleet.HostName
	Pool     fleet.PoolName
	State    HostState
	Zone     fleet.ZoneName
	Rack     fleet.RackName
	Labels   []string
	Capacity fleet.Resources
	// Worker is the worker that currently runs on the host; empty if there is none.
	Worker WorkerID
}

// Cloud is the set of calls to the cloud; tests replace its fields.
type Cloud struct {
	Hosts    func(ctx context.Context) ([]HostStatus, error)
	Move     func(ctx context.Context, f Fence, h fleet.HostName, to fleet.PoolName) error
	Maintain func(ctx context.Context, f Fence, h fleet.HostName, wave int64) error
}

// Advise returns the tickets of those of the given workers that may run a step.
type Advise func(ctx context.Context, step string, workers []WorkerID, timeout time.Duration) (map[WorkerID]string, error)
