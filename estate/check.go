package estate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/settings"
)

// ErrPromiseBroken says that a check saw a promise broken.
var ErrPromiseBroken = merry.Sentinel("estate: promise broken")

// inForceLimit is how long an accepted configuration may take to be in force everywhere.
const inForceLimit = 4 * time.Second

// Check runs the main job against a started estate and writes a line for each promise.
func (e *Estate) Check(ctx context.Context, out io.Writer) error {
	first := e.Entries[0]
	lists := map[string]any{"Base": 0, "Lists": LedgerLists()}
	if status, body, err := e.operate(ctx, first, http.MethodPut, "/v1/lists", lists); err != nil || status != http.StatusOK {
		return merry.Prependf(ErrPromiseBroken, "lists not accepted: %d %s %v", status, body, err)
	}

	_, body, err := e.operate(ctx, first, http.MethodPost, "/v1/keys", map[string]string{"Team": "postings"})
	if err != nil {
		return err
	}
	var given struct {
		ID     string
		Secret string
	}
	if err := json.Unmarshal(body, &given); err != nil {
		return merry.Prepend(ErrPromiseBroken, string(body))
	}

	for _, s := range e.Entries {
		if err := e.await(ctx, s, given.Secret, http.StatusOK); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintln(out, "ok: configuration is in force on every entry host and answers are whole")

	if status, _, err := e.post(ctx, first, "wrong.key.here"); err != nil || status != http.StatusUnauthorized {
		return merry.Prependf(ErrPromiseBroken, "wrong key answered %d %v", status, err)
	}
	_, _ = fmt.Fprintln(out, "ok: a wrong key is refused")

	if _, _, err := e.operate(ctx, first, http.MethodDelete, "/v1/keys/"+given.ID, nil); err != nil {
		return err
	}
	for _, s := range e.Entries {
		if err := e.await(ctx, s, given.Secret, http.StatusUnauthorized); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintln(out, "ok: a withdrawn key is refused on every entry host")

	return nil
}

// await posts until the entry host answers with the wanted status.
func (e *Estate) await(ctx context.Context, s settings.Settings, secret string, want int) error {
	deadline := time.Now().Add(inForceLimit)
	for {
		status, body, err := e.post(ctx, s, secret)
		if err == nil && status == want {
			return nil
		}
		if time.Now().After(deadline) {
			return merry.Prependf(ErrPromiseBroken, "%s answers %d %s %v, want %d", s.Name, status, body, err, want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (e *Estate) post(ctx context.Context, s settings.Settings, secret string) (int, []byte, error) {
	const sent = "contribution of 500"
	status, body, err := call(ctx, http.MethodPost, "http://"+s.CallerAddress.String()+"/v1/queues/post/work", secret, []byte(sent))
	if err == nil && status == http.StatusOK && string(body) != sent {
		return status, body, merry.Prepend(ErrPromiseBroken, "answer is not whole")
	}

	return status, body, err
}

func (e *Estate) operate(ctx context.Context, s settings.Settings, method, path string, v any) (int, []byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return 0, nil, err
	}

	return call(ctx, method, "http://"+s.OperatorAddress.String()+path, s.OperatorToken, data)
}

func call(ctx context.Context, method, url, bearer string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Authorization", "Bearer "+bearer)
	r.Header.Set("Content-Type", "application/json")

	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)

	return resp.StatusCode, data, err
}
