package standin

import (
	"encoding/json"
	"maps"
	"net/http"
)

// PathRuns is the path at which Handler serves the run counts.
const PathRuns = "/v1/runs"

type runsAnswer struct {
	// Runs is the number of runs by request ID.
	Runs map[string]int
}

// RunCounts returns the number of runs by request ID.
func (e *Endpoint) RunCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return maps.Clone(e.runs)
}

// Handler serves the run counts at PathRuns and requests at all other paths.
func (e *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", e)
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(runsAnswer{Runs: e.RunCounts()})
	})

	return mux
}
