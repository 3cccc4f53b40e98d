package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"
)

// Headers of requests to endpoints and of their responses.
const (
	// HeaderRequestID is the caller's request ID.
	HeaderRequestID = "X-Request-Id"
	// HeaderBodyDigest is the SHA-256 of the request body, for detecting truncated responses.
	HeaderBodyDigest = "X-Body-Digest"
	// HeaderState is "Leaving" in every response of an endpoint that is leaving.
	HeaderState = "Endpoint-State"

	healthPath = "/healthz"
)

// Endpoint is a fake endpoint that echoes request bodies and counts the requests that it ran.
type Endpoint struct {
	mu      sync.Mutex
	service time.Duration
	// hold blocks requests until it is closed; nil doesn't block.
	hold       <-chan struct{}
	runs       map[string]int
	total      int
	running    int
	maxRunning int
	leaving    bool
	status     int
}

// NewEndpoint returns an endpoint with the given service time.
func NewEndpoint(service time.Duration) *Endpoint {
	return &Endpoint{service: service, runs: map[string]int{}}
}

// SetService sets the service time.
func (e *Endpoint) SetService(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.service = d
}

// SetHold blocks later requests until hold is closed; nil doesn't block.
func (e *Endpoint) SetHold(hold <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hold = hold
}

// SetLeaving sets whether responses report that the endpoint is leaving. It serves requests either way.
func (e *Endpoint) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetStatus sets the status of responses to work, for simulating a worker that fails all requests.
func (e *Endpoint) SetStatus(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status = status
}

// Runs returns how often the request with the given ID ran.
func (e *Endpoint) Runs(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.runs[requestID]
}

// Total returns how many requests ran.
func (e *Endpoint) Total() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.total
}

// Running returns how many requests are running.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.running
}

// MostRunning returns the largest number of requests that ran concurrently.
func (e *Endpoint) MostRunning() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.maxRunning
}

// ServeHTTP runs one request: it reads the body, waits for the service time, and echoes the body.
// A health probe is answered immediately.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status := e.setState(w, r)
	if r.URL.Path == healthPath {
		w.WriteHeader(status)
		return
	}

	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	service, hold := e.begin(r.Header.Get(HeaderRequestID))
	defer e.end()
	time.Sleep(service)
	if hold != nil {
		<-hold
	}

	digest := sha256.Sum256(body)
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	w.Header().Set(HeaderBodyDigest, hex.EncodeToString(digest[:]))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// setState sets the state header of the response and returns its status.
func (e *Endpoint) setState(w http.ResponseWriter, r *http.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		w.Header().Set(HeaderState, "Leaving")
	}
	switch {
	case r.URL.Path == healthPath && e.leaving:
		return http.StatusServiceUnavailable
	case r.URL.Path == healthPath || e.status == 0:
		return http.StatusOK
	default:
		return e.status
	}
}

func (e *Endpoint) begin(requestID string) (service time.Duration, hold <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.total++
	e.running++
	e.maxRunning = max(e.maxRunning, e.running)
	if requestID != "" {
		e.runs[requestID]++
	}

	return e.service, e.hold
}

func (e *Endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}
