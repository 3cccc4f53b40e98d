package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"
)

// Headers of the exchange with an endpoint.
const (
	// HeaderRequestID carries the caller's request ID to the endpoint.
	HeaderRequestID = "X-Request-Id"
	// HeaderBodyDigest carries the SHA-256 of the request body in the answer, for checks of whole answers.
	HeaderBodyDigest = "X-Body-Digest"
	// HeaderState is set to "Leaving" on every answer of an endpoint that is leaving.
	HeaderState = "Endpoint-State"

	healthPath = "/healthz"
)

// Endpoint is a stand-in for a runner: it answers each request with its own body and counts what it ran.
type Endpoint struct {
	mu      sync.Mutex
	service time.Duration
	// hold keeps requests from ending until it is closed; nil does not.
	hold     <-chan struct{}
	runs     map[string]int
	total    int
	running  int
	mostSeen int
	leaving  bool
	status   int
}

// NewEndpoint returns an endpoint that takes service for each request.
func NewEndpoint(service time.Duration) *Endpoint {
	return &Endpoint{service: service, runs: map[string]int{}}
}

// SetService changes how long a request takes.
func (e *Endpoint) SetService(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.service = d
}

// SetHold keeps the requests that begin from now on from ending until hold is closed; nil does not.
func (e *Endpoint) SetHold(hold <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hold = hold
}

// SetLeaving makes the endpoint say on every answer that it is leaving; it goes on serving what it gets.
func (e *Endpoint) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetStatus makes the endpoint answer work with the given status, as a worker that fails everything it starts does.
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

// MostRunning returns the largest number of requests that ran at once.
func (e *Endpoint) MostRunning() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.mostSeen
}

// ServeHTTP runs one request: it reads the body, waits for the service time, and echoes the body.
// A health probe is answered at once.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status := e.announce(w, r)
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

// announce sets the state in the answer and returns its status.
func (e *Endpoint) announce(w http.ResponseWriter, r *http.Request) int {
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
	e.mostSeen = max(e.mostSeen, e.running)
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
