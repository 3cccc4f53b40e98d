package hostapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/connection"
	"lycheehook.example/lycheehook/fleet"
)

// Paths of the platform's API.
const (
	pathHosts       = "/v1/hosts"
	pathStatus      = "/v1/hosts/status"
	pathDrain       = "/v1/hosts/drain"
	pathCancelDrain = "/v1/hosts/cancel-drain"
	pathReboot      = "/v1/hosts/reboot"
	pathStart       = "/v1/tasks/start"
	pathRenew       = "/v1/tasks/renew"
	pathTask        = "/v1/tasks/status"
	pathTasks       = "/v1/tasks/list"
	pathCheckpoint  = "/v1/tasks/checkpoint"
	pathThrottle    = "/v1/tasks/throttle"
	pathStop        = "/v1/tasks/stop"
)

const (
	dialTimeout = time.Second
	// maxResponseSize is the maximum size of a response body, in bytes.
	maxResponseSize = 64 << 20
	idleConns       = 16
)

type hostRequest struct {
	Host fleet.HostName
}

type tasksRequest struct {
	Host  fleet.HostName
	Tasks []TaskCall
}

type renewResponse struct {
	Gone []fleet.JobID
}

type tasksResponse struct {
	Tasks []TaskStatus
}

type errorResponse struct {
	Error  string
	Detail string
}

// wireErrors maps error codes of the platform's API to sentinel errors.
var wireErrors = map[string]error{
	"Unavailable": ErrUnavailable,
	"Refused":     ErrRefused,
	"Fenced":      ErrFenced,
	"NotFound":    ErrNotFound,
}

type apiClient struct {
	base    string
	timeout time.Duration
	client  *http.Client
}

// Dial returns a client of the platform at addr; timeout applies to each call. It doesn't connect until the first call.
func Dial(addr netip.AddrPort, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &apiClient{
		base:    "http://" + addr.String(),
		timeout: timeout,
		client:  &http.Client{Transport: connection.NewPool(dialer.DialContext, idleConns, time.Minute)},
	}

	return &Client{
		Inventory:   c.inventory,
		Status:      c.status,
		Drain:       func(ctx context.Context, q HostCall) error { return c.post(ctx, pathDrain, q, nil) },
		CancelDrain: func(ctx context.Context, q HostCall) error { return c.post(ctx, pathCancelDrain, q, nil) },
		Reboot:      func(ctx context.Context, q HostCall) error { return c.post(ctx, pathReboot, q, nil) },
		StartTask:   func(ctx context.Context, q TaskStart) error { return c.post(ctx, pathStart, q, nil) },
		RenewTasks:  c.renew,
		Task:        c.task,
		Tasks:       c.tasks,
		Checkpoint:  func(ctx context.Context, q TaskCall) error { return c.post(ctx, pathCheckpoint, q, nil) },
		Throttle:    func(ctx context.Context, q ThrottleCall) error { return c.post(ctx, pathThrottle, q, nil) },
		StopTasks: func(ctx context.Context, h fleet.HostName, t []TaskCall) error {
			return c.post(ctx, pathStop, tasksRequest{Host: h, Tasks: t}, nil)
		},
	}
}

func (c *apiClient) inventory(ctx context.Context) (Inventory, error) {
	var inv Inventory
	err := c.call(ctx, http.MethodGet, pathHosts, nil, &inv)

	return inv, readError(err)
}

func (c *apiClient) status(ctx context.Context, h fleet.HostName) (HostStatus, error) {
	var s HostStatus
	err := c.post(ctx, pathStatus, hostRequest{Host: h}, &s)

	return s, readError(err)
}

func (c *apiClient) renew(ctx context.Context, h fleet.HostName, tasks []TaskCall) ([]fleet.JobID, error) {
	var a renewResponse
	err := c.post(ctx, pathRenew, tasksRequest{Host: h, Tasks: tasks}, &a)

	return a.Gone, err
}

func (c *apiClient) task(ctx context.Context, q TaskCall) (TaskStatus, error) {
	var s TaskStatus
	err := c.post(ctx, pathTask, q, &s)

	return s, readError(err)
}

func (c *apiClient) tasks(ctx context.Context, h fleet.HostName) ([]TaskStatus, error) {
	var a tasksResponse
	err := c.post(ctx, pathTasks, hostRequest{Host: h}, &a)

	return a.Tasks, readError(err)
}

// readError maps ErrOutcomeUnknown to ErrUnavailable, because a read has no side effects.
func readError(err error) error {
	if errors.Is(err, ErrOutcomeUnknown) {
		return merry.Prepend(ErrUnavailable, err.Error())
	}

	return err
}

func (c *apiClient) post(ctx context.Context, path string, req, response any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return merry.Prependf(err, "encode %s", path)
	}

	return c.call(ctx, http.MethodPost, path, body, response)
}

// call sends one request. It returns ErrUnavailable if the connection failed, so that nothing was sent, and ErrOutcomeUnknown for later failures.
func (c *apiClient) call(ctx context.Context, method, path string, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return merry.Prependf(err, "request %s", path)
	}

	resp, err := c.client.Do(r)
	if err != nil {
		return merry.Prependf(sendError(err), "%s: %v", path, err)
	}
	defer func() { _ = resp.Body.Close() }()

	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
	if err != nil {
		return merry.Prependf(ErrOutcomeUnknown, "%s: read response: %v", path, err)
	}

	return decodeResponse(path, resp.StatusCode, data, response)
}

// sendError returns ErrUnavailable for a failed dial, after which the request can't have been sent, and ErrOutcomeUnknown otherwise.
func sendError(err error) error {
	if connection.DialFailed(err) {
		return ErrUnavailable
	}

	return ErrOutcomeUnknown
}

func decodeResponse(path string, status int, data []byte, response any) error {
	if status == http.StatusOK {
		if response == nil {
			return nil
		}
		if err := json.Unmarshal(data, response); err != nil {
			return merry.Prependf(ErrOutcomeUnknown, "%s: decode response: %v", path, err)
		}

		return nil
	}

	var e errorResponse
	if err := json.Unmarshal(data, &e); err == nil {
		if known, ok := wireErrors[e.Error]; ok {
			return merry.Prependf(known, "%s: %s", path, e.Detail)
		}
	}

	return merry.Prependf(ErrOutcomeUnknown, "%s: status %d", path, status)
}
