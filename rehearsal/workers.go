package rehearsal

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/work"
)

const (
	// moveTime and maintainTime are how long the cloud takes to move and to maintain a host.
	moveTime     = 1500 * time.Millisecond
	maintainTime = 2 * time.Second
	// registrationDelay is the time from a worker's start until the owner reads its registration.
	registrationDelay = 300 * time.Millisecond
	// pollTimeout is how long the owner waits for a worker that does not answer.
	pollTimeout = 400 * time.Millisecond
)

// machine is a host with the worker that runs on it.
type machine struct {
	status work.HostStatus
	// upAt is when the current order to the host completes and its next worker starts. registered is set once the owner has read
	// the registration of the worker.
	upAt       time.Duration
	registered bool
	life       work.Life
	// silentUntil is the end of the time in which the worker doesn't respond.
	silentUntil time.Duration
	runs        map[work.Attempt]activeRun
	ends        []work.End
	lastEnd     uint64
	polls       []pendingPoll
}

// activeRun is a task that a worker runs.
type activeRun struct {
	began, end time.Duration
	lasting    bool
}

// percent returns the progress of a run, or the speed of a long-running one.
func (r activeRun) percent(now time.Duration) int {
	if r.lasting {
		return 100
	}

	return int(100 * (now - r.began) / (r.end - r.began))
}

// pendingPoll is a poll without a response yet.
type pendingPoll struct {
	schedule.Poll
	sent time.Duration
}

// cloud is the modelled fleet.
type cloud struct {
	machines []*machine
	byHost   map[fleet.HostName]*machine
	byWorker map[work.WorkerID]*machine
	lives    work.Life
}

func newCloud(scale int) *cloud {
	c := &cloud{byHost: map[fleet.HostName]*machine{}, byWorker: map[work.WorkerID]*machine{}}
	for pool, k := range kinds {
		c.add(poolName(pool), scale*k.hosts)
	}
	c.add(standbyName, scale*standbyHosts)

	return c
}

const standbyName = fleet.PoolName("standby")

func (c *cloud) add(pool fleet.PoolName, hosts int) {
	for i := range hosts {
		m := &machine{status: work.HostStatus{
			Host: fleet.HostName(fmt.Sprintf("%s-%02d", pool, i)), Pool: pool, State: work.HostUp, Capacity: hostCapacity,
			Rack: fleet.RackName(fmt.Sprintf("%s-rack-%d", pool, i/rackHosts)),
		}}
		c.machines = append(c.machines, m)
		c.byHost[m.status.Host] = m
		c.begin(m)
	}
}

// begin starts the next worker of a machine, unless the machine is on standby.
func (c *cloud) begin(m *machine) {
	m.status.State, m.registered = work.HostUp, false
	m.runs, m.ends, m.lastEnd, m.polls = map[work.Attempt]activeRun{}, nil, 0, nil
	if m.status.Pool == standbyName {
		m.status.Worker = ""
		return
	}
	c.lives++
	m.life = c.lives
	m.status.Worker = work.WorkerID(fmt.Sprintf("%s-%d", m.status.Host, m.life))
	c.byWorker[m.status.Worker] = m
}

// carryOut executes an order to a host; all runs on the host are lost.
func (c *cloud) carryOut(o schedule.HostOrder, now time.Duration) error {
	m := c.byHost[o.Host]
	if m.status.State != work.HostUp {
		return work.ErrHostBusy
	}
	delete(c.byWorker, m.status.Worker)
	m.status.Worker, m.runs, m.polls = "", map[work.Attempt]activeRun{}, nil
	if o.Wave != 0 {
		m.status.State, m.upAt = work.HostMaintenance, now+maintainTime
		return nil
	}
	m.status.State, m.status.Pool, m.upAt = work.HostMoving, o.Pool, now+moveTime

	return nil
}

// statuses returns the list of hosts.
func (c *cloud) statuses() []work.HostStatus {
	list := make([]work.HostStatus, 0, len(c.machines))
	for _, m := range c.machines {
		list = append(list, m.status)
	}

	return list
}

// registration returns the registration of a machine's worker.
func (m *machine) registration() work.Registration {
	return work.Registration{
		ID: m.status.Worker, Life: m.life, Address: string(m.status.Host), Pool: m.status.Pool, Capacity: hostCapacity, Rack: m.status.Rack,
	}
}

// endRuns moves the runs that are over to the list of ends.
func (m *machine) endRuns(now time.Duration, done func(work.Task)) {
	var over []work.Attempt
	for a, r := range m.runs {
		if r.end <= now {
			over = append(over, a)
		}
	}
	slices.SortFunc(over, compareAttempts)
	for _, a := range over {
		m.end(a, work.OutcomeDone)
		done(a.Task)
	}
}

// compareAttempts orders attempts, which makes plays deterministic.
func compareAttempts(a, b work.Attempt) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Number, b.Number))
}

func (m *machine) end(a work.Attempt, o work.Outcome) {
	delete(m.runs, a)
	m.lastEnd++
	m.ends = append(m.ends, work.End{Number: m.lastEnd, Attempt: a, Outcome: o})
}

// reply returns the response to a poll and whether it is due: immediately if there are ends, otherwise when the wait is over.
func (m *machine) reply(p pendingPoll, now time.Duration) (work.PollReply, bool) {
	m.ends = slices.DeleteFunc(m.ends, func(e work.End) bool { return e.Number <= p.Order.Acked })
	if len(m.ends) == 0 && now-p.sent < p.Order.Wait {
		return work.PollReply{}, false
	}
	r := work.PollReply{Answer: work.Answer{Clock: now, Life: m.life}, Ended: slices.Clone(m.ends)}
	for a, run := range m.runs {
		r.Active = append(r.Active, work.Activity{Attempt: a, Percent: run.percent(now)})
	}
	slices.SortFunc(r.Active, func(a, b work.Activity) int { return compareAttempts(a.Attempt, b.Attempt) })

	return r, true
}
