package dispatch

import (
	"context"
	"time"

	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/work"
)

const (
	// hostInterval is the pause between two rounds of host orders.
	hostInterval = 50 * time.Millisecond
	// The list of hosts is read often only while a host is out of service or its worker silent, since calls to the cloud are
	// metered.
	busyListInterval = 500 * time.Millisecond
	idleListInterval = 5 * time.Second
)

// maintainHosts runs the maintenance of hosts until the term ends.
func (t *term) maintainHosts(ctx context.Context) {
	for ctx.Err() == nil && !t.ownership.Ended() {
		pause.For(ctx, hostInterval)
		now := time.Now()
		t.mu.Lock()
		for _, o := range t.hosts.Waves() {
			t.sched.SetWave(o, now)
		}
		t.mu.Unlock()
		t.listHosts(ctx, now)
		if t.ownership.Valid() {
			t.sendHostOrders(ctx, now)
		}
	}
}

// listHosts reads the list of hosts from the cloud if that is due.
func (t *term) listHosts(ctx context.Context, now time.Time) {
	t.mu.Lock()
	interval := idleListInterval
	if t.sched.HostsAway() || t.sched.HostsSilent() {
		interval = busyListInterval
	}
	due := now.Sub(t.sched.HostsListed()) >= interval
	t.mu.Unlock()
	if !due {
		return
	}
	list, err := t.hosts.Cloud.Hosts(ctx)
	if err != nil {
		t.log.Warn("can't list the hosts; retrying", "error", err)
		pause.For(ctx, retryPause)

		return
	}
	t.mu.Lock()
	t.sched.SetHosts(list, now, time.Now())
	t.mu.Unlock()
	t.signal()
}

// sendHostOrders sends the host orders that are due and writes the status of the waves.
func (t *term) sendHostOrders(ctx context.Context, now time.Time) {
	t.mu.Lock()
	orders, statuses := t.sched.HostOrders(now), t.sched.WaveStatuses()
	t.mu.Unlock()
	for _, o := range orders {
		go t.sendHostOrder(ctx, o)
	}
	for _, st := range statuses {
		if err := t.hosts.TellWave(ctx, t.ownership.Revision, st); err != nil {
			t.log.Warn("can't write the wave status", "wave", st.Number, "error", err)
			continue
		}
		t.mu.Lock()
		t.sched.WaveReported(st)
		t.mu.Unlock()
	}
	t.signal()
}

func (t *term) sendHostOrder(ctx context.Context, o schedule.HostOrder) {
	if !t.ownership.Valid() {
		t.handleHostAnswer(o, work.ErrNotSent)
		return
	}
	fence := work.Fence{Holder: t.hosts.Holder, Token: t.ownership.Revision}
	var err error
	if o.Wave != 0 {
		err = t.hosts.Cloud.Maintain(ctx, fence, o.Host, o.Wave)
	} else {
		err = t.hosts.Cloud.Move(ctx, fence, o.Host, o.Pool)
	}
	t.handleHostAnswer(o, err)
}

func (t *term) handleHostAnswer(o schedule.HostOrder, err error) {
	t.mu.Lock()
	t.sched.HostAnswered(o, err, time.Now())
	t.mu.Unlock()
	t.signal()
}
