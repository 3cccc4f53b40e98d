package work

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	// Revision is the store revision at which the version was written.
	Revision   uint64
	Queues     []Queue
	Pools      []Pool
	Workspaces []Workspace
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64
}

// Queue accepts the jobs that callers submit to it.
type Queue struct {
	Name fleet.QueueName
	// Host and PathPrefix are matched against a request to find its queue.
	Host       string
	PathPrefix string
	Pool       fleet.PoolName
	// Open queues require no API key.
	Open bool
	// Priority orders the queues of a pool, lowest value first.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which its job fails; zero means no limit.
	MaxAttempts int
	// SlackFactor times the estimated length of a job's critical path, plus Slack, is the job's target duration.
	SlackFactor float64
	Slack       time.Duration
	// Advice is set if only workers that the advice service allows may run a step.
	Advice *Advice
}

// ExpiryFactor times its target after its arrival or due time, the end of a job has no value any more.
const ExpiryFactor = 3

// Target returns the target duration of a job whose critical path has an estimated length.
func (q Queue) Target(length time.Duration) time.Duration {
	return time.Duration(float64(length)*q.SlackFactor) + q.Slack
}

// Advice describes how long the advice service takes for a request, and how long its tickets are valid.
type Advice struct {
	Decision  time.Duration
	PerWorker time.Duration
	Validity  time.Duration
}

// Pool is a set of workers that run the jobs of some queues.
type Pool struct {
	Name fleet.PoolName
	// Standby marks a pool whose workers are switched off and cost nothing.
	Standby bool
}

// Workspace is a group of callers with API keys, a scheduling weight and an upper limit.
type Workspace struct {
	Name   fleet.WorkspaceName
	Keys   []string
	Weight float64
	// UpperLimit bounds the resources in use at once; zero in a component means no limit.
	UpperLimit fleet.Resources
}

// WaveOrder is the operators' request for the maintenance of a set of hosts within a given time.
type WaveOrder struct {
	Number int64
	Hosts  []fleet.HostName
	// Duration is the time within which the wave should be complete.
	Duration time.Duration
	// MaxDown bounds how many of the hosts may be down at once.
	MaxDown int
}
