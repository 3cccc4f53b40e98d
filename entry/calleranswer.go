package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
)

// copyBufferSize is the size in bytes of the buffers for forwarding answers.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// refusalAnswer is the JSON form of a refusal or an unknown outcome.
type refusalAnswer struct {
	Code       refusal.Code
	Reason     string
	NotRun     bool
	RetryAfter fleet.Duration `json:",omitzero"`
}

// copyAnswer streams the answer to the caller; if it returns an error, the caller did not get a complete answer.
func copyAnswer(w http.ResponseWriter, a endpoint.Answer) error {
	for name, values := range endpoint.EndToEnd(a.Header) {
		w.Header()[name] = values
	}
	if a.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)

	buf, _ := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := a.Body.Read(buf[:])
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if a.Length < 0 {
				_ = http.NewResponseController(w).Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	for name, values := range a.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}

	return nil
}

// writeError reports the outcome of a request that got no answer from an endpoint.
func writeError(w http.ResponseWriter, err error) {
	var notRun *refusal.NotRunError
	if errors.As(err, &notRun) {
		if notRun.RetryAfter > 0 {
			// Round up to whole seconds, so that no caller retries too early.
			seconds := int((notRun.RetryAfter + time.Second - 1) / time.Second)
			w.Header().Set("Retry-After", strconv.Itoa(seconds))
		}
		if notRun.Code == refusal.Stopping {
			w.Header().Set("Connection", "close")
		}
		writeJSON(w, httpStatus(notRun.Code), refusalAnswer{
			Code: notRun.Code, Reason: notRun.Reason, NotRun: true, RetryAfter: fleet.Duration(notRun.RetryAfter),
		})

		return
	}

	var unknown *refusal.UnknownError
	if errors.As(err, &unknown) {
		writeJSON(w, httpStatus(unknown.Code), refusalAnswer{Code: unknown.Code, Reason: unknown.Reason})
		return
	}

	writeJSON(w, http.StatusInternalServerError, refusalAnswer{Code: refusal.OutcomeUnknown, Reason: err.Error()})
}

// httpStatus returns the HTTP status of a refusal. Whether the request ran is in the body; the status does not tell.
func httpStatus(c refusal.Code) int {
	switch c {
	case refusal.RequestInvalid:
		return http.StatusBadRequest
	case refusal.KeyMissing, refusal.KeyUnknown:
		return http.StatusUnauthorized
	case refusal.PlanForbids:
		return http.StatusForbidden
	case refusal.QueueUnknown:
		return http.StatusNotFound
	case refusal.Cancelled:
		return http.StatusRequestTimeout
	case refusal.InProgress, refusal.AlreadyDone:
		return http.StatusConflict
	case refusal.RequestExpired:
		return http.StatusGone
	case refusal.RequestTooLarge:
		return http.StatusRequestEntityTooLarge
	case refusal.NeverRuns:
		return http.StatusUnprocessableEntity
	case refusal.UpperLimit, refusal.QueueFull:
		return http.StatusTooManyRequests
	case refusal.OutcomeUnknown, refusal.AnswerIncomplete, refusal.CallerInterrupted:
		return http.StatusBadGateway
	case refusal.EndpointTimedOut:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
