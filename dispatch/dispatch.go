package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/backlog"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/owner"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

const (
	// maxStartCalls is how many starts are called at once, each of which takes the memory of a connection.
	maxStartCalls = 512
	// minPassPause is the minimum pause between two scheduling passes, which lets events accumulate.
	minPassPause = 4 * time.Millisecond
	// pauseFactor times the duration of a pass is the minimum pause after it, so that passes over a large fleet leave CPU time
	// for calls.
	pauseFactor = 4
	// maxPassPause limits that pause, since a pass may take long for reasons other than the size of the fleet.
	maxPassPause = 40 * time.Millisecond
	// tickInterval is the maximum time between two passes, for timeouts and other changes that follow from time alone.
	tickInterval = 100 * time.Millisecond
	// writeInterval is the minimum time between two batches of the log, since store calls are metered.
	writeInterval = 20 * time.Millisecond
	// followTimeout limits the wait for the ledger follower at the start of a term.
	followTimeout = time.Second
	// readTimeout replaces followTimeout while the follower's first full read is running, which takes seconds on a slow link.
	readTimeout = 5 * time.Second
	// maxReadTime limits the whole time in which a new term must have read the ledger; another host may be able to.
	maxReadTime = 12 * time.Second
)

// Dispatcher runs the scheduler while this process owns the workers.
type Dispatcher struct {
	client       *store.Client
	follower     *ledger.Follower
	workers      work.Workers
	bounds       schedule.Bounds
	config       func() (work.Config, bool)
	checkConfig  func()
	log          *log.Logger
	watchWorkers func(ctx context.Context, notify func(RegistryChange))
	hosts        Hosts
	advise       work.Advise
	report       func(jobs, runs int)
	watch        Watch
	// retention is how long jobs in a final state are kept.
	retention time.Duration
	observe   schedule.Observer
	self      ledger.Owner
	// evacuations returns the evacuated zones; nil if zones are not evacuated.
	evacuations func() work.Evacuations
	// observeStage is told of the stages of a recovery.
	observeStage func(s Stage, took time.Duration)
	// backlog is called with digests of the backlog; it may be nil.
	backlog func(term uint64, d backlog.Digest)
	// current is the term whose scheduler is in use, or nil.
	current atomic.Pointer[term]
}

// Hosts has the dependencies for sending orders to hosts. A dispatcher whose Waves is nil sends none.
type Hosts struct {
	Cloud work.Cloud
	// Holder is the name of this entry host in orders to the cloud.
	Holder string
	// Waves returns the maintenance waves that operators have requested.
	Waves func() []work.WaveOrder
	// TellWave writes the status of a wave for operators, if the Owner record still has the revision of the term.
	TellWave func(ctx context.Context, term uint64, st schedule.WaveStatus) error
}

// RegistryChange is a change of the set of registered workers.
type RegistryChange struct {
	// Full is set if Registered has all registered workers; the others are deregistered then.
	Full         bool
	Registered   []work.Registration
	Deregistered []work.WorkerID
	// Unreadable has the workers whose records do not describe a worker. What is known of them stays as it is: another writer
	// may have overwritten the record of one that goes on.
	Unreadable []work.WorkerID
}

// New returns a dispatcher; config returns the current configuration, and registry watches the registered workers until its
// context ends.
func New(
	c *store.Client, f *ledger.Follower, w work.Workers, b schedule.Bounds, self ledger.Owner, l *log.Logger,
	config func() (work.Config, bool), registry func(ctx context.Context, notify func(RegistryChange)), options ...Option,
) *Dispatcher {
	d := &Dispatcher{
		client: c, follower: f, workers: w, bounds: b, self: self, log: l, config: config, watchWorkers: registry, observe: func(schedule.Decision) {},
		report: func(int, int) {}, watch: noWatch(), checkConfig: func() {},
	}
	for _, o := range options {
		o(d)
	}

	return d
}

