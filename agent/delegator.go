package agent

import (
	"context"
	"errors"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/work"
)

const (
	// checkInterval is the time between two checks of the streams, refreshInterval between two selections of agents.
	checkInterval   = 100 * time.Millisecond
	refreshInterval = 500 * time.Millisecond
	// countWindow is a time in which each worker in use is called at least once.
	countWindow = 2 * time.Second
	// silenceTimeout is how long an agent may send nothing before its stream is closed.
	silenceTimeout = 700 * time.Millisecond
	// failureBackoff is how long an agent gets no calls after its stream has failed.
	failureBackoff = 3 * time.Second
	// callWindow limits the time until the deadline of a call, so that a delayed call is not made late.
	callWindow = 400 * time.Millisecond
	// avoidTime is how long an agent gets no calls to a worker that did not answer it.
	avoidTime = 10 * time.Second
	// openTimeout limits the wait of a call for a stream that is being opened.
	openTimeout = 500 * time.Millisecond
	// replyMargin is added to the timeout of a call that an agent makes.
	replyMargin = 600 * time.Millisecond
)

// Delegator makes an owner's calls to workers: directly while this host can handle them, otherwise through agents.
type Delegator struct {
	direct work.Workers
	// self is this host; hosts returns the hosts that may become agents.
	self  ledger.Host
	hosts func() []ledger.Host
	open  func(ctx context.Context, address string) (io.ReadWriteCloser, error)
	// remaining returns how long the owner's lease stays valid.
	remaining func() time.Duration
	// uptime is a monotonic clock that includes time in suspend.
	uptime func() time.Duration
	log    *log.Logger
	// startWindow returns for how long a start may still be sent to a worker.
	startWindow func(r work.Registration) time.Duration

	mu sync.Mutex
	// recent has the workers that were called since the count window began at windowStart, previous those of the window before.
	recent, previous map[work.WorkerID]fleet.ZoneName
	windowStart      time.Time
	// agents has the addresses of the agents by the availability zone of the workers.
	agents map[fleet.ZoneName][]string
	links  map[string]*link
	// opening has the addresses of agents to which a stream is being opened.
	opening map[string]bool
	// opened is closed and replaced when opening a stream has succeeded or failed.
	opened chan struct{}
	// failed has the time of the last failure of an agent's stream.
	failed map[string]time.Time
	// avoided is the last failed call to each worker; its agent is avoided for avoidTime.
	avoided map[work.WorkerID]failedCall
}

// failedCall is a call by an agent that the worker did not answer.
type failedCall struct {
	agent string
	at    time.Time
}

// DelegatorOption configures a Delegator.
type DelegatorOption func(*Delegator)

// WithStartWindow sets the function that returns for how long a start may still be sent to a worker.
func WithStartWindow(window func(r work.Registration) time.Duration) DelegatorOption {
	return func(d *Delegator) { d.startWindow = window }
}

// NewDelegator returns a delegator without agents; direct makes calls from this host, hosts returns the hosts that may become
// agents, open opens a stream to one, remaining returns how long the owner's lease stays valid, and uptime is a monotonic clock
// that includes time in suspend.
func NewDelegator(
	direct work.Workers, self ledger.Host, hosts func() []ledger.Host,
	open func(ctx context.Context, address string) (io.ReadWriteCloser, error), remaining, uptime func() time.Duration, l *log.Logger,
	options ...DelegatorOption,
) *Delegator {
	d := &Delegator{
		direct: direct, self: self, hosts: hosts, open: open, remaining: remaining, uptime: uptime, log: l,
		recent: map[work.WorkerID]fleet.ZoneName{}, windowStart: time.Now(), agents: map[fleet.ZoneName][]string{},
		links: map[string]*link{}, opening: map[string]bool{}, opened: make(chan struct{}), failed: map[string]time.Time{},
		avoided: map[work.WorkerID]failedCall{}, startWindow: func(work.Registration) time.Duration { return callWindow },
	}
	for _, o := range options {
		o(d)
	}

	return d
}

// Workers returns functions that call workers directly or through agents; timeout limits an order's call.
func (d *Delegator) Workers(timeout time.Duration) work.Workers {
	return work.Workers{
		Start: func(r work.Registration, s work.Start) (work.Answer, error) {
			return d.order(r, wireCall{Start: &s}, timeout, func() (work.Answer, error) { return d.direct.Start(r, s) })
		},
		Stop: func(r work.Registration, s work.Stop) (work.Answer, error) {
			return d.order(r, wireCall{Stop: &s}, timeout, func() (work.Answer, error) { return d.direct.Stop(r, s) })
		},
		Pace: func(r work.Registration, c work.Pace) (work.Answer, error) {
			return d.order(r, wireCall{Pace: &c}, timeout, func() (work.Answer, error) { return d.direct.Pace(r, c) })
		},
		Poll:  d.poll,
		Probe: d.probe,
	}
}

