package relay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/emicklei/go-restful/v3"
	"github.com/fxamacker/cbor/v2"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/platform"
)

// ErrRejected means that a peer answered a message with a status other than OK.
var ErrRejected = merry.Sentinel("relay: peer rejected the message")

const (
	messageContentType = "application/cbor"
	// maxMessageBytes limits the size of a message between entry hosts; records of jobs are under 5 kB.
	maxMessageBytes = 1 << 20
)

// Send sends a message to a peer and decodes the response into reply, unless reply is nil.
func Send(ctx context.Context, to platform.Exchange, path string, timeout time.Duration, message, reply any) error {
	body, err := ledger.Encode(message)
	if err != nil {
		return err
	}
	resp, err := to(ctx, platform.Request{
		Method: http.MethodPost, Path: path, Body: body, Timeout: timeout, Header: http.Header{"Content-Type": {messageContentType}},
	})
	switch {
	case err != nil:
		return err
	case resp.Status != http.StatusOK:
		return merry.Prependf(ErrRejected, "%s: status %d", path, resp.Status)
	case reply == nil:
		return nil
	default:
		return ledger.DecodeInto(path, resp.Body, reply)
	}
}

// maxElements limits the elements of a list in a message; the longest list has 256. Without it, a message of many small elements
// takes tens of times its size when it is decoded.
const maxElements = 1024

var decodeMode = sync.OnceValues(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode)

// Receive reads and decodes a message from a peer.
func Receive[T any](req *restful.Request, resp *restful.Response) (T, error) {
	var message T
	body, err := io.ReadAll(http.MaxBytesReader(resp, req.Request.Body, maxMessageBytes))
	if err != nil {
		return message, merry.Prepend(err, "read message")
	}
	mode, err := decodeMode()
	if err != nil {
		return message, err
	}
	if err := mode.Unmarshal(body, &message); err != nil {
		return message, merry.Prependf(ledger.ErrMalformed, "%s: %v", req.Request.URL.Path, err)
	}

	return message, nil
}

// Respond writes the response to a message from a peer.
func Respond(resp *restful.Response, reply any) error {
	body, err := ledger.Encode(reply)
	if err != nil {
		return err
	}
	resp.Header().Set("Content-Type", messageContentType)
	_, err = resp.Write(body)

	return err
}
