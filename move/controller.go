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
	// maxRounds bounds the rounds of reading, deciding and acting in one step.
	maxRounds = 4
	// maxConcurrentCalls bounds the concurrent platform calls about hosts.
	maxConcurrentCalls = 16
	// DefaultLossGrace is how long a host must be missing or down before it counts as lost.
	DefaultLossGrace = 30 * time.Second
	// DefaultMinDrain is the minimum duration of a drain; it exceeds the lag of the platform's inventory.
	DefaultMinDrain = 10 * time.Second
	// DefaultDrainLimit is how long a drain waits for tasks before it is cancelled.
	DefaultDrainLimit = 6 * time.Hour
	// DefaultReturnLimit is how long a reboot may take before the host is reported as not returned.
	DefaultReturnLimit = 30 * time.Minute
)

// ErrInService is returned by Remove for a host that is up.
var ErrInService = merry.Sentinel("move: host is up")

// Report lists what one step did and which hosts wait.
type Report struct {
	Done  []fleet.Action
	Waits []Wait
	// Failed has the error of each action that failed or whose outcome is unknown; the next round reads the result.
	Failed []error
	// Reads and Writes count calls to the store.
	Reads, Writes int
}

// Controller carries out the intents of hosts. Any number of controllers may work on the same store.
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

	mu           sync.Mutex
	view         View
	missingSince map[fleet.HostName]time.Time
	drainStarts  map[fleet.HostName]drainStart
}

// drainStart is when this controller first saw a host drain under an intent.
type drainStart struct {
	intent hostapi.IntentID
	since  time.Time
}

// Option configures a Controller.
type Option func(*Controller)

// WithOwner sets which records the controller updates. The default is all.
func WithOwner(o Owner) Option { return func(c *Controller) { c.owner = o } }

// WithProposals sets the source of proposals. It is called only while the lists are known to be in force.
func WithProposals(f func(View, time.Time) []Proposal) Option {
	return func(c *Controller) { c.propose = f }
}

// WithQuiesce sets the function that checkpoints the tasks of a draining host. It is called at each step until no task
// runs.
func WithQuiesce(f func(context.Context, Wait)) Option { return func(c *Controller) { c.quiesce = f } }

// WithAudit sets the function that is called after each completed action.
func WithAudit(f func(fleet.Action)) Option { return func(c *Controller) { c.audit = f } }

// WithLossGrace sets how long a host must be missing or down before it counts as lost.
func WithLossGrace(d time.Duration) Option { return func(c *Controller) { c.lossGrace = d } }

// WithMinDrain sets the minimum duration of a drain. It has to exceed the lag of the platform's inventory.
func WithMinDrain(d time.Duration) Option { return func(c *Controller) { c.minDrain = d } }

// WithDrainLimit sets how long a drain waits for tasks before it is cancelled.
func WithDrainLimit(d time.Duration) Option { return func(c *Controller) { c.drainLimit = d } }

// WithReturnLimit sets how long a reboot may take before the host is reported as not returned.
func WithReturnLimit(d time.Duration) Option { return func(c *Controller) { c.returnLimit = d } }

// New returns a controller. The config function returns the operators' lists and whether they are known to be in force.
func New(s *store.Client, p *hostapi.Client, config func() (Config, bool), opts ...Option) *Controller {
	all := Owner{Pool: func(fleet.PoolName) bool { return true }, Budget: func(fleet.BudgetName) bool { return true }}
	c := &Controller{
		store: s, platform: p, config: config, owner: all,
		propose:   func(View, time.Time) []Proposal { return nil },
		quiesce:   func(context.Context, Wait) {},
		audit:     func(fleet.Action) {},
		lossGrace: DefaultLossGrace, minDrain: DefaultMinDrain, drainLimit: DefaultDrainLimit, returnLimit: DefaultReturnLimit,
		missingSince: map[fleet.HostName]time.Time{}, drainStarts: map[fleet.HostName]drainStart{},
	}
	for _, opt := range opts {
		opt(c)
	}

	return c
}

// View returns the records as last read.
func (c *Controller) View() View {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.view
}

// Step reads the records, decides and performs the actions, for at most maxRounds rounds or until a round changes
// nothing. It must not be called concurrently. An error means that the store could not be read, and that nothing was
// done in that round.
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

// read lists budgets before hosts, because units of a budget may be released only by host records that are no older than
// the budget's record.
func (c *Controller) read(ctx context.Context) (View, error) {
	budgets, err := record.List[budget.Record](ctx, c.store, budget.Prefix)
	if err != nil {
		return View{}, err
	}
	hosts, err := record.List[Record](ctx, c.store, Prefix)
	if err != nil {
		return View{}, err
	}

	v := View{HostsAt: hosts.Revision, Hosts: convertKeys[fleet.HostName](hosts.Records), Budgets: convertKeys[fleet.BudgetName](budgets.Records)}
	c.mu.Lock()
	c.view = v
	c.mu.Unlock()

	return v, nil
}

