package dispatch

import (
	"context"
	"sync"
	"time"

	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/work"
)

const (
	// maxListAge is how old the list of hosts that was requested at the beginning of a term may be when the ledger has been read. An
	// older one may miss what a late order of the last owner has done, and the next list may follow only after seconds.
	maxListAge = 250 * time.Millisecond
	// pollBurst is the number of polls that are sent at once, and burstPause the time until the next ones: the answers of the first
	// workers must not wait until the calls to all others are made, which takes tens of milliseconds of processor time.
	pollBurst  = 64
	burstPause = 5 * time.Millisecond
)

// registryBuffer buffers changes of the registry until the scheduler is ready to receive them.
type registryBuffer struct {
	mu       sync.Mutex
	buffered []RegistryChange
	forward  func(r RegistryChange)
}

func (b *registryBuffer) add(r RegistryChange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.forward != nil {
		b.forward(r)
		return
	}
	b.buffered = append(b.buffered, r)
}

func (b *registryBuffer) forwardTo(forward func(r RegistryChange)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.buffered {
		forward(r)
	}
	b.buffered, b.forward = nil, forward
}

// hostListing is a list of the hosts that was requested at asked.
type hostListing struct {
	list  []work.HostStatus
	asked time.Time
}

// requestHosts begins to read the list of hosts. The channel is closed without a list if that fails.
func (d *Dispatcher) requestHosts(ctx context.Context) <-chan hostListing {
	listed := make(chan hostListing, 1)
	go func() {
		defer close(listed)
		// The workers of all runs in the ledger are listed: after the beginning of the term no other process can assign one.
		asked := time.Now()
		list, err := d.hosts.Cloud.Hosts(ctx)
		if err != nil {
			d.log.Warn("failed to list the hosts at the start of the term", "error", err)
			return
		}
		listed <- hostListing{list, asked}
	}()

	return listed
}

// applyFirstHosts gives the scheduler the list that was requested at the beginning of the term, unless there is none or it is
// too old.
func (t *term) applyFirstHosts(listed <-chan hostListing) {
	l, ok := <-listed
	if now := time.Now(); ok && now.Sub(l.asked) < maxListAge {
		t.mu.Lock()
		t.sched.SetHosts(l.list, l.asked, now)
		t.mu.Unlock()
		t.signal()
	}
}

// sendPolls sends polls in their order, a part at a time.
func (t *term) sendPolls(polls []schedule.Poll) {
	for i, l := range polls {
		if i < pollBurst {
			go t.sendPoll(l)
			continue
		}
		time.AfterFunc(time.Duration(i/pollBurst)*burstPause, func() { t.sendDelayedPoll(l) })
	}
}

// sendDelayedPoll sends a poll if the term is still valid.
func (t *term) sendDelayedPoll(l schedule.Poll) {
	if t.ownership.Valid() {
		t.sendPoll(l)
		return
	}
	t.mu.Lock()
	t.sched.Polled(l, work.PollReply{}, work.ErrNotSent, time.Now())
	t.mu.Unlock()
	t.signal()
}
