package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"lycheehook.example/lycheehook/fleet"
)

type inventoryAnswer struct {
	Hosts     []fleet.Host
	Endpoints []fleet.Endpoint
}

// Platform is a stand-in for the platform that runs the workers.
type Platform struct {
	mu        sync.Mutex
	hosts     fleet.Table[fleet.HostName, fleet.Host]
	endpoints fleet.Table[fleet.EndpointName, fleet.Endpoint]
}

// NewPlatform returns a platform without hosts.
func NewPlatform() *Platform {
	return &Platform{}
}

// PutHost adds or replaces a host.
func (p *Platform) PutHost(h fleet.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = p.hosts.With(h.Name, h)
}

// PutEndpoint adds or replaces an endpoint.
func (p *Platform) PutEndpoint(e fleet.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints = p.endpoints.With(e.Name, e)
}

// ServeHTTP serves the protocol of the platform.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/hosts" {
		http.NotFound(w, r)
		return
	}

	p.mu.Lock()
	answer := inventoryAnswer{Hosts: p.hosts.Values(), Endpoints: p.endpoints.Values()}
	p.mu.Unlock()

	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
