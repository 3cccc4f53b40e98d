package dispatch

import (
	"context"
	"time"

	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/work"
)

const (
	// hostInterval is the time between two rounds over the hosts.
	hostInterval = 50 * time.Millisecond
	// The list of hosts is read often while one is under way, since each call is counted.
	busyListInterval = 500 * time.Millisecond
	idleListInterval = 5 * time.Second
)

// orderHosts keeps hosts up until the term is over.
func (t *term) orderHosts(ctx context.Context) {
	for ctx.Err() == nil && !t.owned.Ended() {
		pause.For(ctx, hostInterval)
		now := time.Now()
		t.mu.Lock()
		for _, o := range t.hosts.Waves() {
			t.sched.SetWave(o, now)
		}
		t.mu.Unlock()
		t.listHosts(ctx, now)
		if t.owned.Valid() {
			t.orderRound(ctx, now)
		}
	}
}

// listHosts reads the cloud's list if that is due.
func (t *term) listHosts(ctx context.Context, now time.Time) {
	t.mu.Lock()
	interval := idleListInterval
	if t.sched.HostsAway() {
		interval = busyListInterval
	}
	due := now.Sub(t.sched.HostsListed()) >= interval
	t.mu.Unlock()
	if !due {
		return
	}
	list, err := t.hosts.Cloud.Hosts(ctx)
	if err != nil {
		t.log.Warn("list of hosts not read", "error", err)
		pause.For(ctx, retryPause)

		return
	}
	t.mu.Lock()
	t.sched.SetHosts(list, now, time.Now())
	t.mu.Unlock()
	t.signal()
}

// orderRound gives the orders that are due and tells the operators how their waves stand.
func (t *term) orderRound(ctx context.Context, now time.Time) {
	t.mu.Lock()
	orders, statuses := t.sched.HostOrders(now), t.sched.WaveStatuses()
	t.mu.Unlock()
	for _, o := range orders {
		go t.orderHost(ctx, o)
	}
	for _, st := range statuses {
		if err := t.hosts.TellWave(ctx, t.owned.Revision, st); err != nil {
			t.log.Warn("state of the wave not written", "wave", st.Number, "error", err)
			continue
		}
		t.mu.Lock()
		t.sched.Told(st)
		t.mu.Unlock()
	}
	t.signal()
}

func (t *term) orderHost(ctx context.Context, o schedule.HostOrder) {
	if !t.owned.Valid() {
		t.answerHost(o, work.ErrNotSent)
		return
	}
	d := work.Fence{Holder: t.hosts.Holder, Token: t.owned.Revision}
	var err error
	if o.Wave != 0 {
		err = t.hosts.Cloud.Maintain(ctx, d, o.Host, o.Wave)
	} else {
		err = t.hosts.Cloud.Move(ctx, d, o.Host, o.Pool)
	}
	t.answerHost(o, err)
}

func (t *term) answerHost(o schedule.HostOrder, err error) {
	t.mu.Lock()
	t.sched.HostAnswered(o, err, time.Now())
	t.mu.Unlock()
	t.signal()
}
