package explain

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/dispatch"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/relay"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/work"
)

// Path is the HTTP path at which an entry host answers questions about jobs.
const Path = "/v1/explain"

const (
	// askTimeout limits a question to any host, which may pass it on within ownerTimeout.
	askTimeout   = 5 * time.Second
	ownerTimeout = 3 * time.Second
)

// Code is the kind of failure of a question.
type Code string

// The codes, which are those of the operators' API.
const (
	Invalid     Code = "RequestInvalid"
	NotFound    Code = "NotFound"
	Unavailable Code = "StoreUnavailable"
)

// Question asks where a job would go.
type Question struct {
	Queue     fleet.QueueName
	Workspace fleet.WorkspaceName
	// Body is the body of the submission.
	Body []byte
	// Forwarded questions are not passed on again.
	Forwarded bool
}

// Answer is the owner's answer, or a Code with a reason.
type Answer struct {
	Owner       fleet.EntryName
	Explanation schedule.Explanation
	Code        Code
	Reason      string
}

// Ask sends a question to a host.
func Ask(ctx context.Context, to platform.Exchange, q Question) (Answer, error) {
	var a Answer
	err := relay.Send(ctx, to, Path, askTimeout, q, &a)

	return a, err
}

// Server answers questions, or passes them on to the owner.
type Server struct {
	self     fleet.EntryName
	explain  func(work.Job) (schedule.Explanation, error)
	owner    func() (ledger.Owner, uint64)
	exchange func(address string) platform.Exchange
	log      *log.Logger
	// mu lets one job be decoded and tried at a time, since jobs take much more memory than their bodies.
	mu sync.Mutex
}

// NewServer returns the server of a host. Function explain answers if this process is the owner and returns dispatch.ErrNotOwner
// otherwise; owner returns the owner known to this host and its term.
func NewServer(
	self fleet.EntryName, explain func(work.Job) (schedule.Explanation, error), owner func() (ledger.Owner, uint64),
	exchange func(address string) platform.Exchange, l *log.Logger,
) *Server {
	return &Server{self: self, explain: explain, owner: owner, exchange: exchange, log: l}
}

// Service returns the web service that handles Path.
func (s *Server) Service() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path(Path).Route(ws.POST("").To(s.handle))

	return ws
}

func (s *Server) handle(req *restful.Request, resp *restful.Response) {
	q, err := relay.Receive[Question](req, resp)
	if err != nil {
		s.log.Warn("rejected malformed question about a job", "error", err)
		resp.WriteHeader(http.StatusBadRequest)

		return
	}
	if err := relay.Respond(resp, s.answer(req.Request.Context(), q)); err != nil {
		s.log.Debug("failed to send the response to a question about a job", "error", err)
	}
}

func (s *Server) answer(ctx context.Context, q Question) Answer {
	x, err := s.try(q)
	switch {
	case err == nil:
		return Answer{Owner: s.self, Explanation: x}
	case errors.Is(err, dispatch.ErrNotOwner):
		return s.forward(ctx, q)
	case errors.Is(err, schedule.ErrNoConfiguration):
		return Answer{Owner: s.self, Code: Unavailable, Reason: err.Error()}
	case errors.Is(err, schedule.ErrUnknownQueue), errors.Is(err, schedule.ErrUnknownWorkspace):
		return Answer{Owner: s.self, Code: NotFound, Reason: err.Error()}
	default:
		return Answer{Owner: s.self, Code: Invalid, Reason: err.Error()}
	}
}

// try answers a question if this process is the owner.
func (s *Server) try(q Question) (schedule.Explanation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, err := platform.DecodeJob(q.Body)
	if err != nil {
		return schedule.Explanation{}, err
	}
	j.Queue, j.Workspace = q.Queue, q.Workspace

	return s.explain(j)
}

// forward passes a question on to the owner, unless it was passed on before.
func (s *Server) forward(ctx context.Context, q Question) Answer {
	o, term := s.owner()
	switch {
	case term == 0:
		return Answer{Code: Unavailable, Reason: "no host owns the workers"}
	case q.Forwarded || o.Host == s.self:
		return Answer{Code: Unavailable, Reason: "host " + string(s.self) + " doesn't own the workers, or has not read the ledger yet"}
	}
	q.Forwarded = true
	var a Answer
	if err := relay.Send(ctx, s.exchange(o.PeerAddress), Path, ownerTimeout, q, &a); err != nil {
		return Answer{Code: Unavailable, Reason: "owner " + string(o.Host) + " at " + o.PeerAddress + ": " + err.Error()}
	}

	return a
}
