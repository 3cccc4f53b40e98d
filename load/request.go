package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/standin"
)

// answerPart is the part of the timeout that is left for the answer to arrive after the request's own deadline.
const answerPart = 8

// maxAnswer bounds how much of an answer is read beyond the body's own size, in bytes.
const maxAnswer = 1 << 16

// Outcome is what one request came to.
type Outcome string

// The outcomes of a request.
const (
	// Done is a whole answer of an endpoint to this request.
	Done Outcome = "Done"
	// NotRun is a refusal which promises that nothing ran.
	NotRun Outcome = "NotRun"
	// Unknown is an answer, or the lack of one, after which the work may have run.
	Unknown Outcome = "Unknown"
	// Mixed is an answer that belongs to another request.
	Mixed Outcome = "Mixed"
	// Cut is an answer that claims to be whole and is not.
	Cut Outcome = "Cut"
)

// request is one request before it is sent.
type request struct {
	id         string
	idempotent bool
	body       []byte
}

// result is what a request came to, with the code of a refusal.
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

// newRequest returns a request whose body starts with its ID, so that no two bodies are the same.
func newRequest(s Stream, rng *rand.Rand) request {
	id := uuid.Must(uuid.NewV7()).String()
	body := make([]byte, 0, max(s.BodySize, len(id)))
	body = append(body, id...)
	for len(body) < s.BodySize {
		body = append(body, byte('a'+rng.IntN(26)))
	}
	return request{id: id, idempotent: rng.Float64() < s.Idempotent, body: body}
}

// send sends one request to the first target from n on that accepts a connection, as a balancer would, and judges the answer.
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

// sendTo sends one request to a target; refused says that the target did not accept a connection, so that nothing was sent.
func (l *Load) sendTo(ctx context.Context, target netip.AddrPort, s Stream, req request) (res result, refused bool) {
	url := "http://" + target.String() + "/v1/queues/" + string(s.Queue) + "/work"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(req.body))
	if err != nil {
		return result{outcome: Unknown, code: "RequestInvalid"}, false
	}
	r.Header.Set("Request-Id", req.id)
	r.Header.Set("Idempotent", strconv.FormatBool(req.idempotent))
	r.Header.Set("Request-Timeout", (l.timeout - l.timeout/answerPart).String())
	if s.Secret != "" {
		r.Header.Set("Authorization", "Bearer "+s.Secret)
	}

	resp, err := l.client.Do(r)
	if err != nil {
		var op *net.OpError
		return result{outcome: Unknown, code: "NoAnswer"}, errors.As(err, &op) && op.Op == "dial"
	}
	defer func() { _ = resp.Body.Close() }()

	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(len(req.body)+maxAnswer)))
	if err != nil {
		return result{outcome: Unknown, code: refusal.AnswerIncomplete}, false
	}
	if resp.StatusCode != http.StatusOK {
		return judgeRefusal(body), false
	}

	return judgeAnswer(req, resp.Header.Get(standin.HeaderRequestID), body), false
}

func judgeRefusal(body []byte) result {
	var a refusalAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return result{outcome: Unknown, code: "Unreadable"}
	}
	if a.NotRun {
		return result{outcome: NotRun, code: a.Code}
	}

	return result{outcome: Unknown, code: a.Code}
}

// judgeAnswer checks that the echoed body is this request's, and whole.
func judgeAnswer(req request, id string, body []byte) result {
	switch {
	case bytes.Equal(body, req.body) && id == req.id:
		return result{outcome: Done}
	case id == req.id && bytes.HasPrefix(req.body, body):
		return result{outcome: Cut}
	default:
		return result{outcome: Mixed}
	}
}

// fetchRuns asks the stand-in endpoints how often each request ID ran.
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
