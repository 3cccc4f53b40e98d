package agent

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"io"
	"slices"
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
	// workerCores and workerMegabits are what the calls to one worker take of a core and of a link.
	workerCores    = 0.0006
	workerMegabits = 0.016
	// ownShare is the part of an owner's processor and link that calls to workers may take.
	ownShare = 0.3
	// workersPerAgent is how many workers an agent is given; with fewer, frames would carry single calls.
	workersPerAgent = 24
)

const (
	// checkInterval is the time between two looks at the streams, refreshInterval between two choices of agents.
	checkInterval   = 100 * time.Millisecond
	refreshInterval = 500 * time.Millisecond
	// countTime is the time in which each worker that is in use is called at least once.
	countTime = 2 * time.Second
	// silenceTime is how long an agent may tell nothing before its stream is ended.
	silenceTime = 700 * time.Millisecond
	// failurePause is how long an agent whose stream ended is given no calls.
	failurePause = 3 * time.Second
	// orderWindow bounds the permission for a call, so that one that was held up is not made late.
	orderWindow = 400 * time.Millisecond
	// openWait is how long a call waits for a stream that is being opened.
	openWait = 500 * time.Millisecond
	// replyMargin is added to the time that a call may take at an agent.
	replyMargin = 600 * time.Millisecond
)

// Delegator makes an owner's calls to workers: by itself while it can carry them, and through agents beyond that.
type Delegator struct {
	direct work.Workers
	// self is this host, hosts returns those that may be agents.
	self  ledger.Host
	hosts func() []ledger.Host
	open  func(ctx context.Context, address string) (io.ReadWriteCloser, error)
	// vouched returns how long this process surely owns the workers from now on.
	vouched func() time.Duration
	// uptime is a steady clock that goes on while the machine is suspended.
	uptime func() time.Duration
	log    *log.Logger

	mu sync.Mutex
	// called has the workers that were called since counted, before those of the time before that.
	called, before map[work.WorkerID]fleet.ZoneName
	counted        time.Time
	// agents has the addresses of the agents for the workers of each availability zone.
	agents map[fleet.ZoneName][]string
	links  map[string]*link
	// opening has the agents to which a stream is being opened.
	opening map[string]bool
	// opened is closed, and replaced, when such a stream is open or has failed.
	opened chan struct{}
	// failed has when the stream of an agent last ended by itself.
	failed map[string]time.Time
}

// NewDelegator returns a delegator without agents; direct makes calls from this host, hosts returns those that may be agents, open
// opens a stream to one, vouched returns how long this process surely owns the workers from now on, and uptime is a steady
// clock that goes on while the machine is suspended.
func NewDelegator(
	direct work.Workers, self ledger.Host, hosts func() []ledger.Host,
	open func(ctx context.Context, address string) (io.ReadWriteCloser, error), vouched, uptime func() time.Duration, l *log.Logger,
) *Delegator {
	return &Delegator{
		direct: direct, self: self, hosts: hosts, open: open, vouched: vouched, uptime: uptime, log: l,
		called: map[work.WorkerID]fleet.ZoneName{}, counted: time.Now(), agents: map[fleet.ZoneName][]string{},
		links: map[string]*link{}, opening: map[string]bool{}, opened: make(chan struct{}), failed: map[string]time.Time{},
	}
}

// Workers returns the calls to workers.
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
		Poll: d.poll,
	}
}

// order has an agent give an order, or gives it from here where none surely has given it nor will.
func (d *Delegator) order(r work.Registration, c wireCall, timeout time.Duration, direct func() (work.Answer, error)) (work.Answer, error) {
	if k := d.linkTo(r); k != nil {
		reply, err := d.call(k, r, c, timeout)
		if !errors.Is(err, errNotMade) {
			return reply.Answer, err
		}
	}
	if err := d.permitted(); err != nil {
		return work.Answer{}, err
	}

	return direct()
}

// poll has an agent poll a worker, or polls it from here where the agent can't tell what came of it: a poll may be made
// twice.
func (d *Delegator) poll(r work.Registration, l work.Poll) (work.PollReply, error) {
	if k := d.linkTo(r); k != nil {
		reply, err := d.call(k, r, wireCall{Poll: &l}, l.Wait)
		if reply.ID != 0 && !errors.Is(err, errNotMade) {
			return work.PollReply{Answer: reply.Answer, Active: reply.Active, Ended: reply.Ended}, err
		}
	}
	if err := d.permitted(); err != nil {
		return work.PollReply{}, err
	}

	return d.direct.Poll(r, l)
}

// permitted returns an error of kind work.ErrNotSent if the store does not vouch for the owner's lease any more, which may
// have ended while an agent was waited for.
func (d *Delegator) permitted() error {
	if d.vouched() <= 0 {
		return merry.Prepend(work.ErrNotSent, "the owner's lease is not vouched for")
	}

	return nil
}

func (d *Delegator) call(k *link, r work.Registration, c wireCall, timeout time.Duration) (wireReply, error) {
	c.Worker, c.Address = r.ID, r.Address

	return k.call(c, min(orderWindow, d.vouched()), timeout+replyMargin)
}

// Expect tells of workers that are about to be called, so that agents are at hand.
func (d *Delegator) Expect(ctx context.Context, workers []work.Registration) {
	d.mu.Lock()
	for _, r := range workers {
		d.called[r.ID] = r.Zone
	}
	d.mu.Unlock()
	d.refresh(ctx)
}

