package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"lycheehook.example/lycheehook/connection"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/standin"
)

// answerMarginDivisor is the fraction of the timeout, as a divisor, that remains after the request's deadline for the response.
const answerMarginDivisor = 8

// maxAnswer is how much longer than the request body a response may be, in bytes.
const maxAnswer = 1 << 16

// Outcome is the outcome of a request.
type Outcome string

// The outcomes of a request.
const (
	// Done is a complete response of an endpoint to this request.
	Done Outcome = "Done"
	// NotRun is a refusal which guarantees that the request did not run.
	NotRun Outcome = "NotRun"
	// Unknown is a response, or the lack of one, after which the request may or may not have run.
	Unknown Outcome = "Unknown"
	// Mixed is a response to another request.
	Mixed Outcome = "Mixed"
	// Cut is a response that is truncated without an error.
	Cut Outcome = "Cut"
)

// request is one request before it is sent.
type request struct {
	id         string
	idempotent bool
	body       []byte
}

// result is the outcome of a request, with the code of a refusal.
type result struct {
	outcome Outcome
	code    refusal.Code
}

type refusalAnswer struct {
	Code   refusal.Code
	NotRun bool
}

type runsAnswer struct {
	Runs map[string]int
}

// newRequest returns a request whose body starts with its ID and is therefore unique.
func newRequest(s Stream, rng *rand.Rand) request {
	id := uuid.Must(uuid.NewV7()).String()
	body := make([]byte, 0, max(s.BodySize, len(id)))
	body = append(body, id...)
	for len(body) < s.BodySize {
		body = append(body, byte('a'+rng.IntN(26)))
	}
	return request{id: id, idempotent: rng.Float64() < s.Idempotent, body: body}
}

// send sends a request to the first target from n on that accepts a connection, as a load balancer does.
func (l *Load) send(ctx context.Context, n int, s Stream, req request) result {
	var res result
	for i := range l.targets {
		var refused bool
		res, refused = l.sendTo(ctx, l.targets[(n+i)%len(l.targets)], s, req)
		if !refused {
			break
		}
	}

	return res
}

// sendTo sends a request to a target. refused means that the target did not accept a connection, so nothing was sent.
func (l *Load) sendTo(ctx context.Context, target netip.AddrPort, s Stream, req request) (res result, refused bool) {
	url := "http://" + target.String() + "/v1/queues/" + string(s.Queue) + "/work"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(req.body))
	if err != nil {
		return result{outcome: Unknown, code: "RequestInvalid"}, false
	}
	r.Header.Set("Request-Id", req.id)
	r.Header.Set("Idempotent", strconv.FormatBool(req.idempotent))
	r.Header.Set("Request-Timeout", (l.timeout - l.timeout/answerMarginDivisor).String())
	if s.Secret != "" {
		r.Header.Set("Authorization", "Bearer "+s.Secret)
	}

	resp, err := l.client.Do(r)
	if err != nil {
		return result{outcome: Unknown, code: "NoAnswer"}, connection.DialFailed(err)
	}
	defer func() { _ = resp.Body.Close() }()

	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(len(req.body)+maxAnswer)))
	if err != nil {
		return result{outcome: Unknown, code: refusal.AnswerIncomplete}, false
	}
	if resp.StatusCode != http.StatusOK {
		return classifyRefusal(body), false
	}

	return classifyAnswer(req, resp.Header.Get(standin.HeaderRequestID), body), false
}

func classifyRefusal(body []byte) result {
	var a refusalAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return result{outcome: Unknown, code: "Unreadable"}
	}
	if a.NotRun {
		return result{outcome: NotRun, code: a.Code}
	}

	return result{outcome: Unknown, code: a.Code}
}

// classifyAnswer checks that the echoed body belongs to this request and is complete.
func classifyAnswer(req request, id string, body []byte) result {
	switch {
	case bytes.Equal(body, req.body) && id == req.id:
		return result{outcome: Done}
	case id == req.id && bytes.HasPrefix(req.body, body):
		return result{outcome: Cut}
	default:
		return result{outcome: Mixed}
	}
}

// fetchRuns returns how often the stand-in endpoints ran each request ID.
func (l *Load) fetchRuns(ctx context.Context) (map[string]int, error) {
	if len(l.endpoints) == 0 {
		return nil, nil
	}

	all := map[string]int{}
	for _, addr := range l.endpoints {
		runs, err := l.fetchRunsOf(ctx, addr)
		if err != nil {
			return nil, merry.Prependf(err, "runs of endpoint %s", addr)
		}
		for id, n := range runs {
			all[id] += n
		}
	}

	return all, nil
}

func (l *Load) fetchRunsOf(ctx context.Context, addr netip.AddrPort) (map[string]int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+standin.PathRuns, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := l.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.New(resp.Status)
	}

	var a runsAnswer
	err = json.NewDecoder(resp.Body).Decode(&a)

	return a.Runs, err
}
