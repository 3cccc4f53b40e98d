package schedule

import (
	"time"

	"lycheehook.example/lycheehook/balance"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// Scheduler has the tables of jobs, workers and runs of one term of ownership; one goroutine at a time may use it.
type Scheduler struct {
	term    uint64
	bounds  Bounds
	observe Observer
	queues  map[fleet.QueueName]*work.Queue
	pools   map[fleet.PoolName]work.Pool
	limits  map[fleet.WorkspaceName]work.Workspace
	entries map[fleet.JobID]*ledger.Entry
	jobs    map[fleet.JobID]*job
	workers map[work.WorkerID]*worker
	running map[fleet.WorkspaceName]fleet.Resources
	// parts has what each workspace has running in each pool.
	parts map[partKey]fleet.Resources
	hosts map[fleet.HostName]*host
	// hostList has the hosts by name.
	hostList []*host
	// listed is when the cloud's list was last taken in.
	listed   time.Time
	waves    map[int64]*wave
	dueHosts map[fleet.HostName]bool
	// quiet has the hosts that an earlier owner ordered, until when this one must leave them alone.
	quiet map[fleet.HostName]time.Time
	// advice has what is known of advised steps, by name; asking says that a question is out.
	advice map[string]*advice
	asking bool
	// over has since when jobs are known to be over.
	over map[fleet.JobID]time.Time
	// announced has the hosts whose orders wait for the ledger.
	announced        []*host
	maintainedBefore map[int64][]fleet.HostName
	balancer         *balance.Balancer
	// planned is when the pools were last planned.
	planned time.Time
	// waiting has the steps whose tasks found no room in the last placement.
	waiting  []*ready
	changes  []ledger.Change
	starting []*run
	// configured says that a configuration is in force.
	configured bool
	// dirty says that something has changed since tasks were last placed.
	dirty bool
}

// Bounds is what the platform promises and asks for.
type Bounds struct {
	// MaxLease bounds the lease of what runs on a worker.
	MaxLease time.Duration
	// MoveTime is how long a host is away when it changes its pool.
	MoveTime time.Duration
	// HandoverQuiet is how long nobody may order a host after another owner did.
	HandoverQuiet time.Duration
}

// job is an accepted job that is not over.
type job struct {
	entry *ledger.Entry
	// seen is when this host learnt of the job, which the time of its submission bounds from below.
	seen time.Time
	// failed has the workers on which each task failed.
	failed map[work.Task][]work.WorkerID
	// moved counts how often each task was taken from a slow worker.
	moved map[work.Task]int
	// open is the first occurrence that may not be done.
	open int
}

// Option changes a new scheduler.
type Option func(*Scheduler)

// WithObserver makes f be told of each decision.
func WithObserver(f Observer) Option {
	return func(s *Scheduler) { s.observe = f }
}

// New returns the scheduler of a term of ownership that begins at store revision term, for the jobs of a ledger; what may
// still run on workers that don't answer is waited for until its lease has surely ended.
func New(term uint64, b Bounds, entries map[fleet.JobID]*ledger.Entry, now time.Time, options ...Option) *Scheduler {
	s := &Scheduler{
		term: term, bounds: b, observe: func(Decision) {}, entries: entries,
		queues: map[fleet.QueueName]*work.Queue{}, pools: map[fleet.PoolName]work.Pool{}, limits: map[fleet.WorkspaceName]work.Workspace{},
		jobs: map[fleet.JobID]*job{}, workers: map[work.WorkerID]*worker{}, running: map[fleet.WorkspaceName]fleet.Resources{}, parts: map[partKey]fleet.Resources{}, dirty: true,
		hosts: map[fleet.HostName]*host{}, waves: map[int64]*wave{}, quiet: map[fleet.HostName]time.Time{}, over: map[fleet.JobID]time.Time{},
		advice: map[string]*advice{}, dueHosts: map[fleet.HostName]bool{},
		balancer: balance.New(b.MoveTime + planLead),
	}
	for _, o := range options {
		o(s)
	}
	for _, e := range entries {
		s.adopt(e, now)
	}

	return s
}

// adopt takes over a job with the runs that an earlier owner may have started.
func (s *Scheduler) adopt(e *ledger.Entry, now time.Time) {
	if !e.Over() {
		s.jobs[e.Job.ID] = &job{entry: e, seen: e.Job.Submitted}
	}
	for a, l := range e.LiveAttempts {
		w := s.worker(l.Worker)
		if w.life == 0 {
			w.life = l.Life
		}
		w.lapse = now.Add(leaseBound(s.bounds.MaxLease))
		r := &run{attempt: a, worker: w, life: l.Life, phase: inherited, pace: fullPace}
		s.hold(e, r)
		if l.Life < w.life || e.Over() || e.Task(a.Task).Done {
			r.halt()
		}
	}
}

// SetConfig puts a configuration in force.
func (s *Scheduler) SetConfig(c work.Config) {
	s.configured = true
	clear(s.pools)
	clear(s.limits)
	for _, q := range c.Queues {
		s.queues[q.Name] = &q
	}
	for _, p := range c.Pools {
		s.pools[p.Name] = p
	}
	for _, w := range c.Workspaces {
		s.limits[w.Name] = w
	}
	s.dirty = true
}

// queueOf returns a job's queue: as a configuration of this term has it or, where the queue was removed before, as it was
// when the job was accepted.
func (s *Scheduler) queueOf(j *work.Job) *work.Queue {
	if q, ok := s.queues[j.Queue]; ok {
		return q
	}

	return &work.Queue{Name: j.Queue, Pool: j.Pool, MaxAttempts: j.MaxAttempts}
}

// AddJob takes in an accepted job, or a job that is cancelled now.
func (s *Scheduler) AddJob(j work.Job, revision uint64, now time.Time) {
	e, ok := s.entries[j.ID]
	if !ok {
		e = ledger.NewEntry(j, revision)
		s.entries[j.ID] = e
	}
	if revision > e.Revision {
		e.Job, e.Revision = j, revision
	}
	if e.Over() {
		s.close(e)
		return
	}
	if s.jobs[j.ID] == nil {
		s.jobs[j.ID] = &job{entry: e, seen: now}
		s.arrive(s.jobs[j.ID], now)
		s.dirty = true
	}
}

// close stops all that runs of a job that is over.
func (s *Scheduler) close(e *ledger.Entry) {
	delete(s.jobs, e.Job.ID)
	for a, l := range e.LiveAttempts {
		if w, ok := s.workers[l.Worker]; ok {
			if r, ok := w.runs[a]; ok {
				r.halt()
				w.wake = true
			}
		}
	}
	s.dirty = true
}

// Take returns the changes to store and the starts that wait for them.
func (s *Scheduler) Take() ([]ledger.Change, []Start) {
	changes, runs, hosts := s.changes, s.starting, s.announced
	s.changes, s.starting, s.announced = nil, nil, nil
	starts := make([]Start, 0, len(runs)+len(hosts))
	for _, r := range runs {
		starts = append(starts, Start{run: r})
	}
	for _, h := range hosts {
		starts = append(starts, Start{host: h})
	}

	return changes, starts
}

// record adds a change to those that are to be stored and carries it over at once.
func (s *Scheduler) record(e *ledger.Entry, c ledger.Change) {
	e.Apply(c)
	s.changes = append(s.changes, c)
}

// Jobs returns how many jobs are not over.
func (s *Scheduler) Jobs() int {
	return len(s.jobs)
}

// Running returns how many runs are held on workers.
func (s *Scheduler) Running() int {
	n := 0
	for _, w := range s.workers {
		n += len(w.runs)
	}

	return n
}

// Tick makes the next placement consider what only time has changed.
func (s *Scheduler) Tick() {
	s.dirty = true
}

// Withdraw takes back starts that are stored and must not be sent.
func (s *Scheduler) Withdraw(starts []Start) {
	for _, st := range starts {
		if st.host != nil {
			s.keepServing(st.host, time.Time{})
			continue
		}
		if st.run.worker.runs[st.run.attempt] == st.run {
			s.end(st.run, work.OutcomeNotStarted, "", "term not vouched for")
		}
	}
	s.acknowledge()
}
