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

// Lists is the operators' lists as this entry host knows them.
type Lists struct {
	Tables fleet.Tables
	// Revision is the number of the accepted edit; InForce says that it is known to be the newest.
	Revision uint64
	InForce  bool
	// Moves and Waves are the policies that the lists carry; nil leaves those of the options.
	Moves *move.Policy
	Waves *wave.Policy
}

// Names that divide the work beside the pools, in the same ownership as pools.
const (
	ownerOfMoves fleet.PoolName = "control/moves"
	ownerOfWave  fleet.PoolName = "control/wave"
)

// Controller steps the control path over hosts on one entry host.
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

// WithOwns sets which pools, and which names of other control work, this entry host takes care of; without it, all.
func WithOwns(owns func(fleet.PoolName) bool) Option { return func(c *Controller) { c.owns = owns } }

// WithDemand sets where the demand of each pool comes from; without it no moves are planned.
func WithDemand(f func() map[fleet.PoolName]move.Demand) Option {
	return func(c *Controller) { c.demand = f }
}

// WithMovePolicy sets the policy of moves.
func WithMovePolicy(p move.Policy) Option { return func(c *Controller) { c.movePolicy = p } }

// WithWavePolicy sets the policy of waves.
func WithWavePolicy(p wave.Policy) Option { return func(c *Controller) { c.wavePolicy = p } }

// WithMoveOptions passes options to the controller of moves.
func WithMoveOptions(opts ...move.Option) Option {
	return func(c *Controller) { c.moveOpts = append(c.moveOpts, opts...) }
}

// WithJobOptions passes options to the controller of jobs.
func WithJobOptions(opts ...job.Option) Option {
	return func(c *Controller) { c.jobOpts = append(c.jobOpts, opts...) }
}

// New returns a controller over the platform's store and workers.
func New(s *store.Client, p *hostapi.Client, lists func() Lists, opts ...Option) *Controller {
	c := &Controller{
		lists: lists, owns: func(fleet.PoolName) bool { return true },
		movePolicy: move.DefaultPolicy(move.LedgerWeights()), wavePolicy: wave.DefaultPolicy(),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.planner = move.NewPlanner(c.movePolicy)

	c.Waves = wave.New(s, c.policyOfWaves, c.hosts, func() bool { return c.owns(ownerOfWave) })
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

func (c *Controller) policyOfMoves() move.Policy {
	if p := c.lists().Moves; p != nil {
		return *p
	}

	return c.movePolicy
}

func (c *Controller) policyOfWaves() wave.Policy {
	if p := c.lists().Waves; p != nil {
		return *p
	}

	return c.wavePolicy
}

// propose merges moves and maintenance, so that a host drained for one does the other in the same drain.
func (c *Controller) propose(v move.View, now time.Time) []move.Proposal {
	cfg, _ := c.config()
	c.mu.Lock()
	defer c.mu.Unlock()

	return wave.FilterOwned(wave.Merge(c.planner.Propose(v, cfg), c.Waves.Propose(v, now)), v.Hosts, c.owns, c.owns(ownerOfMoves))
}

// Step does one tick; the parts are independent, so one that fails does not keep the others from going on.
func (c *Controller) Step(ctx context.Context, now time.Time) (move.Report, job.Report, error) {
	c.observe(now)
	moves, moveErr := c.Moves.Step(ctx, now)
	waveErr := c.Waves.Step(ctx, now)
	jobs, jobErr := c.Jobs.Step(ctx, now)

	return moves, jobs, errors.Join(moveErr, waveErr, jobErr)
}

// observe feeds the forecasts on every entry host, so that whoever takes the plan over remembers the demand.
func (c *Controller) observe(now time.Time) {
	if c.demand == nil {
		return
	}
	cfg, _ := c.config()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner = c.planner.WithPolicy(c.policyOfMoves()).WithDemand(c.demand(), c.Moves.View(), cfg, now)
}

// Preview returns what operators see before an edit: the wave's plan and progress, and the pools that can't keep what
// was promised under other tables.
func (c *Controller) Preview(t fleet.Tables, now time.Time) ([]wave.Stage, wave.Progress, []placement.Shortfall) {
	hosts := c.hosts()
	t.Hosts = fleet.Table[fleet.HostName, fleet.Host]{}
	for _, v := range hosts {
		t = t.WithHost(v.Value.Host)
	}

	return wave.Plan(hosts), c.Waves.Progress(now), placement.Shortfalls(t)
}
