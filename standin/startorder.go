package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// pathStart is the path of the call that starts a run.
const pathStart = "/api/run-start"

// StartOrder is a start that a worker receives.
type StartOrder struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	request *http.Request
	body    []byte
}

// IsStart reports whether a request to a worker is a start.
func IsStart(r *http.Request) bool {
	return r.URL.Path == pathStart
}

// ReadStart reads a start, whose request must be passed on by Request from then on.
func ReadStart(r *http.Request) (StartOrder, error) {
	o := StartOrder{request: r}
	var err error
	if o.body, err = io.ReadAll(r.Body); err != nil {
		return o, err
	}

	return o, json.Unmarshal(o.body, &o)
}

// Request returns the request of the start, which may be passed on several times, with another context.
func (o StartOrder) Request(ctx context.Context) *http.Request {
	r := o.request.Clone(ctx)
	r.Body = io.NopCloser(bytes.NewReader(o.body))

	return r
}
