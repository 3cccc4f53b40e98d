package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerDelay is how long the store takes for an answer.
const answerDelay = 4 * time.Millisecond

// item is an item of the key-value store, or its removal in the history.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	LeaseID  uint64 `json:"leaseId"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// metadataStore is a stand-in of the platform's store that loses nothing and keeps its whole history.
type metadataStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	changed  chan struct{}
	// hold, if set, is called with each transaction before it is applied; it returns whether the answer is to be lost.
	hold func(keys []string) (loseAnswer bool)
}

func newStore() *metadataStore {
	s := &metadataStore{revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()

	return s
}

// expire removes the keys of leases that have ended. s.mu must be held.
func (s *metadataStore) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *metadataStore) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.LeaseID == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.apply(nil, keys)
	}
}

type put struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	LeaseID uint64 `json:"leaseId"`
}

// apply makes changes under one new revision. s.mu must be held.
func (s *metadataStore) apply(puts []put, remove []string) {
	s.revision++
	for _, p := range puts {
		i := item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: s.revision, LeaseID: p.LeaseID}
		if old, ok := s.items[p.Key]; ok {
			i.Created = old.Created
		}
		s.items[p.Key] = i
		s.history = append(s.history, i)
	}
	for _, k := range remove {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.history = append(s.history, item{Key: k, Revision: s.revision, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a key on behalf of the operator or a runner.
func (s *metadataStore) set(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]put{{Key: key, Value: data}}, nil)
}

func (s *metadataStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []string{key})
}

func (s *metadataStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/api/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, i)
	case path == "/api/kv-range":
		s.serveRange(w, q.Get("pathPrefix"), q.Get("after"))
	case path == "/api/kv-watch":
		s.serveWatch(w, r)
	case path == "/api/kv-txn":
		s.serveTxn(w, r)
	case path == "/api/kv-lease":
		var req struct {
			TTLMs int64 `json:"ttlMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&req)
		s.mu.Lock()
		s.revision++
		id, ttl := s.revision, time.Duration(max(1000, req.TTLMs))*time.Millisecond
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"leaseId": id, "ttlMs": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/api/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/api/kv-keep/"), 10, 64)
		s.mu.Lock()
		s.expire()
		l, ok := s.leases[id]
		if ok {
			l.end = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/api/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *metadataStore) serveRange(w http.ResponseWriter, prefix, after string) {
	const page = 500
	s.mu.Lock()
	at := s.revision
	list := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			list = append(list, i)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, http.StatusOK, map[string]any{"items": list[:min(len(list), page)], "hasMore": len(list) > page, "at": at})
}

func (s *metadataStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, changed := []item{}, s.revision, s.changed
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(i item, rev uint64) int { return int(i.Revision) - int(rev) })
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, q.Get("pathPrefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *metadataStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRev"`
		Puts   []put    `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	lose := false
	if s.hold != nil {
		var keys []string
		for _, p := range t.Puts {
			keys = append(keys, p.Key)
		}
		lose = s.hold(keys)
	}
	s.mu.Lock()
	s.expire()
	ok := true
	found := []item{}
	for _, e := range t.ExpectedRev {
		i, exists := s.items[e.Key]
		if exists {
			found = append(found, i)
		}
		ok = ok && i.Revision == e.Revision
	}
	leased := true
	for _, p := range t.Puts {
		if _, exists := s.leases[p.LeaseID]; p.LeaseID != 0 && !exists {
			leased = false
		}
	}
	if ok && leased {
		s.apply(t.Puts, t.Remove)
	}
	revision := s.revision
	s.mu.Unlock()
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case !ok:
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": found})
	case !leased:
		w.WriteHeader(http.StatusNotFound)
	default:
		writeJSON(w, http.StatusOK, map[string]any{"revision": revision})
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