// term is the state of the dispatcher in one term.
type term struct {
	*Dispatcher
	ownership *owner.Term
	recovery  *recovery
	// writer appends to the ledger's log.
	writer *logWriter

	mu    sync.Mutex
	sched *schedule.Scheduler
	// version and configRevision are those of the configuration that the scheduler has.
	version        int64
	configRevision uint64
	writing        bool
	lastWrite      time.Time
	// oldest is the number of the oldest batch that may be in the store. The log from batch compacted on reproduces the whole
	// state.
	oldest, compacted uint64
	// compaction is nil while none is running.
	compaction *compaction
	// removing is set while batches before compacted are being removed.
	removing bool
	wake     chan struct{}
	// passDue is when the next pass has to begin at the latest.
	passDue time.Time
	// unknown has the open jobs of the follower that the scheduler does not have, with the time at which that was first seen;
	// unknownJobs counts those that count as a fault.
	unknown     map[fleet.JobID]time.Time
	unknownJobs int
	// backlogPublished is when the last digest of the backlog was made.
	backlogPublished time.Time
	// startCalls is full while as many starts are called as may be at once.
	startCalls chan struct{}
	// endTerm ends the term after a failed write.
	endTerm context.CancelFunc
}

// Serve runs the scheduler until the term or the context ends.
func (d *Dispatcher) Serve(ctx context.Context, ownership *owner.Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	t := &term{Dispatcher: d, ownership: ownership, wake: make(chan struct{}, 1), startCalls: make(chan struct{}, maxStartCalls), endTerm: cancel}
	t.recovery = newRecovery(ownership.Began(), d.observeStage)
	t.recovery.note(StageTerm, ownership.Unowned)
	defer t.reportRecovery(true)
	jobs := &jobBuffer{}
	d.follower.OnJob(jobs.add)
	defer d.follower.OnJob(nil)

	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	registry := &registryBuffer{}
	background.Go(func() { d.watchWorkers(ctx, registry.add) })
	var listed <-chan hostListing
	if d.hosts.Waves != nil {
		listed = d.requestHosts(ctx)
	}

	replica, err := t.readLedger(ctx)
	if err != nil {
		d.log.Error("can't read the ledger; the term ends", "term", ownership.Revision, "error", err)
		return
	}
	t.sched = schedule.New(ownership.Revision, d.bounds, replica.Entries(), time.Now(), schedule.WithObserver(d.observe))
	t.recovery.reach(StageLedger, time.Now())
	firstBatch, nextBatch := replica.Batches()
	t.oldest, t.compacted = firstBatch, firstBatch
	t.writer = newLogWriter(d.client, d.self, ownership.Revision, nextBatch, d.log, d.follower.Learn)
	t.writer.valid = ownership.Valid
	jobs.forwardTo(t.addJob)

	t.sched.SetMaintained(replica.Maintained())
	t.sched.SetOrdered(replica.HostOrders(), d.self.Host, time.Now())
	registry.forwardTo(t.applyRegistry)
	if d.hosts.Waves != nil {
		background.Go(func() {
			t.applyFirstHosts(listed)
			t.maintainHosts(ctx)
		})
	}
	background.Go(func() { t.expireJobs(ctx) })
	background.Go(func() { t.findUnknown(ctx) })
	d.current.Store(t)
	defer d.current.Store(nil)
	t.run(ctx)
	t.report(0, 0)
	t.endWatch()
}

// readLedger returns the ledger at the start of the term, from where on only this process writes the log. It reads the store
// if the follower doesn't get there in time.
func (t *term) readLedger(ctx context.Context) (*ledger.Replica, error) {
	timeout := followTimeout
	if b := t.follower.Replica(); b != nil && !b.HasJobs() {
		timeout = readTimeout
	}
	following, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	replica, err := t.follower.Copy(following, t.ownership.Revision)
	if err == nil {
		return replica, nil
	}
	t.log.Warn("ledger follower is behind the start of the term; reading the whole ledger", "error", err)
	reading, stop := context.WithTimeout(ctx, maxReadTime-timeout)
	defer stop()
	for {
		replica, _, err = ledger.Read(reading, t.client)
		if err == nil || reading.Err() != nil || t.ownership.Ended() {
			return replica, err
		}
		t.log.Warn("can't read the ledger at the start of the term; retrying", "error", err)
		pause.For(reading, retryPause)
	}
}

func (t *term) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	due := time.Now()
	for ctx.Err() == nil && !t.ownership.Ended() {
		began := time.Now()
		t.ownership.Pass(began.Sub(due))
		// Without any event, the next pass is due at the tick.
		due = began.Add(tickInterval)
		t.pass(ctx)
		t.measurePass(began)
		pause.For(ctx, passPause(time.Since(began)))
		select {
		case <-ctx.Done():
		case <-t.wake:
		case <-tick.C:
			t.mu.Lock()
			t.sched.Tick()
			t.report(t.sched.Jobs(), t.sched.Running())
			t.mu.Unlock()
			t.reportRecovery(false)
		}
	}
}

