package rehearsal

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/work"
)

const (
	// passInterval is the time between two scheduling passes, and storeDelay the latency of writes to the ledger.
	passInterval = 20 * time.Millisecond
	storeDelay   = 20 * time.Millisecond
	// tickInterval, orderInterval and listInterval are those of the dispatcher.
	tickInterval  = 100 * time.Millisecond
	orderInterval = 60 * time.Millisecond
	listInterval  = 500 * time.Millisecond
	sampleTime    = 500 * time.Millisecond
	maxLease      = 6 * time.Second
	handoverQuiet = 3 * time.Second
)

// Rehearsal is one play of a pattern.
type Rehearsal struct {
	pattern  Pattern
	scale    int
	start    time.Time
	now      time.Duration
	arrivals []arrival
	// next is the index of the next job to arrive.
	next    int
	jobs    map[fleet.JobID]*jobProgress
	cloud   *cloud
	entries map[fleet.JobID]*ledger.Entry
	// sched is nil while there is no owner.
	sched    *schedule.Scheduler
	term     uint64
	stored   storing
	listedAt time.Duration
	ordered  map[fleet.HostName]time.Duration
	report   Report
}

// storing is a batch of changes whose write to the ledger is in progress.
type storing struct {
	pending bool
	starts  []schedule.Start
	doneAt  time.Duration
}

// jobProgress is the progress of a job that has arrived.
type jobProgress struct {
	*arrival
	left  int
	done  map[work.Task]bool
	began bool
	// finished is when the last task ended; zero if the job is not finished.
	finished time.Duration
}

// Option configures a Rehearsal.
type Option func(*Rehearsal)

// WithScale multiplies the hosts and the jobs by n; the default is 1.
func WithScale(n int) Option {
	return func(r *Rehearsal) { r.scale = n }
}

