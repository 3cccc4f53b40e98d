package estate

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/plan"
	"lycheehook.example/lycheehook/settings"
)

const (
	callTimeout   = 15 * time.Second
	prepareLimit  = 10 * time.Second
	preparePoll   = 10 * time.Millisecond
	operatorLists = "/v1/lists"
	operatorKeys  = "/v1/keys"
)

type listsDocument struct {
	Base  uint64
	Lists plan.Lists
}

type issuedKey struct {
	ID       key.ID
	Secret   string
	Revision uint64
}

// answer is an HTTP status and a complete body.
type answer struct {
	status int
	body   []byte
}

// Prepare applies the sample's lists, issues a key for each team, and returns when all entry hosts accept work with each key.
func (e *Estate) Prepare(ctx context.Context) error {
	first := e.Entries()[0]
	if err := e.applyLists(ctx, first, e.Sample.Lists); err != nil {
		return err
	}
	for _, t := range e.Sample.Lists.Teams() {
		k, err := e.issueKey(ctx, first, t.Name)
		if err != nil {
			return err
		}
		e.Keys[t.Name] = k.Secret
	}

	for _, s := range e.Entries() {
		for _, t := range e.Sample.Lists.Teams() {
			if err := e.awaitStatus(ctx, s, e.queueOf(t), e.Keys[t.Name], http.StatusOK, prepareLimit); err != nil {
				return err
			}
		}
	}

	return nil
}

// queueOf returns a queue that the team's plan may use.
func (e *Estate) queueOf(t fleet.Team) fleet.QueueName {
	for _, p := range e.Sample.Lists.Plans {
		if p.Name == t.Plan && len(p.Queues) > 0 {
			return p.Queues[0]
		}
	}

	return ""
}

// applyLists replaces both lists, based on the current revision.
func (e *Estate) applyLists(ctx context.Context, s settings.Settings, l plan.Lists) error {
	cur, err := e.currentLists(ctx, s)
	if err != nil {
		return err
	}

	a, err := e.operate(ctx, s, http.MethodPut, operatorLists, listsDocument{Base: cur.Base, Lists: l})
	if err == nil && a.status != http.StatusOK {
		err = merry.Prependf(ErrGuaranteeViolated, "lists not accepted: %d %s", a.status, a.body)
	}

	return err
}

func (e *Estate) currentLists(ctx context.Context, s settings.Settings) (listsDocument, error) {
	var doc listsDocument
	a, err := e.operate(ctx, s, http.MethodGet, operatorLists, nil)
	if err != nil {
		return doc, err
	}

	return doc, json.Unmarshal(a.body, &doc)
}

func (e *Estate) issueKey(ctx context.Context, s settings.Settings, team fleet.TeamName) (issuedKey, error) {
	var k issuedKey
	a, err := e.operate(ctx, s, http.MethodPost, operatorKeys, map[string]fleet.TeamName{"Team": team})
	if err != nil {
		return k, err
	}
	if a.status != http.StatusOK {
		return k, merry.Prependf(ErrGuaranteeViolated, "key not issued: %d %s", a.status, a.body)
	}

	return k, json.Unmarshal(a.body, &k)
}

func (e *Estate) operate(ctx context.Context, s settings.Settings, method, path string, v any) (answer, error) {
	var data []byte
	if v != nil {
		var err error
		if data, err = json.Marshal(v); err != nil {
			return answer{}, err
		}
	}

	header := http.Header{"Content-Type": {"application/json"}, "Authorization": {"Bearer " + DevOperatorToken}}

	return call(ctx, method, "http://"+s.OperatorAddress.String()+path, header, data)
}

func call(ctx context.Context, method, url string, header http.Header, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	r.Header = header

	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)

	return answer{status: resp.StatusCode, body: data}, err
}