// passPause returns the pause after a pass that took the given time.
func passPause(took time.Duration) time.Duration {
	return min(maxPassPause, max(minPassPause, pauseFactor*took))
}

// pass runs one scheduling pass and sends the resulting polls and orders.
func (t *term) pass(ctx context.Context) {
	c, ok := t.config()
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()

	if ok {
		t.applyConfig(c)
	}
	t.applyEvacuations(now)
	t.sched.ExpireLeases(now)
	if t.ownership.Valid() {
		if t.mayWrite(now) {
			// An assignment waits for the next batch anyway, and one that is made later uses newer information.
			t.sched.Place(now)
		}
		t.watchJobs(now)
		t.publishBacklog(now)
		t.sendPolls(t.sched.DuePolls(now))
		for _, id := range t.sched.DueProbes(now) {
			go t.probe(ctx, id)
		}
		if t.advise != nil {
			if q, ok := t.sched.Question(now); ok {
				go t.requestAdvice(ctx, q)
			}
		}
		for _, o := range t.sched.PaceOrders(now) {
			go t.sendOrder(o)
		}
		for _, o := range t.sched.StopOrders(now) {
			go t.sendOrder(o)
		}
	}
	t.flush(ctx, now)
}

// applyConfig gives the scheduler a configuration that is not the one it has. A version that is written again has a newer
// revision, and jobs that are accepted from then on wait for that.
func (t *term) applyConfig(c work.Config) {
	if c.Version == t.version && c.Revision == t.configRevision {
		return
	}
	t.sched.SetConfig(c)
	t.version, t.configRevision = c.Version, c.Revision
}

// mayWrite reports whether a batch may be written now.
func (t *term) mayWrite(now time.Time) bool {
	return !t.writing && now.Sub(t.lastWrite) >= writeInterval
}

// flush starts writing the pending changes, unless a batch may not be written now.
func (t *term) flush(ctx context.Context, now time.Time) {
	if !t.mayWrite(now) {
		return
	}
	changes, starts := t.sched.TakePending()
	snapshots, last := t.compact(now)
	changes = append(changes, snapshots...)
	if len(changes) == 0 && !last {
		t.sched.Stored(nil, now)
		return
	}
	t.writing, t.lastWrite = true, now
	go t.write(func() error {
		err := t.writer.append(ctx, changes)
		if err == nil && last {
			t.finishCompaction(ctx)
		}

		return err
	}, starts)
}

// write appends to the log, and then sends the orders that depend on it.
func (t *term) write(appendBatch func() error, starts []schedule.Start) {
	if err := appendBatch(); err != nil {
		t.log.Warn("can't write the log; the term ends", "term", t.ownership.Revision, "error", err)
		t.endTerm()

		return
	}
	t.mu.Lock()
	t.writing = false
	var orders []schedule.Order
	if t.ownership.Valid() {
		now := time.Now()
		t.applyEvacuations(now)
		orders = t.sched.Stored(starts, now)
	} else {
		t.sched.CancelStarts(starts)
	}
	t.mu.Unlock()
	if len(starts) > 0 {
		t.recovery.reach(StageBatch, time.Now())
	}
	for _, o := range orders {
		go t.sendOrder(o)
	}
	t.signal()
}

func (t *term) addJob(j work.Job, revision uint64) {
	t.mu.Lock()
	t.sched.AddJob(j, revision, time.Now())
	newer := t.sched.AwaitsConfig(&j)
	t.mu.Unlock()
	if newer {
		t.checkConfig()
	}
	t.signal()
}

func (t *term) applyRegistry(r RegistryChange) {
	now := time.Now()
	t.mu.Lock()
	if r.Full {
		present := map[work.WorkerID]bool{}
		for _, p := range r.Registered {
			present[p.ID] = true
		}
		for _, id := range r.Unreadable {
			present[id] = true
		}
		for _, id := range t.sched.Registered() {
			if !present[id] {
				t.sched.Deregister(id)
			}
		}
	}
	for _, p := range r.Registered {
		t.sched.Register(p, now)
	}
	for _, id := range r.Deregistered {
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