// linkTo returns the stream to the agent of a worker, or nil if this host calls the worker itself. It waits a moment for a
// stream that is being opened.
func (d *Delegator) linkTo(r work.Registration) *link {
	k, opened := d.pick(r)
	if k != nil || opened == nil {
		return k
	}
	t := time.NewTimer(openWait)
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

// pick returns the stream to the agent of a worker; without one, opened is closed when another is open or has failed, or nil
// if none is being opened. A worker keeps its agent while the agents of its availability zone stay the same, and so do the
// connections to it.
func (d *Delegator) pick(r work.Registration) (best *link, opened <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.called[r.ID] = r.Zone
	var bestWeight uint64
	for _, address := range d.agents[r.Zone] {
		if d.opening[address] {
			opened = d.opened
		}
		k := d.links[address]
		if k == nil || !k.usable() {
			continue
		}
		if w := weight(address, r.ID); best == nil || w > bestWeight {
			best, bestWeight = k, w
		}
	}

	return best, opened
}

// weight orders the agents of a worker, for each worker in another way.
func weight(address string, id work.WorkerID) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, address)
	_, _ = io.WriteString(h, string(id))

	return mix(h.Sum64())
}

// mix spreads a hash of which mostly the low bits depend on the last bytes.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33

	return h
}

// Run keeps streams to agents until the context ends.
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
		d.endSilent()
		if time.Since(refreshed) >= refreshInterval {
			refreshed = time.Now()
			d.refresh(ctx)
		}
	}
}

// endSilent ends the streams of agents that tell nothing, and forgets streams that have ended.
func (d *Delegator) endSilent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, k := range d.links {
		if k.silent() > silenceTime {
			k.close()
		}
		select {
		case <-k.over:
			d.log.Warn("agent lost", "agent", address)
			delete(d.links, address)
			d.failed[address] = time.Now()
		default:
		}
	}
}

// refresh chooses the agents anew, and opens and closes streams accordingly.
func (d *Delegator) refresh(ctx context.Context) {
	hosts := d.hosts()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents = choose(d.count(), hosts, d.self, d.rests)
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

// rests reports whether an agent is given no calls because its stream ended a short time ago.
func (d *Delegator) rests(address string) bool {
	at, ok := d.failed[address]

	return ok && time.Since(at) < failurePause
}

// count returns how many workers of each availability zone are in use.
func (d *Delegator) count() map[fleet.ZoneName]int {
	if time.Since(d.counted) >= countTime {
		d.before, d.called, d.counted = d.called, map[work.WorkerID]fleet.ZoneName{}, time.Now()
	}
	n := map[fleet.ZoneName]int{}
	for _, zone := range d.called {
		n[zone]++
	}
	for id, zone := range d.before {
		if _, again := d.called[id]; !again {
			n[zone]++
		}
	}

	return n
}

// connect opens the stream to an agent.
func (d *Delegator) connect(ctx context.Context, address string) {
	k, err := d.dial(ctx, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.opening, address)
	close(d.opened)
	d.opened = make(chan struct{})
	if err != nil {
		d.log.Warn("agent can't be reached", "agent", address, "error", err)
		d.failed[address] = time.Now()

		return
	}
	d.log.Info("agent joins", "agent", address)
	d.links[address] = k
}

// dial returns the stream to an agent that has told its clock.
func (d *Delegator) dial(ctx context.Context, address string) (*link, error) {
	stream, err := d.open(ctx, address)
	if err != nil {
		return nil, err
	}
	k := newLink(address, stream, d.uptime, d.log)
	t := time.NewTimer(silenceTime)
	defer t.Stop()
	select {
	case <-k.ready:
		return k, nil
	case <-k.over:
	case <-t.C:
		k.close()
	}

	return nil, merry.Prependf(errNotMade, "agent %s tells nothing", address)
}

func (d *Delegator) closeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range d.links {
		k.close()
	}
}

// choose returns the addresses of the agents for the workers of each availability zone; none if this host carries the
// calls to all of them. Strong hosts of the same availability zone come first, and not those that rest.
func choose(
	workers map[fleet.ZoneName]int, hosts []ledger.Host, self ledger.Host, rests func(address string) bool,
) map[fleet.ZoneName][]string {
	total := 0
	for _, n := range workers {
		total += n
	}
	agents := map[fleet.ZoneName][]string{}
	if carries(self, total) {
		return agents
	}
	hosts = slices.DeleteFunc(slices.Clone(hosts), func(h ledger.Host) bool { return h.PeerAddress == self.PeerAddress || rests(h.PeerAddress) })
	slices.SortFunc(hosts, func(a, b ledger.Host) int {
		return cmp.Or(cmp.Compare(b.LinkMegabits, a.LinkMegabits), cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
	})
	for zone, n := range workers {
		near := slices.DeleteFunc(slices.Clone(hosts), func(h ledger.Host) bool { return h.Zone != zone })
		if len(near) == 0 {
			near = hosts
		}
		for _, h := range near[:min(len(near), 1+n/workersPerAgent)] {
			agents[zone] = append(agents[zone], h.PeerAddress)
		}
	}

	return agents
}

// carries reports whether a host can make the calls to so many workers itself; a figure that is unknown binds nothing.
func carries(h ledger.Host, workers int) bool {
	fits := func(has, each float64) bool { return has == 0 || float64(workers)*each <= ownShare*has }

	return fits(h.Cores, workerCores) && fits(h.LinkMegabits, workerMegabits)
}

// Dial returns how streams to agents are opened over a transport.
func Dial(t *platform.Transport) func(ctx context.Context, address string) (io.ReadWriteCloser, error) {
	return func(ctx context.Context, address string) (io.ReadWriteCloser, error) {
		return t.Stream(ctx, address, Path)
	}
}
