package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// Names of the entities; each is unique within its table.
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
	// CustomerName names a customer of the operators.
	CustomerName string
	// WorkspaceName names a workspace of a customer.
	WorkspaceName string
	// TeamName names a team; teams are unique over all customers.
	TeamName string
	// PlanName names a customers' plan.
	PlanName string
	// QueueName names a queue that callers submit work to.
	QueueName string
	// BudgetName names an availability budget.
	BudgetName string
	// EntryName names an entry host, a process of lycheehook.
	EntryName string
	// JobID identifies a job.
	JobID string
)

// HostState is the state of a host in its life.
type HostState string

// The states of a host.
const (
	HostLive      HostState = "Live"
	HostDraining  HostState = "Draining"
	HostDrained   HostState = "Drained"
	HostRebooting HostState = "Rebooting"
	HostLost      HostState = "Lost"
)

// Host is a worker of the platform; it belongs to exactly one pool at any time.
type Host struct {
	Name           HostName
	Region         RegionName
	Zone           ZoneName
	Rack           RackName
	Pool           PoolName
	State          HostState
	Capacity       Resources
	LastMaintained time.Time
	// StoreRevision fences writes of the host's own record in the store.
	StoreRevision uint64
}

// WithPool returns the host as a member of p.
func (h Host) WithPool(p PoolName) Host {
	h.Pool = p
	return h
}

// WithState returns the host in state s.
func (h Host) WithState(s HostState) Host {
	h.State = s
	return h
}

// WithLastMaintained returns the host as maintained at t.
func (h Host) WithLastMaintained(t time.Time) Host {
	h.LastMaintained = t
	return h
}

// Pool is a named set of hosts that serve the same queues.
type Pool struct {
	Name PoolName
	// Spare marks the pool that keeps hosts ready for the others.
	Spare bool `json:",omitempty"`
	// MinHosts is the number of hosts that the pool never plans to go below.
	MinHosts int `json:",omitempty"`
}

// Budget is an availability budget: of the hosts in its scope at most MaxUnavailable may be out of service at once.
type Budget struct {
	Name BudgetName
	// Pools limits the scope to hosts of these pools; empty means all.
	Pools []PoolName `json:",omitempty"`
	// Plans adds the pools of these plans' queues to the scope.
	Plans []PlanName `json:",omitempty"`
	// Zones limits the scope to hosts of these availability zones; empty means all.
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

// WithLeaving returns the endpoint marked as leaving or not.
func (e Endpoint) WithLeaving(leaving bool) Endpoint {
	e.Leaving = leaving
	return e
}

// Customer is a customer of the operators with the plan that it was promised.
type Customer struct {
	Name CustomerName
	Plan PlanName
	// SignedUp is the day on which the plan was promised, as YYYY-MM-DD.
	SignedUp string `json:",omitempty"`
	Teams    []Team
}

// Team submits work with its keys, has a weighted share when the fleet is full, and an upper limit across the fleet.
type Team struct {
	Name      TeamName
	Workspace WorkspaceName `json:",omitempty"`
	// Share is the team's weight among all teams that want the same resource.
	Share int64
	// UpperLimit bounds what the team has running across the fleet; a zero component means none of that resource.
	UpperLimit Resources
	// Customer and Plan are filled from the customer that lists the team.
	Customer CustomerName `json:"-"`
	Plan     PlanName     `json:"-"`
}

// Plan states what a customer may use.
type Plan struct {
	Name   PlanName
	Queues []QueueName
	// UpperLimit bounds what one customer's teams may have running together.
	UpperLimit Resources
	// Claim is the capacity that each customer of the plan was promised.
	Claim Resources `json:",omitzero"`
}

// Allows reports whether the plan may use queue q.
func (p Plan) Allows(q QueueName) bool {
	return slices.Contains(p.Queues, q)
}

// Queue takes work for the endpoints and hosts of one pool.
type Queue struct {
	Name QueueName
	Pool PoolName
	// Open queues take work without a key.
	Open bool `json:",omitempty"`
	// Urgent queues start work ahead of others, within shares and limits.
	Urgent bool `json:",omitempty"`
	// MaxLength bounds the number of requests that wait on one entry host.
	MaxLength int
	// MaxWait bounds how long a request waits before it is refused as not run.
	MaxWait Duration
}

// Maintenance is how the operators want every host taken through maintenance; a zero field stands for the default.
type Maintenance struct {
	// Period is the time from the start of one wave to the start of the next.
	Period Duration `json:",omitzero"`
	// Notice is how long a plan is shown before its wave starts.
	Notice Duration `json:",omitzero"`
	// SettleFor is how long a wave pauses after an unplanned loss.
	SettleFor Duration `json:",omitzero"`
	// MaxLost is the number of lost hosts above which a wave pauses until they return.
	MaxLost int `json:",omitempty"`
	// Tail is the number of hosts of one zone that may still be out when the next zone starts.
	Tail int `json:",omitempty"`
	// ReturnLimit is how long a host may take to come back before the wave goes on without it.
	ReturnLimit Duration `json:",omitzero"`
}

// JobState is the state of a job in its life.
type JobState string

// The states of a job.
const (
	JobWaiting   JobState = "Waiting"
	JobRunning   JobState = "Running"
	JobDone      JobState = "Done"
	JobFailed    JobState = "Failed"
	JobCancelled JobState = "Cancelled"
	JobNeverRuns JobState = "NeverRuns"
	// JobStarting is placed on a worker that may or may not have started it yet.
	JobStarting JobState = "Starting"
	// JobOutcomeUnknown may have run and is not idempotent, so it is never placed again.
	JobOutcomeUnknown JobState = "OutcomeUnknown"
)

// Job is work that is placed on a worker host and asked about later.
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

// WithState returns the job in state s.
func (j Job) WithState(s JobState) Job {
	j.State = s
	return j
}

// WithHost returns the job placed on host h.
func (j Job) WithHost(h HostName) Job {
	j.Host = h
	return j
}
