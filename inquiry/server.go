package inquiry

import (
	"net/http"

	"github.com/charmbracelet/log"
	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/relay"
)

// Path is where an entry host is asked for states.
const Path = "/v1/states"

// Server answers the inquiries of other entry hosts.
type Server struct {
	// owns reports whether this process owns the workers in a term right now.
	owns  func(term uint64) bool
	state func(j Job) (ledger.State, bool)
	log   *log.Logger
}

// NewServer returns a server; state returns what is stored of a job, and whether its workspace has such a job, and owns reports
// whether this process owns the workers in a term right now.
func NewServer(owns func(term uint64) bool, state func(j Job) (ledger.State, bool), l *log.Logger) *Server {
	return &Server{owns: owns, state: state, log: l}
}

// Service returns the server's path.
func (s *Server) Service() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path(Path).Route(ws.POST("").To(s.answer))

	return ws
}

func (s *Server) answer(req *restful.Request, resp *restful.Response) {
	q, err := relay.Receive[wireQuestion](req, resp)
	switch {
	case err != nil:
		s.log.Warn("inquiry passed over", "error", err)
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
	if err := relay.Answer(resp, a); err != nil {
		s.log.Debug("inquiry not answered", "error", err)
	}
}
