package schedule

import (
	"slices"
	"time"

	"lycheehook.example/lycheehook/balance"
	"lycheehook.example/lycheehook/evacuation"
	"lycheehook.example/lycheehook/fairshare"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// Scheduler holds the jobs, workers and runs of one term of ownership. It is not safe for concurrent use.
type Scheduler struct {
	term uint64
	// began is when the term began for this owner.
	began      time.Time
	bounds     Bounds
	observe    Observer
	queues     map[fleet.QueueName]*work.Queue
	pools      map[fleet.PoolName]work.Pool
	workspaces map[fleet.WorkspaceName]work.Workspace
	entries    map[fleet.JobID]*ledger.Entry
	jobs       map[fleet.JobID]*job
	workers    map[work.WorkerID]*worker
	// suspects has the tasks under which each incarnation of a worker crashed.
	suspects map[incarnation][]work.Task
	// lateStarts has the starts that may still be carried out although their runs are taken for over.
	lateStarts map[work.Task][]lateStart
	// workspaceUsage has the resources that each workspace's runs use.
	workspaceUsage map[fleet.WorkspaceName]fleet.Resources
	// runLimit has the bounds on runs.
	runLimit runLimit
	// shares has what each workspace's runs reserve in each pool, now and over the last seconds.
	shares *fairshare.Table
	hosts  map[fleet.HostName]*host
	// hostList has the hosts in the order of their names.
	hostList []*host
	// listedAt is when the cloud's list of hosts was last applied, listAsked when that list was requested, and firstListed when
	// one was first applied.
	listedAt, listAsked, firstListed time.Time
	// waves has the maintenance waves by number; dueHosts has the hosts that still need maintenance for an open wave.
	waves    map[int64]*wave
	dueHosts map[fleet.HostName]bool
	// quietUntil has the hosts for which a previous owner gave an order, with the time until which this owner gives them
	// none.
	quietUntil map[fleet.HostName]time.Time
	// advice has what is known about the steps of advised queues, by step name; advicePending reports that a question is
	// in flight.
	advice        map[string]*advice
	advicePending bool
	// overSince has the jobs that are over, with the time at which this owner first noticed.
	overSince map[fleet.JobID]time.Time
	// removed has the jobs that were removed from the ledger, of which an older read may tell once more.
	removed map[fleet.JobID]removedJob
	// pendingHosts has the hosts whose orders wait until the ledger has stored them.
	pendingHosts []*host
	// maintainedBefore has the hosts that previous owners maintained for each wave.
	maintainedBefore map[int64][]fleet.HostName
	balancer         *balance.Balancer
	unstarted        unstarted
	evacuation       *evacuation.State
	// placedAt is when the last placement was made.
	placedAt time.Time
	// plannedAt is when moves between pools were last planned; before movesAfter none is, since the cloud has refused one.
	plannedAt, movesAfter time.Time
	// unplaced has the steps whose tasks found no room in the last placement.
	unplaced []*readyStep
	// leaving has the steps with tasks that are to leave hosts that drain.
	leaving []*readyStep
	changes []ledger.Change
	// pendingRuns has the new runs whose starts wait until the ledger has stored them.
	pendingRuns []*run
	// configured reports whether a configuration has been set, and configRevision is its store revision.
	configured     bool
	configRevision uint64
	lookAhead      lookAhead
	// dirty reports whether something has changed since the last placement.
	dirty bool
}

// Bounds has the time limits of the platform.
type Bounds struct {
	// MaxLease is the longest lease of the runs on a worker.
	MaxLease time.Duration
	// MoveTime is how long a host is unavailable while it moves between pools.
	MoveTime time.Duration
	// HandoverQuiet is how long a new owner must give no order to a host after another owner gave it one.
	HandoverQuiet time.Duration
	// Memory is the memory of the process in bytes, which bounds the runs; zero means no bound.
	Memory int64
	// EvacuationTime is the time after the acknowledgement of a zone's evacuation from which on no task may start there; zero
	// means that zones are not evacuated.
	EvacuationTime time.Duration
}

// job is an accepted job that is not over.
type job struct {
	entry *ledger.Entry
	// knownSince is when this owner learned of the job; for a job in the ledger at the start of the term it is the
	// submission time.
	knownSince time.Time
	// failedOnWorkers has the workers on which each task failed.
	failedOnWorkers map[work.Task][]work.WorkerID
	// failedAt is when each of these tasks last failed.
	failedAt map[work.Task]time.Time
	// suspicions has the tasks under which workers crashed.
	suspicions map[work.Task]*suspicion
	// late has the lasting tasks under which workers crashed late.
	late map[work.Task]lateCrashes
	// lastCrash is when this owner learned of the last of these crashes, and cleared when a suspected task last outlived its
	// isolation.
	lastCrash, cleared time.Time
	// moves counts how often each task was moved off a slow worker.
	moves map[work.Task]int
	// firstOpen is the first occurrence that may not be done.
	firstOpen int
	// turn is the position at which the search for its ready steps goes on that follow the first ones.
	turn int
	// least has the least of each resource that one of its tasks uses, and path its critical path.
	least *fleet.Resources
	path  pathLength
}

// Option configures a new Scheduler.
type Option func(*Scheduler)

// WithObserver calls f with each decision.
func WithObserver(f Observer) Option {
	return func(s *Scheduler) { s.observe = f }
}

// New returns the scheduler of the term of ownership that begins at store revision term, with the jobs of the ledger.
// Runs that may still be active on workers that don't answer keep their resources until their leases have surely ended.
func New(term uint64, b Bounds, entries map[fleet.JobID]*ledger.Entry, now time.Time, options ...Option) *Scheduler {
	s := &Scheduler{
		term: term, began: now, bounds: b, observe: func(Decision) {}, entries: entries,
		queues: map[fleet.QueueName]*work.Queue{}, pools: map[fleet.PoolName]work.Pool{}, workspaces: map[fleet.WorkspaceName]work.Workspace{},
		jobs: map[fleet.JobID]*job{}, workers: map[work.WorkerID]*worker{}, workspaceUsage: map[fleet.WorkspaceName]fleet.Resources{}, shares: fairshare.New(), dirty: true,
		runLimit: newRunLimit(b.Memory),
		hosts:    map[fleet.HostName]*host{}, waves: map[int64]*wave{}, quietUntil: map[fleet.HostName]time.Time{},
		overSince: map[fleet.JobID]time.Time{}, removed: map[fleet.JobID]removedJob{},
		suspects: map[incarnation][]work.Task{}, lateStarts: map[work.Task][]lateStart{}, advice: map[string]*advice{}, dueHosts: map[fleet.HostName]bool{},
		balancer: balance.New(b.MoveTime + moveDecisionDelay), evacuation: evacuation.New(b.EvacuationTime), lookAhead: newLookAhead(),
	}
	for _, o := range options {
		o(s)
	}
	for _, e := range entries {
		s.adopt(e, now)
	}

	return s
}

// adopt adds a job from the ledger, with the runs that a previous owner may have started.
func (s *Scheduler) adopt(e *ledger.Entry, now time.Time) {
	if !e.Finished() {
		j := &job{entry: e, knownSince: e.Job.Submitted}
		s.jobs[e.Job.ID] = j
		s.adoptCrashes(j)
	}
	s.adoptLateStarts(e, now)
	for a, l := range e.LiveAttempts {
		w := s.ensureWorker(l.Worker)
		w.Assume(max(w.Life(), l.Life))
		w.HoldLeases(now)
		r := &run{attempt: a, worker: w, life: l.Life, phase: inherited, pace: fullPace}
		s.reserve(e, r)
		if e.Finished() || e.Task(a.Task).Done {
			r.requestStop()
		} else if s.jobs[a.Job].mustIsolate(a.Task) {
			w.isolated = append(w.isolated, r)
		}
	}
	s.stopExtraRuns(e)
}

// stopExtraRuns stops the runs that a previous owner had not stopped yet: all but the newest of a task, and members of gangs that lack others.
func (s *Scheduler) stopExtraRuns(e *ledger.Entry) {
	for a, l := range e.LiveAttempts {
		newer := func(o ledger.LiveAttempt) bool { return o.Number > l.Number }
		if slices.ContainsFunc(e.Task(a.Task).Live, newer) || e.Job.Steps[a.Step].Gang && !gangComplete(e, a) {
			s.workers[l.Worker].runs[a].requestStop()
		}
	}
}

// gangComplete reports whether all members of a gang's attempt are live, or one is done and so are they.
func gangComplete(e *ledger.Entry, a work.Attempt) bool {
	st := e.Step(ledger.StepKey{Occurrence: a.Occurrence, Step: a.Step})
	live := 0
	for _, t := range st.Recorded {
		if slices.ContainsFunc(t.Live, func(l ledger.LiveAttempt) bool { return l.Number == a.Number }) {
			live++
		}
	}

	return st.Done > 0 || live == st.Count
}

// SetConfig replaces the configuration.
func (s *Scheduler) SetConfig(c work.Config) {
	s.configured, s.configRevision = true, c.Revision
	clear(s.pools)
	clear(s.workspaces)
	for _, q := range c.Queues {
		s.queues[q.Name] = &q
	}
	for _, p := range c.Pools {
		s.pools[p.Name] = p
	}
	for _, w := range c.Workspaces {
		s.workspaces[w.Name] = w
	}
	s.dirty = true
}

// queueOf returns a job's queue. For a queue that was removed before this term it returns the pool and attempt limit
// recorded when the job was accepted.
func (s *Scheduler) queueOf(j *work.Job) *work.Queue {
	if q, ok := s.queues[j.Queue]; ok {
		return q
	}

	return &work.Queue{Name: j.Queue, Pool: j.Pool, MaxAttempts: j.MaxAttempts}
}

// AddJob adds an accepted job, or updates a known one that was cancelled. It passes over records that were removed.
func (s *Scheduler) AddJob(j work.Job, revision uint64, now time.Time) {
	if r, ok := s.removed[j.ID]; ok && revision <= r.revision {
		return
	}
	e, ok := s.entries[j.ID]
	if !ok {
		e = ledger.NewEntry(j, revision)
		s.entries[j.ID] = e
	}
	if revision > e.Revision {
		e.Job, e.Revision = j, revision
	}
	if e.Finished() {
		s.closeJob(e)
		return
	}
	if s.jobs[j.ID] == nil {
		s.jobs[j.ID] = &job{entry: e, knownSince: now}
		s.recordArrival(s.jobs[j.ID], now)
		s.dirty = true
	}
}

// closeJob stops all runs of a job that is over.
func (s *Scheduler) closeJob(e *ledger.Entry) {
	delete(s.jobs, e.Job.ID)
	for a, l := range e.LiveAttempts {
		if w, ok := s.workers[l.Worker]; ok {
			if r, ok := w.runs[a]; ok {
				r.requestStop()
				w.RequestPoll()
			}
		}
	}
	s.dirty = true
}

// Has reports whether the scheduler has a job, which may be over.
func (s *Scheduler) Has(id fleet.JobID) bool {
	_, ok := s.entries[id]

	return ok
}

// Jobs returns the number of jobs that are not over.
func (s *Scheduler) Jobs() int {
	return len(s.jobs)
}

// Running returns the number of runs that hold resources on workers.
func (s *Scheduler) Running() int {
	n := 0
	for _, w := range s.workers {
		n += len(w.runs)
	}

	return n
}

// Tick makes the next call of Place run even if nothing but the time has changed.
func (s *Scheduler) Tick() {
	s.dirty = true
}
