package notice

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/store"
)

const (
	// Path is where an entry host takes notices.
	Path = "/v1/notices"

	contentType = "application/cbor"
	// maxBody bounds a message, in bytes: records of jobs are under 5 kB.
	maxBody = 1 << 20
)

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
	body, err := io.ReadAll(http.MaxBytesReader(resp, req.Request.Body, maxBody))
	if err != nil {
		s.log.Debug("notice not read to its end", "error", err)
		resp.WriteHeader(http.StatusBadRequest)

		return
	}
	m, err := decode(body)
	if err != nil {
		s.log.Warn("notice passed over", "error", err)
		resp.WriteHeader(http.StatusBadRequest)

		return
	}
	if !s.owns(m.Term) {
		resp.WriteHeader(http.StatusConflict)
		return
	}
	for _, r := range m.Records {
		s.take(store.Record(r))
	}
}

// errNotAJob says that a notice is about another record than a job's.
var errNotAJob = errors.New("record is not a job's")

// decode reads a message, all of whose records must be of jobs.
func decode(body []byte) (wireMessage, error) {
	m, err := ledger.Decode[wireMessage]("notice", body)
	if err != nil {
		return m, err
	}
	for _, r := range m.Records {
		if !strings.HasPrefix(r.Key, ledger.JobPrefix) || r.Revision == 0 {
			return m, errNotAJob
		}
	}

	return m, nil
}
