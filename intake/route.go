package intake

import (
	"context"
	"net/http"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/work"
)

const (
	// maxRefusalAge is how old the configuration may be that refuses a request; below it, refusals share a read of the store.
	maxRefusalAge = 100 * time.Millisecond
	// maxConfigAge is how old the configuration may be that allows a request without an attempt to confirm it, for at most
	// confirmWait. If that fails, the request is allowed, so that states are known while the store is down.
	maxConfigAge = 2 * time.Second
	confirmWait  = 100 * time.Millisecond
	// maxConfigChangeWait is how long a request may wait for a newer configuration before it is answered with 503. Requests that arrive
	// meanwhile are answered by the older one, so that a host which answered by the newer one would seem to go back.
	maxConfigChangeWait = 200 * time.Millisecond
)

// request is an HTTP request with the queue and workspace that the configuration gives it.
type request struct {
	*http.Request
	router *Router
	queue  work.Queue
	// workspace is charged for the submitted job; empty on an open queue.
	workspace fleet.WorkspaceName
	// caller is the workspace of the API key in the request, also on an open queue.
	caller fleet.WorkspaceName
	id     fleet.JobID
	// decoding has room for the bodies that may be decoded at once; nil sets no bound.
	decoding chan struct{}
}

// canAccess reports whether the caller may access a job. A job submitted to an open queue belongs to no workspace and is
// accessible to every caller.
func (r *request) canAccess(j work.Job) bool {
	return j.Workspace == "" || j.Workspace == r.caller
}

// route finds the queue and the workspace of a request, and returns the path after the queue's prefix or a refusal. A refusal is
// confirmed first: the queue or the key may have been added since the configuration was read.
func (h *Handler) route(ctx context.Context, r *request) (string, *response) {
	began := time.Now()
	waiting, cancel := context.WithTimeout(ctx, confirmWait)
	h.confirm(waiting, maxConfigAge)
	cancel()
	r.router = h.router.Load()
	rest, refusal := r.resolve()
	if refusal == nil {
		return rest, nil
	}
	older := r.router
	if !h.confirm(ctx, maxRefusalAge) {
		unavailable := unavailableResponse("the configuration can't be confirmed")
		return "", &unavailable
	}
	r.router = h.router.Load()
	if r.router != older && time.Since(began) > maxConfigChangeWait {
		unavailable := unavailableResponse("the configuration has changed meanwhile")
		return "", &unavailable
	}

	return r.resolve()
}

// resolve finds the queue and the workspace in the configuration of the request.
func (r *request) resolve() (string, *response) {
	queue, rest, ok := r.router.Queue(r.Host, r.URL.Path)
	if !ok {
		refusal := errorResponse(http.StatusNotFound, "no such queue")
		return "", &refusal
	}
	r.queue = queue
	workspace, known := r.router.Workspace(r.Header.Get(platform.HeaderKey))
	r.caller, r.workspace = workspace, ""
	if queue.Open {
		return rest, nil
	}
	if !known {
		refusal := errorResponse(http.StatusUnauthorized, "unknown key")
		return "", &refusal
	}
	r.workspace = workspace

	return rest, nil
}
