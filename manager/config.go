package manager

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

// configCheckInterval is how old the configuration may be at the end of a watch without being read again, since a watch may miss
// changes. Together with the wait of the next watch it stays below the two seconds in which a change must be in force.
const configCheckInterval = 500 * time.Millisecond

// ConfigWatcher tracks the configuration and the maintenance waves that the operators write to the store.
type ConfigWatcher struct {
	client    *store.Client
	log       *log.Logger
	reflector *store.Reflector
	onChange  func(c work.Config)

	mu sync.Mutex
	// current is nil before the first configuration.
	current *work.Config
	waves   map[string]work.WaveOrder
}

// NewConfigWatcher returns a watcher that has read nothing yet; Run calls onChange with each newer configuration.
func NewConfigWatcher(c *store.Client, l *log.Logger, onChange func(c work.Config), options ...store.ReflectorOption) *ConfigWatcher {
	w := &ConfigWatcher{client: c, log: l, onChange: onChange, waves: map[string]work.WaveOrder{}}
	options = append(options, store.WithCheck(w.check, configCheckInterval))
	w.reflector = store.NewReflector(c, platform.OperatorPrefix, l, w.apply, options...)

	return w
}

// Run watches the store until the context ends.
func (c *ConfigWatcher) Run(ctx context.Context) {
	c.reflector.Run(ctx)
}

// Current returns the newest configuration, and whether there is one.
func (c *ConfigWatcher) Current() (work.Config, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return work.Config{}, false
	}

	return *c.current, true
}

// Age returns for how long the current configuration was not confirmed to be the newest; before the first read it is zero.
func (c *ConfigWatcher) Age() time.Duration {
	age, confirmed := c.reflector.Age()
	if !confirmed {
		return 0
	}

	return age
}

// Confirm reports whether the current configuration was the newest at most maxAge ago, and reads it if that is not known.
func (c *ConfigWatcher) Confirm(ctx context.Context, maxAge time.Duration) bool {
	return c.reflector.Confirm(ctx, maxAge)
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

// check reads the configuration record, in case a watch has missed a change.
func (c *ConfigWatcher) check(ctx context.Context) error {
	r, err := c.client.Get(ctx, platform.KeyConfig)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}

	return c.setCurrent(r)
}

// apply applies the records that the operators have written; of several configurations only the last one, since the others
// are no longer in force.
func (c *ConfigWatcher) apply(u store.Update) error {
	var newest *store.Record
	for _, ev := range u.Events {
		switch key := ev.Record.Key; {
		case ev.Deleted:
		case key == platform.KeyConfig:
			newest = &ev.Record
		case strings.HasPrefix(key, platform.WavePrefix):
			c.addWave(ev.Record)
		}
	}
	if newest == nil {
		return nil
	}

	return c.setCurrent(*newest)
}

func (c *ConfigWatcher) addWave(r store.Record) {
	o, err := platform.DecodeWave(r.Value)
	if err != nil {
		c.log.Error("ignoring malformed maintenance wave", "key", r.Key, "error", err)
		return
	}
	c.mu.Lock()
	c.waves[strings.TrimPrefix(r.Key, platform.WavePrefix)] = o
	c.mu.Unlock()
	c.log.Info("maintenance wave requested", "wave", o.Number, "hosts", len(o.Hosts), "max_down", o.MaxDown, "duration", o.Duration)
}

// setCurrent replaces the current configuration if the record is newer.
func (c *ConfigWatcher) setCurrent(r store.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && c.current.Revision >= r.Revision {
		return nil
	}
	next, err := platform.DecodeConfig(r.Value)
	if err != nil {
		return err
	}
	next.Revision = r.Revision
	c.current = &next
	c.onChange(next)
	c.log.Info("configuration applied", "version", next.Version, "queues", len(next.Queues), "workspaces", len(next.Workspaces))

	return nil
}
