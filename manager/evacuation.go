package manager

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/agent"
	"lycheehook.example/lycheehook/dispatch"
	"lycheehook.example/lycheehook/evacuation"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/owner"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

const (
	// evacuationReads is how many reads of the evacuations begin within their bound while the store responds. A read that is resent by
	// other paths for some time then still ends before half the bound is over.
	evacuationReads = 8
	// evacuationRetryPause is the pause after a failed read.
	evacuationRetryPause = 100 * time.Millisecond
)

// EvacuationReader reads the availability zones that the operators have evacuated. It always reads all of their keys, so that
// nothing depends on the events of a watch; those only start the next read early.
type EvacuationReader struct {
	client *store.Client
	log    *log.Logger
	bound  time.Duration
	uptime func() time.Duration
	// hint has a value when a read is to begin now.
	hint chan struct{}

	mu    sync.Mutex
	zones []fleet.ZoneName
	// readAt is when the last successful read began.
	readAt time.Duration
	known  bool
	// failure is the text of the last logged failure since the last success.
	failure string
}

// NewEvacuationReader returns a reader that has read nothing yet. The bound is the time after the acknowledgement of an evacuation
// from which on no task may start in the zone; uptime is a monotonic clock that includes time in suspend.
func NewEvacuationReader(c *store.Client, bound time.Duration, uptime func() time.Duration, l *log.Logger) *EvacuationReader {
	return &EvacuationReader{client: c, log: l, bound: bound, uptime: uptime, hint: make(chan struct{}, 1)}
}

// Run reads the evacuated zones until the context ends.
func (e *EvacuationReader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.read(ctx); err != nil {
			e.logFailure(ctx, err)
			pause.For(ctx, evacuationRetryPause)

			continue
		}
		e.await(ctx, e.bound/evacuationReads)
	}
}

// Hint makes the next read begin now, since a key has changed.
func (e *EvacuationReader) Hint() {
	select {
	case e.hint <- struct{}{}:
	default:
	}
}

// Current returns what was last read.
func (e *EvacuationReader) Current() work.Evacuations {
	e.mu.Lock()
	defer e.mu.Unlock()

	return work.Evacuations{Zones: e.zones, Age: e.uptime() - e.readAt, Known: e.known}
}

// StartWindow returns for how long a start may still be sent to a worker, by what was last read.
func (e *EvacuationReader) StartWindow(w work.Registration) time.Duration {
	c := e.Current()
	if !c.Known || slices.Contains(c.Zones, w.Zone) {
		return 0
	}

	return max(0, evacuation.MaxAge(e.bound)-c.Age)
}

// await waits for a time or a hint.
func (e *EvacuationReader) await(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-e.hint:
	}
}

func (e *EvacuationReader) read(ctx context.Context) error {
	began := e.uptime()
	l, err := e.client.List(ctx, platform.EvacuationPrefix)
	if err != nil {
		return err
	}
	var zones []fleet.ZoneName
	for _, r := range l.Records {
		// The value says nothing, and a malformed one does not make the evacuation less urgent.
		if z := strings.TrimPrefix(r.Key, platform.EvacuationPrefix); z != "" {
			zones = append(zones, fleet.ZoneName(z))
		}
	}
	slices.Sort(zones)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zones, e.readAt, e.known, e.failure = zones, began, true, ""

	return nil
}

// logFailure logs a failed read unless the one before failed in the same way.
func (e *EvacuationReader) logFailure(ctx context.Context, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if text := err.Error(); ctx.Err() == nil && text != e.failure {
		e.failure = text
		e.log.Warn("failed to read the evacuated zones", "error", err)
	}
}

// newEvacuations sets up the reader of the evacuated zones if the platform has evacuations.
func (m *Manager) newEvacuations(c *store.Client) {
	bound := m.settings.Bounds.EvacuationTime.Std()
	if bound <= 0 {
		return
	}
	m.evacuations = NewEvacuationReader(c, bound, owner.Uptime, m.log)
	m.metrics.Evacuations(func() int {
		if m.term.Load() == nil {
			return 0
		}

		return len(m.evacuations.Current().Zones)
	}, func() time.Duration {
		if m.term.Load() == nil {
			return 0
		}

		return m.evacuations.Current().Age
	})
}

// hintEvacuations makes this process, if it is the owner, read the evacuated zones now.
func (m *Manager) hintEvacuations() {
	if m.evacuations != nil {
		m.evacuations.Hint()
	}
}

// withStartWindow limits starts that wait for an agent by what is known of the evacuated zones.
func (m *Manager) withStartWindow() agent.DelegatorOption {
	if m.evacuations == nil {
		return func(*agent.Delegator) {}
	}

	return agent.WithStartWindow(m.evacuations.StartWindow)
}

// withEvacuations passes the evacuated zones to the dispatcher.
func (m *Manager) withEvacuations() dispatch.Option {
	if m.evacuations == nil {
		return dispatch.WithEvacuations(nil)
	}

	return dispatch.WithEvacuations(m.evacuations.Current)
}

// readEvacuations reads the evacuated zones until the function that it returns is called.
func (m *Manager) readEvacuations(ctx context.Context) (stop func()) {
	if m.evacuations == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { m.evacuations.Run(ctx) })

	return func() {
		cancel()
		wg.Wait()
	}
}
