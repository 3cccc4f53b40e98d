package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/platform"
)

// ErrRefused says that a peer did not take a message.
var ErrRefused = merry.Sentinel("relay: the peer refuses the message")

const (
	messageType = "application/cbor"
	// maxMessage bounds a message between entry hosts, in bytes: records of jobs are under 5 kB.
	maxMessage = 1 << 20
)

// Send sends a message to a peer and reads its answer into reply, unless that is nil.
func Send(ctx context.Context, to platform.Exchange, path string, timeout time.Duration, message, reply any) error {
	body, err := ledger.Encode(message)
	if err != nil {
		return err
	}
	resp, err := to(ctx, platform.Request{
		Method: http.MethodPost, Path: path, Body: body, Timeout: timeout, Header: http.Header{"Content-Type": {messageType}},
	})
	switch {
	case err != nil:
		return err
	case resp.Status != http.StatusOK:
		return merry.Prependf(ErrRefused, "%s: status %d", path, resp.Status)
	case reply == nil:
		return nil
	default:
		return ledger.DecodeInto(path, resp.Body, reply)
	}
}

// Receive reads a peer's message.
func Receive[T any](req *restful.Request, resp *restful.Response) (T, error) {
	body, err := io.ReadAll(http.MaxBytesReader(resp, req.Request.Body, maxMessage))
	if err != nil {
		var none T
		return none, merry.Prepend(err, "message not read to its end")
	}

	return ledger.Decode[T](req.Request.URL.Path, body)
}

// Answer answers a peer's message.
func Answer(resp *restful.Response, reply any) error {
	body, err := ledger.Encode(reply)
	if err != nil {
		return err
	}
	resp.Header().Set("Content-Type", messageType)
	_, err = resp.Write(body)

	return err
}