// order sends an order through an agent. It sends it directly if there is no agent or the agent will certainly not send it.
func (d *Delegator) order(r work.Registration, c wireCall, timeout time.Duration, direct func() (work.Answer, error)) (work.Answer, error) {
	if k := d.linkTo(r); k != nil {
		reply, err := d.call(k, r, c, timeout)
		if !errors.Is(err, errNotMade) {
			return reply.Answer, err
		}
	}
	if c.Start != nil && d.startWindow(r) <= 0 {
		return work.Answer{}, merry.Prepend(work.ErrEvacuated, "the zone is evacuated, or the evacuated zones were not read recently enough")
	}
	if err := d.checkLease(); err != nil {
		return work.Answer{}, err
	}

	return direct()
}

// poll polls a worker through an agent, or directly if there is none or it returned no result: unlike orders, polls can be
// repeated.
func (d *Delegator) poll(r work.Registration, l work.Poll) (work.PollReply, error) {
	if k := d.linkTo(r); k != nil {
		reply, err := d.call(k, r, wireCall{Poll: &l}, l.Wait)
		if reply.ID != 0 && !errors.Is(err, errNotMade) {
			return work.PollReply{Answer: reply.Answer, Active: reply.Active, Ended: reply.Ended}, err
		}
	}
	if err := d.checkLease(); err != nil {
		return work.PollReply{}, err
	}

	return d.direct.Poll(r, l)
}

// probe probes a worker directly: an agent answers no sooner.
func (d *Delegator) probe(r work.Registration, token uint64) (work.Answer, error) {
	if err := d.checkLease(); err != nil {
		return work.Answer{}, err
	}

	return d.direct.Probe(r, token)
}

// checkLease returns work.ErrNotSent if the owner's lease is no longer valid; it may have expired during the wait for an agent.
func (d *Delegator) checkLease() error {
	if d.remaining() <= 0 {
		return merry.Prepend(work.ErrNotSent, "the owner's lease is no longer valid")
	}

	return nil
}

func (d *Delegator) call(k *link, r work.Registration, c wireCall, timeout time.Duration) (wireReply, error) {
	c.Worker, c.Address = r.ID, r.Address
	window := min(callWindow, d.remaining())
	if c.Start != nil {
		window = min(window, d.startWindow(r))
	}
	reply, err := k.call(c, window, timeout+replyMargin)
	if errors.Is(err, work.ErrNoAnswer) || errors.Is(err, work.ErrNotSent) {
		d.avoid(r.ID, k.address)
	}

	return reply, err
}

// avoid makes the next calls to a worker go another way than through an agent that got no answer: that agent may be the only
// host that can't reach the worker.
func (d *Delegator) avoid(id work.WorkerID, agent string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoided[id] = failedCall{agent: agent, at: time.Now()}
}

// avoids reports whether an agent got no answer from a worker lately.
func (d *Delegator) avoids(id work.WorkerID, agent string) bool {
	f, ok := d.avoided[id]

	return ok && f.agent == agent && time.Since(f.at) < avoidTime
}

// PrepareAgents opens streams to the agents of workers that are about to be called.
func (d *Delegator) PrepareAgents(ctx context.Context, workers []work.Registration) {
	d.mu.Lock()
	for _, r := range workers {
		d.recent[r.ID] = r.Zone
	}
	d.mu.Unlock()
	d.refresh(ctx)
}

// linkTo returns the stream to the agent of a worker, or nil if this host calls the worker directly. It waits up to openTimeout
// for a stream that is being opened.
func (d *Delegator) linkTo(r work.Registration) *link {
	k, opened := d.pick(r)
	if k != nil || opened == nil {
		return k
	}
	t := time.NewTimer(openTimeout)
	defer t.Stop()
	for k == nil && opened != nil {
		select {
		case <-opened:
			k, opened = d.pick(r)
		case <-t.C:
			return nil
		}
	}

	return k
}