func convertKeys[K ~string, T any](m map[string]record.Versioned[T]) map[K]record.Versioned[T] {
	out := make(map[K]record.Versioned[T], len(m))
	for k, v := range m {
		out[K(k)] = v
	}

	return out
}

func (c *Controller) input(ctx context.Context, v View, now time.Time) Input {
	cfg, inForce := c.config()
	in := Input{
		View: v, Config: cfg, Observations: c.observe(ctx, v, now), Owner: c.owner,
		MinDrain: c.minDrain, DrainLimit: c.drainLimit, ReturnLimit: c.returnLimit, Now: now,
	}
	if inForce {
		in.Proposals = c.propose(v, now)
	}

	return in
}

// observe reads the platform's inventory, and the status of each host that is being drained, rebooted or returned or that
// seems to be lost.
func (c *Controller) observe(ctx context.Context, v View, now time.Time) map[fleet.HostName]Observation {
	observations := map[fleet.HostName]Observation{}
	inv, err := c.platform.Inventory(ctx)
	listed := map[fleet.HostName]fleet.Host{}
	for _, h := range inv.Hosts {
		listed[h.Name] = h
		if _, known := v.Hosts[h.Name]; !known {
			observations[h.Name] = Observation{Listed: &h}
		}
	}

	var toQuery []fleet.HostName
	for _, name := range slices.Sorted(maps.Keys(v.Hosts)) {
		r := v.Hosts[name].Value
		h, present := listed[name]
		gone := err == nil && (!present || h.State == fleet.HostLost)
		moving := r.Intent != nil && r.Intent.Phase != Reserving || r.State == fleet.HostLost
		if !gone {
			delete(c.missingSince, name)
		}
		if (gone || moving) && c.owner.Pool(r.Pool) {
			toQuery = append(toQuery, name)
		}
	}

	for name, s := range c.queryStatuses(ctx, toQuery) {
		observations[name] = c.classify(name, s, now)
	}

	return observations
}

type statusResult struct {
	status hostapi.HostStatus
	err    error
}

func (c *Controller) queryStatuses(ctx context.Context, names []fleet.HostName) map[fleet.HostName]statusResult {
	var mu sync.Mutex
	results := make(map[fleet.HostName]statusResult, len(names))
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for _, name := range names {
		g.Go(func() error {
			s, err := c.platform.Status(ctx, name)
			mu.Lock()
			defer mu.Unlock()
			results[name] = statusResult{s, err}

			return nil
		})
	}
	_ = g.Wait()

	return results
}

// classify distinguishes a lost host from one whose status is unknown: a failed call to the platform is no sign of a
// loss.
func (c *Controller) classify(name fleet.HostName, a statusResult, now time.Time) Observation {
	unknown := a.err != nil && !errors.Is(a.err, hostapi.ErrNotFound)
	if unknown {
		return Observation{}
	}
	s := Observation{Asked: a.err == nil, Status: a.status}
	if a.err == nil && a.status.Up {
		delete(c.missingSince, name)
		s.DrainingSince = c.drainingSince(name, a.status, now)

		return s
	}
	since, known := c.missingSince[name]
	if !known {
		since = now
		c.missingSince[name] = now
	}
	s.Lost = now.Sub(since) >= c.lossGrace

	return s
}

// drainingSince returns when the host was first seen to drain under its intent. The time is kept in memory only, so an
// entry host that takes over waits for the full minimum drain again.
func (c *Controller) drainingSince(name fleet.HostName, s hostapi.HostStatus, now time.Time) time.Time {
	if !s.Draining {
		delete(c.drainStarts, name)
		return time.Time{}
	}
	seen, ok := c.drainStarts[name]
	if !ok || seen.intent != s.Intent {
		seen = drainStart{intent: s.Intent, since: now}
		c.drainStarts[name] = seen
	}

	return seen.since
}

// perform carries out the actions and reports whether any succeeded. Writes are made one after the other, in the order
// of the decision. Calls about hosts are independent and run concurrently, so that an unresponsive host delays no other.
func (c *Controller) perform(ctx context.Context, actions []fleet.Action, rep *Report) bool {
	done := len(rep.Done)
	var calls []CallHost
	for _, a := range actions {
		if call, ok := a.(CallHost); ok {
			calls = append(calls, call)
			continue
		}
		rep.Writes++
		c.recordResult(a, c.write(ctx, a), rep)
	}

	errs := make([]error, len(calls))
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for i, call := range calls {
		g.Go(func() error {
			errs[i] = c.callHost(ctx, call)
			return nil
		})
	}
	_ = g.Wait()
	for i, call := range calls {
		c.recordResult(call, errs[i], rep)
	}

	return len(rep.Done) > done
}

func (c *Controller) recordResult(a fleet.Action, err error, rep *Report) {
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
		err = merry.Errorf("unknown action type %T", a)
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
		return merry.Errorf("unknown call kind %q", a.Kind)
	}
}

// Remove deletes the record of a host that the operators took out of the fleet, which releases its budget units.
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
