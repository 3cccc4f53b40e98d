package move

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"lycheehook.example/lycheehook/budget"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/record"
	"lycheehook.example/lycheehook/store"
)

const (
	// maxRounds bounds how often one step reads, decides and acts.
	maxRounds = 4
	// hostCalls bounds the calls about hosts that are made at once.
	hostCalls = 16
	// DefaultLossGrace is how long a host must be gone before it counts as lost.
	DefaultLossGrace = 30 * time.Second
	// DefaultMinDrain is how long a host drains at least; it exceeds the lag of the platform's list.
	DefaultMinDrain = 10 * time.Second
	// DefaultDrainLimit is how long a drain waits for tasks before the host is brought back.
	DefaultDrainLimit = 6 * time.Hour
	// DefaultReturnLimit is how long a reboot may take before the host is reported.
	DefaultReturnLimit = 30 * time.Minute
)

// ErrInService says that a host which is up can't be removed.
var ErrInService = merry.Sentinel("move: host is up")

// Report is what one step did and what is waited for.
type Report struct {
	Done  []fleet.Action
	Waits []Wait
	// Failed has the error of each action that was not surely done; the next round reads what became of it.
	Failed []error
	// Reads and Writes count calls to the store.
	Reads, Writes int
}

// Controller carries hosts through their intents; any number of them may work on the same store.
type Controller struct {
	store       *store.Client
	platform    *hostapi.Client
	config      func() (Config, bool)
	owner       Owner
	propose     func(View, time.Time) []Proposal
	quiesce     func(context.Context, Wait)
	audit       func(fleet.Action)
	lossGrace   time.Duration
	minDrain    time.Duration
	drainLimit  time.Duration
	returnLimit time.Duration

	mu      sync.Mutex
	view    View
	suspect map[fleet.HostName]time.Time
	drains  map[fleet.HostName]seenDrain
}

// seenDrain is when a host was first seen to drain under an intent.
type seenDrain struct {
	intent hostapi.IntentID
	since  time.Time
}

// Option configures a Controller.
type Option func(*Controller)

// WithOwner sets which records the controller takes care of; without it, all.
func WithOwner(o Owner) Option { return func(c *Controller) { c.owner = o } }

// WithProposals sets the planner of moves and maintenance; it is asked only under lists that are in force.
func WithProposals(f func(View, time.Time) []Proposal) Option {
	return func(c *Controller) { c.propose = f }
}

// WithQuiesce sets who checkpoints the tasks that a draining host still runs; it is asked at each step until none runs.
func WithQuiesce(f func(context.Context, Wait)) Option { return func(c *Controller) { c.quiesce = f } }

// WithAudit sets who is told of each action that was done.
func WithAudit(f func(fleet.Action)) Option { return func(c *Controller) { c.audit = f } }

// WithLossGrace sets how long a host must be gone before it counts as lost.
func WithLossGrace(d time.Duration) Option { return func(c *Controller) { c.lossGrace = d } }

// WithMinDrain sets how long a host drains at least; it has to exceed the lag of the platform's list.
func WithMinDrain(d time.Duration) Option { return func(c *Controller) { c.minDrain = d } }

// WithDrainLimit sets how long a drain waits for tasks before the host is brought back.
func WithDrainLimit(d time.Duration) Option { return func(c *Controller) { c.drainLimit = d } }

// WithReturnLimit sets how long a reboot may take before the host is reported.
func WithReturnLimit(d time.Duration) Option { return func(c *Controller) { c.returnLimit = d } }

// New returns a controller; config returns the operators' lists and whether they are known to be in force.
func New(s *store.Client, p *hostapi.Client, config func() (Config, bool), opts ...Option) *Controller {
	all := Owner{Pool: func(fleet.PoolName) bool { return true }, Budget: func(fleet.BudgetName) bool { return true }}
	c := &Controller{
		store: s, platform: p, config: config, owner: all,
		propose:   func(View, time.Time) []Proposal { return nil },
		quiesce:   func(context.Context, Wait) {},
		audit:     func(fleet.Action) {},
		lossGrace: DefaultLossGrace, minDrain: DefaultMinDrain, drainLimit: DefaultDrainLimit, returnLimit: DefaultReturnLimit,
		suspect: map[fleet.HostName]time.Time{}, drains: map[fleet.HostName]seenDrain{},
	}
	for _, opt := range opts {
		opt(c)
	}

	return c
}

