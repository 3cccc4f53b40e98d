package manager

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

const (
	// configWait is how long a watch of the configuration may be held back; a plain read follows, since a watch may go silent.
	configWait = time.Second
	retryPause = 150 * time.Millisecond
)

// Configuration follows what the operators write.
type Configuration struct {
	client  *store.Client
	log     *log.Logger
	current atomic.Pointer[work.Config]
	adopt   func(c work.Config)
	mu      sync.Mutex
	waves   map[string]work.WaveOrder
}

// NewConfiguration returns a configuration that was not read yet; adopt is called with each newer version.
func NewConfiguration(c *store.Client, l *log.Logger, adopt func(c work.Config)) *Configuration {
	return &Configuration{client: c, log: l, adopt: adopt, waves: map[string]work.WaveOrder{}}
}

// Current returns the newest version, and whether there is one.
func (c *Configuration) Current() (work.Config, bool) {
	p := c.current.Load()
	if p == nil {
		return work.Config{}, false
	}

	return *p, true
}

// Waves returns the operators' requests for maintenance.
func (c *Configuration) Waves() []work.WaveOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	waves := make([]work.WaveOrder, 0, len(c.waves))
	for _, w := range c.waves {
		waves = append(waves, w)
	}

	return waves
}

// Run follows the operators until the context ends.
func (c *Configuration) Run(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		if after == 0 {
			at, err := c.read(ctx)
			if err != nil {
				c.log.Warn("read of the configuration failed", "error", err)
				pause.For(ctx, retryPause)

				continue
			}
			after = at
		}
		ev, err := c.client.Watch(ctx, platform.OperatorPrefix, after, configWait)
		switch {
		case errors.Is(err, store.ErrCompacted):
			after = 0
		case err != nil:
			c.log.Warn("watch of the configuration failed", "error", err)
			pause.For(ctx, retryPause)
			after = 0
		case len(ev.Events) == 0:
			c.check(ctx)
		default:
			for _, e := range ev.Events {
				c.follow(e)
			}
			after = ev.Revision
		}
	}
}

// read takes in all that the operators have written.
func (c *Configuration) read(ctx context.Context) (uint64, error) {
	l, err := c.client.List(ctx, platform.OperatorPrefix)
	if err != nil {
		return 0, err
	}
	for _, r := range l.Records {
		c.follow(store.Event{Record: r})
	}

	return l.Revision, nil
}

// check reads the configuration itself, in case a watch has missed a change.
func (c *Configuration) check(ctx context.Context) {
	r, err := c.client.Get(ctx, platform.KeyConfig)
	switch {
	case err == nil:
		c.follow(store.Event{Record: r})
	case !errors.Is(err, store.ErrNotFound):
		c.log.Warn("check of the configuration failed", "error", err)
	}
}

func (c *Configuration) follow(ev store.Event) {
	switch key := ev.Record.Key; {
	case ev.Deleted:
	case key == platform.KeyConfig:
		c.put(ev.Record)
	case strings.HasPrefix(key, platform.WavePrefix):
		o, err := platform.DecodeWave(ev.Record.Value)
		if err != nil {
			c.log.Error("wave passed over", "key", key, "error", err)
			return
		}
		c.mu.Lock()
		c.waves[strings.TrimPrefix(key, platform.WavePrefix)] = o
		c.mu.Unlock()
		c.log.Info("wave ordered", "wave", o.Number, "hosts", len(o.Hosts), "max_down", o.MaxDown, "duration", o.Duration)
	}
}

// put puts a configuration in force if it is newer than the present one.
func (c *Configuration) put(r store.Record) {
	if cur := c.current.Load(); cur != nil && cur.Revision >= r.Revision {
		return
	}
	next, err := platform.DecodeConfig(r.Value)
	if err != nil {
		c.log.Error("configuration passed over", "error", err)
		return
	}
	next.Revision = r.Revision
	c.current.Store(&next)
	c.adopt(next)
	c.log.Info("configuration in force", "version", next.Version, "queues", len(next.Queues), "workspaces", len(next.Workspaces))
}
