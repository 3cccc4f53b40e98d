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

// item is a key of the store, with the fields of PROTOCOL.md.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	LeaseID  int64  `json:"leaseId"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// kvStore is the platform's metadata store. It keeps its whole history.
type kvStore struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	leases   map[int64]*lease
	lastID   int64
	changed  chan struct{}
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

const (
	pageItems = 500
	// firstRevision is above 0, as the pages say.
	firstRevision = 4
)

func newStore() *kvStore {
	s := &kvStore{items: map[string]item{}, leases: map[int64]*lease{}, revision: firstRevision, changed: make(chan struct{})}
	go s.expireLeases()

	return s
}

// put writes a key as the operator or a server does.
func (s *kvStore) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, data, 0)
	s.wake()
}

// remove deletes a key as the platform does.
func (s *kvStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		s.erase(key)
		s.wake()
	}
}

// value returns a key's value, or nil.
func (s *kvStore) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.items[key].Value
}

// write and erase apply a change at the present revision; s.mu is held.
func (s *kvStore) write(key string, value []byte, leaseID int64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, LeaseID: leaseID}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *kvStore) erase(key string) {
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *kvStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) expireLeases() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expiry) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys; s.mu is held.
func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.LeaseID == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, k := range keys {
		s.erase(k)
	}
	s.wake()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *kvStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.getKey)
	mux.HandleFunc("GET /api/kv-range", s.getRange)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)

	return mux
}

func (s *kvStore) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]uint64{"at": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At uint64 `json:"at"`
	}{it, s.revision})
}

func (s *kvStore) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	items := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, q.Get("pathPrefix")) && k > q.Get("after") {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "hasMore": more, "at": s.revision})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, it := range s.history[first:] {
			if strings.HasPrefix(it.Key, q.Get("pathPrefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

type transaction struct {
	ExpectedRev []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expectedRev"`
	Puts []struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		LeaseID int64  `json:"leaseId"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.ExpectedRev)+len(t.Puts)+len(t.Remove) > 32 {
		reply(w, http.StatusBadRequest, map[string]string{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]string{})
			return
		}
	}
	failed, items := false, []item{}
	for _, e := range t.ExpectedRev {
		it, ok := s.items[e.Key]
		if ok {
			items = append(items, it)
		}
		failed = failed || it.Revision != e.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, p := range t.Puts {
		if p.LeaseID != 0 && s.leases[p.LeaseID] == nil {
			reply(w, http.StatusNotFound, map[string]string{})
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.LeaseID)
	}
	for _, k := range t.Remove {
		if _, ok := s.items[k]; ok {
			s.erase(k)
		}
	}
	s.wake()
	reply(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var l struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(max(l.TTLMs, 1000)) * time.Millisecond
	s.leases[s.lastID] = &lease{ttl: ttl, expiry: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]int64{"leaseId": s.lastID, "ttlMs": ttl.Milliseconds()})
}

func (s *kvStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]string{})
		return
	}
	l.expiry = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]int64{"leaseId": id, "ttlMs": l.ttl.Milliseconds()})
}

func (s *kvStore) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, map[string]string{})
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]string{})
}
