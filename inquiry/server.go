package inquiry

import (
	"net/http"

	"github.com/charmbracelet/log"
	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/relay"
)

// Path is the HTTP path at which an entry host answers state queries.
const Path = "/v1/states"

// Server answers state queries from other entry hosts.
type Server struct {
	// owns reports whether this process currently owns the workers in a term.
	owns  func(term uint64) bool
	state func(j Job) (ledger.State, bool)
	log   *log.Logger
}

// NewServer returns a server. Function owns reports whether this process currently owns the workers in a term; state returns
// the stored state of a job and whether the job exists and its workspace may access it.
func NewServer(owns func(term uint64) bool, state func(j Job) (ledger.State, bool), l *log.Logger) *Server {
	return &Server{owns: owns, state: state, log: l}
}

// Service returns the web service that handles Path.
func (s *Server) Service() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path(Path).Route(ws.POST("").To(s.handle))

	return ws
}

func (s *Server) handle(req *restful.Request, resp *restful.Response) {
	q, err := relay.Receive[wireQuery](req, resp)
	switch {
	case err != nil:
		s.log.Warn("rejected malformed job state query", "error", err)
		resp.WriteHeader(http.StatusBadRequest)

		return
	case !s.owns(q.Term):
		resp.WriteHeader(http.StatusConflict)
		return
	}
	a := wireAnswer{States: make([]wireState, 0, len(q.Jobs))}
	for _, j := range q.Jobs {
		state, known := s.state(j)
		a.States = append(a.States, wireState{Known: known, State: state})
	}
	if err := relay.Respond(resp, a); err != nil {
		s.log.Debug("failed to send the response to a job state query", "error", err)
	}
}
