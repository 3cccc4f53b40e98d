package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/admission"
	"lycheehook.example/lycheehook/claim"
	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
)

// callerAPI serves the callers' interface.
type callerAPI struct {
	gate   *admission.Gate
	sender *endpoint.Sender
	log    *log.Logger
	// longest bounds the time that a caller may give a request.
	longest time.Duration
	// mayStart reports whether work that was admitted may still start; nil always lets it.
	mayStart func(now time.Time) bool
	// claim is a seam; nil claims nothing.
	claim claimFunc
	// keptAnswer is the size in bytes up to which an answer is kept for a caller that repeats its request.
	keptAnswer int
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
	if err := c.readBody(w.ResponseWriter, r.Request); err != nil {
		writeError(w, err)
		return
	}

	ctx, cancel := context.WithDeadline(r.Request.Context(), c.deadline)
	defer cancel()
	pending := &pendingClaim{api: a, call: c}
	request := c.admission()
	request.Waiting = func(t fleet.Team) { pending.begin(ctx, t) }
	grant, err := a.gate.Admit(ctx, request)
	if err != nil {
		cancel()
		pending.abandon()
		writeError(w, err)

		return
	}
	cl, err := pending.result(ctx, grant.Team())
	if err != nil {
		grant.Release()
		writeError(w, err)

		return
	}
	if cl.earlier != nil {
		grant.Release()
		writeEarlier(w, cl.earlier)

		return
	}
	outgoing := c.request(grant)
	outgoing.Ready = func() error { return a.ready(grant) }
	answer, err := a.sender.Send(ctx, grant.Slot(), outgoing)
	if err != nil {
		a.end(grant, cl, c, nil, err)
		writeError(w, err)

		return
	}

	kept := &keeper{ReadCloser: answer.Body, limit: a.keptAnswer}
	answer.Body = kept
	err = copyAnswer(w, answer)
	_ = answer.Body.Close()
	a.end(grant, cl, c, kept.answer(answer), err)
	if err != nil {
		// A body that is cut short cuts the caller's connection, so that it can't pass for whole.
		panic(http.ErrAbortHandler)
	}
}

// ready is asked right before the first byte leaves: the request may have waited for its claim, or the process been paused.
func (a *callerAPI) ready(g admission.Grant) error {
	if err := g.Recheck(); err != nil {
		return err
	}
	if a.mayStart != nil && g.Team().Name != "" && !a.mayStart(time.Now()) {
		return refusal.Refuse(refusal.NotFresh, "this entry host can no longer count on its part of the limits")
	}

	return nil
}

// end gives the grant back as soon as the request has surely ended: at once after a whole answer or when no byte left,
// else at the caller's deadline, which the endpoint was told.
func (a *callerAPI) end(g admission.Grant, cl claimed, c call, kept *claim.Answer, err error) {
	var notRun *refusal.NotRunError
	switch {
	case err == nil:
		cl.settle(outcomeDone, kept)
		g.Done()
	case errors.As(err, &notRun):
		cl.settle(outcomeNotRun, nil)
		g.Release()
	default:
		cl.settle(outcomeUnknown, nil)
		g.Hold(c.deadline.Add(endGrace))
		a.log.Warn("outcome unknown", "request", c.id, "team", g.Team().Name, "endpoint", g.Slot().Endpoint().Name, "err", err)
	}
}

// endGrace is added to the caller's deadline for the endpoint to end the work.
const endGrace = time.Second
