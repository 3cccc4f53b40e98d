package estate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/settings"
)

// ErrGuaranteeViolated is returned if a guarantee was violated.
var ErrGuaranteeViolated = merry.Sentinel("estate: guarantee violated")

// inForceLimit is the maximum time until an accepted configuration is in force on all entry hosts.
const inForceLimit = 4 * time.Second

// step checks one guarantee and returns a summary of the results.
type step struct {
	guarantee string
	run       func(ctx context.Context) (string, error)
}

// Check checks all guarantees of a started estate and writes a line for each. It continues after a failure and returns the first.
func (e *Estate) Check(ctx context.Context, out io.Writer) error {
	var first error
	for _, s := range e.steps() {
		began := time.Now()
		saw, err := s.run(ctx)
		mark := "ok    "
		if err != nil {
			mark, saw = "FAILED", err.Error()
		}
		_, _ = fmt.Fprintf(out, "%s %-58s %5d ms  %s\n", mark, s.guarantee, time.Since(began).Milliseconds(), saw)
		if err != nil && first == nil {
			first = err
		}
	}

	return first
}

func (e *Estate) steps() []step {
	return []step{
		{"lists and keys are in force on every entry host", e.checkPrepare},
		{"work of two teams over a full fleet is answered completely and run once", e.checkFullFleet},
		{"a wrong key is refused as not run", e.checkWrongKey},
		{"an edit of the plans is in force on every entry host", e.checkEdit},
		{"a revoked key is refused on every entry host", e.checkWithdrawnKey},
		{"an endpoint that is leaving gets no new requests", e.checkLeaving},
		{"an entry host that stops completes its requests", e.checkGracefulStop},
		{"an outage of the store loses and doubles no request", e.checkStoreOutage},
	}
}

// work sends a request and returns the response.
func (e *Estate) work(ctx context.Context, s settings.Settings, q fleet.QueueName, secret, body string) (answer, error) {
	header := http.Header{
		"Request-Id":      {uuid.Must(uuid.NewV7()).String()},
		"Request-Timeout": {"10s"},
	}
	if secret != "" {
		header.Set("Authorization", "Bearer "+secret)
	}

	a, err := call(ctx, http.MethodPost, "http://"+s.CallerAddress.String()+"/v1/queues/"+string(q)+"/work", header, []byte(body))
	if err == nil && a.status == http.StatusOK && string(a.body) != body {
		return a, merry.Prependf(ErrGuaranteeViolated, "response %q to %q is truncated or wrong", a.body, body)
	}

	return a, err
}

// awaitStatus repeats a request until the entry host responds with the wanted status.
func (e *Estate) awaitStatus(
	ctx context.Context, s settings.Settings, q fleet.QueueName, secret string, want int, limit time.Duration,
) error {
	deadline := time.Now().Add(limit)
	for {
		a, err := e.work(ctx, s, q, secret, "await")
		if err == nil && a.status == want {
			return nil
		}
		if time.Now().After(deadline) {
			return merry.Prependf(ErrGuaranteeViolated, "%s answers %d %s %v on queue %s, want %d", s.Name, a.status, a.body, err, q, want)
		}
		time.Sleep(preparePoll)
	}
}
