package standin

import (
	"encoding/json"
	"maps"
	"net/http"
)

// PathRuns is where an endpoint's own server tells what ran.
const PathRuns = "/v1/runs"

type runsAnswer struct {
	// Runs is how often each request ID ran.
	Runs map[string]int
}

// RunCounts returns how often each request ID ran.
func (e *Endpoint) RunCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return maps.Clone(e.runs)
}

// Handler serves requests at every path, but for PathRuns, which answers with the run counts.
func (e *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", e)
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(runsAnswer{Runs: e.RunCounts()})
	})

	return mux
}
