package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"lycheehook.example/lycheehook/store"
)

// kvItem is an item of the published protocol of the key-value service.
type kvItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type kvTxn struct {
	ExpectedRev []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expectedRev"`
	Puts []struct {
		Key     string        `json:"key"`
		Value   []byte        `json:"value"`
		LeaseID store.LeaseID `json:"leaseId"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

type kvLease struct {
	LeaseID store.LeaseID `json:"leaseId,omitempty"`
	TTLMs   int64         `json:"ttlMs"`
}

// kvPage is the page size of ranges, small enough that tests need several pages.
const kvPage = 50

// PlatformHandler serves the store with the published protocol of the users' platform.
func (s *Store) PlatformHandler() http.Handler {
	c := s.Client()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", func(w http.ResponseWriter, r *http.Request) {
		rec, err := c.Get(r.Context(), r.URL.Query().Get("key"))
		kvAnswer(w, kvItemOf(rec), err)
	})
	mux.HandleFunc("GET /api/kv-range", func(w http.ResponseWriter, r *http.Request) {
		l, err := c.List(r.Context(), r.URL.Query().Get("pathPrefix"))
		kvAnswer(w, kvRange(l, r.URL.Query().Get("after")), err)
	})
	mux.HandleFunc("GET /api/kv-watch", func(w http.ResponseWriter, r *http.Request) {
		kvWatch(w, r, c)
	})
	mux.HandleFunc("POST /api/kv-txn", func(w http.ResponseWriter, r *http.Request) {
		var t kvTxn
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		revision, err := c.Commit(r.Context(), t.txn())
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			kvConflict(w, conflict)
			return
		}
		kvAnswer(w, map[string]uint64{"revision": revision}, err)
	})
	mux.HandleFunc("POST /api/kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var l kvLease
		if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		got, err := c.Grant(r.Context(), time.Duration(l.TTLMs)*time.Millisecond)
		kvAnswer(w, kvLease{got.ID, got.TTL.Milliseconds()}, err)
	})
	mux.HandleFunc("POST /api/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		kvAnswer(w, kvLease{}, c.KeepAlive(r.Context(), leaseOf(r)))
	})
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		kvAnswer(w, kvLease{}, c.Revoke(r.Context(), leaseOf(r)))
	})

	return mux
}

func leaseOf(r *http.Request) store.LeaseID {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		// No lease has ID zero, so the response is 404.
		return 0
	}

	return store.LeaseID(id)
}

func kvItemOf(r store.Record) kvItem {
	return kvItem{Key: r.Key, Value: r.Value, Revision: r.Revision}
}

func kvRange(l store.Listing, after string) any {
	items := []kvItem{}
	for _, r := range l.Records {
		if r.Key > after {
			items = append(items, kvItemOf(r))
		}
	}
	more := len(items) > kvPage

	return map[string]any{"items": items[:min(len(items), kvPage)], "hasMore": more, "at": l.Revision}
}

func kvWatch(w http.ResponseWriter, r *http.Request, c *store.Client) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("waitMs"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ev, err := c.Watch(r.Context(), q.Get("pathPrefix"), after, time.Duration(wait)*time.Millisecond)
	items := []kvItem{}
	for _, e := range ev.Events {
		item := kvItemOf(e.Record)
		item.Deleted = e.Deleted
		items = append(items, item)
	}
	kvAnswer(w, map[string]any{"events": items, "at": ev.Revision}, err)
}

func kvConflict(w http.ResponseWriter, c *store.ConflictError) {
	items := []kvItem{}
	for _, r := range c.Records {
		items = append(items, kvItemOf(r))
	}
	kvWrite(w, http.StatusPreconditionFailed, map[string]any{"items": items})
}

func (t kvTxn) txn() store.Txn {
	out := store.Txn{Removes: t.Remove}
	for _, e := range t.ExpectedRev {
		out.Expect = append(out.Expect, store.Expectation{Key: e.Key, Revision: e.Revision})
	}
	for _, p := range t.Puts {
		out.Puts = append(out.Puts, store.Put{Key: p.Key, Value: p.Value, Lease: p.LeaseID})
	}

	return out
}

// kvAnswer writes a response. It aborts the connection for an unknown outcome.
func kvAnswer(w http.ResponseWriter, answer any, err error) {
	switch {
	case err == nil:
		kvWrite(w, http.StatusOK, answer)
	case errors.Is(err, store.ErrNotFound), errors.Is(err, store.ErrLeaseLapsed):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, store.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, store.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}

func kvWrite(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have disconnected.
	_ = json.NewEncoder(w).Encode(answer)
}
