package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/platform"
)

const (
	// Path begins the path of a call that a peer passes on to the store.
	Path = "/v1/store"

	headerTimeout = "Lycheehook-Relay-Timeout"
	// maxTimeout bounds how long a peer may ask for a call to take.
	maxTimeout = 30 * time.Second
	maxBody    = 4 << 20
)

// Via returns the exchange with the store through the peer at an address.
func Via(t *platform.Transport) func(address string) platform.Exchange {
	return func(address string) platform.Exchange {
		to := t.To(address)

		return func(ctx context.Context, r platform.Request) (platform.Response, error) {
			r.Path = Path + r.Path
			r.Header = http.Header{headerTimeout: {r.Timeout.String()}}

			return to(ctx, r)
		}
	}
}

// Server passes calls of peers on to the store, and only directly, so that no call goes in a circle.
type Server struct {
	route *Route
}

// NewServer returns the server of a route.
func NewServer(r *Route) *Server {
	return &Server{route: r}
}

// Service returns the server's paths.
func (s *Server) Service() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path(Path)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		ws.Route(ws.Method(method).Path("/{rest:*}").To(s.pass))
	}

	return ws
}

func (s *Server) pass(req *restful.Request, resp *restful.Response) {
	r := req.Request
	path, _ := strings.CutPrefix(r.URL.RequestURI(), Path)
	timeout, err := time.ParseDuration(r.Header.Get(headerTimeout))
	if err != nil || !strings.HasPrefix(path, platform.StorePath) {
		resp.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.route.Direct() {
		resp.WriteHeader(http.StatusBadGateway)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(resp, r.Body, maxBody))
	if err != nil {
		resp.WriteHeader(http.StatusBadRequest)
		return
	}

	answer, err := s.route.direct(r.Context(), platform.Request{Method: r.Method, Path: path, Body: body, Timeout: min(timeout, maxTimeout)})
	s.route.note(answer, err)
	switch {
	case errors.Is(err, platform.ErrNotSent):
		resp.WriteHeader(http.StatusBadGateway)
	case err != nil:
		// Without an answer the peer must not learn more than that the outcome is unknown.
		panic(http.ErrAbortHandler)
	default:
		resp.Header().Set("Content-Type", "application/json")
		resp.WriteHeader(answer.Status)
		// The peer may have gone; it then knows that the outcome is unknown.
		_, _ = resp.Write(answer.Body)
	}
}
