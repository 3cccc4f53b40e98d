package upkeep

import (
	"context"
	"errors"
	"sync"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/job"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/placement"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/wave"
)

// Lists is the operators' lists as known to this entry host.
type Lists struct {
	Tables fleet.Tables
	// Revision is the number of the accepted edit; InForce reports whether it is known to be the newest.
	Revision uint64
	InForce  bool
	// MovePolicy and WavePolicy are the policies in the lists; nil means those of the options.
	MovePolicy *move.Policy
	WavePolicy *wave.Policy
}

// Keys of the work that is not divided by pool. Their ownership is decided like that of pools.
const (
	movesKey fleet.PoolName = "control/moves"
	waveKey  fleet.PoolName = "control/wave"
)

// Controller runs the controllers of moves, waves and jobs on one entry host.
type Controller struct {
	Moves *move.Controller
	Waves *wave.Controller
	Jobs  *job.Controller

	lists      func() Lists
	owns       func(fleet.PoolName) bool
	demand     func() map[fleet.PoolName]move.Demand
	movePolicy move.Policy
	wavePolicy wave.Policy
	moveOpts   []move.Option
	jobOpts    []job.Option

	mu      sync.Mutex
	planner move.Planner
}

// Option configures a Controller.
type Option func(*Controller)

// WithOwnership sets which pools, and which keys of other work, this entry host owns. The default is all.
func WithOwnership(owns func(fleet.PoolName) bool) Option {
	return func(c *Controller) { c.owns = owns }
}

// WithDemand sets the source of each pool's demand. Without it no moves are planned.
func WithDemand(f func() map[fleet.PoolName]move.Demand) Option {
	return func(c *Controller) { c.demand = f }
}

// WithMovePolicy sets the policy of moves for lists without one.
func WithMovePolicy(p move.Policy) Option { return func(c *Controller) { c.movePolicy = p } }

// WithWavePolicy sets the policy of waves for lists without one.
func WithWavePolicy(p wave.Policy) Option { return func(c *Controller) { c.wavePolicy = p } }

// WithMoveOptions adds options of the move controller.
func WithMoveOptions(opts ...move.Option) Option {
	return func(c *Controller) { c.moveOpts = append(c.moveOpts, opts...) }
}

// WithJobOptions adds options of the job controller.
func WithJobOptions(opts ...job.Option) Option {
	return func(c *Controller) { c.jobOpts = append(c.jobOpts, opts...) }
}

// New returns a controller for the given store and platform.
func New(s *store.Client, p *hostapi.Client, lists func() Lists, opts ...Option) *Controller {
	c := &Controller{
		lists: lists, owns: func(fleet.PoolName) bool { return true },
		movePolicy: move.DefaultPolicy(move.StableWeights()), wavePolicy: wave.DefaultPolicy(),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.planner = move.NewPlanner(c.movePolicy)

	c.Waves = wave.New(s, c.currentWavePolicy, c.hosts, func() bool { return c.owns(waveKey) })
	c.Jobs = job.New(s, p, func() fleet.Tables { return c.lists().Tables }, c.hosts, append([]job.Option{
		job.WithOwner(func(shard int) bool { return c.owns(fleet.PoolName(job.Key(shard))) }),
	}, c.jobOpts...)...)
	c.Moves = move.New(s, p, c.config, append([]move.Option{
		move.WithOwner(move.Owner{Pool: c.owns, Budget: func(b fleet.BudgetName) bool { return c.owns(fleet.PoolName("budget/" + b)) }}),
		move.WithProposals(c.propose),
		move.WithQuiesce(c.Jobs.Quiesce),
	}, c.moveOpts...)...)

	return c
}

func (c *Controller) hosts() wave.Hosts { return c.Moves.View().Hosts }

func (c *Controller) config() (move.Config, bool) {
	l := c.lists()
	return move.NewConfig(l.Tables, l.Revision), l.InForce
}

func (c *Controller) currentMovePolicy() move.Policy {
	if p := c.lists().MovePolicy; p != nil {
		return *p
	}

	return c.movePolicy
}

func (c *Controller) currentWavePolicy() wave.Policy {
	if p := c.lists().WavePolicy; p != nil {
		return *p
	}

	return c.wavePolicy
}

// propose merges moves and maintenance, so that a host that needs both drains only once.
func (c *Controller) propose(v move.View, now time.Time) []move.Proposal {
	cfg, _ := c.config()
	c.mu.Lock()
	defer c.mu.Unlock()

	return wave.FilterOwned(wave.Merge(c.planner.Propose(v, cfg), c.Waves.Propose(v, now)), v.Hosts, c.owns, c.owns(movesKey))
}

// Step runs one step of each controller. If one fails, the others still run.
func (c *Controller) Step(ctx context.Context, now time.Time) (move.Report, job.Report, error) {
	c.recordDemand(now)
	moves, moveErr := c.Moves.Step(ctx, now)
	waveErr := c.Waves.Step(ctx, now)
	jobs, jobErr := c.Jobs.Step(ctx, now)

	return moves, jobs, errors.Join(moveErr, waveErr, jobErr)
}

// recordDemand updates the forecasts of demand. It runs on every entry host, so that one that takes over the planning of
// moves already has them.
func (c *Controller) recordDemand(now time.Time) {
	if c.demand == nil {
		return
	}
	cfg, _ := c.config()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner = c.planner.WithPolicy(c.currentMovePolicy()).WithDemand(c.demand(), c.Moves.View(), cfg, now)
}

// Preview returns what operators see before an edit to the tables in t: the wave's plan and progress, and the pools that
// could not provide the resources promised to customers.
func (c *Controller) Preview(t fleet.Tables, now time.Time) ([]wave.Stage, wave.Progress, []placement.Shortfall) {
	hosts := c.hosts()
	t.Hosts = fleet.Table[fleet.HostName, fleet.Host]{}
	for _, v := range hosts {
		t = t.WithHost(v.Value.Host)
	}

	return wave.Plan(hosts), c.Waves.Progress(now), placement.Shortfalls(t)
}
