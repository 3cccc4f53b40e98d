package standin

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/store"
)

// LateBy is the delay of FaultWriteLate and FaultReadLate.
const LateBy = 2 * time.Second

// Faults that are only available for a single client.
const (
	// FaultWriteLate returns an unknown outcome for a write and executes it LateBy later.
	FaultWriteLate Fault = "WriteLate"
	// FaultReadLate returns the results of reads LateBy after they were executed.
	FaultReadLate Fault = "ReadLate"
	// FaultWatchSilent makes watches time out without events, while other calls work.
	FaultWatchSilent Fault = "WatchSilent"
)

// clientView is the faults and call counts of one client.
type clientView struct {
	inner *store.Client

	mu      sync.Mutex
	fault   Fault
	delay   time.Duration
	changed chan struct{}
	calls   map[string]int64
}

// ClientFor returns the client of the given name, which has its own faults and call counts.
func (s *Store) ClientFor(name string) *store.Client {
	v := s.view(name)

	return &store.Client{
		Get: func(ctx context.Context, key string) (store.Record, error) {
			return read(ctx, v, "Get", func(ctx context.Context) (store.Record, error) { return v.inner.Get(ctx, key) })
		},
		List: func(ctx context.Context, prefix string) (store.Listing, error) {
			return read(ctx, v, "List", func(ctx context.Context) (store.Listing, error) { return v.inner.List(ctx, prefix) })
		},
		CompareAndSwap: func(ctx context.Context, w store.Write) (uint64, error) {
			return write(ctx, v, "CompareAndSwap", func(ctx context.Context) (uint64, error) { return v.inner.CompareAndSwap(ctx, w) })
		},
		Watch: v.watch,
		Grant: func(ctx context.Context, ttl time.Duration) (store.Lease, error) {
			return write(ctx, v, "Grant", func(ctx context.Context) (store.Lease, error) { return v.inner.Grant(ctx, ttl) })
		},
		KeepAlive: func(ctx context.Context, id store.LeaseID) error {
			_, err := write(ctx, v, "KeepAlive", func(ctx context.Context) (struct{}, error) { return struct{}{}, v.inner.KeepAlive(ctx, id) })
			return err
		},
		Revoke: func(ctx context.Context, id store.LeaseID) error {
			_, err := write(ctx, v, "Revoke", func(ctx context.Context) (struct{}, error) { return struct{}{}, v.inner.Revoke(ctx, id) })
			return err
		},
	}
}

// SetClientFault sets the fault of all later calls of a client, and ends its waiting watches.
func (s *Store) SetClientFault(name string, f Fault) {
	v := s.view(name)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault = f
	close(v.changed)
	v.changed = make(chan struct{})
}

// SetClientDelay adds a delay to all later calls of a client.
func (s *Store) SetClientDelay(name string, d time.Duration) {
	v := s.view(name)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.delay = d
}

// CallsOf returns the number of calls of a client by name.
func (s *Store) CallsOf(name string) map[string]int64 {
	v := s.view(name)
	v.mu.Lock()
	defer v.mu.Unlock()
	calls := make(map[string]int64, len(v.calls))
	for call, n := range v.calls {
		calls[call] = n
	}

	return calls
}

func (s *Store) view(name string) *clientView {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.views[name]
	if !ok {
		v = &clientView{inner: s.Client(), changed: make(chan struct{}), calls: map[string]int64{}}
		s.views[name] = v
	}

	return v
}

// enter counts a call, applies its delay and returns the current fault.
func (v *clientView) enter(ctx context.Context, call string) (Fault, error) {
	v.mu.Lock()
	v.calls[call]++
	fault, delay := v.fault, v.delay
	v.mu.Unlock()

	if !pause.For(ctx, delay) {
		return fault, merry.Prepend(store.ErrOutcomeUnknown, call)
	}
	switch fault {
	case FaultDown:
		return fault, merry.Prepend(store.ErrUnavailable, call)
	case FaultSilent:
		<-ctx.Done()
		return fault, merry.Prepend(store.ErrOutcomeUnknown, call)
	default:
		return fault, nil
	}
}

// read executes a call without side effects.
func read[T any](ctx context.Context, v *clientView, call string, do func(context.Context) (T, error)) (T, error) {
	fault, err := v.enter(ctx, call)
	if err != nil {
		var none T
		return none, store.ReadError(err)
	}
	got, err := do(ctx)
	if fault == FaultReadLate && !pause.For(ctx, LateBy) {
		var none T
		return none, merry.Prepend(store.ErrUnavailable, call)
	}

	return got, err
}

// write executes a call with side effects.
func write[T any](ctx context.Context, v *clientView, call string, do func(context.Context) (T, error)) (T, error) {
	var none T
	fault, err := v.enter(ctx, call)
	if err != nil {
		return none, err
	}
	switch fault {
	case FaultWriteLate:
		later := context.WithoutCancel(ctx)
		time.AfterFunc(LateBy, func() { _, _ = do(later) })
		return none, merry.Prepend(store.ErrOutcomeUnknown, call)
	case FaultAnswerLost:
		if _, err := do(ctx); err != nil {
			return none, err
		}
		return none, merry.Prepend(store.ErrOutcomeUnknown, call)
	default:
		return do(ctx)
	}
}

// watch returns an error when the client's fault changes, as if the connection were closed.
func (v *clientView) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Events, error) {
	fault, err := v.enter(ctx, "Watch")
	if err != nil {
		return store.Events{}, store.ReadError(err)
	}
	v.mu.Lock()
	changed := v.changed
	v.mu.Unlock()
	if fault == FaultWatchSilent {
		pause.For(ctx, wait)
		return store.Events{Revision: after}, nil
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-changed:
			cancel()
		}
	}()

	return v.inner.Watch(ctx, prefix, after, wait)
}
