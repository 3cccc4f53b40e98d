package standin

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
)

// defaultRebootTime is how long a reboot takes.
const defaultRebootTime = 5 * time.Minute

// worker is the state of one host.
type worker struct {
	host     fleet.Host
	draining bool
	fence    uint64
	intent   hostapi.IntentID
	done     map[hostapi.IntentID]map[string]bool
	rebooted hostapi.IntentID
	// backAt is when the current reboot ends; zero while the host is up.
	backAt       time.Time
	pending      hostapi.IntentID
	neverReturns bool
	crashed      bool
	failing      bool
	boots        int
	tasks        map[fleet.JobID]*task
	tokens       map[fleet.JobID]uint64
}

// Platform is a fake of the platform that runs the workers.
type Platform struct {
	mu         sync.Mutex
	workers    map[fleet.HostName]*worker
	endpoints  fleet.Table[fleet.EndpointName, fleet.Endpoint]
	fault      Fault
	delay      time.Duration
	stale      *hostapi.Inventory
	rebootTime time.Duration
	taskTime   time.Duration
	calls      map[string]int64
	starts     map[fleet.JobID]int
	busy       map[fleet.HostName]func() int
	cutOff     int
}

// NewPlatform returns a platform without hosts.
func NewPlatform() *Platform {
	return &Platform{
		workers: map[fleet.HostName]*worker{}, rebootTime: defaultRebootTime,
		calls: map[string]int64{}, starts: map[fleet.JobID]int{}, busy: map[fleet.HostName]func() int{},
	}
}

// PutHost adds a host or replaces its inventory entry.
func (p *Platform) PutHost(h fleet.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if w, ok := p.workers[h.Name]; ok {
		w.host = h
		return
	}
	p.workers[h.Name] = &worker{
		host: h, done: map[hostapi.IntentID]map[string]bool{}, tasks: map[fleet.JobID]*task{}, tokens: map[fleet.JobID]uint64{},
	}
}

// RemoveHost removes a host permanently.
func (p *Platform) RemoveHost(name fleet.HostName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.workers, name)
}

// PutEndpoint adds or replaces an endpoint.
func (p *Platform) PutEndpoint(e fleet.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints = p.endpoints.With(e.Name, e)
}

// SetBusy sets the function that returns the number of requests in progress on the endpoints of a host, which count as running
// work.
func (p *Platform) SetBusy(name fleet.HostName, requests func() int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[name] = requests
}

// SetFault sets the fault of all later calls.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// SetDelay adds a delay to all later calls.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetRebootTime sets how long a reboot takes.
func (p *Platform) SetRebootTime(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rebootTime = d
}

// SetStale sets whether calls return the inventory as it is now instead of the current one.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.stale = nil
	if stale {
		inv := p.list()
		p.stale = &inv
	}
}

// SetCrashed makes a host crash or recover.
func (p *Platform) SetCrashed(name fleet.HostName, crashed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if w, ok := p.workers[name]; ok {
		w.crashed = crashed
		if crashed {
			w.loseTasks()
		}
	}
}

// SetNeverReturns sets whether a host stays down after a reboot.
func (p *Platform) SetNeverReturns(name fleet.HostName, never bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w, ok := p.workers[name]; ok {
		w.neverReturns = never
	}
}

// Boots returns the number of reboots of a host.
func (p *Platform) Boots(name fleet.HostName) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w, ok := p.workers[name]; ok {
		return w.boots
	}

	return 0
}

// OutOfService returns the hosts that are draining or down.
func (p *Platform) OutOfService() []fleet.HostName {
	p.mu.Lock()
	defer p.mu.Unlock()

	var out []fleet.HostName
	for name, w := range p.workers {
		if w.draining || !p.up(w) {
			out = append(out, name)
		}
	}

	return out
}

// Calls returns the number of calls by name.
func (p *Platform) Calls() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	calls := make(map[string]int64, len(p.calls))
	for name, n := range p.calls {
		calls[name] = n
	}

	return calls
}

// Client returns an in-memory client.
func (p *Platform) Client() *hostapi.Client {
	return &hostapi.Client{
		Inventory:   p.inventory,
		Status:      p.status,
		Drain:       p.drain,
		CancelDrain: p.cancelDrain,
		Reboot:      p.reboot,
		StartTask:   p.startTask,
		RenewTasks:  p.renewTasks,
		Task:        p.task,
		Tasks:       p.listTasks,
		Checkpoint:  p.checkpoint,
		Throttle:    p.throttle,
		StopTasks:   p.stopTasks,
	}
}

// enter counts a call and applies delay and faults. It returns with p.mu held unless it returns an error.
func (p *Platform) enter(ctx context.Context, name string) error {
	p.mu.Lock()
	p.calls[name]++
	delay, fault := p.delay, p.fault
	p.mu.Unlock()

	if delay > 0 {
		select {
		case <-ctx.Done():
			return merry.Prepend(hostapi.ErrOutcomeUnknown, name)
		case <-time.After(delay):
		}
	}

	switch fault {
	case FaultDown:
		return merry.Prepend(hostapi.ErrUnavailable, name)
	case FaultSilent:
		<-ctx.Done()
		return merry.Prepend(hostapi.ErrOutcomeUnknown, name)
	case FaultNone, FaultAnswerLost:
	}
	p.mu.Lock()

	return nil
}

