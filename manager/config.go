package manager

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/owner"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

const (
	// configWatchWait is the maximum wait of a watch of the configuration. A read follows a watch without events, because a
	// watch may miss changes.
	configWatchWait = time.Second
	retryDelay      = 150 * time.Millisecond
)

// ConfigWatcher tracks the configuration and the maintenance waves that the operators write to the store.
type ConfigWatcher struct {
	client   *store.Client
	log      *log.Logger
	current  atomic.Pointer[work.Config]
	onChange func(c work.Config)
	// confirmed is the uptime at which the last successful read or watch of the configuration began, in nanoseconds.
	confirmed atomic.Int64
	mu        sync.Mutex
	waves     map[string]work.WaveOrder
}

// NewConfigWatcher returns a watcher that has read nothing yet; Run calls onChange with each newer configuration.
func NewConfigWatcher(c *store.Client, l *log.Logger, onChange func(c work.Config)) *ConfigWatcher {
	return &ConfigWatcher{client: c, log: l, onChange: onChange, waves: map[string]work.WaveOrder{}}
}

// Current returns the newest configuration, and whether there is one.
func (c *ConfigWatcher) Current() (work.Config, bool) {
	p := c.current.Load()
	if p == nil {
		return work.Config{}, false
	}

	return *p, true
}

// Age returns for how long the current configuration was not confirmed to be the newest, as far as watches and reads tell.
func (c *ConfigWatcher) Age() time.Duration {
	return owner.Uptime() - time.Duration(c.confirmed.Load())
}

// confirm notes that a read or a watch that began at an uptime has succeeded.
func (c *ConfigWatcher) confirm(began time.Duration) {
	c.confirmed.Store(int64(began))
}

// Waves returns the maintenance waves that the operators have requested.
func (c *ConfigWatcher) Waves() []work.WaveOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	waves := make([]work.WaveOrder, 0, len(c.waves))
	for _, w := range c.waves {
		waves = append(waves, w)
	}

	return waves
}

// Run watches the store until the context ends.
func (c *ConfigWatcher) Run(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		if after == 0 {
			at, err := c.readAll(ctx)
			if err != nil {
				c.log.Warn("failed to read the configuration", "error", err)
				pause.For(ctx, retryDelay)

				continue
			}
			after = at
		}
		began := owner.Uptime()
		ev, err := c.client.Watch(ctx, platform.OperatorPrefix, after, configWatchWait)
		switch {
		case errors.Is(err, store.ErrCompacted):
			after = 0
		case err != nil:
			c.log.Warn("failed to watch the configuration", "error", err)
			pause.For(ctx, retryDelay)
			after = 0
		case len(ev.Events) == 0:
			c.recheck(ctx)
		default:
			c.confirm(began)
			for _, e := range ev.Events {
				c.apply(e)
			}
			after = ev.Revision
		}
	}
}

// readAll applies all records that the operators have written and returns the revision to watch from.
func (c *ConfigWatcher) readAll(ctx context.Context) (uint64, error) {
	began := owner.Uptime()
	l, err := c.client.List(ctx, platform.OperatorPrefix)
	if err != nil {
		return 0, err
	}
	c.confirm(began)
	for _, r := range l.Records {
		c.apply(store.Event{Record: r})
	}

	return l.Revision, nil
}

// recheck reads the configuration record, in case a watch has missed a change.
func (c *ConfigWatcher) recheck(ctx context.Context) {
	began := owner.Uptime()
	r, err := c.client.Get(ctx, platform.KeyConfig)
	switch {
	case err == nil:
		c.confirm(began)
		c.apply(store.Event{Record: r})
	case !errors.Is(err, store.ErrNotFound):
		c.log.Warn("failed to recheck the configuration", "error", err)
	}
}

func (c *ConfigWatcher) apply(ev store.Event) {
	switch key := ev.Record.Key; {
	case ev.Deleted:
	case key == platform.KeyConfig:
		c.setCurrent(ev.Record)
	case strings.HasPrefix(key, platform.WavePrefix):
		o, err := platform.DecodeWave(ev.Record.Value)
		if err != nil {
			c.log.Error("ignoring malformed maintenance wave", "key", key, "error", err)
			return
		}
		c.mu.Lock()
		c.waves[strings.TrimPrefix(key, platform.WavePrefix)] = o
		c.mu.Unlock()
		c.log.Info("maintenance wave requested", "wave", o.Number, "hosts", len(o.Hosts), "max_down", o.MaxDown, "duration", o.Duration)
	}
}

// setCurrent replaces the current configuration if the record is newer.
func (c *ConfigWatcher) setCurrent(r store.Record) {
	if cur := c.current.Load(); cur != nil && cur.Revision >= r.Revision {
		return
	}
	next, err := platform.DecodeConfig(r.Value)
	if err != nil {
		c.log.Error("ignoring malformed configuration", "error", err)
		return
	}
	next.Revision = r.Revision
	c.current.Store(&next)
	c.onChange(next)
	c.log.Info("configuration applied", "version", next.Version, "queues", len(next.Queues), "workspaces", len(next.Workspaces))
}
