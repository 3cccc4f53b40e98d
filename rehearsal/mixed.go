package rehearsal

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/work"
)

const (
	// mixedCores and mixedMemory are the capacity of each worker of a mixed load.
	mixedCores  = 64000
	mixedMemory = 131072
	// timeSpread is the most that the time of a task differs from that of its kind, as a fraction.
	timeSpread = 0.4
	// slowTasks of the tasks take slowFactor times as long as the others of their kind.
	slowTasks  = 0.03
	slowFactor = 7
)

// TaskKind describes jobs of one step in a mixed load.
type TaskKind struct {
	Name string
	// PerSecond is the mean rate of jobs, and Tasks the tasks of each.
	PerSecond float64
	Tasks     int
	Cores     fleet.MilliCores
	Time      time.Duration
	// EstimateError is the most that the declared estimate is off, as a fraction of the actual time.
	EstimateError float64
	// Priority is that of the kind's queue; lower values are placed first.
	Priority int
	Gang     bool
	// Queue and Workspace are those of the jobs; without a queue, the kind has one of its own.
	Queue     fleet.QueueName
	Workspace fleet.WorkspaceName
	// Flood multiplies the rate between FloodFrom and FloodUntil; zero means no flood.
	Flood                 float64
	FloodFrom, FloodUntil time.Duration
}

// queue returns the queue of the kind.
func (k TaskKind) queue() fleet.QueueName {
	return cmp.Or(k.Queue, fleet.QueueName(k.Name))
}

// rate returns the rate of jobs at a time.
func (k TaskKind) rate(now time.Duration) float64 {
	if k.Flood > 0 && now >= k.FloodFrom && now < k.FloodUntil {
		return k.PerSecond * k.Flood
	}

	return k.PerSecond
}

// MixedLoad is a load of tasks of different sizes on one pool, which tests how long large tasks wait beside small ones.
type MixedLoad struct {
	Workers int
	Kinds   []TaskKind
	// Arrivals is how long jobs arrive; the play lasts half as long again.
	Arrivals time.Duration
	// WithoutLookAhead plays the load without reservations.
	WithoutLookAhead bool
	// SilenceAt is when the worker of the next reservation stops responding for good; zero means never.
	SilenceAt time.Duration
}

// MixedReport has the results of the play of a mixed load.
type MixedReport struct {
	// Waits has the times from the arrival of each started task to its start by kind, sorted. Unstarted counts the tasks
	// that did not start.
	Waits     map[string][]time.Duration
	Unstarted map[string]int
	// Decisions counts the decisions of the scheduler by kind.
	Decisions map[schedule.DecisionKind]int
	// Starts has the starts in their order.
	Starts []string
	// Silenced is the worker that stopped responding.
	Silenced work.WorkerID
}

// Wait returns a quantile of the waits of a kind.
func (r MixedReport) Wait(kind string, q float64) time.Duration {
	return quantile(r.Waits[kind], q)
}

// mixedPlay is one play of a mixed load.
type mixedPlay struct {
	MixedLoad
	rng      *rand.Rand
	start    time.Time
	now      time.Duration
	sched    *schedule.Scheduler
	machines []*machine
	byWorker map[work.WorkerID]*machine
	jobs     map[fleet.JobID]*mixedJob
	number   int
	report   MixedReport
}

// mixedJob is a job with the actual durations of its tasks.
type mixedJob struct {
	kind  string
	at    time.Duration
	times []time.Duration
	// started has the tasks of which a start was carried out.
	started map[int]bool
}

// Play plays the load with jobs that are generated from a seed.
func (l MixedLoad) Play(seed uint64) MixedReport {
	p := &mixedPlay{
		MixedLoad: l, rng: rand.New(rand.NewPCG(seed, 0)), start: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		byWorker: map[work.WorkerID]*machine{}, jobs: map[fleet.JobID]*mixedJob{},
		report: MixedReport{Waits: map[string][]time.Duration{}, Unstarted: map[string]int{}, Decisions: map[schedule.DecisionKind]int{}},
	}
	options := []schedule.Option{schedule.WithObserver(p.observe)}
	if l.WithoutLookAhead {
		options = append(options, schedule.WithoutLookAhead())
	}
	p.sched = schedule.New(1, schedule.Bounds{MaxLease: maxLease, MoveTime: moveTime}, map[fleet.JobID]*ledger.Entry{}, p.start, options...)
	p.configure()
	for ; p.now < l.Arrivals*3/2; p.now += passInterval {
		p.arrive()
		p.pass()
	}

	return p.summarise()
}

// summarise returns the report after the end of the play.
func (p *mixedPlay) summarise() MixedReport {
	for _, j := range p.jobs {
		p.report.Unstarted[j.kind] += len(j.times)
	}
	for kind, waits := range p.report.Waits {
		slices.Sort(waits)
		p.report.Unstarted[kind] -= len(waits)
	}

	return p.report
}

