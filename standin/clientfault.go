package standin

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/store"
)

// LateBy is how late calls are carried out or answered under FaultWriteLate and FaultReadLate.
const LateBy = 2 * time.Second

// The faults that one client can meet besides those of the whole store.
const (
	// FaultWriteLate tells the caller that the outcome of a write is unknown and carries it out LateBy later.
	FaultWriteLate Fault = "WriteLate"
	// FaultReadLate answers reads LateBy after they were carried out.
	FaultReadLate Fault = "ReadLate"
	// FaultWatchSilent keeps watches waiting and never tells of a change, while other calls are answered.
	FaultWatchSilent Fault = "WatchSilent"
)

// view is the store as one client meets it.
type view struct {
	inner *store.Client

	mu      sync.Mutex
	fault   Fault
	delay   time.Duration
	changed chan struct{}
	calls   map[string]int64
}

// ClientFor returns the client of one caller, which can meet faults that others do not.
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

// SetClientFault applies f to every later call of one client, and to its watches that wait.
func (s *Store) SetClientFault(name string, f Fault) {
	v := s.view(name)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault = f
	close(v.changed)
	v.changed = make(chan struct{})
}

// SetClientDelay makes every later call of one client take d longer.
func (s *Store) SetClientDelay(name string, d time.Duration) {
	v := s.view(name)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.delay = d
}

// CallsOf returns how often one client made each call.
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

func (s *Store) view(name string) *view {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.views[name]
	if !ok {
		v = &view{inner: s.Client(), changed: make(chan struct{}), calls: map[string]int64{}}
		s.views[name] = v
	}

	return v
}

// enter counts a call, lets its delay pass and returns the fault that it meets.
func (v *view) enter(ctx context.Context, call string) (Fault, error) {
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

// read carries out a call without effect.
func read[T any](ctx context.Context, v *view, call string, do func(context.Context) (T, error)) (T, error) {
	fault, err := v.enter(ctx, call)
	if err != nil {
		var none T
		return none, readError(err)
	}
	got, err := do(ctx)
	if fault == FaultReadLate && !pause.For(ctx, LateBy) {
		var none T
		return none, merry.Prepend(store.ErrUnavailable, call)
	}

	return got, err
}

// write carries out a call with an effect.
func write[T any](ctx context.Context, v *view, call string, do func(context.Context) (T, error)) (T, error) {
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

// watch ends with an error when the client's fault changes, as an open connection would.
func (v *view) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Events, error) {
	fault, err := v.enter(ctx, "Watch")
	if err != nil {
		return store.Events{}, readError(err)
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
