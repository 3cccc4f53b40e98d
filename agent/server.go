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

// Path is where an owner opens a stream of calls to an agent.
const Path = "/v1/calls"

const (
	// tickInterval is the most time between two frames of an agent, from which the owner learns that it lives.
	tickInterval = 200 * time.Millisecond
	// gatherTime lets replies gather into one frame, since each costs a wake-up at both ends.
	gatherTime = 2 * time.Millisecond
	// maxCalls bounds the calls of a stream that are under way; an agent has some dozen workers.
	maxCalls = 4096
)

// Server makes calls to workers on behalf of owners.
type Server struct {
	workers work.Workers
	// uptime is a steady clock that goes on while the machine is suspended.
	uptime  func() time.Duration
	log     *log.Logger
	leaving atomic.Bool
}

// NewServer returns a server that makes its calls through w; uptime is a steady clock that goes on while the machine is
// suspended.
func NewServer(w work.Workers, uptime func() time.Duration, l *log.Logger) *Server {
	return &Server{workers: w, uptime: uptime, log: l}
}

// Leave tells the owners of open streams that this host wants no more calls; those that come are still made.
func (s *Server) Leave() {
	s.leaving.Store(true)
}

// Service returns the server's path.
func (s *Server) Service() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path(Path).Route(ws.POST("").To(s.answer))

	return ws
}

func (s *Server) answer(req *restful.Request, resp *restful.Response) {
	out := http.NewResponseController(resp.ResponseWriter)
	if err := out.EnableFullDuplex(); err != nil {
		s.log.Error("no stream of calls can be served", "error", err)
		resp.WriteHeader(http.StatusNotImplemented)

		return
	}
	resp.WriteHeader(http.StatusOK)
	s.serve(req.Request.Context(), req.Request.Body, resp.ResponseWriter, out.Flush)
}

// stream is one owner's stream of calls at its agent.
type stream struct {
	*Server
	replies chan wireReply
	// over is closed when nobody reads replies any more.
	over chan struct{}
	// calls counts those under way.
	calls atomic.Int64
}

// serve makes the calls that come in until the stream ends; what is under way then is finished, and told to nobody.
func (s *Server) serve(ctx context.Context, in io.Reader, out io.Writer, flush func() error) {
	st := &stream{Server: s, replies: make(chan wireReply, maxCalls), over: make(chan struct{})}
	ctx, cancel := context.WithCancel(ctx)
	var writer sync.WaitGroup
	writer.Go(func() {
		defer close(st.over)
		if err := st.write(ctx, out, flush); err != nil {
			s.log.Debug("replies not written, the stream of calls ends", "error", err)
		}
	})
	for {
		var m wireCalls
		err := readFrame(in, &m)
		if errors.Is(err, ErrFrame) {
			s.log.Warn("stream of calls ends", "error", err)
		}
		if err != nil {
			break
		}
		for _, c := range m.Calls {
			st.take(c)
		}
	}
	cancel()
	writer.Wait()
}

// take makes a call in the background, unless too many are under way.
func (st *stream) take(c wireCall) {
	if st.calls.Add(1) > maxCalls {
		st.calls.Add(-1)
		st.reply(replyTo(c, work.Answer{}, errNotMade))

		return
	}
	go func() {
		defer st.calls.Add(-1)
		st.reply(st.carryOut(c))
	}()
}

func (st *stream) reply(r wireReply) {
	select {
	case st.replies <- r:
	case <-st.over:
	}
}

// carryOut makes a call if it may still be made, and returns what came of it.
func (s *Server) carryOut(c wireCall) wireReply {
	r := work.Registration{ID: c.Worker, Address: c.Address}
	switch {
	case s.uptime() >= c.Until:
		return replyTo(c, work.Answer{}, errNotMade)
	case c.Start != nil:
		a, err := s.workers.Start(r, *c.Start)
		return replyTo(c, a, err)
	case c.Stop != nil:
		a, err := s.workers.Stop(r, *c.Stop)
		return replyTo(c, a, err)
	case c.Pace != nil:
		a, err := s.workers.Pace(r, *c.Pace)
		return replyTo(c, a, err)
	case c.Poll != nil:
		reply, err := s.workers.Poll(r, *c.Poll)
		w := replyTo(c, reply.Answer, err)
		w.Active, w.Ended = reply.Active, reply.Ended

		return w
	default:
		return replyTo(c, work.Answer{}, errNotMade)
	}
}

func replyTo(c wireCall, a work.Answer, err error) wireReply {
	r := wireReply{ID: c.ID, Failure: failureOf(err), Answer: a}
	if err != nil {
		r.Reason = err.Error()
	}

	return r
}

// write writes replies as they come, and from time to time the clock alone. They are deflated as one stream, since a
// worker's answers are much alike.
func (st *stream) write(ctx context.Context, out io.Writer, flush func() error) error {
	deflated, err := flate.NewWriter(out, flate.BestSpeed)
	if err != nil {
		return err
	}
	tick := time.NewTicker(tickInterval)
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
			time.Sleep(gatherTime)
			replies = st.gather(append(replies, r))
		}
	}
}

// gather appends the replies that have come by now.
func (st *stream) gather(replies []wireReply) []wireReply {
	for {
		select {
		case r := <-st.replies:
			replies = append(replies, r)
		default:
			return replies
		}
	}
}
