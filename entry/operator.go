package entry

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/plan"
	"lycheehook.example/lycheehook/revision"
)

// maxListSize bounds a list in a request, in bytes.
const maxListSize = 8 << 20

type listsDocument struct {
	Base  uint64
	Lists plan.Lists
}

type acceptedAnswer struct {
	Revision uint64
}

type giveKeyRequest struct {
	Team fleet.TeamName
}

type giveKeyAnswer struct {
	ID       key.ID
	Secret   string
	Revision uint64
}

type operatorError struct {
	Error string
}

// operatorAPI serves the operators' interface.
type operatorAPI struct {
	book  *revision.Book
	token string
}

func (a *operatorAPI) handler() http.Handler {
	ws := new(restful.WebService)
	ws.Path("/v1").Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	ws.Filter(a.authenticate)
	ws.Route(ws.GET("/lists").To(a.getLists))
	ws.Route(ws.PUT("/lists").To(a.putLists))
	ws.Route(ws.POST("/keys").To(a.giveKey))
	ws.Route(ws.DELETE("/keys/{id}").To(a.withdrawKey))

	c := restful.NewContainer()
	c.Add(ws)

	return c
}

func (a *operatorAPI) authenticate(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	presented := strings.TrimPrefix(r.HeaderParameter("Authorization"), bearerPrefix)
	if subtle.ConstantTimeCompare([]byte(presented), []byte(a.token)) != 1 || a.token == "" {
		writeJSON(w, http.StatusUnauthorized, operatorError{Error: "operator token missing or wrong"})
		return
	}

	chain.ProcessFilter(r, w)
}

func (a *operatorAPI) getLists(_ *restful.Request, w *restful.Response) {
	cur := a.book.Current()
	writeJSON(w, http.StatusOK, listsDocument{Base: cur.Number, Lists: cur.Lists})
}

func (a *operatorAPI) putLists(r *restful.Request, w *restful.Response) {
	var doc listsDocument
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Request.Body, maxListSize))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&doc); err != nil {
		writeJSON(w, http.StatusBadRequest, operatorError{Error: err.Error()})
		return
	}

	next, err := a.book.Apply(r.Request.Context(), func(cur revision.Revision) (revision.Revision, error) {
		if cur.Number != doc.Base {
			return cur, revision.ErrStale
		}

		return cur.WithLists(doc.Lists), nil
	})
	a.answer(w, err, acceptedAnswer{Revision: next.Number})
}

func (a *operatorAPI) giveKey(r *restful.Request, w *restful.Response) {
	var req giveKeyRequest
	if err := r.ReadEntity(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, operatorError{Error: err.Error()})
		return
	}

	k, secret := key.Give(req.Team, time.Now())
	next, err := a.book.Apply(r.Request.Context(), func(cur revision.Revision) (revision.Revision, error) {
		return cur.WithKeys(cur.Keys.With(k)), nil
	})
	a.answer(w, err, giveKeyAnswer{ID: k.ID, Secret: secret, Revision: next.Number})
}

func (a *operatorAPI) withdrawKey(r *restful.Request, w *restful.Response) {
	next, err := a.book.Apply(r.Request.Context(), func(cur revision.Revision) (revision.Revision, error) {
		return cur.WithKeys(cur.Keys.Without(key.ID(r.PathParameter("id")))), nil
	})
	a.answer(w, err, acceptedAnswer{Revision: next.Number})
}

func (a *operatorAPI) answer(w http.ResponseWriter, err error, ok any) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, ok)
	case errors.Is(err, revision.ErrStale):
		writeJSON(w, http.StatusConflict, operatorError{Error: err.Error()})
	case errors.Is(err, plan.ErrInvalid):
		writeJSON(w, http.StatusUnprocessableEntity, operatorError{Error: err.Error()})
	default:
		writeJSON(w, http.StatusServiceUnavailable, operatorError{Error: err.Error()})
	}
}
