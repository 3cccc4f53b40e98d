package entry

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/wave"
)

const (
	// controlInterval is the time between two steps of the control loop.
	controlInterval = time.Second
	// controlTimeout bounds one step.
	controlTimeout = 10 * time.Second
	// waveKey is the ownership key of the wave when work is divided among entry hosts.
	waveKey = "wave"
)

// controlLoop moves hosts between pools and runs maintenance waves.
type controlLoop struct {
	moves *move.Controller
	waves *wave.Controller
	// owns reports whether this entry host is responsible for the work with the given key.
	owns func(key string) bool
	log  *log.Logger
}

// newControlLoop returns a control loop that follows the configuration in force.
func newControlLoop(
	s *store.Client, p *hostapi.Client, b *revision.Repository, cl *cluster, t *audit.Trail, cfg settings.Settings, l *log.Logger,
) *controlLoop {
	c := &controlLoop{log: l, owns: cl.registry.Owns}
	c.waves = wave.New(s, func() wave.Policy { return wave.NewPolicy(b.Current().Lists.Maintenance) },
		func() wave.Hosts { return c.moves.View().Hosts }, func() bool { return c.owns(waveKey) }).
		WithAudit(waveAuditor(t, cfg.Name))
	c.moves = move.New(s, p, func() (move.Config, bool) { return moveConfig(b, time.Now()) },
		move.WithOwner(move.Owner{
			Pool:   func(n fleet.PoolName) bool { return c.owns("pool/" + string(n)) },
			Budget: func(n fleet.BudgetName) bool { return c.owns("budget/" + string(n)) },
		}),
		move.WithProposals(c.waves.Propose),
		move.WithAudit(hostAuditor(t, cfg.Name)),
	)

	return c
}

// moveConfig returns the configuration for moves and whether it is known to be in force.
func moveConfig(b *revision.Repository, now time.Time) (move.Config, bool) {
	cur := b.Current()

	return move.Config{
		Pools: cur.Tables.Pools, Budgets: cur.Tables.Budgets, Revision: cur.Number,
	}, b.Fresh(now) && cur.Number > 0
}

// run steps the control loop until ctx ends.
func (c *controlLoop) run(ctx context.Context) {
	tick := time.NewTicker(controlInterval)
	defer tick.Stop()
	for {
		c.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (c *controlLoop) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()

	now := time.Now()
	if err := c.waves.Step(ctx, now); err != nil {
		c.log.Warn("maintenance wave step failed", "err", err)
	}
	report, err := c.moves.Step(ctx, now)
	if err != nil {
		c.log.Warn("host step failed", "err", err)
		return
	}
	for _, a := range report.Done {
		c.log.Info("action done", "action", actionName(a), "subject", a.Subject())
	}
	for _, failed := range report.Failed {
		c.log.Warn("action failed or outcome unknown", "err", failed)
	}
}

func actionName(a fleet.Action) string {
	switch act := a.(type) {
	case move.CallHost:
		return string(act.Kind)
	case move.WriteHost:
		return "write host record"
	case move.WriteBudget:
		return "write budget record"
	default:
		return "unknown"
	}
}

// endpointsOf returns the endpoints of the inventory with the pools from their hosts' records. An endpoint whose host is
// not known to be usable is marked as leaving, so that it gets no new work.
func endpointsOf(inv hostapi.Inventory, hosts wave.Hosts) []fleet.Endpoint {
	endpoints := make([]fleet.Endpoint, 0, len(inv.Endpoints))
	for _, e := range inv.Endpoints {
		if rec, known := hosts[e.Host]; known {
			pool, usable := rec.Value.UsablePool()
			if usable {
				e.Pool = pool
			}
			e.Leaving = e.Leaving || !usable
		}
		endpoints = append(endpoints, e)
	}

	return endpoints
}
