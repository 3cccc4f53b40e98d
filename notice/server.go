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

// Path is where an entry host takes notices.
const Path = "/v1/notices"

// ErrNotAJob says that a notice is about another record than a job's.
var ErrNotAJob = merry.Sentinel("notice: not the record of a job")

// Server takes the notices of other entry hosts.
type Server struct {
	// owns reports whether this process owns the workers in a term right now.
	owns func(term uint64) bool
	take func(r store.Record)
	log  *log.Logger
}

// NewServer returns a server that hands records over to take while owns reports true for the term that they are meant for.
func NewServer(owns func(term uint64) bool, take func(r store.Record), l *log.Logger) *Server {
	return &Server{owns: owns, take: take, log: l}
}

// Service returns the server's path.
func (s *Server) Service() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path(Path).Route(ws.POST("").To(s.receive))

	return ws
}

func (s *Server) receive(req *restful.Request, resp *restful.Response) {
	m, err := relay.Receive[wireMessage](req, resp)
	if err == nil {
		err = m.check()
	}
	switch {
	case err != nil:
		s.log.Warn("notice passed over", "error", err)
		resp.WriteHeader(http.StatusBadRequest)
	case !s.owns(m.Term):
		resp.WriteHeader(http.StatusConflict)
	default:
		for _, r := range m.Records {
			s.take(store.Record(r))
		}
	}
}

// check returns an error unless all records are of jobs.
func (m wireMessage) check() error {
	for _, r := range m.Records {
		if !strings.HasPrefix(r.Key, ledger.JobPrefix) || r.Revision == 0 {
			return merry.Prepend(ErrNotAJob, r.Key)
		}
	}

	return nil
}
