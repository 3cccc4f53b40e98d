package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"lycheehook.example/lycheehook/store"
)

type storeKeyRequest struct {
	Key    string
	Prefix string
}

type storeWatchRequest struct {
	Prefix   string
	After    uint64
	WaitTime string
}

type storeLeaseRequest struct {
	ID  store.LeaseID
	TTL string
}

type storeRevisionAnswer struct {
	Revision uint64
}

type storeLeaseAnswer struct {
	ID store.LeaseID
}

type storeErrorAnswer struct {
	Error string
}

// storeErrors is the HTTP status and the wire name of each store error.
var storeErrors = []struct {
	err    error
	status int
	name   string
}{
	{store.ErrNotFound, http.StatusNotFound, "NotFound"},
	{store.ErrConflict, http.StatusConflict, "Conflict"},
	{store.ErrLeaseLapsed, http.StatusGone, "LeaseLapsed"},
	{store.ErrTooLarge, http.StatusRequestEntityTooLarge, "TooLarge"},
	{store.ErrCompacted, http.StatusGone, "Compacted"},
	{store.ErrUnavailable, http.StatusServiceUnavailable, "Unavailable"},
}

// ServeHTTP implements http.Handler with the protocol of store.Dial.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := s.Client()
	switch r.URL.Path {
	case "/v1/kv/get":
		serveCall(w, r, func(ctx context.Context, q storeKeyRequest) (any, error) { return c.Get(ctx, q.Key) })
	case "/v1/kv/list":
		serveCall(w, r, func(ctx context.Context, q storeKeyRequest) (any, error) { return c.List(ctx, q.Prefix) })
	case "/v1/kv/compare-and-swap":
		serveCall(w, r, func(ctx context.Context, q store.Write) (any, error) {
			revision, err := c.CompareAndSwap(ctx, q)
			return storeRevisionAnswer{Revision: revision}, err
		})
	case "/v1/kv/watch":
		serveCall(w, r, func(ctx context.Context, q storeWatchRequest) (any, error) {
			wait, err := time.ParseDuration(q.WaitTime)
			if err != nil {
				return nil, err
			}

			return c.Watch(ctx, q.Prefix, q.After, wait)
		})
	case "/v1/kv/lease/grant":
		serveCall(w, r, func(ctx context.Context, q storeLeaseRequest) (any, error) {
			ttl, err := time.ParseDuration(q.TTL)
			if err != nil {
				return nil, err
			}
			l, err := c.Grant(ctx, ttl)

			return storeLeaseAnswer{ID: l.ID}, err
		})
	case "/v1/kv/lease/keep-alive":
		serveCall(w, r, func(ctx context.Context, q storeLeaseRequest) (any, error) { return struct{}{}, c.KeepAlive(ctx, q.ID) })
	case "/v1/kv/lease/revoke":
		serveCall(w, r, func(ctx context.Context, q storeLeaseRequest) (any, error) { return struct{}{}, c.Revoke(ctx, q.ID) })
	default:
		http.NotFound(w, r)
	}
}

// serveCall decodes a request, makes the call and writes the response. It aborts the connection for an unknown outcome, which
// simulates a lost response.
func serveCall[Q any](w http.ResponseWriter, r *http.Request, call func(context.Context, Q) (any, error)) {
	var q Q
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}

	answer, err := call(r.Context(), q)
	if errors.Is(err, store.ErrOutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		writeStoreError(w, err)
		return
	}

	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func writeStoreError(w http.ResponseWriter, err error) {
	for _, known := range storeErrors {
		if errors.Is(err, known.err) {
			w.WriteHeader(known.status)
			_ = json.NewEncoder(w).Encode(storeErrorAnswer{Error: known.name})

			return
		}
	}

	http.Error(w, err.Error(), http.StatusInternalServerError)
}
