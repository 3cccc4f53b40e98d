package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/store"
)

// keptEvents is the minimum number of events that are retained for watches.
const keptEvents = 100_000

// Fault is a fault that is injected into calls.
type Fault string

// Faults of the store and the platform.
const (
	// FaultNone injects no fault.
	FaultNone Fault = ""
	// FaultDown fails every call before it takes effect.
	FaultDown Fault = "Down"
	// FaultAnswerLost executes every write but drops its response.
	FaultAnswerLost Fault = "AnswerLost"
	// FaultSilent never responds.
	FaultSilent Fault = "Silent"
)

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is an in-memory fake of the platform's key-value service.
type Store struct {
	mu       sync.Mutex
	revision uint64
	records  map[string]store.Record
	leaseOf  map[string]store.LeaseID
	leases   map[store.LeaseID]lease
	nextID   store.LeaseID
	events   []store.Event
	// compacted is the newest revision whose event has been discarded.
	compacted uint64
	changed   chan struct{}
	fault     Fault
	delay     time.Duration
	calls     map[string]int64
	views     map[string]*clientView
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		records: map[string]store.Record{},
		leaseOf: map[string]store.LeaseID{},
		leases:  map[store.LeaseID]lease{},
		changed: make(chan struct{}),
		calls:   map[string]int64{},
		views:   map[string]*clientView{},
	}
}

// SetFault sets the fault of all later calls and of waiting watches.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// SetDelay adds a delay to all later calls.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Calls returns the number of calls by name.
func (s *Store) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	calls := make(map[string]int64, len(s.calls))
	for name, n := range s.calls {
		calls[name] = n
	}

	return calls
}

// Client returns an in-memory client.
func (s *Store) Client() *store.Client {
	return &store.Client{
		Get:            s.get,
		Newer:          s.newer,
		List:           s.list,
		CompareAndSwap: s.compareAndSwap,
		Commit:         s.commit,
		Watch:          s.watch,
		Grant:          s.grant,
		KeepAlive:      s.keepAlive,
		Revoke:         s.revoke,
	}
}

// enter counts a call and applies delay and faults. It returns with s.mu held unless it returns an error.
func (s *Store) enter(ctx context.Context, name string) error {
	s.mu.Lock()
	s.calls[name]++
	delay, fault := s.delay, s.fault
	s.mu.Unlock()

	if delay > 0 {
		select {
		case <-ctx.Done():
			return merry.Prepend(store.ErrOutcomeUnknown, name)
		case <-time.After(delay):
		}
	}

	switch fault {
	case FaultDown:
		return merry.Prepend(store.ErrUnavailable, name)
	case FaultSilent:
		<-ctx.Done()
		return merry.Prepend(store.ErrOutcomeUnknown, name)
	case FaultNone, FaultAnswerLost:
	}

	s.mu.Lock()
	s.expire()

	return nil
}

// answer returns the error of a write that has taken effect, which depends on the current fault. s.mu must be held.
func (s *Store) answer(name string) error {
	if s.fault == FaultAnswerLost {
		return merry.Prepend(store.ErrOutcomeUnknown, name)
	}

	return nil
}

func (s *Store) get(ctx context.Context, key string) (store.Record, error) {
	if err := s.enter(ctx, "Get"); err != nil {
		return store.Record{}, store.ReadError(err)
	}
	defer s.mu.Unlock()

	r, ok := s.records[key]
	if !ok {
		return store.Record{}, merry.Prepend(store.ErrNotFound, key)
	}

	return r, nil
}

func (s *Store) newer(ctx context.Context, key string, after uint64) (store.Record, bool, uint64, error) {
	if err := s.enter(ctx, "Newer"); err != nil {
		return store.Record{}, false, 0, store.ReadError(err)
	}
	defer s.mu.Unlock()

	ev, err := s.since(key, after)
	newest, found := ev.Newest(key)

	return newest, found, ev.Revision, err
}

func (s *Store) list(ctx context.Context, prefix string) (store.Listing, error) {
	if err := s.enter(ctx, "List"); err != nil {
		return store.Listing{}, store.ReadError(err)
	}
	defer s.mu.Unlock()

	l := store.Listing{Revision: s.revision}
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) {
			l.Records = append(l.Records, r)
		}
	}
	slices.SortFunc(l.Records, func(a, b store.Record) int { return strings.Compare(a.Key, b.Key) })

	return l, nil
}

