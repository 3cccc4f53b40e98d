package intake

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// Router finds the queue and the workspace of a request under one configuration.
type Router struct {
	config work.Config
	// byHost holds the queues of each host, longest path prefix first.
	byHost map[string][]work.Queue
	byKey  map[string]fleet.WorkspaceName
}

// NewRouter returns a router for a configuration.
func NewRouter(c work.Config) *Router {
	r := &Router{config: c, byHost: map[string][]work.Queue{}, byKey: map[string]fleet.WorkspaceName{}}
	for _, q := range c.Queues {
		r.byHost[q.Host] = append(r.byHost[q.Host], q)
	}
	for _, queues := range r.byHost {
		slices.SortFunc(queues, func(a, b work.Queue) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for _, w := range c.Workspaces {
		for _, k := range w.Keys {
			r.byKey[k] = w.Name
		}
	}

	return r
}

// Config returns the configuration that the router uses.
func (r *Router) Config() work.Config {
	return r.config
}

// Queue returns the queue selected by the host and path of a request, and the path after the queue's prefix.
func (r *Router) Queue(host, path string) (work.Queue, string, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, q := range r.byHost[host] {
		if rest, ok := strings.CutPrefix(path, q.PathPrefix); ok {
			return q, rest, true
		}
	}

	return work.Queue{}, "", false
}

// Workspace returns the workspace that an API key belongs to.
func (r *Router) Workspace(key string) (fleet.WorkspaceName, bool) {
	w, ok := r.byKey[key]

	return w, ok
}