// answer returns the error of a call that has taken effect, which depends on the current fault. p.mu must be held.
func (p *Platform) answer(name string) error {
	if p.fault == FaultAnswerLost {
		return merry.Prepend(hostapi.ErrOutcomeUnknown, name)
	}

	return nil
}

// up completes the worker's reboot if its time has passed, and reports whether the worker is up.
func (p *Platform) up(w *worker) bool {
	if !w.backAt.IsZero() && !w.neverReturns && !time.Now().Before(w.backAt) {
		w.backAt = time.Time{}
		w.rebooted, w.pending = w.pending, ""
	}

	return w.backAt.IsZero() && !w.crashed
}

// running returns the number of tasks and requests in progress on a worker.
func (p *Platform) running(w *worker) int {
	n := w.running()
	if requests, ok := p.busy[w.host.Name]; ok {
		n += requests()
	}

	return n
}

// leaving returns all endpoints, with those on draining or down hosts marked as leaving.
func (p *Platform) leaving() []fleet.Endpoint {
	all := p.endpoints.Values()
	for i, e := range all {
		if w, ok := p.workers[e.Host]; ok && (w.draining || !p.up(w)) {
			all[i] = e.WithLeaving(true)
		}
	}

	return all
}

func (p *Platform) list() hostapi.Inventory {
	hosts := fleet.Table[fleet.HostName, fleet.Host]{}
	for name, w := range p.workers {
		h := w.host.WithState(fleet.HostLive)
		switch {
		case !w.backAt.IsZero() && !p.up(w):
			h = h.WithState(fleet.HostRebooting)
		case !p.up(w):
			h = h.WithState(fleet.HostLost)
		case w.draining:
			h = h.WithState(fleet.HostDraining)
		}
		hosts = hosts.With(name, h)
	}

	return hostapi.Inventory{Hosts: hosts.Values(), Endpoints: p.leaving()}
}

func (p *Platform) inventory(ctx context.Context) (hostapi.Inventory, error) {
	if err := p.enter(ctx, "Inventory"); err != nil {
		return hostapi.Inventory{}, err
	}
	defer p.mu.Unlock()
	if p.stale != nil {
		return *p.stale, nil
	}

	return p.list(), nil
}

func (p *Platform) status(ctx context.Context, name fleet.HostName) (hostapi.HostStatus, error) {
	if err := p.enter(ctx, "Status"); err != nil {
		return hostapi.HostStatus{}, err
	}
	defer p.mu.Unlock()

	w, ok := p.workers[name]
	if !ok {
		return hostapi.HostStatus{}, merry.Prepend(hostapi.ErrNotFound, string(name))
	}

	return hostapi.HostStatus{
		Host: name, Up: p.up(w), Draining: w.draining, Running: p.running(w), Rebooted: w.rebooted, Intent: w.intent,
	}, nil
}

// act applies the effect of a call to a host unless the call is fenced or a retry.
func (p *Platform) act(ctx context.Context, kind string, c hostapi.HostCall, effect func(*worker) error) error {
	if err := p.enter(ctx, kind); err != nil {
		return err
	}
	defer p.mu.Unlock()

	w, ok := p.workers[c.Host]
	if !ok {
		return merry.Prepend(hostapi.ErrNotFound, string(c.Host))
	}
	if c.Fence < w.fence {
		return merry.Prependf(hostapi.ErrFenced, "%s %s: fence %d after %d", kind, c.Host, c.Fence, w.fence)
	}
	if w.done[c.Intent][kind] {
		return p.answer(kind)
	}
	if err := effect(w); err != nil {
		return err
	}

	w.fence, w.intent = c.Fence, c.Intent
	if w.done[c.Intent] == nil {
		w.done[c.Intent] = map[string]bool{}
	}
	w.done[c.Intent][kind] = true

	return p.answer(kind)
}

func (p *Platform) drain(ctx context.Context, c hostapi.HostCall) error {
	return p.act(ctx, "Drain", c, func(w *worker) error {
		w.draining = true
		return nil
	})
}

func (p *Platform) cancelDrain(ctx context.Context, c hostapi.HostCall) error {
	return p.act(ctx, "CancelDrain", c, func(w *worker) error {
		if !p.up(w) {
			return merry.Prependf(hostapi.ErrRefused, "host %s is down", c.Host)
		}
		w.draining = false

		return nil
	})
}

func (p *Platform) reboot(ctx context.Context, c hostapi.HostCall) error {
	return p.act(ctx, "Reboot", c, func(w *worker) error {
		if !w.draining {
			return merry.Prependf(hostapi.ErrRefused, "host %s is not drained", c.Host)
		}
		if n := p.running(w); n > 0 {
			return merry.Prependf(hostapi.ErrRefused, "host %s runs %d tasks and requests", c.Host, n)
		}
		w.boots++
		w.pending = c.Intent
		w.backAt = time.Now().Add(p.rebootTime)

		return nil
	})
}
