package work

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// Sentinel errors of orders to the cloud, besides those of workers.
var (
	// ErrHostBusy says that the host is not up, or is leaving.
	ErrHostBusy = merry.Sentinel("work: host is busy")
	// ErrNotOfWave says that the host is not part of the wave.
	ErrNotOfWave = merry.Sentinel("work: host is not of the wave")
)

// Fence names who orders hosts, fenced for each host.
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

// HostStatus is what the cloud says of a host.
type HostStatus struct {
	Host     fleet.HostName
	Pool     fleet.PoolName
	State    HostState
	Zone     fleet.ZoneName
	Rack     fleet.RackName
	Labels   []string
	Capacity fleet.Resources
	// Worker is the host's present life; empty while it has none.
	Worker WorkerID
}

// Cloud is the set of calls about hosts; its fields are seams for tests.
type Cloud struct {
	Hosts    func(ctx context.Context) ([]HostStatus, error)
	Move     func(ctx context.Context, f Fence, h fleet.HostName, to fleet.PoolName) error
	Maintain func(ctx context.Context, f Fence, h fleet.HostName, wave int64) error
}

// Advise returns the tickets of those of the named workers that may run a step.
type Advise func(ctx context.Context, step string, workers []WorkerID, timeout time.Duration) (map[WorkerID]string, error)
