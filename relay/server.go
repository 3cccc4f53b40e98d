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
	// Path is the path prefix of calls that a peer forwards to the store.
	Path = "/v1/store"

	timeoutHeader = "Lycheehook-Relay-Timeout"
	// maxTimeout is the maximum timeout that a peer may request for a call.
	maxTimeout   = 30 * time.Second
	maxBodyBytes = 4 << 20
	// forwardBytes is how much of a response is forwarded at once at most.
	forwardBytes = 32 << 10
)

// Via returns a function that returns the exchange with the store through the peer at an address.
func Via(t *platform.Transport) func(address string) platform.Exchange {
	return func(address string) platform.Exchange {
		to := t.To(address)

		return func(ctx context.Context, r platform.Request) (platform.Response, error) {
			r.Path = Path + r.Path
			r.Header = http.Header{timeoutHeader: {r.Timeout.String()}}
			if r.Bulk {
				r.Header.Set(acceptHeader, deflate)
			}
			resp, err := to(ctx, r)
			if err != nil {
				return resp, err
			}

			return decompressed(resp)
		}
	}
}

// Server forwards calls of peers to the store. It forwards them only directly, which rules out loops.
type Server struct {
	route *Route
	bulk  *bulkReads
}

// NewServer returns a server that forwards calls over the direct connection of a route.
func NewServer(r *Route) *Server {
	return &Server{route: r, bulk: newBulkReads()}
}

// Service returns the web service that handles the paths below Path.
func (s *Server) Service() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path(Path)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		ws.Route(ws.Method(method).Path("/{rest:*}").To(s.forward))
	}

	return ws
}

func (s *Server) forward(req *restful.Request, resp *restful.Response) {
	r := req.Request
	path, _ := strings.CutPrefix(r.URL.RequestURI(), Path)
	timeout, err := time.ParseDuration(r.Header.Get(timeoutHeader))
	if err != nil || !strings.HasPrefix(path, platform.StorePath) {
		resp.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.route.Direct() {
		resp.WriteHeader(http.StatusBadGateway)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(resp, r.Body, maxBodyBytes))
	if err != nil {
		resp.WriteHeader(http.StatusBadRequest)
		return
	}

	start := time.Now()
	call := platform.Request{Method: r.Method, Path: path, Body: body, Timeout: min(timeout, maxTimeout)}
	if r.Method == http.MethodGet && r.Header.Get(acceptHeader) == deflate {
		s.forwardBulk(resp, call)
		return
	}
	forwarded := false
	if r.Method == http.MethodGet {
		call.Forward = func(status int, in io.Reader) error {
			forwarded = true
			return forwardBody(resp, status, in)
		}
	}
	answer, err := s.route.direct(r.Context(), call)
	s.route.recordDirect(start, answer, err)
	switch {
	case errors.Is(err, platform.ErrNotSent):
		resp.WriteHeader(http.StatusBadGateway)
	case err != nil:
		// The outcome is unknown; aborting the response is what tells the peer so.
		panic(http.ErrAbortHandler)
	case forwarded:
	default:
		resp.Header().Set("Content-Type", "application/json")
		resp.WriteHeader(answer.Status)
		// If the write fails, the peer gets no response and treats the outcome as unknown.
		_, _ = resp.Write(answer.Body)
	}
}

// forwardBody writes a response while it arrives, so that the peer sees its progress.
func forwardBody(resp *restful.Response, status int, in io.Reader) error {
	resp.Header().Set("Content-Type", "application/json")
	resp.WriteHeader(status)
	out := http.NewResponseController(resp.ResponseWriter)
	buffer := make([]byte, forwardBytes)
	for {
		n, err := in.Read(buffer)
		if n > 0 {
			if _, failed := resp.Write(buffer[:n]); failed != nil {
				// The peer has left, which says nothing about the store.
				return nil //nolint:nilerr // see above
			}
			_ = out.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
