package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"

	"lycheehook.example/lycheehook/admission"
	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
)

const (
	headerRequestID = "Request-Id"
	bearerPrefix    = "Bearer "
)

// refusalAnswer is the JSON form of a refusal or an unknown outcome.
type refusalAnswer struct {
	Code       refusal.Code
	Reason     string
	NotRun     bool
	RetryAfter fleet.Duration `json:",omitzero"`
}

// callerAPI serves the callers' interface.
type callerAPI struct {
	gate   *admission.Gate
	sender *endpoint.Sender
	log    *log.Logger
}

func (a *callerAPI) handler() http.Handler {
	ws := new(restful.WebService)
	ws.Path("/v1/queues")
	ws.Route(ws.POST("/{queue}/work").To(a.work).AllowedMethodsWithoutContentType([]string{http.MethodPost}))

	c := restful.NewContainer()
	c.Add(ws)

	return c
}

// work runs one request and answers with the endpoint's whole answer.
func (a *callerAPI) work(r *restful.Request, w *restful.Response) {
	grant, err := a.gate.Admit(admission.Request{
		Secret: strings.TrimPrefix(r.HeaderParameter("Authorization"), bearerPrefix),
		Queue:  fleet.QueueName(r.PathParameter("queue")),
		Size:   fleet.Resources{Slots: 1},
	}, time.Now())
	if err != nil {
		writeError(w, err)
		return
	}
	defer grant.Release()

	id := r.HeaderParameter(headerRequestID)
	if id == "" {
		id = uuid.Must(uuid.NewV7()).String()
	}
	answer, err := a.sender.Send(r.Request.Context(), grant.Slot.Endpoint, endpoint.Request{
		ID: id, Body: r.Request.Body, Length: r.Request.ContentLength,
	})
	if err != nil {
		writeError(w, err)
		return
	}
	defer func() { _ = answer.Body.Close() }()

	copyAnswer(w, answer)
}

// copyAnswer streams the answer; a body that is cut short cuts the caller's connection, so that it can't pass for whole.
func copyAnswer(w http.ResponseWriter, a endpoint.Answer) {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.Status)
	if _, err := io.Copy(w, a.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func writeError(w http.ResponseWriter, err error) {
	var notRun *refusal.NotRunError
	if errors.As(err, &notRun) {
		if notRun.RetryAfter > 0 {
			seconds := int(notRun.RetryAfter.Round(time.Second) / time.Second)
			w.Header().Set("Retry-After", strconv.Itoa(max(seconds, 1)))
		}
		writeJSON(w, statusOf(notRun.Code), refusalAnswer{
			Code: notRun.Code, Reason: notRun.Reason, NotRun: true, RetryAfter: fleet.Duration(notRun.RetryAfter),
		})

		return
	}

	var unknown *refusal.UnknownError
	if errors.As(err, &unknown) {
		writeJSON(w, http.StatusBadGateway, refusalAnswer{Code: unknown.Code, Reason: unknown.Reason})
		return
	}

	writeJSON(w, http.StatusInternalServerError, refusalAnswer{Code: refusal.OutcomeUnknown, Reason: err.Error()})
}

func statusOf(c refusal.Code) int {
	switch c {
	case refusal.KeyMissing, refusal.KeyUnknown:
		return http.StatusUnauthorized
	case refusal.RequestInvalid:
		return http.StatusBadRequest
	case refusal.RequestTooLarge:
		return http.StatusRequestEntityTooLarge
	case refusal.PlanForbids:
		return http.StatusForbidden
	case refusal.QueueUnknown:
		return http.StatusNotFound
	case refusal.UpperLimit, refusal.QueueFull:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
