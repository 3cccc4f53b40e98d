package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/owner"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

const (
	// passInterval is the least time between two passes, so that events gather.
	passInterval = 4 * time.Millisecond
	// restFactor times what a pass took is the least time until the next one, so that passes over a large fleet leave the
	// processor to the calls.
	restFactor = 4
	// maxRest bounds that time, since a pass that was held up itself says nothing of the fleet's size.
	maxRest = 40 * time.Millisecond
	// tickInterval is the most time between two passes, for what only time brings about.
	tickInterval = 100 * time.Millisecond
	// storeInterval is the least time between two batches of the log, since the store counts each call.
	storeInterval = 20 * time.Millisecond
	// followTimeout bounds the wait for what this host follows of the ledger at the start of a term.
	followTimeout = time.Second
	// readTimeout bounds it where this host has only begun to read the ledger, which a narrow link takes seconds for.
	readTimeout = 5 * time.Second
)

// Dispatcher serves terms of ownership.
type Dispatcher struct {
	client   *store.Client
	follower *ledger.Follower
	workers  work.Workers
	bounds   schedule.Bounds
	config   func() (work.Config, bool)
	log      *log.Logger
	roster   func(ctx context.Context, tell func(Roster))
	hosts    Hosts
	advise   work.Advise
	report   func(jobs, runs int)
	// keep is how long jobs that are over are kept.
	keep    time.Duration
	observe schedule.Observer
	host    ledger.Owner
}

// Hosts is what a dispatcher needs to order hosts; a dispatcher without it orders none.
type Hosts struct {
	Cloud work.Cloud
	// Holder names the entry host in orders to the cloud.
	Holder string
	// Waves returns the operators' requests for maintenance.
	Waves func() []work.WaveOrder
	// TellWave writes what the operators read of a wave, if the owner's record still has the revision of the term.
	TellWave func(ctx context.Context, term uint64, st schedule.WaveStatus) error
}

// WithReport makes f be told from time to time how many jobs are open and how many runs are held; zeros end a term.
func WithReport(f func(jobs, runs int)) Option {
	return func(d *Dispatcher) { d.report = f }
}

// WithAdvice lets the dispatcher ask which workers may run the steps of advised queues.
func WithAdvice(a work.Advise) Option {
	return func(d *Dispatcher) { d.advise = a }
}

// WithKeep sets how long jobs that are over are kept.
func WithKeep(keep time.Duration) Option {
	return func(d *Dispatcher) { d.keep = keep }
}

// WithHosts lets the dispatcher order hosts.
func WithHosts(h Hosts) Option {
	return func(d *Dispatcher) { d.hosts = h }
}

// Roster is a change among the registered workers.
type Roster struct {
	// Whole says that Present are all workers that there are.
	Whole   bool
	Present []work.Registration
	Gone    []work.WorkerID
}

// Option changes a new dispatcher.
type Option func(*Dispatcher)

// WithObserver makes f be told of each decision about a run.
func WithObserver(f schedule.Observer) Option {
	return func(d *Dispatcher) { d.observe = f }
}

// New returns a dispatcher; config returns the configuration in force, and roster follows the registered workers.
func New(
	c *store.Client, f *ledger.Follower, w work.Workers, b schedule.Bounds, host ledger.Owner, l *log.Logger,
	config func() (work.Config, bool), roster func(ctx context.Context, tell func(Roster)), options ...Option,
) *Dispatcher {
	d := &Dispatcher{
		client: c, follower: f, workers: w, bounds: b, host: host, log: l, config: config, roster: roster, observe: func(schedule.Decision) {},
		report: func(int, int) {},
	}
	for _, o := range options {
		o(d)
	}

	return d
}

// term is one term that is being served.
type term struct {
	*Dispatcher
	owned *owner.Term
	// writer appends to the ledger in this term.
	writer *logWriter

	mu      sync.Mutex
	sched   *schedule.Scheduler
	version int64
	writing bool
	wrote   time.Time
	// oldest is the oldest batch that may be kept, restated the one from which the log tells all.
	oldest, restated uint64
	// restating is nil while the log is not restated.
	restating *restatement
	// removing says that batches before restated are being removed.
	removing bool
	wake     chan struct{}
	lost     context.CancelFunc
}

// Serve owns the workers until the term or the context is over.
func (d *Dispatcher) Serve(ctx context.Context, owned *owner.Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	t := &term{Dispatcher: d, owned: owned, wake: make(chan struct{}, 1), lost: cancel}
	jobs := &inbox{}
	d.follower.OnJob(jobs.put)
	defer d.follower.OnJob(nil)

	book, err := t.book(ctx)
	if err != nil {
		return
	}
	t.sched = schedule.New(owned.Revision, d.bounds, book.Entries(), time.Now(), schedule.WithObserver(d.observe))
	firstBatch, nextBatch := book.Batches()
	t.oldest, t.restated = firstBatch, firstBatch
	t.writer = newLogWriter(d.client, d.host, owned.Revision, nextBatch, d.log, d.follower.Learn)
	jobs.deliver(t.addJob)

	var all sync.WaitGroup
	t.sched.SetMaintained(book.Maintained())
	t.sched.SetOrdered(book.HostOrders(), d.host.Host, time.Now())
	if d.hosts.Waves != nil {
		all.Go(func() { t.orderHosts(ctx) })
	}
	all.Go(func() { t.forget(ctx) })
	all.Go(func() { d.roster(ctx, t.setRoster) })
	t.run(ctx)
	t.report(0, 0)
	cancel()
	all.Wait()
}

