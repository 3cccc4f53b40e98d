package manager

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/ingress"
	"lycheehook.example/lycheehook/platform"
)

const (
	// shutdownMargin is the part of the platform's grace period that is reserved for the exit of the process.
	shutdownMargin = time.Second
	// deregistrationShare is the part of the time for a shutdown that new connections may take up at most.
	deregistrationShare = 2
)

// server is a server with the listener that it serves.
type server struct {
	*http.Server
	listener *ingress.Listener
}

// serve starts a server with at most the given connections at an address, and returns it; the server runs until it is shut down or
// closed.
func (m *Manager) serve(ctx context.Context, at netip.AddrPort, h http.Handler, connections int, isStream func(*http.Request) bool) (*server, error) {
	l, err := m.listen(ctx, at)
	if err != nil {
		return nil, merry.Prependf(err, "listen at %s", at)
	}
	err = ingress.LimitBacklog(l, connections)
	if isStream == nil {
		// Other hosts send long lists and streams, which need larger buffers.
		err = errors.Join(err, ingress.LimitSocketBuffers(l, m.ingress.limits.SocketBuffer))
	}
	if err != nil {
		m.log.Warn("the kernel keeps its limits for connections", "address", at, "error", err)
	}
	s := &server{m.ingress.gate.Server(h, isStream), m.ingress.gate.Listen(l, connections)}
	go func() {
		if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			// The process is useless without its listener; exit so that the platform restarts it.
			panic(err)
		}
	}()

	return s, nil
}

// shutDown ends the service of callers and peers within the platform's grace period. No request that has arrived ends without an answer, unless
// that time is too short. The readiness server answers until the end.
func (m *Manager) shutDown(ctx context.Context, callers, peers, ready *server) {
	limit := max(shutdownMargin, m.settings.Bounds.Grace.Std()-shutdownMargin)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	closing, cancelClosing := context.WithTimeout(ctx, limit/deregistrationShare)
	defer cancelClosing()
	context.AfterFunc(closing, func() { m.log.Info("accepting no more connections", callers.listener.Phases().Fields()...) })
	go func() {
		defer cancelClosing()
		m.balancer.AwaitDeregistration(closing)
	}()
	if err := m.ingress.gate.Drain(ctx, closing.Done(), callers.listener, peers.listener); err != nil {
		m.log.Warn("requests interrupted by the shutdown", append(callers.listener.Phases().Fields(), "error", err)...)
	}
	for _, s := range []*server{callers, peers, ready} {
		if err := s.Close(); err != nil {
			m.log.Debug("failed to close a server", "error", err)
		}
	}
}

// readiness returns the handler of the load balancer's readiness checks.
func (m *Manager) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if m.stopping.Load() || !m.handler.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			if m.stopping.Load() {
				m.balancer.Miss()
			}

			return
		}
		w.WriteHeader(http.StatusOK)
	})

	return mux
}
