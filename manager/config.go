package manager

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/owner"
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
	// onMalformed is called for each configuration that can't be put in force.
	onMalformed func()
	uptime      func() time.Duration
	// onEvacuation is called when a key of an evacuation has changed.
	onEvacuation func()

	mu sync.Mutex
	// current is nil before the first configuration.
	current *work.Config
	// malformed is the revision of the last record that could not be put in force.
	malformed uint64
	// newest is the revision of the newest record that was read, and newestErr why it can't be put in force; readAt is the revision as
	// of which it was the newest, and zero before the first read.
	newest, readAt uint64
	newestErr      error
	// newestSize is the size of that record in bytes.
	newestSize int
	waves      map[string]work.WaveOrder
}

// errOlderVersion means that a newer record holds an older version of the configuration.
var errOlderVersion = merry.Sentinel("manager: the version is older than the one in force")

// ConfigOption configures a ConfigWatcher.
type ConfigOption func(*ConfigWatcher)

// WithMalformed makes the watcher call f once for each configuration that can't be put in force.
func WithMalformed(f func()) ConfigOption {
	return func(w *ConfigWatcher) { w.onMalformed = f }
}

// WithEvacuationHint makes the watcher call f when it sees that a key of an evacuation has changed.
func WithEvacuationHint(f func()) ConfigOption {
	return func(w *ConfigWatcher) { w.onEvacuation = f }
}

// WithUptime replaces the clock for the age of the configuration.
func WithUptime(uptime func() time.Duration) ConfigOption {
	return func(w *ConfigWatcher) { w.uptime = uptime }
}

// NewConfigWatcher returns a watcher that has read nothing yet; Run calls onChange with each newer configuration.
func NewConfigWatcher(c *store.Client, l *log.Logger, onChange func(c work.Config), options ...ConfigOption) *ConfigWatcher {
	w := &ConfigWatcher{
		client: c, log: l, onChange: onChange, onMalformed: func() {}, onEvacuation: func() {}, uptime: owner.Uptime, waves: map[string]work.WaveOrder{},
	}
	for _, o := range options {
		o(w)
	}
	w.reflector = store.NewReflector(
		c, platform.OperatorPrefix, l, w.apply, store.WithCheck(w.check, configCheckInterval), store.WithClock(w.uptime),
	)

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

// StartCheck begins to read the configuration again, unless such a read is under way.
func (c *ConfigWatcher) StartCheck() {
	c.reflector.StartCheck()
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

// smallConfig is the size in bytes up to which a configuration is read again without need: it takes 0.05 s on a link of 10 Mbit/s, and
// waiting for a list of all records takes longer.
const smallConfig = 64 << 10

// isSmall reports whether the newest known record is small.
func (c *ConfigWatcher) isSmall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.newestSize <= smallConfig
}

// check asks for a configuration record newer than the known one, in case a watch has missed it. If the store no longer has the
// changes, it reads a small record again and returns store.ErrCompacted for a large one.
func (c *ConfigWatcher) check(ctx context.Context) error {
	after := c.knownSince()
	if after == 0 {
		return c.readConfig(ctx)
	}
	r, found, at, err := c.client.Newer(ctx, platform.KeyConfig, after)
	switch {
	case errors.Is(err, store.ErrCompacted) && c.isSmall():
		return c.readConfig(ctx)
	case err != nil:
		return err
	case found:
		err = c.setCurrent(r)
	default:
		err = c.fault()
	}
	c.noteRead(at)

	return err
}

// readConfig reads the configuration record, as a list since that also returns the revision of the read.
func (c *ConfigWatcher) readConfig(ctx context.Context) error {
	l, err := c.client.List(ctx, platform.KeyConfig)
	if err != nil {
		return err
	}
	defer c.noteRead(l.Revision)
	for _, r := range l.Records {
		if r.Key == platform.KeyConfig {
			return c.setCurrent(r)
		}
	}

	return nil
}

// knownSince returns the revision after which there may be a newer record.
func (c *ConfigWatcher) knownSince() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return max(c.newest, c.readAt)
}

// noteRead notes that the known record was still the newest at a revision.
func (c *ConfigWatcher) noteRead(at uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAt = max(c.readAt, at)
}

// fault returns why the newest known record can't be put in force.
func (c *ConfigWatcher) fault() error {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.newestErr
}

// apply applies the records that the operators have written; of several configurations only the last one, since the others
// are no longer in force.
func (c *ConfigWatcher) apply(u store.Update) error {
	var newest *store.Record
	for _, ev := range u.Events {
		switch key := ev.Record.Key; {
		case strings.HasPrefix(key, platform.EvacuationPrefix):
			c.onEvacuation()
		case ev.Deleted:
		case key == platform.KeyConfig:
			newest = &ev.Record
		case strings.HasPrefix(key, platform.WavePrefix):
			c.addWave(ev.Record)
		}
	}
	if u.Full {
		defer c.noteRead(u.Revision)
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

// setCurrent replaces the current configuration if the record is newer. A record that can't be put in force leaves the current
// one in force, which then does not count as confirmed.
func (c *ConfigWatcher) setCurrent(r store.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && c.current.Revision >= r.Revision {
		return nil
	}
	next, err := c.decode(r)
	if r.Revision >= c.newest {
		c.newest, c.newestErr, c.newestSize = r.Revision, err, len(r.Value)
	}
	if err != nil {
		if c.malformed != r.Revision {
			c.malformed = r.Revision
			c.onMalformed()
			c.log.Error("ignoring malformed configuration", "revision", r.Revision, "error", err)
		}

		return err
	}
	c.current = &next
	c.onChange(next)
	c.log.Info("configuration applied", "version", next.Version, "queues", len(next.Queues), "workspaces", len(next.Workspaces))

	return nil
}

// decode decodes a configuration that is newer than the current one.
func (c *ConfigWatcher) decode(r store.Record) (work.Config, error) {
	next, err := platform.DecodeConfig(r.Value)
	if err != nil {
		return work.Config{}, err
	}
	if c.current != nil && next.Version < c.current.Version {
		return work.Config{}, merry.Prependf(errOlderVersion, "version %d after %d", next.Version, c.current.Version)
	}
	next.Revision = r.Revision

	return next, nil
}
