package experiment

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/estate"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/load"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/standin"
)

const (
	defaultDuration = 10 * time.Second
	defaultEntries  = 7
	requestTimeout  = 10 * time.Second
	saturatedQueue  = fleet.QueueName("post")
)

// SetUp is a load with the faults that happen while it runs.
type SetUp struct {
	Name string
	// Streams returns the load of the set-up.
	Streams func(e *estate.Estate) []load.Stream
	// Disturb injects faults while the load runs for a duration; nil injects none.
	Disturb func(ctx context.Context, e *estate.Estate, d time.Duration) error
}

// Result is the result of one set-up.
type Result struct {
	SetUp string
	// Report is the report of the load.
	Report load.Report
	// StoreCalls is the number of calls of all entry hosts to the store during the run.
	StoreCalls int64
	// Broken describes the guarantees that were violated, if any.
	Broken string `json:",omitempty"`
}

// Experiment runs set-ups, each against a fresh estate.
type Experiment struct {
	setUps   []SetUp
	duration time.Duration
	entries  int
	seed     uint64
	sample   func() estate.Sample
	progress func(string)
}

// Option configures an Experiment.
type Option func(*Experiment)

// WithDuration sets how long each set-up sends requests.
func WithDuration(d time.Duration) Option {
	return func(x *Experiment) { x.duration = d }
}

// WithEntries sets the number of entry hosts.
func WithEntries(n int) Option {
	return func(x *Experiment) { x.entries = n }
}

// WithSeed sets the seed of the loads.
func WithSeed(seed uint64) Option {
	return func(x *Experiment) { x.seed = seed }
}

// WithProgress sets a function that is called with the name of each set-up when it starts.
func WithProgress(f func(setUp string)) Option {
	return func(x *Experiment) { x.progress = f }
}

// New returns an experiment with all set-ups.
func New(opts ...Option) *Experiment {
	x := &Experiment{
		setUps: SetUps(), duration: defaultDuration, entries: defaultEntries, seed: 1, sample: estate.Ledger,
		progress: func(string) {},
	}
	for _, opt := range opts {
		opt(x)
	}

	return x
}

// SetUps returns all set-ups: steady load, saturation, an entry host replaced, an outage of the store, and an endpoint drained.
func SetUps() []SetUp {
	return []SetUp{
		{Name: "steady", Streams: func(e *estate.Estate) []load.Stream { return steady(e, 50) }},
		{Name: "full, all teams asking", Streams: saturating},
		{Name: "entry host replaced", Streams: bursts, Disturb: replaceEntry},
		{Name: "store down", Streams: bursts, Disturb: storeDown},
		{Name: "endpoint drained", Streams: bursts, Disturb: drainEndpoint},
	}
}

// Run runs all set-ups and returns their results. The error contains load.ErrBroken if a guarantee was violated.
func (x *Experiment) Run(ctx context.Context) ([]Result, error) {
	var results []Result
	var broken error
	for _, s := range x.setUps {
		x.progress(s.Name)
		r, err := x.runOne(ctx, s)
		if err != nil && !errors.Is(err, load.ErrBroken) {
			return results, merry.Prepend(err, s.Name)
		}
		if err != nil {
			r.Broken = err.Error()
			broken = errors.Join(broken, merry.Prepend(err, s.Name))
		}
		results = append(results, r)
	}

	return results, broken
}

func (x *Experiment) runOne(ctx context.Context, s SetUp) (Result, error) {
	e := estate.New(log.New(io.Discard), estate.WithEntries(x.entries), estate.WithSample(x.sample()))
	if err := e.Start(ctx); err != nil {
		return Result{}, err
	}
	defer e.Stop()
	if err := e.Prepare(ctx); err != nil {
		return Result{}, err
	}

	l, err := load.New(
		load.WithTargets(e.CallerAddresses()...), load.WithEndpoints(e.EndpointAddresses()...),
		load.WithStreams(s.Streams(e)...), load.WithDuration(x.duration), load.WithTimeout(requestTimeout), load.WithSeed(x.seed),
	)
	if err != nil {
		return Result{}, err
	}

	before := storeCalls(e.Store)
	disturbed := make(chan error, 1)
	go func() {
		if s.Disturb == nil {
			disturbed <- nil
			return
		}
		disturbed <- s.Disturb(ctx, e, x.duration)
	}()
	report, err := l.Run(ctx)
	if disturbErr := <-disturbed; disturbErr != nil {
		return Result{}, disturbErr
	}

	return Result{SetUp: s.Name, Report: report, StoreCalls: storeCalls(e.Store) - before}, err
}

func storeCalls(s *standin.Store) int64 {
	total := int64(0)
	for _, n := range s.Calls() {
		total += n
	}

	return total
}

// steady returns a steady stream for each team.
func steady(e *estate.Estate, rate float64) []load.Stream {
	streams := e.Streams(rate)
	for i := range streams {
		streams[i].Turns = load.Turns{}
	}

	return streams
}

// bursts returns a stream for each team that alternates between bursts and lulls.
func bursts(e *estate.Estate) []load.Stream {
	return e.Streams(100)
}

// saturating returns steady streams that together exceed the capacity of one pool, from all teams that may use its queue.
func saturating(e *estate.Estate) []load.Stream {
	var streams []load.Stream
	plans := map[fleet.PlanName]fleet.Plan{}
	for _, p := range e.Sample.Lists.Plans {
		plans[p.Name] = p
	}
	teams := map[fleet.TeamName]fleet.Team{}
	for _, t := range e.Sample.Lists.Teams() {
		teams[t.Name] = t
	}
	for _, s := range steady(e, 900) {
		if plans[teams[s.Team].Plan].Allows(saturatedQueue) {
			s.Queue = saturatedQueue
			streams = append(streams, s)
		}
	}

	return streams
}

// replaceEntry starts another entry host in the middle of the run and gracefully stops an old one.
func replaceEntry(ctx context.Context, e *estate.Estate, d time.Duration) error {
	pause.For(ctx, d/2)
	_, err := e.AddEntry(ctx)
	e.StopEntry()

	return err
}

// storeDown makes the store unavailable for the middle third of the run.
func storeDown(ctx context.Context, e *estate.Estate, d time.Duration) error {
	pause.For(ctx, d/3)
	e.Store.SetFault(standin.FaultDown)
	defer e.Store.SetFault(standin.FaultNone)
	pause.For(ctx, d/3)

	return nil
}

// drainEndpoint marks an endpoint as leaving for the middle third of the run.
func drainEndpoint(ctx context.Context, e *estate.Estate, d time.Duration) error {
	pause.For(ctx, d/3)
	ep := e.Sample.Endpoints[0]
	e.Platform.PutEndpoint(ep.WithLeaving(true))
	defer e.Platform.PutEndpoint(ep)
	pause.For(ctx, d/3)

	return nil
}
