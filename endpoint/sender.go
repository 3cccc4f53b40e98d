package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
)

const (
	dialTimeout = time.Second
	// headerRequestID carries the caller's request ID.
	headerRequestID = "X-Request-Id"
)

// Request is one request of a caller, on its way to an endpoint.
type Request struct {
	ID   string
	Body io.Reader
	// Length is the size of the body in bytes, or -1 if unknown.
	Length int64
}

// Answer is the endpoint's answer; Body must be read to its end and closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Sender sends requests to endpoints.
type Sender struct {
	client *http.Client
}

// NewSender returns a sender.
func NewSender() *Sender {
	dialer := &net.Dialer{Timeout: dialTimeout}

	return &Sender{client: &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Send sends the request once; a failed dial is a NotRunError, any later failure an UnknownError.
func (s *Sender) Send(ctx context.Context, e fleet.Endpoint, req Request) (Answer, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address.String()+"/", req.Body)
	if err != nil {
		return Answer{}, refusal.Refuse(refusal.RequestInvalid, "endpoint %s: %v", e.Name, err)
	}
	r.ContentLength = req.Length
	r.Header.Set(headerRequestID, req.ID)

	resp, err := s.client.Do(r) //nolint:bodyclose // The caller of Send closes the body of the answer.
	if err != nil {
		return Answer{}, sendError(e, err)
	}

	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

func sendError(e fleet.Endpoint, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return refusal.Refuse(refusal.NoEndpoint, "endpoint %s: %v", e.Name, err)
	}

	return refusal.Uncertain(refusal.OutcomeUnknown, "endpoint %s: %v", e.Name, err)
}
