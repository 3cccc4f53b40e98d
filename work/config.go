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
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
}

// Queue is what callers submit jobs to.
type Queue struct {
	Name fleet.QueueName
	// Host and PathPrefix select the queue of a request.
	Host       string
	PathPrefix string
	Pool       fleet.PoolName
	// Open queues ask for no key.
	Open bool
	// Priority orders the queues of a pool; zero comes first.
	Priority int
	// MaxAttempts is how many runs of a task may fail before its job does.
	MaxAttempts int
	// SlackFactor times the job's chain of work, plus Slack, is when the job should be done.
	SlackFactor float64
	Slack       time.Duration
	// Advice is set where only advised workers may run a step.
	Advice *Advice
}

// Advice is how long the service that advises on workers takes.
type Advice struct {
	Decision  time.Duration
	PerWorker time.Duration
	Validity  time.Duration
}

// Pool is a set of workers that run the jobs of some queues.
type Pool struct {
	Name fleet.PoolName
	// Standby workers are off and cost nothing.
	Standby bool
}

// Workspace is a group of callers with keys, a share and an upper limit.
type Workspace struct {
	Name   fleet.WorkspaceName
	Keys   []string
	Weight float64
	// UpperLimit is the most that may run; zero in a component means no limit.
	UpperLimit fleet.Resources
}

// WaveOrder is the operators' request that hosts have their maintenance in time.
type WaveOrder struct {
	Number int64
	Hosts  []fleet.HostName
	// Duration is the time in which the wave should be done.
	Duration time.Duration
	// MaxDown bounds how many of the hosts may be down at once.
	MaxDown int
}