func (s *Store) compareAndSwap(ctx context.Context, w store.Write) (uint64, error) {
	if err := s.enter(ctx, "CompareAndSwap"); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()

	if len(w.Value) > store.MaxValueSize {
		return 0, merry.Prepend(store.ErrTooLarge, w.Key)
	}
	if s.records[w.Key].Revision != w.Base {
		return 0, merry.Prepend(store.ErrConflict, w.Key)
	}
	if _, live := s.leases[w.Lease]; w.Lease != 0 && !live {
		return 0, merry.Prepend(store.ErrLeaseLapsed, w.Key)
	}

	if w.Delete {
		s.remove(w.Key)
	} else {
		s.put(w)
	}

	return s.revision, s.answer(w.Key)
}

func (s *Store) put(w store.Write) {
	s.revision++
	r := store.Record{Key: w.Key, Value: slices.Clone(w.Value), Revision: s.revision}
	s.records[w.Key] = r
	delete(s.leaseOf, w.Key)
	if w.Lease != 0 {
		s.leaseOf[w.Key] = w.Lease
	}
	s.publish(store.Event{Record: r})
}

func (s *Store) remove(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}

	s.revision++
	delete(s.records, key)
	delete(s.leaseOf, key)
	s.publish(store.Event{Record: store.Record{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Store) publish(e store.Event) {
	s.events = append(s.events, e)
	if len(s.events) > 2*keptEvents {
		s.compact(len(s.events) - keptEvents)
	}
	s.wake()
}

// Compact discards all events, as the service does periodically.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(len(s.events))
}

// compact discards the n oldest events. s.mu must be held.
func (s *Store) compact(n int) {
	if n > 0 {
		s.compacted = s.events[n-1].Record.Revision
		s.events = slices.Clone(s.events[n:])
	}
}

// wake makes all waiting watches check for events and faults. s.mu must be held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes expired leases with their keys. s.mu must be held.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		s.removeLease(id)
	}
}

func (s *Store) removeLease(id store.LeaseID) {
	delete(s.leases, id)
	for key, bound := range s.leaseOf {
		if bound == id {
			s.remove(key)
		}
	}
}

func (s *Store) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Events, error) {
	if err := s.enter(ctx, "Watch"); err != nil {
		return store.Events{}, store.ReadError(err)
	}

	deadline := time.After(wait)
	for {
		ev, err := s.since(prefix, after)
		changed := s.changed
		fault := s.fault
		s.mu.Unlock()

		if fault == FaultDown {
			return store.Events{}, merry.Prepend(store.ErrUnavailable, prefix)
		}
		if err != nil || len(ev.Events) > 0 {
			return ev, err
		}

		select {
		case <-ctx.Done():
			return store.Events{}, merry.Prepend(store.ErrUnavailable, prefix)
		case <-deadline:
			return ev, nil
		case <-changed:
		case <-time.After(s.untilExpiry()):
		}

		s.mu.Lock()
		s.expire()
	}
}

// untilExpiry returns the time until the next lease may expire.
func (s *Store) untilExpiry() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	next := time.Minute
	for _, l := range s.leases {
		next = min(next, time.Until(l.expires))
	}

	return max(next, time.Millisecond)
}

// since returns the events under prefix after a revision. s.mu must be held.
func (s *Store) since(prefix string, after uint64) (store.Events, error) {
	if after < s.compacted {
		return store.Events{}, merry.Prepend(store.ErrCompacted, prefix)
	}

	ev := store.Events{Revision: s.revision}
	first, _ := slices.BinarySearchFunc(s.events, after+1, func(e store.Event, r uint64) int {
		return int(e.Record.Revision) - int(r)
	})
	for _, e := range s.events[first:] {
		if strings.HasPrefix(e.Record.Key, prefix) {
			ev.Events = append(ev.Events, e)
		}
	}

	return ev, nil
}

func (s *Store) grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	if err := s.enter(ctx, "Grant"); err != nil {
		return store.Lease{}, err
	}
	defer s.mu.Unlock()

	s.nextID++
	s.leases[s.nextID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}

	return store.Lease{ID: s.nextID, TTL: ttl}, s.answer("Grant")
}

func (s *Store) keepAlive(ctx context.Context, id store.LeaseID) error {
	if err := s.enter(ctx, "KeepAlive"); err != nil {
		return err
	}
	defer s.mu.Unlock()

	l, ok := s.leases[id]
	if !ok {
		return merry.Prepend(store.ErrLeaseLapsed, "keep alive")
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l

	return s.answer("KeepAlive")
}

func (s *Store) revoke(ctx context.Context, id store.LeaseID) error {
	if err := s.enter(ctx, "Revoke"); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.removeLease(id)

	return s.answer("Revoke")
}