// New returns a play of a pattern with jobs that are generated from a seed.
func New(p Pattern, seed uint64, options ...Option) *Rehearsal {
	r := &Rehearsal{
		pattern: p, scale: 1, start: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		jobs: map[fleet.JobID]*jobProgress{}, entries: map[fleet.JobID]*ledger.Entry{}, ordered: map[fleet.HostName]time.Duration{},
	}
	for _, o := range options {
		o(r)
	}
	r.cloud = newCloud(r.scale)
	r.arrivals = demandOf(p, r.scale, rand.New(rand.NewPCG(seed, 0)), r.start)
	slices.SortStableFunc(r.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	r.report = Report{Pattern: p.Name, Seed: seed, BestCost: bestCost(r.arrivals)}

	return r
}

// Play plays the pattern and returns its report.
func (r *Rehearsal) Play() Report {
	r.takeOver()
	for end := settleTime + loadTime + finishTime; r.now < end; r.now += passInterval {
		r.disturb()
		r.arrive()
		r.runWorkers()
		if r.sched != nil {
			r.pass()
		}
		r.sample()
	}
	r.report.summarise(r)

	return r.report
}

// clock returns the virtual time.
func (r *Rehearsal) clock() time.Time {
	return r.start.Add(r.now)
}

// every reports whether a multiple of an interval falls into this pass.
func (r *Rehearsal) every(interval time.Duration) bool {
	return r.now/interval != (r.now-passInterval)/interval || r.now == 0
}

// at reports whether an event of the load time falls into this pass; zero means never.
func (r *Rehearsal) at(event time.Duration) bool {
	return event > 0 && settleTime+event > r.now-passInterval && settleTime+event <= r.now
}

// takeOver starts a new term with the entries of the ledger.
func (r *Rehearsal) takeOver() {
	r.term++
	r.sched = schedule.New(
		r.term, schedule.Bounds{MaxLease: maxLease, MoveTime: moveTime, HandoverQuiet: handoverQuiet}, r.entries, r.clock(),
	)
	r.stored = storing{}
	orders := map[fleet.HostName]ledger.HostOrder{}
	for h, at := range r.ordered {
		orders[h] = ledger.HostOrder{By: "earlier", Age: r.now - at}
	}
	r.sched.SetOrdered(orders, "later", r.clock())
	r.sched.SetConfig(config())
	for _, m := range r.cloud.machines {
		m.registered, m.polls = false, nil
	}
	r.listedAt = -time.Hour
}

// config returns the configuration of the modelled fleet.
func config() work.Config {
	c := work.Config{Pools: []work.Pool{{Name: standbyName, Standby: true}}}
	for i := range poolCount {
		c.Pools = append(c.Pools, work.Pool{Name: poolName(i)})
		c.Queues = append(c.Queues, work.Queue{
			Name: fleet.QueueName(poolName(i)), Pool: poolName(i), MaxAttempts: 4, SlackFactor: objectiveFactor, Slack: slack,
		})
	}
	for i := range workspaceCount {
		c.Workspaces = append(c.Workspaces, work.Workspace{Name: workspaceName(i), Weight: workspaceShare(i)})
	}

	return c
}

// disturb applies the events of the pattern.
func (r *Rehearsal) disturb() {
	switch p := r.pattern; {
	case r.at(p.ownerLossAt):
		r.sched = nil
	case r.at(p.ownerLossAt + ownerGap*min(1, p.ownerLossAt)):
		r.takeOver()
	case r.at(p.rackLossAt):
		r.silenceRack()
	case r.at(p.waveAt):
		var hosts []fleet.HostName
		for i, m := range r.cloud.machines {
			if i%2 == 0 {
				hosts = append(hosts, m.status.Host)
			}
		}
		r.sched.SetWave(work.WaveOrder{Number: 1, Hosts: hosts, Duration: waveTime, MaxDown: len(hosts) / 3}, r.clock())
	}
}

// silenceRack makes the rack with the most runs unresponsive.
func (r *Rehearsal) silenceRack() {
	runs := map[fleet.RackName]int{}
	most := fleet.RackName("")
	for _, m := range r.cloud.machines {
		rack := m.status.Rack
		runs[rack] += len(m.runs)
		if runs[rack] > runs[most] {
			most = rack
		}
	}
	for _, m := range r.cloud.machines {
		if m.status.Rack == most {
			m.silentUntil = r.now + rackLossTime
		}
	}
}

// arrive submits the jobs that are due.
func (r *Rehearsal) arrive() {
	for r.next < len(r.arrivals) && r.arrivals[r.next].at <= r.now {
		a := &r.arrivals[r.next]
		r.next++
		p := &jobProgress{arrival: a, done: map[work.Task]bool{}}
		for _, s := range a.job.Steps {
			p.left += s.Count
		}
		r.jobs[a.job.ID] = p
		if r.sched != nil {
			r.sched.AddJob(a.job, uint64(r.next), r.clock())
		} else {
			r.entries[a.job.ID] = ledger.NewEntry(a.job, uint64(r.next))
		}
	}
}

// runWorkers ends runs, completes orders to hosts and registers new workers.
func (r *Rehearsal) runWorkers() {
	for _, m := range r.cloud.machines {
		if m.status.State != work.HostUp {
			if r.now >= m.upAt {
				r.cloud.begin(m)
			}
			continue
		}
		m.endRuns(r.now, r.taskDone)
		if r.sched != nil && !m.registered && m.status.Worker != "" && r.now >= m.upAt+registrationDelay {
			m.registered = true
			r.sched.Register(m.registration(), r.clock())
		}
	}
}

// taskDone records the end of a task.
func (r *Rehearsal) taskDone(t work.Task) {
	p := r.jobs[t.Job]
	if p.done[t] {
		return
	}
	p.done[t] = true
	if p.left--; p.left == 0 {
		p.finished = r.now
	}
}

// pass runs one pass of the dispatcher.
func (r *Rehearsal) pass() {
	now := r.clock()
	if r.stored.pending && r.now >= r.stored.doneAt {
		orders := r.sched.Stored(r.stored.starts, now)
		r.stored = storing{}
		for _, o := range orders {
			r.send(o)
		}
	}
	r.answerPolls()
	if r.every(tickInterval) {
		r.sched.Tick()
	}
	r.sched.ExpireLeases(now)
	if !r.stored.pending {
		r.sched.Place(now)
	}
	polls := r.sched.DuePolls(now)
	slices.SortFunc(polls, func(a, b schedule.Poll) int { return cmp.Compare(a.Worker.ID, b.Worker.ID) })
	for _, p := range polls {
		if m := r.cloud.byWorker[p.Worker.ID]; m != nil {
			m.polls = append(m.polls, pendingPoll{p, r.now})
			continue
		}
		r.sched.Polled(p, work.PollReply{}, work.ErrNotSent, now)
	}
	for _, o := range r.sched.StopOrders(now) {
		r.send(o)
	}
	if r.every(orderInterval) {
		r.manageHosts()
	}
	if !r.stored.pending {
		_, starts := r.sched.TakePending()
		r.stored = storing{pending: true, starts: starts, doneAt: r.now + storeDelay}
	}
}

// send executes an order to a worker.
func (r *Rehearsal) send(o schedule.Order) {
	m := r.cloud.byWorker[o.Worker.ID]
	if m == nil || m.silentUntil > r.now {
		r.sched.Answered(o, work.Answer{}, work.ErrNoAnswer, r.clock())
		return
	}
	switch {
	case o.Start != nil:
		a := o.Start.Attempt
		p := r.jobs[a.Job]
		if !p.began {
			p.began = true
			r.report.waits = append(r.report.waits, r.now-p.at)
		}
		m.runs[a] = activeRun{began: r.now, end: r.now + p.trueTimes[a.Step][a.Index], lasting: p.job.Lasting()}
	case o.Stop != nil:
		if _, ok := m.runs[o.Stop.Attempt]; ok {
			m.end(o.Stop.Attempt, work.OutcomeStopped)
		}
	}
	r.sched.Answered(o, work.Answer{Clock: r.now, Life: m.life}, nil, r.clock())
}

// answerPolls answers the polls that are due.
func (r *Rehearsal) answerPolls() {
	for _, m := range r.cloud.machines {
		polls := m.polls
		m.polls = nil
		for _, p := range polls {
			if m.silentUntil > r.now {
				if r.now-p.sent < pollTimeout+p.Order.Wait {
					m.polls = append(m.polls, p)
					continue
				}
				r.sched.Polled(p.Poll, work.PollReply{}, work.ErrNoAnswer, r.clock())
				continue
			}
			if reply, due := m.reply(p, r.now); due {
				r.sched.Polled(p.Poll, reply, nil, r.clock())
				continue
			}
			m.polls = append(m.polls, p)
		}
	}
}

// manageHosts reads the list of hosts if that is due, and executes the orders to hosts.
func (r *Rehearsal) manageHosts() {
	now := r.clock()
	if r.now-r.listedAt >= listInterval {
		r.listedAt = r.now
		r.sched.SetHosts(r.cloud.statuses(), now, now)
	}
	for _, o := range r.sched.HostOrders(now) {
		err := r.cloud.carryOut(o, r.now)
		if err == nil {
			r.ordered[o.Host] = r.now
			if o.Wave == 0 && r.now >= settleTime {
				r.report.Moves++
			}
		}
		r.sched.HostAnswered(o, err, now)
	}
}
