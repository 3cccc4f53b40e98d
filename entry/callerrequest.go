package entry

import (
	"bytes"
	"errors"
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
	"lycheehook.example/lycheehook/ingress"
	"lycheehook.example/lycheehook/refusal"
)

// Headers of the caller API.
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
	// maxBufferedBody is the size in bytes up to which a body is read completely before the request is admitted, so that
	// a slow upload holds no slot and the request can be sent again if no byte was sent.
	maxBufferedBody = 64 << 10
	uuidVersion     = 7
)

// call is a caller's request.
type call struct {
	id string
	// hasCallerID reports whether the caller gave the ID, and so may repeat the request under it.
	hasCallerID bool
	queue       fleet.QueueName
	secret      string
	deadline    time.Time
	idempotent  bool
	size        fleet.Resources
	header      http.Header
	body        *callBody
}

// callBody is the body of a request: buffered if it is small, otherwise streamed.
type callBody struct {
	buffered *bytes.Buffer
	stream   io.Reader
	length   int64
}

var bodyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// parseCall parses the headers of a request; the error is a NotRunError.
func parseCall(r *http.Request, queue string, maxRequestTime time.Duration) (call, error) {
	c := call{queue: fleet.QueueName(queue), header: r.Header, body: &callBody{length: r.ContentLength}}
	var err error
	if c.id, err = parseID(r.Header.Get(headerRequestID)); err != nil {
		return c, err
	}
	c.hasCallerID = r.Header.Get(headerRequestID) != ""
	c.secret, _ = strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	timeout, err := parseTimeout(r.Header.Get(headerTimeout), maxRequestTime)
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

// parseID returns the caller's request ID, or a new ID if text is empty.
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

// parseTimeout returns the timeout that the caller asks for, which must be at most maxRequestTime, or a default.
func parseTimeout(text string, maxRequestTime time.Duration) (time.Duration, error) {
	if text == "" {
		return min(defaultTimeout, maxRequestTime), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxRequestTime {
		return 0, refusal.Refuse(refusal.RequestInvalid, "%s %q is not a duration up to %v", headerTimeout, text, maxRequestTime)
	}

	return d, nil
}

// parseSize parses the size headers: slots, thousandths of a core, mebibytes of memory and accelerators.
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

// readBody reads a small body within the caller's deadline. After a complete body the read deadline of the connection is
// cleared, because net/http would take its expiry while the request runs for a disconnected caller. Otherwise a
// deadline stays set, because net/http reads the rest of a body before it answers.
func (c call) readBody(w http.ResponseWriter, r *http.Request) error {
	if r.Body == http.NoBody {
		// The server already reads from the connection and would take an expired deadline for a disconnected caller.
		return c.body.read(w, r)
	}

	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(c.deadline)
	err := c.body.read(w, r)
	switch {
	case err != nil:
	case c.body.stream != nil:
		_ = rc.SetReadDeadline(c.deadline.Add(deadlineGrace))
	default:
		_ = rc.SetReadDeadline(time.Time{})
	}

	return err
}

// read buffers a small body; the error is a NotRunError, because nothing was sent yet.
func (b *callBody) read(w http.ResponseWriter, r *http.Request) error {
	body := http.MaxBytesReader(w, r.Body, maxBodySize)
	if b.length > maxBufferedBody {
		b.stream = body
		return nil
	}
	b.buffered, _ = bodyBuffers.Get().(*bytes.Buffer)
	b.buffered.Reset()
	n, err := b.buffered.ReadFrom(io.LimitReader(body, maxBufferedBody+1))
	switch {
	case errors.Is(err, ingress.ErrStopping):
		return stopping()
	case ingress.IsRefused(err):
		return overloaded()
	case err != nil && r.Context().Err() != nil:
		return refusal.Refuse(refusal.Cancelled, "the caller ended its body early: %v", err)
	case err != nil:
		return refusal.Refuse(refusal.RequestInvalid, "the body could not be read: %v", err)
	case n > maxBufferedBody:
		b.stream = io.MultiReader(bytes.NewReader(b.buffered.Bytes()), body)
	}

	return nil
}

// release returns the buffer to the pool, unless the body is streamed: a write to the endpoint may then still read from
// the buffer.
func (b *callBody) release() {
	if b.buffered != nil && b.stream == nil {
		bodyBuffers.Put(b.buffered)
		b.buffered = nil
	}
}

// releaseUnsent returns the buffer of a streamed body of which nothing was sent. A flood of such bodies would otherwise leave its
// buffers to the garbage collector.
func (b *callBody) releaseUnsent() {
	b.stream = nil
	b.release()
}

func (c call) admission() admission.Request {
	return admission.Request{Secret: c.secret, Queue: c.queue, Size: c.size, Idempotent: c.idempotent}
}

// request returns the request to the endpoint, without the caller's key and the headers that only lycheehook reads.
func (c call) request(g admission.Grant) endpoint.Request {
	req := endpoint.Request{
		ID: c.id, Idempotent: c.idempotent,
		Header:      endpoint.EndToEnd(c.header, "Authorization", headerRequestID, headerTimeout, headerIdempotent, "Expect"),
		BeforeRetry: func(earlier endpoint.Slot) bool { return g.AcquireRepeat(earlier, c.deadline.Add(deadlineGrace)) },
	}
	if c.body.stream != nil {
		req.Stream, req.Length = c.body.stream, c.body.length
	} else {
		req.Content = c.body.buffered.Bytes()
	}

	return req
}
