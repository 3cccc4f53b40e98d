package agent

import (
	"compress/flate"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/work"
)

// Path is the HTTP path at which an owner opens a stream of calls.
const Path = "/v1/calls"

const (
	// heartbeatInterval is the maximum time between two frames of an agent, by which the owner detects its failure.
	heartbeatInterval = 200 * time.Millisecond
	// batchDelay lets replies accumulate into one frame, since each frame costs a wake-up at both ends.
	batchDelay = 2 * time.Millisecond
	// maxCalls limits the concurrent calls of a stream; an agent has a few dozen workers.
	maxCalls = 4096
)

// Server makes calls to workers on behalf of the owner.
type Server struct {
	workers work.Workers
	// uptime is a monotonic clock that includes time in suspend.
	uptime  func() time.Duration
	log     *log.Logger
	leaving atomic.Bool
}

// NewServer returns a server that makes its calls through w; uptime is a monotonic clock that includes time in suspend.
func NewServer(w work.Workers, uptime func() time.Duration, l *log.Logger) *Server {
	return &Server{workers: w, uptime: uptime, log: l}
}

// Leave tells owners to send no more calls. Calls that still arrive are made.
func (s *Server) Leave() {
	s.leaving.Store(true)
}

// Service returns the HTTP service of the agent.
func (s *Server) Service() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path(Path).Route(ws.POST("").To(s.handle))

	return ws
}

func (s *Server) handle(req *restful.Request, resp *restful.Response) {
	out := http.NewResponseController(resp.ResponseWriter)
	if err := out.EnableFullDuplex(); err != nil {
		s.log.Error("the connection doesn't support streams of calls", "error", err)
		resp.WriteHeader(http.StatusNotImplemented)

		return
	}
	resp.WriteHeader(http.StatusOK)
	s.serve(req.Request.Context(), req.Request.Body, resp.ResponseWriter, out.Flush)
}

// stream is the agent's end of a stream of calls.
type stream struct {
	*Server
	replies chan wireReply
	// done is closed when replies are no longer written.
	done chan struct{}
	// calls is the number of running calls.
	calls atomic.Int64
}

// serve makes the calls that arrive until the stream ends. Running calls are then finished, but their results dropped.
func (s *Server) serve(ctx context.Context, in io.Reader, out io.Writer, flush func() error) {
	st := &stream{Server: s, replies: make(chan wireReply, maxCalls), done: make(chan struct{})}
	ctx, cancel := context.WithCancel(ctx)
	var writer sync.WaitGroup
	writer.Go(func() {
		defer close(st.done)
		if err := st.write(ctx, out, flush); err != nil {
			s.log.Debug("failed to write replies, closing the stream of calls", "error", err)
		}
	})
	for {
		var m wireCalls
		err := readFrame(in, &m)
		if errors.Is(err, ErrFrame) {
			s.log.Warn("malformed frame from an owner, closing the stream of calls", "error", err)
		}
		if err != nil {
			break
		}
		for _, c := range m.Calls {
			st.startCall(c)
		}
	}
	cancel()
	writer.Wait()
}

// startCall makes a call in the background, unless too many are running.
func (st *stream) startCall(c wireCall) {
	if st.calls.Add(1) > maxCalls {
		st.calls.Add(-1)
		st.reply(newReply(c, work.Answer{}, errNotMade))

		return
	}
	go func() {
		defer st.calls.Add(-1)
		st.reply(st.makeCall(c))
	}()
}

func (st *stream) reply(r wireReply) {
	select {
	case st.replies <- r:
	case <-st.done:
	}
}

// makeCall makes a call, unless its deadline has passed, and returns its reply.
func (s *Server) makeCall(c wireCall) wireReply {
	r := work.Registration{ID: c.Worker, Address: c.Address}
	switch {
	case s.uptime() >= c.Deadline:
		return newReply(c, work.Answer{}, errNotMade)
	case c.Start != nil:
		a, err := s.workers.Start(r, *c.Start)
		return newReply(c, a, err)
	case c.Stop != nil:
		a, err := s.workers.Stop(r, *c.Stop)
		return newReply(c, a, err)
	case c.Pace != nil:
		a, err := s.workers.Pace(r, *c.Pace)
		return newReply(c, a, err)
	case c.Poll != nil:
		reply, err := s.workers.Poll(r, *c.Poll)
		w := newReply(c, reply.Answer, err)
		w.Active, w.Ended = reply.Active, reply.Ended

		return w
	default:
		return newReply(c, work.Answer{}, errNotMade)
	}
}

func newReply(c wireCall, a work.Answer, err error) wireReply {
	r := wireReply{ID: c.ID, Failure: failureIndex(err), Answer: a}
	if err != nil {
		r.Reason = err.Error()
	}

	return r
}

// write writes replies as they arrive, and heartbeats without replies in between. All frames are compressed as one stream,
// since the answers of a worker are similar to each other.
func (st *stream) write(ctx context.Context, out io.Writer, flush func() error) error {
	deflated, err := flate.NewWriter(out, flate.BestSpeed)
	if err != nil {
		return err
	}
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	var replies []wireReply
	for {
		m := wireReplies{Clock: st.uptime(), Leaving: st.leaving.Load(), Replies: replies}
		if err := writeFrame(deflated, m); err != nil {
			return err
		}
		if err := deflated.Flush(); err != nil {
			return err
		}
		if err := flush(); err != nil {
			return err
		}
		replies = replies[:0]
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case r := <-st.replies:
			time.Sleep(batchDelay)
			replies = st.drainReplies(append(replies, r))
		}
	}
}

// drainReplies appends the replies that are available now.
func (st *stream) drainReplies(replies []wireReply) []wireReply {
	for {
		select {
		case r := <-st.replies:
			replies = append(replies, r)
		default:
			return replies
		}
	}
}
