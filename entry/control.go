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
	// controlInterval is the time between two rounds of the control path.
	controlInterval = time.Second
	// controlTimeout bounds one round.
	controlTimeout = 10 * time.Second
	// waveKey is what the wave is known by when its work is divided among entry hosts.
	waveKey = "wave"
)

// control is the control path of an entry host: it carries hosts through moves and maintenance.
type control struct {
	moves *move.Controller
	waves *wave.Controller
	// owns reports whether this entry host takes care of a piece of work.
	owns func(key string) bool
	log  *log.Logger
}

// newControl returns the control path over the configuration in force.
func newControl(
	s *store.Client, p *hostapi.Client, b *revision.Book, cl *cluster, t *audit.Trail, cfg settings.Settings, l *log.Logger,
) *control {
	c := &control{log: l, owns: cl.registry.Owns}
	c.waves = wave.New(s, func() wave.Policy { return wave.PolicyOf(b.Current().Lists.Maintenance) },
		func() wave.Hosts { return c.moves.View().Hosts }, func() bool { return c.owns(waveKey) }).
		WithAudit(waveAudit(t, cfg.Name))
	c.moves = move.New(s, p, func() (move.Config, bool) { return configOf(b, time.Now()) },
		move.WithOwner(move.Owner{
			Pool:   func(n fleet.PoolName) bool { return c.owns("pool/" + string(n)) },
			Budget: func(n fleet.BudgetName) bool { return c.owns("budget/" + string(n)) },
		}),
		move.WithProposals(c.waves.Propose),
		move.WithAudit(hostAudit(t, cfg.Name)),
	)

	return c
}

// configOf returns the lists in force and whether they are known to be in force.
func configOf(b *revision.Book, now time.Time) (move.Config, bool) {
	cur := b.Current()

	return move.Config{
		Pools: cur.Tables.Pools, Budgets: cur.Tables.Budgets, Revision: cur.Number,
	}, b.Fresh(now) && cur.Number > 0
}

// run steps the control path until ctx ends.
func (c *control) run(ctx context.Context) {
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

func (c *control) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()

	now := time.Now()
	if err := c.waves.Step(ctx, now); err != nil {
		c.log.Warn("wave not stepped", "err", err)
	}
	report, err := c.moves.Step(ctx, now)
	if err != nil {
		c.log.Warn("hosts not stepped", "err", err)
		return
	}
	for _, a := range report.Done {
		c.log.Info("done", "action", actionName(a), "subject", a.Subject())
	}
	for _, failed := range report.Failed {
		c.log.Warn("action not surely done", "err", failed)
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

// endpointsOf returns the endpoints of the inventory with the pools of their hosts' records; one whose host can't be told to be in use gets nothing new.
func endpointsOf(inv hostapi.Inventory, hosts wave.Hosts) []fleet.Endpoint {
	endpoints := make([]fleet.Endpoint, 0, len(inv.Endpoints))
	for _, e := range inv.Endpoints {
		if rec, known := hosts[e.Host]; known {
			pool, usable := rec.Value.Usable()
			if usable {
				e.Pool = pool
			}
			e.Leaving = e.Leaving || !usable
		}
		endpoints = append(endpoints, e)
	}

	return endpoints
}
