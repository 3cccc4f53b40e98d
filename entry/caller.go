package entry

import (
	"cmp"
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
	"lycheehook.example/lycheehook/ingress"
	"lycheehook.example/lycheehook/refusal"
)

// callerAPI serves the caller API.
type callerAPI struct {
	admission *admission.Controller
	sender    *endpoint.Sender
	log       *log.Logger
	// maxRequestTime bounds the timeout that a caller may set for a request.
	maxRequestTime time.Duration
	// mayStart reports whether admitted work may still start; if nil, it always may.
	mayStart func(now time.Time) bool
	// claim claims request IDs; if nil, none is claimed.
	claim claimFunc
	// maxKeptAnswer is the size in bytes up to which an answer is stored for a caller that repeats its request.
	maxKeptAnswer int
}

func (a *callerAPI) handler() http.Handler {
	ws := new(restful.WebService)
	ws.Path("/v1/queues")
	ws.Route(ws.POST("/{queue}/work").To(a.postWork).AllowedMethodsWithoutContentType([]string{http.MethodPost}))

	c := restful.NewContainer()
	// net/http must see the http.ErrAbortHandler panic that closes the connection after a truncated answer.
	c.DoNotRecover(true)
	c.Add(ws)

	return c
}

// postWork admits a request, sends it to an endpoint and forwards the endpoint's answer.
func (a *callerAPI) postWork(r *restful.Request, w *restful.Response) {
	c, err := parseCall(r.Request, r.PathParameter("queue"), a.maxRequestTime)
	w.Header().Set(headerRequestID, c.id)
	if err != nil {
		writeError(w, err)
		return
	}
	defer c.body.release()
	team, err := a.admission.Check(c.admission())
	if err != nil {
		writeError(w, err)
		return
	}
	// Callers of an open queue without a key share an account.
	ingress.SetAccount(r.Request.Context(), cmp.Or(string(team), string(c.queue)))
	if err := c.readBody(w.ResponseWriter, r.Request); err != nil {
		writeError(w, err)
		return
	}

	ctx, cancel := context.WithDeadline(r.Request.Context(), c.deadline)
	defer cancel()
	ingress.OnShed(ctx, cancel)
	pending := &pendingClaim{api: a, call: c}
	request := c.admission()
	request.Waiting = func(t fleet.Team) { pending.start(ctx, t) }
	grant, err := a.admission.Admit(ctx, request)
	if err != nil {
		cancel()
		pending.abandon()
		c.body.releaseUnsent()
		writeError(w, orGivenUp(ctx, err))

		return
	}
	cl, err := pending.result(ctx, grant.Team())
	if err != nil {
		grant.Release()
		writeError(w, orGivenUp(ctx, err))

		return
	}
	if cl.earlier != nil {
		grant.Release()
		writeRepeatedAnswer(w, cl.earlier)

		return
	}
	outgoing := c.request(grant)
	outgoing.BeforeSend = func() error {
		if err := a.recheck(grant); err != nil {
			return err
		}
		if !ingress.Commit(ctx) {
			return overloaded()
		}

		return nil
	}
	answer, err := a.sender.Send(ctx, grant.Slot(), outgoing)
	if err != nil {
		a.finish(grant, cl, c, nil, err)
		writeError(w, orGivenUp(ctx, err))

		return
	}

	recorder := &answerRecorder{ReadCloser: answer.Body, limit: a.maxKeptAnswer}
	answer.Body = recorder
	err = copyAnswer(w, answer)
	_ = answer.Body.Close()
	a.finish(grant, cl, c, recorder.answer(answer), err)
	if err != nil {
		// Abort the connection, so that the caller can't mistake a truncated answer for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// recheck returns an error if the request may no longer start. It is called right before the first byte is sent, because
// the request may have waited for its claim, or the process may have been paused.
func (a *callerAPI) recheck(g admission.Grant) error {
	if err := g.Recheck(); err != nil {
		return err
	}
	if a.mayStart != nil && g.Team().Name != "" && !a.mayStart(time.Now()) {
		return refusal.Refuse(refusal.NotFresh, "this entry host can no longer rely on its allocations of the limits")
	}

	return nil
}

// finish records the outcome of the claim and releases the grant once the request has certainly ended: immediately after a complete
// answer or if no byte was sent, otherwise a grace period after the caller's deadline, which the endpoint was told.
func (a *callerAPI) finish(g admission.Grant, cl claimed, c call, answer *claim.Answer, err error) {
	var notRun *refusal.NotRunError
	switch {
	case err == nil:
		cl.recordOutcome(outcomeDone, answer)
		g.Complete()
	case errors.As(err, &notRun):
		cl.recordOutcome(outcomeNotRun, nil)
		g.Release()
	default:
		cl.recordOutcome(outcomeUnknown, nil)
		// The slot may be released at once, and must not be read afterwards.
		e := g.Slot().Endpoint()
		g.ReleaseAt(c.deadline.Add(deadlineGrace))
		a.log.Warn("request outcome unknown", "request", c.id, "team", g.Team().Name, "endpoint", e.Name, "err", err)
	}
}

// deadlineGrace is the time after the caller's deadline that the endpoint has to end the work.
const deadlineGrace = time.Second