// configure sets one queue for each kind and registers the workers.
func (p *mixedPlay) configure() {
	c := work.Config{Pools: []work.Pool{{Name: poolName(0)}}}
	for _, k := range p.Kinds {
		if slices.ContainsFunc(c.Queues, func(q work.Queue) bool { return q.Name == k.queue() }) {
			continue
		}
		c.Queues = append(c.Queues, work.Queue{Name: k.queue(), Pool: poolName(0), Priority: k.Priority, MaxAttempts: 4, SlackFactor: objectiveFactor, Slack: slack})
	}
	p.sched.SetConfig(c)
	for i := range p.Workers {
		m := &machine{life: work.Life(i + 1), runs: map[work.Attempt]activeRun{}, status: work.HostStatus{
			Pool: poolName(0), Worker: work.WorkerID(fmt.Sprintf("w-%02d", i)), Capacity: fleet.Resources{Cores: mixedCores, Memory: mixedMemory},
		}}
		p.machines = append(p.machines, m)
		p.byWorker[m.status.Worker] = m
		p.sched.Register(work.Registration{
			ID: m.status.Worker, Life: m.life, Address: string(m.status.Worker), Pool: m.status.Pool, Capacity: m.status.Capacity,
		}, p.start)
	}
}

// observe counts a decision, and silences the worker of a reservation if that is due.
func (p *mixedPlay) observe(d schedule.Decision) {
	p.report.Decisions[d.Kind]++
	if d.Kind == schedule.DecidedRoomReserved && p.SilenceAt > 0 && p.now >= p.SilenceAt && p.report.Silenced == "" {
		p.report.Silenced = d.Worker
		p.byWorker[d.Worker].silentUntil = time.Hour
	}
}

// arrive submits the jobs that arrive in this pass.
func (p *mixedPlay) arrive() {
	if p.now < settleTime/4 || p.now >= p.Arrivals {
		return
	}
	for _, k := range p.Kinds {
		for range poisson(p.rng, k.rate(p.now)*passInterval.Seconds()) {
			p.submit(k)
		}
	}
}

// submit submits one job of a kind.
func (p *mixedPlay) submit(k TaskKind) {
	p.number++
	j := &mixedJob{kind: k.Name, at: p.now, started: map[int]bool{}}
	for range k.Tasks {
		t := time.Duration(float64(k.Time) * (1 + timeSpread*(2*p.rng.Float64()-1)))
		if p.rng.Float64() < slowTasks {
			t *= slowFactor
		}
		j.times = append(j.times, t)
	}
	id := fleet.JobID(fmt.Sprintf("%016x", p.number))
	p.jobs[id] = j
	estimate := time.Duration(float64(k.Time) * (1 + k.EstimateError*(2*p.rng.Float64()-1)))
	p.sched.AddJob(work.Job{
		ID: id, Queue: k.queue(), Workspace: k.Workspace, Pool: poolName(0), Submitted: p.start.Add(p.now), Steps: []work.Step{{
			Count: k.Tasks, Estimate: estimate, Gang: k.Gang, Size: fleet.Resources{Cores: k.Cores, Memory: fleet.Mebibytes(k.Cores)},
		}},
	}, uint64(p.number), p.start.Add(p.now))
}

// pass runs one pass of the owner; the ledger stores at once.
func (p *mixedPlay) pass() {
	now := p.start.Add(p.now)
	for _, m := range p.machines {
		m.endRuns(p.now, func(work.Task) {})
		p.answer(m, now)
	}
	if p.now%tickInterval == 0 {
		p.sched.Tick()
	}
	p.sched.ExpireLeases(now)
	p.sched.Place(now)
	_, starts := p.sched.TakePending()
	for _, o := range p.sched.Stored(starts, now) {
		p.begin(o, now)
	}
	for _, o := range p.sched.StopOrders(now) {
		p.byWorker[o.Worker.ID].end(o.Attempt(), work.OutcomeStopped)
		p.sched.Answered(o, work.Answer{Clock: p.now, Life: p.byWorker[o.Worker.ID].life}, nil, now)
	}
	polls := p.sched.DuePolls(now)
	slices.SortFunc(polls, func(a, b schedule.Poll) int { return slices.Compare([]byte(a.Worker.ID), []byte(b.Worker.ID)) })
	for _, l := range polls {
		m := p.byWorker[l.Worker.ID]
		m.polls = append(m.polls, pendingPoll{l, p.now})
	}
}

// begin carries out a start.
func (p *mixedPlay) begin(o schedule.Order, now time.Time) {
	m, a := p.byWorker[o.Worker.ID], o.Attempt()
	if m.silentUntil > p.now {
		p.sched.Answered(o, work.Answer{}, work.ErrNoAnswer, now)
		return
	}
	j := p.jobs[a.Job]
	if !j.started[a.Index] {
		j.started[a.Index] = true
		p.report.Waits[j.kind] = append(p.report.Waits[j.kind], p.now-j.at)
	}
	p.report.Starts = append(p.report.Starts, fmt.Sprint(a, o.Worker.ID, p.now))
	m.runs[a] = activeRun{began: p.now, end: p.now + j.times[a.Index]}
	p.sched.Answered(o, work.Answer{Clock: p.now, Life: m.life}, nil, now)
}

// answer answers the polls of a machine that are due.
func (p *mixedPlay) answer(m *machine, now time.Time) {
	polls := m.polls
	m.polls = nil
	for _, l := range polls {
		silent := m.silentUntil > p.now
		reply, due := work.PollReply{}, false
		if !silent {
			reply, due = m.reply(l, p.now)
		}
		switch {
		case due:
			p.sched.Polled(l.Poll, reply, nil, now)
		case silent && p.now-l.sent >= pollTimeout+l.Order.Wait:
			p.sched.Polled(l.Poll, work.PollReply{}, work.ErrNoAnswer, now)
		default:
			m.polls = append(m.polls, l)
		}
	}
}
