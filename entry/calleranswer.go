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

// copySize is the size in bytes of the pieces in which an answer is passed on.
const copySize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// refusalAnswer is the JSON form of a refusal or an unknown outcome.
type refusalAnswer struct {
	Code       refusal.Code
	Reason     string
	NotRun     bool
	RetryAfter fleet.Duration `json:",omitzero"`
}

// copyAnswer passes the answer on as it comes; only without an error did the caller get it whole.
func copyAnswer(w http.ResponseWriter, a endpoint.Answer) error {
	for name, values := range endpoint.EndToEnd(a.Header) {
		w.Header()[name] = values
	}
	if a.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)

	buf, _ := copyBuffers.Get().(*[copySize]byte)
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

// writeError answers with the exact outcome of a request that was not answered by an endpoint.
func writeError(w http.ResponseWriter, err error) {
	var notRun *refusal.NotRunError
	if errors.As(err, &notRun) {
		if notRun.RetryAfter > 0 {
			// Whole seconds, rounded up, so that nobody is asked to come back too early.
			seconds := int((notRun.RetryAfter + time.Second - 1) / time.Second)
			w.Header().Set("Retry-After", strconv.Itoa(seconds))
		}
		if notRun.Code == refusal.Stopping {
			w.Header().Set("Connection", "close")
		}
		writeJSON(w, statusOf(notRun.Code), refusalAnswer{
			Code: notRun.Code, Reason: notRun.Reason, NotRun: true, RetryAfter: fleet.Duration(notRun.RetryAfter),
		})

		return
	}

	var unknown *refusal.UnknownError
	if errors.As(err, &unknown) {
		writeJSON(w, statusOf(unknown.Code), refusalAnswer{Code: unknown.Code, Reason: unknown.Reason})
		return
	}

	writeJSON(w, http.StatusInternalServerError, refusalAnswer{Code: refusal.OutcomeUnknown, Reason: err.Error()})
}

// statusOf returns the status of a refusal; callers tell whether the request ran by the body and not by the status.
func statusOf(c refusal.Code) int {
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