// book returns the ledger as the term begins, after which nobody else changes the log: from what this host has followed or,
// where that is not far enough, from the store.
func (t *term) book(ctx context.Context) (*ledger.Book, error) {
	timeout := followTimeout
	if b := t.follower.Book(); b != nil && !b.HasJobs() {
		timeout = readTimeout
	}
	following, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	book, err := t.follower.Copy(following, t.owned.Revision)
	if err == nil {
		return book, nil
	}
	t.log.Warn("ledger not followed to the start of the term, reading it whole", "error", err)
	for {
		book, _, err = ledger.Read(ctx, t.client)
		if err == nil || ctx.Err() != nil || t.owned.Ended() {
			return book, err
		}
		t.log.Warn("read of the ledger at the start of a term failed", "error", err)
		pause.For(ctx, retryPause)
	}
}

func (t *term) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for ctx.Err() == nil && !t.owned.Ended() {
		began := time.Now()
		t.pass(ctx)
		pause.For(ctx, rest(time.Since(began)))
		select {
		case <-ctx.Done():
		case <-t.wake:
		case <-tick.C:
			t.mu.Lock()
			t.sched.Tick()
			t.report(t.sched.Jobs(), t.sched.Running())
			t.mu.Unlock()
		}
	}
}

// rest returns the time until the next pass after one that took some time.
func rest(took time.Duration) time.Duration {
	return min(maxRest, max(passInterval, restFactor*took))
}

// pass lets the scheduler decide and sends out what it decided.
func (t *term) pass(ctx context.Context) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()

	if c, ok := t.config(); ok && c.Version != t.version {
		t.sched.SetConfig(c)
		t.version = c.Version
	}
	t.sched.Lapse(now)
	if t.owned.Valid() {
		if t.mayStore(now) {
			// What is assigned later has to wait for the next batch anyway, and then knows more.
			t.sched.Place(now)
		}
		for _, l := range t.sched.Polls(now) {
			go t.poll(l)
		}
		if t.advise != nil {
			if q, ok := t.sched.Question(now); ok {
				go t.ask(ctx, q)
			}
		}
		for _, o := range t.sched.Paces(now) {
			go t.order(o)
		}
		for _, o := range t.sched.Stops(now) {
			go t.order(o)
		}
	}
	t.store(ctx, now)
}

// mayStore reports whether a batch may be written now.
func (t *term) mayStore(now time.Time) bool {
	return !t.writing && now.Sub(t.wrote) >= storeInterval
}

// store begins to write the changes that have gathered, unless others are being written.
func (t *term) store(ctx context.Context, now time.Time) {
	if !t.mayStore(now) {
		return
	}
	changes, starts := t.sched.Take()
	restated, last := t.restate(now)
	changes = append(changes, restated...)
	if len(changes) == 0 && !last {
		t.sched.Stored(nil, now)
		return
	}
	t.writing, t.wrote = true, now
	go t.write(func() error {
		err := t.writer.append(ctx, changes)
		if err == nil && last {
			t.finishRestating(ctx)
		}

		return err
	}, starts)
}

// write writes to the log, and sends out the orders that waited for it.
func (t *term) write(put func() error, starts []schedule.Start) {
	if err := put(); err != nil {
		t.log.Warn("term ends, its log can't be written", "term", t.owned.Revision, "error", err)
		t.lost()

		return
	}
	t.mu.Lock()
	t.writing = false
	var orders []schedule.Order
	if t.owned.Valid() {
		orders = t.sched.Stored(starts, time.Now())
	} else {
		t.sched.Withdraw(starts)
	}
	t.mu.Unlock()
	for _, o := range orders {
		go t.order(o)
	}
	t.signal()
}

func (t *term) ask(ctx context.Context, q schedule.Question) {
	tickets, err := t.advise(ctx, q.Step, q.Workers, q.Timeout)
	t.mu.Lock()
	t.sched.Advised(q, tickets, err, time.Now())
	t.mu.Unlock()
	t.signal()
}

func (t *term) poll(l schedule.Poll) {
	reply, err := t.workers.Poll(l.Worker, l.Order)
	t.mu.Lock()
	t.sched.Polled(l, reply, err, time.Now())
	t.mu.Unlock()
	t.signal()
}

func (t *term) order(o schedule.Order) {
	var a work.Answer
	var err error
	switch {
	case !t.owned.Valid():
		err = work.ErrNotSent
	case o.Start != nil:
		a, err = t.workers.Start(o.Worker, *o.Start)
	case o.Pace != nil:
		a, err = t.workers.Pace(o.Worker, *o.Pace)
	default:
		a, err = t.workers.Stop(o.Worker, *o.Stop)
	}
	t.mu.Lock()
	t.sched.Answered(o, a, err, time.Now())
	t.mu.Unlock()
	t.signal()
}

func (t *term) addJob(j work.Job, revision uint64) {
	t.mu.Lock()
	t.sched.AddJob(j, revision, time.Now())
	t.mu.Unlock()
	t.signal()
}

func (t *term) setRoster(r Roster) {
	now := time.Now()
	t.mu.Lock()
	if r.Whole {
		present := map[work.WorkerID]bool{}
		for _, p := range r.Present {
			present[p.ID] = true
		}
		for _, id := range t.sched.Registered() {
			if !present[id] {
				t.sched.Deregister(id)
			}
		}
	}
	for _, p := range r.Present {
		t.sched.Register(p, now)
	}
	for _, id := range r.Gone {
		t.sched.Deregister(id)
	}
	t.mu.Unlock()
	t.signal()
}

func (t *term) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}
