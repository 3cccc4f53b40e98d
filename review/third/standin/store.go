package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the platform's store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	LeaseID  uint64 `json:"leaseId"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// txn is the body of POST /api/kv-txn.
type txn struct {
	ExpectedRev []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expectedRev"`
	Puts []struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		LeaseID uint64 `json:"leaseId"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// Store is a stand-in of the platform's metadata store. It loses nothing and answers linearizably.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*storeLease
	nextID   uint64
	changed  chan struct{}
	// intercept may handle a call in place of the store; nil for none. It reports whether it did.
	intercept func(w http.ResponseWriter, r *http.Request, body []byte) bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{revision: 100, items: map[string]item{}, leases: map[uint64]*storeLease{}, nextID: 7000, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()

	return s
}

// expire ends the leases whose time is over.
func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.LeaseID == id {
			s.remove(k)
		}
	}
}

func (s *Store) note(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, LeaseID: lease}
	s.items[key] = it
	s.note(it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.note(item{Key: key, Revision: s.revision, Deleted: true})
}

// Put writes as the operator or a runner does.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, data, 0)
}

// Remove removes a key as the platform does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Get returns the value of a key.
func (s *Store) Get(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]

	return string(it.Value), ok
}

// Keys returns how many keys have a prefix.
func (s *Store) Keys(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}

	return n
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readAll(r)
	if s.intercept != nil && s.intercept(w, r, body) {
		return
	}
	s.Serve(w, r, body)
}

// Serve answers a call as a sound store.
func (s *Store) Serve(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case path == "/api/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			answer(w, 404, map[string]any{"at": at})
			return
		}
		answer(w, 200, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "leaseId": it.LeaseID, "at": at})
	case path == "/api/kv-range":
		s.list(w, q.Get("pathPrefix"), q.Get("after"))
	case path == "/api/kv-watch":
		s.watch(w, r, q.Get("pathPrefix"))
	case path == "/api/kv-txn":
		var t txn
		if json.Unmarshal(body, &t) != nil {
			answer(w, 400, map[string]any{})
			return
		}
		status, reply := s.Commit(t)
		answer(w, status, reply)
	case path == "/api/kv-lease":
		var l struct {
			TTLMs int64 `json:"ttlMs"`
		}
		_ = json.Unmarshal(body, &l)
		ttl := min(max(time.Duration(l.TTLMs)*time.Millisecond, time.Second), 10*time.Minute)
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		s.leases[id] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, 200, map[string]any{"leaseId": id, "ttlMs": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/api/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/api/kv-keep/"), 10, 64)
		s.mu.Lock()
		l, ok := s.leases[id]
		if ok {
			l.end = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if !ok {
			answer(w, 404, map[string]any{})
			return
		}
		answer(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/api/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		answer(w, 200, map[string]any{})
	default:
		answer(w, 404, map[string]any{})
	}
}

// Commit carries out a transaction.
func (s *Store) Commit(t txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := true
	found := []item{}
	for _, e := range t.ExpectedRev {
		it, ok := s.items[e.Key]
		if ok {
			found = append(found, it)
		}
		if it.Revision != e.Revision {
			held = false
		}
	}
	if !held {
		return 412, map[string]any{"items": found}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return 403, map[string]any{}
		}
		if _, ok := s.leases[p.LeaseID]; p.LeaseID != 0 && !ok {
			return 404, map[string]any{}
		}
	}
	// All entries of a transaction get one revision.
	s.revision++
	for _, p := range t.Puts {
		created := s.revision
		if old, ok := s.items[p.Key]; ok {
			created = old.Created
		}
		it := item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: created, LeaseID: p.LeaseID}
		s.items[p.Key] = it
		s.note(it)
	}
	for _, k := range t.Remove {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.note(item{Key: k, Revision: s.revision, Deleted: true})
		}
	}

	return 200, map[string]any{"revision": s.revision}
}

func (s *Store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	const page = 500
	more := len(keys) > page
	keys = keys[:min(len(keys), page)]
	items := []item{}
	for _, k := range keys {
		items = append(items, s.items[k])
	}
	at := s.revision
	s.mu.Unlock()
	answer(w, 200, map[string]any{"items": items, "hasMore": more, "at": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, prefix string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	limit := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
			if strings.HasPrefix(s.history[i].Key, prefix) {
				events = append(events, s.history[i])
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
				events[i], events[j] = events[j], events[i]
			}
			answer(w, 200, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-limit:
			answer(w, 200, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}
