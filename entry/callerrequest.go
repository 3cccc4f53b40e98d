package entry

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"lycheehook.example/lycheehook/admission"
	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
)

// Headers of the callers' interface.
const (
	headerRequestID    = "Request-Id"
	headerTimeout      = "Request-Timeout"
	headerIdempotent   = "Idempotent"
	headerSlots        = "Size-Slots"
	headerCores        = "Size-Cores"
	headerMemory       = "Size-Memory"
	headerAccelerators = "Size-Accelerators"
	bearerPrefix       = "Bearer "
)

const (
	defaultTimeout = time.Minute
	// maxBodySize bounds the body of a request in bytes.
	maxBodySize = 64 << 20
	// heldBodySize is the size in bytes up to which a body is read whole before the request is admitted, so that
	// a slow upload holds no slot and the request can be sent again when no byte left.
	heldBodySize = 64 << 10
	uuidVersion  = 7
)

// call is one request of a caller.
type call struct {
	id string
	// named says that the caller gave the ID, and may repeat the request under it.
	named      bool
	queue      fleet.QueueName
	secret     string
	deadline   time.Time
	idempotent bool
	size       fleet.Resources
	header     http.Header
	body       *callBody
}

// callBody is the caller's body: held whole if it is small, else a stream.
type callBody struct {
	held   *bytes.Buffer
	stream io.Reader
	length int64
}

var bodies = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// parseCall reads the head of a request; the error is a NotRunError.
func parseCall(r *http.Request, queue string, longest time.Duration) (call, error) {
	c := call{queue: fleet.QueueName(queue), header: r.Header, body: &callBody{length: r.ContentLength}}
	var err error
	if c.id, err = parseID(r.Header.Get(headerRequestID)); err != nil {
		return c, err
	}
	c.named = r.Header.Get(headerRequestID) != ""
	c.secret, _ = strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	timeout, err := parseTimeout(r.Header.Get(headerTimeout), longest)
	if err != nil {
		return c, err
	}
	c.deadline = time.Now().Add(timeout)
	if text := r.Header.Get(headerIdempotent); text != "" {
		if c.idempotent, err = strconv.ParseBool(text); err != nil {
			return c, refusal.Refuse(refusal.RequestInvalid, "%s %q is neither true nor false", headerIdempotent, text)
		}
	}
	c.size, err = parseSize(r.Header)
	if err == nil && r.ContentLength > maxBodySize {
		err = refusal.Refuse(refusal.RequestTooLarge, "body of %d bytes exceeds %d", r.ContentLength, maxBodySize)
	}

	return c, err
}

// parseID returns the caller's request ID, or a new one if there is none.
func parseID(text string) (string, error) {
	if text == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return "", refusal.Refuse(refusal.RequestInvalid, "no %s, and none can be made: %v", headerRequestID, err)
		}

		return id.String(), nil
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != uuidVersion {
		return "", refusal.Refuse(refusal.RequestInvalid, "%s %q is not a UUID of version 7", headerRequestID, text)
	}

	return id.String(), nil
}

// parseTimeout returns the caller's own limit, which must not be above the longest that a request may take here.
func parseTimeout(text string, longest time.Duration) (time.Duration, error) {
	if text == "" {
		return min(defaultTimeout, longest), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > longest {
		return 0, refusal.Refuse(refusal.RequestInvalid, "%s %q is not a duration up to %v", headerTimeout, text, longest)
	}

	return d, nil
}

// parseSize reads slots, thousandths of a core, mebibytes and accelerators.
func parseSize(h http.Header) (fleet.Resources, error) {
	size := [4]int64{1, 0, 0, 0}
	for i, name := range []string{headerSlots, headerCores, headerMemory, headerAccelerators} {
		text := h.Get(name)
		if text == "" {
			continue
		}
		n, err := strconv.ParseInt(text, 10, 32)
		if err != nil || n < 0 {
			return fleet.Resources{}, refusal.Refuse(refusal.RequestInvalid, "%s %q is not a count", name, text)
		}
		size[i] = n
	}

	return fleet.Resources{
		Slots: size[0], Cores: fleet.MilliCores(size[1]), Memory: fleet.Mebibytes(size[2]), Accelerators: size[3],
	}, nil
}

// readBody reads a small body within the caller's deadline. After a whole body the connection's own deadline is lifted
// again, because net/http would take it for the caller's going away while the request runs; otherwise it stays, because
// net/http reads what is left of a body before it answers.
func (c call) readBody(w http.ResponseWriter, r *http.Request) error {
	if r.Body == http.NoBody {
		// The server already watches the connection and would take the end of a deadline for the caller leaving.
		return c.body.read(w, r)
	}

	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(c.deadline)
	err := c.body.read(w, r)
	switch {
	case err != nil:
	case c.body.stream != nil:
		_ = rc.SetReadDeadline(c.deadline.Add(endGrace))
	default:
		_ = rc.SetReadDeadline(time.Time{})
	}

	return err
}

// read holds a small body whole; the error is a NotRunError, because nothing was sent yet.
func (b *callBody) read(w http.ResponseWriter, r *http.Request) error {
	body := http.MaxBytesReader(w, r.Body, maxBodySize)
	if b.length > heldBodySize {
		b.stream = body
		return nil
	}
	b.held, _ = bodies.Get().(*bytes.Buffer)
	b.held.Reset()
	n, err := b.held.ReadFrom(io.LimitReader(body, heldBodySize+1))
	switch {
	case err != nil && r.Context().Err() != nil:
		return refusal.Refuse(refusal.Cancelled, "the caller ended its body early: %v", err)
	case err != nil:
		return refusal.Refuse(refusal.RequestInvalid, "the body could not be read: %v", err)
	case n > heldBodySize:
		b.stream = io.MultiReader(bytes.NewReader(b.held.Bytes()), body)
	}

	return nil
}

// release returns the buffer of a held body; a stream may still be read by a write that goes on, so it keeps its own.
func (b *callBody) release() {
	if b.held != nil && b.stream == nil {
		bodies.Put(b.held)
		b.held = nil
	}
}

func (c call) admission() admission.Request {
	return admission.Request{Secret: c.secret, Queue: c.queue, Size: c.size, Idempotent: c.idempotent}
}

// request returns what is sent to the endpoint: no key and no header that is meant for lycheehook.
func (c call) request(g admission.Grant) endpoint.Request {
	req := endpoint.Request{
		ID: c.id, Idempotent: c.idempotent,
		Header: endpoint.EndToEnd(c.header, "Authorization", headerRequestID, headerTimeout, headerIdempotent, "Expect"),
		Again:  func(earlier endpoint.Slot) bool { return g.Again(earlier, c.deadline.Add(endGrace)) },
	}
	if c.body.stream != nil {
		req.Stream, req.Length = c.body.stream, c.body.length
	} else {
		req.Content = c.body.held.Bytes()
	}

	return req
}
