package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// Names of entities. A name is unique within its table.
type (
	// HostName names a worker host of the platform.
	HostName string
	// PoolName names a pool of hosts.
	PoolName string
	// RegionName names a region.
	RegionName string
	// ZoneName names an availability zone.
	ZoneName string
	// RackName names a rack within an availability zone.
	RackName string
	// EndpointName names a runner that serves requests.
	EndpointName string
	// CustomerName names a customer.
	CustomerName string
	// WorkspaceName names a workspace of a customer.
	WorkspaceName string
	// TeamName names a team. Team names are unique across customers.
	TeamName string
	// PlanName names a plan that customers subscribe to.
	PlanName string
	// QueueName names a queue to which callers submit work.
	QueueName string
	// BudgetName names an availability budget.
	BudgetName string
	// EntryName names an entry host, which runs one lycheehook process.
	EntryName string
	// JobID identifies a job.
	JobID string
)

// HostState is the lifecycle state of a host.
type HostState string

// The states of a host.
const (
	HostLive      HostState = "Live"
	HostDraining  HostState = "Draining"
	HostDrained   HostState = "Drained"
	HostRebooting HostState = "Rebooting"
	HostLost      HostState = "Lost"
)

// Host is a worker host of the platform. It belongs to exactly one pool at any time.
type Host struct {
	Name           HostName
	Region         RegionName
	Zone           ZoneName
	Rack           RackName
	Pool           PoolName
	State          HostState
	Capacity       Resources
	LastMaintained time.Time
	// StoreRevision is the revision of the host's record in the store; a write is rejected if it has changed since.
	StoreRevision uint64
}

// WithPool returns a copy of the host in pool p.
func (h Host) WithPool(p PoolName) Host {
	h.Pool = p
	return h
}

// WithState returns a copy of the host in state s.
func (h Host) WithState(s HostState) Host {
	h.State = s
	return h
}

// WithLastMaintained returns a copy of the host whose last maintenance was at t.
func (h Host) WithLastMaintained(t time.Time) Host {
	h.LastMaintained = t
	return h
}

// Pool is a named set of hosts that serve the same queues.
type Pool struct {
	Name PoolName
	// Spare marks the pool whose hosts are kept in reserve for the other pools.
	Spare bool `json:",omitempty"`
	// MinHosts is the lower bound for the pool's planned number of hosts.
	MinHosts int `json:",omitempty"`
}

// Budget is an availability budget: at most MaxUnavailable hosts in its scope may be out of service at once.
type Budget struct {
	Name BudgetName
	// Pools restricts the scope to hosts of these pools; empty means all.
	Pools []PoolName `json:",omitempty"`
	// Plans adds the pools that serve these plans' queues to the scope.
	Plans []PlanName `json:",omitempty"`
	// Zones restricts the scope to hosts of these availability zones; empty means all.
	Zones []ZoneName `json:",omitempty"`
	// MaxUnavailable counts planned and unplanned outages together, in hosts.
	MaxUnavailable int
}

// Covers reports whether h is in the budget's scope.
func (b Budget) Covers(h Host) bool {
	return (len(b.Pools) == 0 || slices.Contains(b.Pools, h.Pool)) &&
		(len(b.Zones) == 0 || slices.Contains(b.Zones, h.Zone))
}

// Endpoint is a runner that serves requests over HTTP.
type Endpoint struct {
	Name        EndpointName
	Address     netip.AddrPort
	Host        HostName
	Pool        PoolName
	Zone        ZoneName
	Slots       int
	Connections int
	Leaving     bool
}

// WithLeaving returns a copy of the endpoint with Leaving set to leaving.
func (e Endpoint) WithLeaving(leaving bool) Endpoint {
	e.Leaving = leaving
	return e
}

// Customer is a customer with the plan that it subscribed to.
type Customer struct {
	Name CustomerName
	Plan PlanName
	// SignedUp is the date on which the customer subscribed to the plan, as YYYY-MM-DD.
	SignedUp string `json:",omitempty"`
	Teams    []Team
}

// Team submits work, authenticated by its keys. It has a weight for fair sharing and a fleet-wide quota.
type Team struct {
	Name      TeamName
	Workspace WorkspaceName `json:",omitempty"`
	// Share is the team's weight among all teams that compete for a resource.
	Share int64
	// UpperLimit bounds the resources of the team's running work across the fleet; zero means none of that resource.
	UpperLimit Resources
	// Customer and Plan are copied from the customer that lists the team.
	Customer CustomerName `json:"-"`
	Plan     PlanName     `json:"-"`
}

// Plan defines the queues, quota and reserved capacity of a customer.
type Plan struct {
	Name   PlanName
	Queues []QueueName
	// UpperLimit bounds the running work of all teams of one customer together.
	UpperLimit Resources
	// Claim is the capacity reserved for each customer of the plan.
	Claim Resources `json:",omitzero"`
}

// Allows reports whether customers of the plan may use queue q.
func (p Plan) Allows(q QueueName) bool {
	return slices.Contains(p.Queues, q)
}

// Queue accepts work for the endpoints and hosts of one pool.
type Queue struct {
	Name QueueName
	Pool PoolName
	// Open queues accept work without a key.
	Open bool `json:",omitempty"`
	// Urgent queues have priority over other queues, within shares and limits.
	Urgent bool `json:",omitempty"`
	// MaxLength is the maximum number of requests queued on one entry host.
	MaxLength int
	// MaxWait is the maximum time in the queue, after which a request is rejected without having run.
	MaxWait Duration
}

// Maintenance configures the waves in which hosts are maintained; a zero field selects the default.
type Maintenance struct {
	// Period is the time from the start of one wave to the start of the next.
	Period Duration `json:",omitzero"`
	// Notice is how long before its start the schedule of a wave is published.
	Notice Duration `json:",omitzero"`
	// SettleFor is how long a wave pauses after an unplanned loss.
	SettleFor Duration `json:",omitzero"`
	// MaxLost is the number of lost hosts above which a wave pauses until hosts return.
	MaxLost int `json:",omitempty"`
	// Tail is the number of hosts of one availability zone that may still be out of service when the next zone starts.
	Tail int `json:",omitempty"`
	// ReturnLimit is how long a wave waits for a host to return to service before it proceeds without the host.
	ReturnLimit Duration `json:",omitzero"`
}

// JobState is the lifecycle state of a job.
type JobState string

// The states of a job.
const (
	JobWaiting   JobState = "Waiting"
	JobRunning   JobState = "Running"
	JobDone      JobState = "Done"
	JobFailed    JobState = "Failed"
	JobCancelled JobState = "Cancelled"
	JobNeverRuns JobState = "NeverRuns"
	// JobStarting means that the job is placed on a worker, which may or may not have started it yet.
	JobStarting JobState = "Starting"
	// JobOutcomeUnknown means that a job that isn't idempotent may have run; it is never placed again.
	JobOutcomeUnknown JobState = "OutcomeUnknown"
)

// Job is asynchronous work that is placed on a worker host; callers poll its state.
type Job struct {
	ID         JobID
	Team       TeamName
	Queue      QueueName
	State      JobState
	Size       Resources
	RunTime    Duration
	Idempotent bool
	Urgent     bool
	Host       HostName
	Submitted  time.Time
	Started    time.Time
}

// WithState returns a copy of the job in state s.
func (j Job) WithState(s JobState) Job {
	j.State = s
	return j
}

// WithHost returns a copy of the job placed on host h.
func (j Job) WithHost(h HostName) Job {
	j.Host = h
	return j
}
