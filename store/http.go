package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/connection"
)

// Paths of the key-value service.
const (
	pathGet            = "/v1/kv/get"
	pathList           = "/v1/kv/list"
	pathCompareAndSwap = "/v1/kv/compare-and-swap"
	pathWatch          = "/v1/kv/watch"
	pathGrant          = "/v1/kv/lease/grant"
	pathKeepAlive      = "/v1/kv/lease/keep-alive"
	pathRevoke         = "/v1/kv/lease/revoke"
)

const (
	dialTimeout = time.Second
	// maxIdleConns is the maximum number of idle connections that are kept.
	maxIdleConns = 16
	// maxResponseSize bounds the body of a response, in bytes.
	maxResponseSize = 64 << 20
	// watchGrace is how long a watch may take beyond the wait that it requests and the timeout of a call.
	watchGrace = time.Second
)

type keyRequest struct {
	Key    string `json:",omitempty"`
	Prefix string `json:",omitempty"`
}

type watchRequest struct {
	Prefix   string
	After    uint64
	WaitTime string
}

type leaseRequest struct {
	ID  LeaseID `json:",omitempty"`
	TTL string  `json:",omitempty"`
}

type leaseResponse struct {
	ID LeaseID
}

type swapResponse struct {
	Revision uint64
}

type errorResponse struct {
	Error string
}

// wireErrors maps the error names of the service to sentinel errors.
var wireErrors = map[string]error{
	"NotFound":    ErrNotFound,
	"Conflict":    ErrConflict,
	"LeaseLapsed": ErrLeaseLapsed,
	"TooLarge":    ErrTooLarge,
	"Compacted":   ErrCompacted,
	"Unavailable": ErrUnavailable,
}

// httpClient implements the calls of Client by requests to one address of the service.
type httpClient struct {
	base    string
	timeout time.Duration
	client  *http.Client
}

// Dial returns a client of the service at addr, without Commit, in which each call except a watch takes at most timeout.
func Dial(addr netip.AddrPort, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &httpClient{
		base:    "http://" + addr.String(),
		timeout: timeout,
		client:  &http.Client{Transport: connection.NewPool(dialer.DialContext, maxIdleConns, time.Minute)},
	}

	return &Client{
		Get:            c.get,
		List:           c.list,
		CompareAndSwap: c.compareAndSwap,
		Watch:          c.watch,
		Grant:          c.grant,
		KeepAlive:      c.keepAlive,
		Revoke:         c.revoke,
	}
}

func (c *httpClient) get(ctx context.Context, key string) (Record, error) {
	var r Record
	err := c.call(ctx, pathGet, c.timeout, keyRequest{Key: key}, &r)

	return r, ReadError(err)
}

func (c *httpClient) list(ctx context.Context, prefix string) (Listing, error) {
	var l Listing
	err := c.call(ctx, pathList, c.timeout, keyRequest{Prefix: prefix}, &l)

	return l, ReadError(err)
}

func (c *httpClient) compareAndSwap(ctx context.Context, w Write) (uint64, error) {
	if len(w.Value) > MaxValueSize {
		return 0, merry.Prependf(ErrTooLarge, "write %s of %d bytes", w.Key, len(w.Value))
	}

	var a swapResponse
	err := c.call(ctx, pathCompareAndSwap, c.timeout, w, &a)

	return a.Revision, err
}

func (c *httpClient) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Events, error) {
	var ev Events
	req := watchRequest{Prefix: prefix, After: after, WaitTime: wait.String()}
	err := c.call(ctx, pathWatch, wait+c.timeout+watchGrace, req, &ev)

	return ev, ReadError(err)
}

func (c *httpClient) grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	var a leaseResponse
	err := c.call(ctx, pathGrant, c.timeout, leaseRequest{TTL: ttl.String()}, &a)

	return Lease{ID: a.ID, TTL: ttl}, err
}

func (c *httpClient) keepAlive(ctx context.Context, id LeaseID) error {
	return c.call(ctx, pathKeepAlive, c.timeout, leaseRequest{ID: id}, &struct{}{})
}

func (c *httpClient) revoke(ctx context.Context, id LeaseID) error {
	return c.call(ctx, pathRevoke, c.timeout, leaseRequest{ID: id}, &struct{}{})
}

// call posts one request; a failure before anything was sent is ErrUnavailable, and any later one ErrOutcomeUnknown.
func (c *httpClient) call(ctx context.Context, path string, timeout time.Duration, req, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	body, err := json.Marshal(req)
	if err != nil {
		return merry.Prependf(err, "encode %s", path)
	}

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
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
		return merry.Prependf(ErrOutcomeUnknown, "%s: read answer: %v", path, err)
	}

	return decodeResponse(path, resp.StatusCode, data, out)
}

// sendError returns ErrUnavailable for a failed dial, after which the service can't have received anything, and otherwise
// ErrOutcomeUnknown.
func sendError(err error) error {
	if connection.DialFailed(err) {
		return ErrUnavailable
	}

	return ErrOutcomeUnknown
}

func decodeResponse(path string, status int, data []byte, out any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(data, out); err != nil {
			return merry.Prependf(ErrOutcomeUnknown, "%s: decode answer: %v", path, err)
		}

		return nil
	}

	var e errorResponse
	if err := json.Unmarshal(data, &e); err == nil {
		if sentinel, ok := wireErrors[e.Error]; ok {
			return merry.Prepend(sentinel, path)
		}
	}

	return merry.Prependf(ErrOutcomeUnknown, "%s: status %d", path, status)
}
