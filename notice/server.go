package notice

import (
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"
	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/backlog"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/relay"
	"lycheehook.example/lycheehook/store"
)

// Path is the HTTP path at which an entry host receives notices.
const Path = "/v1/notices"

// ErrNotJobRecord means that a notice contains a record that is not a stored job.
var ErrNotJobRecord = merry.Sentinel("notice: not a stored job record")

// Server receives notices from other entry hosts.
type Server struct {
	// owns reports whether this process currently owns the workers in a term.
	owns  func(term uint64) bool
	apply func(r store.Record)
	log   *log.Logger
	// backlog has the digest of the backlog for hosts that ask for it; nil sends none.
	backlog *backlog.Holder
}

// NewServer returns a server that passes received records to apply if owns reports true for the term of the notice.
func NewServer(owns func(term uint64) bool, apply func(r store.Record), l *log.Logger, options ...ServerOption) *Server {
	s := &Server{owns: owns, apply: apply, log: l}
	for _, o := range options {
		o(s)
	}

	return s
}

// ServerOption changes a new server.
type ServerOption func(*Server)

// WithBacklogSource makes the server send the digest of the backlog that h keeps to hosts that ask for it.
func WithBacklogSource(h *backlog.Holder) ServerOption {
	return func(s *Server) { s.backlog = h }
}

// Service returns the web service that handles Path.
func (s *Server) Service() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path(Path).Route(ws.POST("").To(s.handle))

	return ws
}

func (s *Server) handle(req *restful.Request, resp *restful.Response) {
	m, err := relay.Receive[wireRequest](req, resp)
	if err == nil {
		err = m.validate()
	}
	switch {
	case err != nil:
		s.log.Warn("rejected invalid notice", "error", err)
		resp.WriteHeader(http.StatusBadRequest)
	case !s.owns(m.Term):
		resp.WriteHeader(http.StatusConflict)
	default:
		for _, r := range m.Records {
			s.apply(store.Record(r))
		}
		if m.WantsBacklog {
			s.sendBacklog(m.Term, resp)
		}
	}
}

// sendBacklog responds with the digest of the backlog, or without one.
func (s *Server) sendBacklog(term uint64, resp *restful.Response) {
	var a wireAnswer
	if s.backlog != nil {
		if m, ok := s.backlog.Message(term); ok {
			a.Backlog = &m
		}
	}
	if err := relay.Respond(resp, a); err != nil {
		s.log.Debug("failed to send the response to a notice", "error", err)
	}
}

// validate returns an error unless all records are stored records of jobs.
func (m wireMessage) validate() error {
	for _, r := range m.Records {
		if !strings.HasPrefix(r.Key, ledger.JobPrefix) || r.Revision == 0 {
			return merry.Prepend(ErrNotJobRecord, r.Key)
		}
	}

	return nil
}