// View returns what the last step read.
func (c *Controller) View() View {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.view
}

// Step reads the records, decides, and carries the actions out, until nothing is left to do now; one goroutine at a
// time may call it. An error means that the store could not be read, and nothing was done in that round.
func (c *Controller) Step(ctx context.Context, now time.Time) (Report, error) {
	var rep Report
	for range maxRounds {
		view, err := c.read(ctx)
		rep.Reads += 2
		if err != nil {
			return rep, err
		}

		d := Decide(c.input(ctx, view, now))
		rep.Waits = d.Waits
		if !c.perform(ctx, d.Actions, &rep) {
			break
		}
	}

	for _, w := range rep.Waits {
		if w.Reason == WaitTasks {
			c.quiesce(ctx, w)
		}
	}

	return rep, nil
}

// read lists budgets before hosts: only host records that are no older than a budget can tell which units return.
func (c *Controller) read(ctx context.Context) (View, error) {
	budgets, err := record.List[budget.Record](ctx, c.store, budget.Prefix)
	if err != nil {
		return View{}, err
	}
	hosts, err := record.List[Record](ctx, c.store, Prefix)
	if err != nil {
		return View{}, err
	}

	v := View{HostsAt: hosts.At, Hosts: renamed[fleet.HostName](hosts.Records), Budgets: renamed[fleet.BudgetName](budgets.Records)}
	c.mu.Lock()
	c.view = v
	c.mu.Unlock()

	return v, nil
}

func renamed[K ~string, T any](m map[string]record.Versioned[T]) map[K]record.Versioned[T] {
	out := make(map[K]record.Versioned[T], len(m))
	for k, v := range m {
		out[K(k)] = v
	}

	return out
}

func (c *Controller) input(ctx context.Context, v View, now time.Time) Input {
	cfg, inForce := c.config()
	in := Input{
		View: v, Config: cfg, Sights: c.look(ctx, v, now), Owner: c.owner,
		MinDrain: c.minDrain, DrainLimit: c.drainLimit, ReturnLimit: c.returnLimit, Now: now,
	}
	if inForce {
		in.Proposals = c.propose(v, now)
	}

	return in
}

// look asks the platform about its list, and about each host that is on its way or seems gone.
func (c *Controller) look(ctx context.Context, v View, now time.Time) map[fleet.HostName]Sight {
	sights := map[fleet.HostName]Sight{}
	inv, err := c.platform.Inventory(ctx)
	listed := map[fleet.HostName]fleet.Host{}
	for _, h := range inv.Hosts {
		listed[h.Name] = h
		if _, known := v.Hosts[h.Name]; !known {
			sights[h.Name] = Sight{Listed: &h}
		}
	}

	var ask []fleet.HostName
	for _, name := range slices.Sorted(maps.Keys(v.Hosts)) {
		r := v.Hosts[name].Value
		h, present := listed[name]
		gone := err == nil && (!present || h.State == fleet.HostLost)
		moving := r.Intent != nil && r.Intent.Phase != Reserving || r.State == fleet.HostLost
		if !gone {
			delete(c.suspect, name)
		}
		if (gone || moving) && c.owner.Pool(r.Pool) {
			ask = append(ask, name)
		}
	}

	for name, s := range c.ask(ctx, ask) {
		sights[name] = c.judge(name, s, now)
	}

	return sights
}

type answer struct {
	status hostapi.HostStatus
	err    error
}

func (c *Controller) ask(ctx context.Context, names []fleet.HostName) map[fleet.HostName]answer {
	var mu sync.Mutex
	answers := make(map[fleet.HostName]answer, len(names))
	var g errgroup.Group
	g.SetLimit(hostCalls)
	for _, name := range names {
		g.Go(func() error {
			s, err := c.platform.Status(ctx, name)
			mu.Lock()
			defer mu.Unlock()
			answers[name] = answer{s, err}

			return nil
		})
	}
	_ = g.Wait()

	return answers
}

