package notice

import (
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"
	"github.com/emicklei/go-restful/v3"

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
}

// NewServer returns a server that passes received records to apply if owns reports true for the term of the notice.
func NewServer(owns func(term uint64) bool, apply func(r store.Record), l *log.Logger) *Server {
	return &Server{owns: owns, apply: apply, log: l}
}

// Service returns the web service that handles Path.
func (s *Server) Service() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path(Path).Route(ws.POST("").To(s.handle))

	return ws
}

func (s *Server) handle(req *restful.Request, resp *restful.Response) {
	m, err := relay.Receive[wireMessage](req, resp)
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
