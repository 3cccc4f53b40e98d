package telemetry

import (
	"context"
	"time"

	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

// Store returns a client that counts and times the calls of c.
func (m *Metrics) Store(c *store.Client) *store.Client {
	const to = "store"

	return &store.Client{
		Get: func(ctx context.Context, key string) (r store.Record, err error) {
			defer func(began time.Time) { m.observeCall(to, "Get", began, err) }(time.Now())
			return c.Get(ctx, key)
		},
		Newer: func(ctx context.Context, key string, after uint64) (r store.Record, found bool, at uint64, err error) {
			defer func(began time.Time) { m.observeCall(to, "Newer", began, err) }(time.Now())
			return c.Newer(ctx, key, after)
		},
		List: func(ctx context.Context, prefix string) (l store.Listing, err error) {
			defer func(began time.Time) { m.observeCall(to, "List", began, err) }(time.Now())
			return c.List(ctx, prefix)
		},
		CompareAndSwap: func(ctx context.Context, w store.Write) (rev uint64, err error) {
			defer func(began time.Time) { m.observeCall(to, "CompareAndSwap", began, err) }(time.Now())
			return c.CompareAndSwap(ctx, w)
		},
		Commit: func(ctx context.Context, t store.Txn) (rev uint64, err error) {
			defer func(began time.Time) { m.observeCall(to, "Commit", began, err) }(time.Now())
			return c.Commit(ctx, t)
		},
		Watch: func(ctx context.Context, prefix string, after uint64, wait time.Duration) (ev store.Events, err error) {
			defer func(began time.Time) { m.observeCall(to, "Watch", began, err) }(time.Now())
			return c.Watch(ctx, prefix, after, wait)
		},
		Grant: func(ctx context.Context, ttl time.Duration) (l store.Lease, err error) {
			defer func(began time.Time) { m.observeCall(to, "Grant", began, err) }(time.Now())
			return c.Grant(ctx, ttl)
		},
		KeepAlive: func(ctx context.Context, id store.LeaseID) (err error) {
			defer func(began time.Time) { m.observeCall(to, "KeepAlive", began, err) }(time.Now())
			return c.KeepAlive(ctx, id)
		},
		Revoke: func(ctx context.Context, id store.LeaseID) (err error) {
			defer func(began time.Time) { m.observeCall(to, "Revoke", began, err) }(time.Now())
			return c.Revoke(ctx, id)
		},
	}
}

// Workers returns a client that counts and times the calls of w under the label to.
func (m *Metrics) Workers(to string, w work.Workers) work.Workers {
	return work.Workers{
		Start: func(r work.Registration, s work.Start) (a work.Answer, err error) {
			defer func(began time.Time) { m.observeCall(to, "Start", began, err) }(time.Now())
			return w.Start(r, s)
		},
		Stop: func(r work.Registration, s work.Stop) (a work.Answer, err error) {
			defer func(began time.Time) { m.observeCall(to, "Stop", began, err) }(time.Now())
			return w.Stop(r, s)
		},
		Pace: func(r work.Registration, p work.Pace) (a work.Answer, err error) {
			defer func(began time.Time) { m.observeCall(to, "Pace", began, err) }(time.Now())
			return w.Pace(r, p)
		},
		Poll: func(r work.Registration, l work.Poll) (s work.PollReply, err error) {
			defer func(began time.Time) { m.observeCall(to, "Poll", began, err) }(time.Now())
			return w.Poll(r, l)
		},
		Probe: func(r work.Registration, token uint64) (a work.Answer, err error) {
			defer func(began time.Time) { m.observeCall(to, "Probe", began, err) }(time.Now())
			return w.Probe(r, token)
		},
	}
}
