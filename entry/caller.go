package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/admission"
	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
)

// outcome is how a claimed request ended.
type outcome string

const (
	// outcomeNotRun says that no byte left, so that the request ID may be used again.
	outcomeNotRun outcome = "NotRun"
	// outcomeDone says that the caller was given the whole answer.
	outcomeDone outcome = "Done"
	// outcomeUnknown says that the request may have run.
	outcomeUnknown outcome = "Unknown"
)

// claimFunc claims a request ID for a team before its first byte leaves, so that it runs at most once over all entry
// hosts; settle is called once with how it ended. The error is a NotRunError, or an UnknownError for an ID that
// another request has claimed.
type claimFunc func(ctx context.Context, team fleet.TeamName, id string) (settle func(outcome), err error)

// callerAPI serves the callers' interface.
type callerAPI struct {
	gate   *admission.Gate
	sender *endpoint.Sender
	log    *log.Logger
	// longest bounds the time that a caller may give a request.
	longest time.Duration
	// claim is a seam; nil claims nothing.
	claim claimFunc
}

func (a *callerAPI) handler() http.Handler {
	ws := new(restful.WebService)
	ws.Path("/v1/queues")
	ws.Route(ws.POST("/{queue}/work").To(a.work).AllowedMethodsWithoutContentType([]string{http.MethodPost}))

	c := restful.NewContainer()
	// net/http must see the panic that aborts a connection whose answer was cut.
	c.DoNotRecover(true)
	c.Add(ws)

	return c
}

// work runs one request and answers with the endpoint's whole answer.
func (a *callerAPI) work(r *restful.Request, w *restful.Response) {
	c, err := parseCall(r.Request, r.PathParameter("queue"), a.longest)
	w.Header().Set(headerRequestID, c.id)
	if err != nil {
		writeError(w, err)
		return
	}
	defer c.body.release()
	if r.Request.Body != http.NoBody {
		// An upload that stalls is bounded by the caller's deadline like all else. Without a body the server already watches
		// the connection, and would take the end of the deadline for the caller leaving.
		_ = http.NewResponseController(w.ResponseWriter).SetReadDeadline(c.deadline)
	}
	if err := c.body.read(w, r.Request); err != nil {
		writeError(w, err)
		return
	}

	ctx, cancel := context.WithDeadline(r.Request.Context(), c.deadline)
	defer cancel()
	grant, err := a.gate.Admit(ctx, c.admission())
	if err != nil {
		writeError(w, err)
		return
	}
	settle, err := a.claimed(ctx, grant, c)
	if err != nil {
		grant.Release()
		writeError(w, err)

		return
	}
	answer, err := a.sender.Send(ctx, grant.Slot(), c.request(grant))
	if err != nil {
		a.end(grant, settle, c, err)
		writeError(w, err)

		return
	}

	err = copyAnswer(w, answer)
	_ = answer.Body.Close()
	a.end(grant, settle, c, err)
	if err != nil {
		// A body that is cut short cuts the caller's connection, so that it can't pass for whole.
		panic(http.ErrAbortHandler)
	}
}

// claimed claims the ID of a request that must not run twice.
func (a *callerAPI) claimed(ctx context.Context, g admission.Grant, c call) (func(outcome), error) {
	if a.claim == nil || c.idempotent {
		return func(outcome) {}, nil
	}

	return a.claim(ctx, g.Team().Name, c.id)
}

// end gives the grant back as soon as the request has surely ended: at once after a whole answer or when no byte left,
// else at the caller's deadline, which the endpoint was told.
func (a *callerAPI) end(g admission.Grant, settle func(outcome), c call, err error) {
	var notRun *refusal.NotRunError
	switch {
	case err == nil:
		settle(outcomeDone)
		g.Done()
	case errors.As(err, &notRun):
		settle(outcomeNotRun)
		g.Release()
	default:
		settle(outcomeUnknown)
		g.Hold(c.deadline.Add(endGrace))
		a.log.Warn("outcome unknown", "request", c.id, "team", g.Team().Name, "endpoint", g.Slot().Endpoint().Name, "err", err)
	}
}

// endGrace is added to the caller's deadline for the endpoint to end the work.
const endGrace = time.Second
