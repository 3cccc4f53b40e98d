package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/platform"
)

const (
	// acceptHeader names the encoding in which a peer may forward the response to a bulk read.
	acceptHeader = "Lycheehook-Relay-Accept"
	deflate      = "deflate"
	// maxBulkBytes bounds the response to a bulk read once it is decompressed.
	maxBulkBytes = 8 << 20
)

// Option configures a Route.
type Option func(*Route)

// WithWiderPeers makes bulk reads go through one of the peers that f returns first, whose links are far wider than this host's.
func WithWiderPeers(f func() []string) Option {
	return func(r *Route) { r.widerPeers = f }
}

// bulkWays returns the way to try first for a bulk read, unless no peer has a far wider link.
func (r *Route) bulkWays(req platform.Request) []way {
	if !req.Bulk {
		return nil
	}
	peers := r.widerPeers()
	if len(peers) == 0 {
		return nil
	}

	return []way{{peer: peers[0]}}
}

// decompressed returns a response with its body decompressed.
func decompressed(resp platform.Response) (platform.Response, error) {
	if resp.Encoding != deflate {
		return resp, nil
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(resp.Body)), maxBulkBytes))
	if err != nil {
		return platform.Response{}, errors.Join(platform.ErrNoAnswer, err)
	}
	resp.Body, resp.Encoding = body, ""

	return resp, nil
}

// bulkReads makes reads of the store that several peers want at the same time once for all of them.
type bulkReads struct {
	mu sync.Mutex
	// running has the newest read of each path that has begun, next the one that begins once it has ended.
	running, next map[string]*bulkRead
}

// bulkRead is a read whose response is compressed once.
type bulkRead struct {
	done chan struct{}
	resp platform.Response
	err  error
}

func newBulkReads() *bulkReads {
	return &bulkReads{running: map[string]*bulkRead{}, next: map[string]*bulkRead{}}
}

// do returns the result of a read that begins after the call. Callers share one while an earlier read of the same path is under way.
func (b *bulkReads) do(path string, read func() (platform.Response, error)) (platform.Response, error) {
	b.mu.Lock()
	n := b.next[path]
	if n == nil {
		n = &bulkRead{done: make(chan struct{})}
		b.next[path] = n
		go b.run(path, n, b.running[path], read)
	}
	b.mu.Unlock()
	<-n.done

	return n.resp, n.err
}

// run makes a read once the one before has ended.
func (b *bulkReads) run(path string, n, before *bulkRead, read func() (platform.Response, error)) {
	if before != nil {
		<-before.done
	}
	b.mu.Lock()
	delete(b.next, path)
	b.running[path] = n
	b.mu.Unlock()
	n.resp, n.err = read()
	b.mu.Lock()
	if b.running[path] == n {
		delete(b.running, path)
	}
	b.mu.Unlock()
	close(n.done)
}

// readBulk reads from the store and compresses the response.
func (s *Server) readBulk(call platform.Request) (platform.Response, error) {
	start := time.Now()
	resp, err := s.route.direct(context.Background(), call)
	s.route.recordDirect(start, resp, err)
	if err != nil {
		return resp, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return resp, err
	}
	if _, err := w.Write(resp.Body); err != nil {
		return resp, err
	}
	if err := w.Close(); err != nil {
		return resp, err
	}
	resp.Body = out.Bytes()

	return resp, nil
}

// forwardBulk answers a bulk read of a peer.
func (s *Server) forwardBulk(resp *restful.Response, call platform.Request) {
	answer, err := s.bulk.do(call.Path, func() (platform.Response, error) { return s.readBulk(call) })
	switch {
	case errors.Is(err, platform.ErrNotSent):
		resp.WriteHeader(http.StatusBadGateway)
	case err != nil:
		panic(http.ErrAbortHandler)
	default:
		resp.Header().Set("Content-Type", "application/json")
		resp.Header().Set("Content-Encoding", deflate)
		resp.WriteHeader(answer.Status)
		// If the write fails, the peer gets no response and reads another way.
		_, _ = resp.Write(answer.Body)
	}
}