// judge tells a host that is gone from one about which nothing is known: silence of the platform proves no loss.
func (c *Controller) judge(name fleet.HostName, a answer, now time.Time) Sight {
	unknown := a.err != nil && !errors.Is(a.err, hostapi.ErrNotFound)
	if unknown {
		return Sight{}
	}
	s := Sight{Asked: a.err == nil, Status: a.status}
	if a.err == nil && a.status.Up {
		delete(c.suspect, name)
		s.DrainingSince = c.drainingSince(name, a.status, now)

		return s
	}
	since, suspected := c.suspect[name]
	if !suspected {
		since = now
		c.suspect[name] = now
	}
	s.Lost = now.Sub(since) >= c.lossGrace

	return s
}

// drainingSince remembers when a host was first seen to drain; whoever takes over waits for its full time again.
func (c *Controller) drainingSince(name fleet.HostName, s hostapi.HostStatus, now time.Time) time.Time {
	if !s.Draining {
		delete(c.drains, name)
		return time.Time{}
	}
	seen, ok := c.drains[name]
	if !ok || seen.intent != s.Intent {
		seen = seenDrain{intent: s.Intent, since: now}
		c.drains[name] = seen
	}

	return seen.since
}

// perform carries the actions out and reports whether any took effect. Writes go one after the other, in the order of
// the decision; calls to hosts don't depend on each other and go together, so that a silent host holds up no other.
func (c *Controller) perform(ctx context.Context, actions []fleet.Action, rep *Report) bool {
	done := len(rep.Done)
	var calls []CallHost
	for _, a := range actions {
		if call, ok := a.(CallHost); ok {
			calls = append(calls, call)
			continue
		}
		rep.Writes++
		c.note(a, c.write(ctx, a), rep)
	}

	errs := make([]error, len(calls))
	var g errgroup.Group
	g.SetLimit(hostCalls)
	for i, call := range calls {
		g.Go(func() error {
			errs[i] = c.callHost(ctx, call)
			return nil
		})
	}
	_ = g.Wait()
	for i, call := range calls {
		c.note(call, errs[i], rep)
	}

	return len(rep.Done) > done
}

func (c *Controller) note(a fleet.Action, err error, rep *Report) {
	if err != nil {
		rep.Failed = append(rep.Failed, merry.Prepend(err, a.Subject()))
		return
	}
	rep.Done = append(rep.Done, a)
	c.audit(a)
}

func (c *Controller) write(ctx context.Context, a fleet.Action) error {
	var err error
	switch a := a.(type) {
	case WriteHost:
		_, err = record.Write(ctx, c.store, Prefix+a.Subject(), a.Record, a.Base)
	case WriteBudget:
		_, err = record.Write(ctx, c.store, budget.Prefix+a.Subject(), a.Record, a.Base)
	default:
		err = merry.Errorf("no carrier for %T", a)
	}

	return err
}

func (c *Controller) callHost(ctx context.Context, a CallHost) error {
	switch a.Kind {
	case CallDrain:
		return c.platform.Drain(ctx, a.Call)
	case CallCancelDrain:
		return c.platform.CancelDrain(ctx, a.Call)
	case CallReboot:
		return c.platform.Reboot(ctx, a.Call)
	default:
		return merry.Errorf("no call of kind %q", a.Kind)
	}
}

// Remove deletes the record of a host that the operators took out of the fleet, which returns its units.
func (c *Controller) Remove(ctx context.Context, host fleet.HostName) error {
	s, err := c.platform.Status(ctx, host)
	switch {
	case err == nil && s.Up:
		return merry.Prepend(ErrInService, string(host))
	case err != nil && !errors.Is(err, hostapi.ErrNotFound):
		return err
	}
	v, err := record.Read[Record](ctx, c.store, Prefix+string(host))
	if err != nil || v.Revision == 0 {
		return err
	}
	_, err = c.store.CompareAndSwap(ctx, store.Write{Key: Prefix + string(host), Base: v.Revision, Delete: true})

	return err
}