// pick returns the open stream to the agent of a worker. If there is none but one is being opened, it returns a channel that
// is closed when that has succeeded or failed. Agents are picked by rendezvous hashing: a worker keeps its agent, and the agent
// its connections to the worker, while the agents of the availability zone stay the same.
func (d *Delegator) pick(r work.Registration) (best *link, opened <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recent[r.ID] = r.Zone
	var bestWeight uint64
	for _, address := range d.agents[r.Zone] {
		if d.opening[address] {
			opened = d.opened
		}
		k := d.links[address]
		if k == nil || !k.usable() || d.avoids(r.ID, address) {
			continue
		}
		if w := rendezvousWeight(address, r.ID); best == nil || w > bestWeight {
			best, bestWeight = k, w
		}
	}

	return best, opened
}

// Run maintains the streams to agents until the context ends.
func (d *Delegator) Run(ctx context.Context) {
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	var refreshed time.Time
	for {
		select {
		case <-ctx.Done():
			d.closeAll()
			return
		case <-check.C:
		}
		d.closeSilent()
		if time.Since(refreshed) >= refreshInterval {
			refreshed = time.Now()
			d.refresh(ctx)
		}
	}
}

// closeSilent closes the streams of silent agents and drops streams that have ended.
func (d *Delegator) closeSilent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, k := range d.links {
		if k.silent() > silenceTimeout {
			k.close()
		}
		select {
		case <-k.done:
			d.log.Warn("agent disconnected", "agent", address)
			delete(d.links, address)
			d.failed[address] = time.Now()
		default:
		}
	}
}

// refresh selects the agents, and opens and closes streams to match.
func (d *Delegator) refresh(ctx context.Context) {
	hosts := d.hosts()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents = selectAgents(d.countWorkers(), hosts, d.self, d.backingOff)
	wanted := map[string]bool{}
	for _, list := range d.agents {
		for _, address := range list {
			wanted[address] = true
		}
	}
	for address := range wanted {
		if d.links[address] == nil && !d.opening[address] {
			d.opening[address] = true
			go d.connect(context.WithoutCancel(ctx), address)
		}
	}
	for address, k := range d.links {
		if !wanted[address] && k.idle() {
			k.close()
			delete(d.links, address)
		}
	}
}

// backingOff reports whether an agent gets no calls because its stream failed recently.
func (d *Delegator) backingOff(address string) bool {
	at, ok := d.failed[address]

	return ok && time.Since(at) < failureBackoff
}

// countWorkers returns the number of workers in use, by availability zone.
func (d *Delegator) countWorkers() map[fleet.ZoneName]int {
	if time.Since(d.windowStart) >= countWindow {
		d.previous, d.recent, d.windowStart = d.recent, map[work.WorkerID]fleet.ZoneName{}, time.Now()
		maps.DeleteFunc(d.avoided, func(_ work.WorkerID, f failedCall) bool { return time.Since(f.at) >= avoidTime })
	}
	n := map[fleet.ZoneName]int{}
	for _, zone := range d.recent {
		n[zone]++
	}
	for id, zone := range d.previous {
		if _, again := d.recent[id]; !again {
			n[zone]++
		}
	}

	return n
}

// connect opens a stream to an agent and adds it to links.
func (d *Delegator) connect(ctx context.Context, address string) {
	k, err := d.dial(ctx, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.opening, address)
	close(d.opened)
	d.opened = make(chan struct{})
	if err != nil {
		d.log.Warn("failed to connect to the agent", "agent", address, "error", err)
		d.failed[address] = time.Now()

		return
	}
	d.log.Info("agent connected", "agent", address)
	d.links[address] = k
}

// dial opens a stream to an agent and waits for the first frame, which has the agent's clock.
func (d *Delegator) dial(ctx context.Context, address string) (*link, error) {
	stream, err := d.open(ctx, address)
	if err != nil {
		return nil, err
	}
	k := newLink(address, stream, d.uptime, d.log)
	t := time.NewTimer(silenceTimeout)
	defer t.Stop()
	select {
	case <-k.ready:
		return k, nil
	case <-k.done:
	case <-t.C:
		k.close()
	}

	return nil, merry.Prependf(errNotMade, "agent %s sent nothing", address)
}

func (d *Delegator) closeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range d.links {
		k.close()
	}
}

// Dial returns a function that opens streams to agents over a transport.
func Dial(t *platform.Transport) func(ctx context.Context, address string) (io.ReadWriteCloser, error) {
	return func(ctx context.Context, address string) (io.ReadWriteCloser, error) {
		return t.Stream(ctx, address, Path)
	}
}
