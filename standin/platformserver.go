package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
)

type platformHostRequest struct {
	Host fleet.HostName
}

type platformTasksRequest struct {
	Host  fleet.HostName
	Tasks []hostapi.TaskCall
}

type platformRenewAnswer struct {
	Gone []fleet.JobID
}

type platformTasksAnswer struct {
	Tasks []hostapi.TaskStatus
}

type platformErrorAnswer struct {
	Error  string
	Detail string
}

// platformErrors is the HTTP status and the wire name of each platform error.
var platformErrors = []struct {
	err    error
	status int
	name   string
}{
	{hostapi.ErrUnavailable, http.StatusServiceUnavailable, "Unavailable"},
	{hostapi.ErrRefused, http.StatusConflict, "Refused"},
	{hostapi.ErrFenced, http.StatusPreconditionFailed, "Fenced"},
	{hostapi.ErrNotFound, http.StatusNotFound, "NotFound"},
}

// ServeHTTP implements http.Handler with the protocol of package hostapi.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := p.Client()
	switch r.URL.Path {
	case "/v1/hosts":
		inv, err := c.Inventory(r.Context())
		writePlatformAnswer(w, inv, err)
	case "/v1/hosts/status":
		servePlatform(w, r, func(ctx context.Context, q platformHostRequest) (any, error) { return c.Status(ctx, q.Host) })
	case "/v1/hosts/drain":
		servePlatform(w, r, effect(c.Drain))
	case "/v1/hosts/cancel-drain":
		servePlatform(w, r, effect(c.CancelDrain))
	case "/v1/hosts/reboot":
		servePlatform(w, r, effect(c.Reboot))
	default:
		p.serveTasks(w, r, c)
	}
}

func (p *Platform) serveTasks(w http.ResponseWriter, r *http.Request, c *hostapi.Client) {
	switch r.URL.Path {
	case "/v1/tasks/start":
		servePlatform(w, r, effect(c.StartTask))
	case "/v1/tasks/renew":
		servePlatform(w, r, func(ctx context.Context, q platformTasksRequest) (any, error) {
			gone, err := c.RenewTasks(ctx, q.Host, q.Tasks)
			return platformRenewAnswer{Gone: gone}, err
		})
	case "/v1/tasks/status":
		servePlatform(w, r, func(ctx context.Context, q hostapi.TaskCall) (any, error) { return c.Task(ctx, q) })
	case "/v1/tasks/list":
		servePlatform(w, r, func(ctx context.Context, q platformHostRequest) (any, error) {
			all, err := c.Tasks(ctx, q.Host)
			return platformTasksAnswer{Tasks: all}, err
		})
	case "/v1/tasks/checkpoint":
		servePlatform(w, r, effect(c.Checkpoint))
	case "/v1/tasks/throttle":
		servePlatform(w, r, effect(c.Throttle))
	case "/v1/tasks/stop":
		servePlatform(w, r, effect(func(ctx context.Context, q platformTasksRequest) error { return c.StopTasks(ctx, q.Host, q.Tasks) }))
	default:
		http.NotFound(w, r)
	}
}

// effect adapts a call that returns only an error.
func effect[Q any](call func(context.Context, Q) error) func(context.Context, Q) (any, error) {
	return func(ctx context.Context, q Q) (any, error) { return struct{}{}, call(ctx, q) }
}

func servePlatform[Q any](w http.ResponseWriter, r *http.Request, call func(context.Context, Q) (any, error)) {
	var q Q
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}

	answer, err := call(r.Context(), q)
	writePlatformAnswer(w, answer, err)
}

// writePlatformAnswer writes a response. It aborts the connection for an unknown outcome, which simulates a lost response.
func writePlatformAnswer(w http.ResponseWriter, answer any, err error) {
	if errors.Is(err, hostapi.ErrOutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if err == nil {
		_ = json.NewEncoder(w).Encode(answer)
		return
	}

	for _, known := range platformErrors {
		if errors.Is(err, known.err) {
			w.WriteHeader(known.status)
			_ = json.NewEncoder(w).Encode(platformErrorAnswer{Error: known.name, Detail: err.Error()})

			return
		}
	}
	w.WriteHeader(http.StatusInternalServerError)
}
