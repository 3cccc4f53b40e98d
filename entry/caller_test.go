package entry

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"

	"lycheehook.example/lycheehook/admission"
	"lycheehook.example/lycheehook/claim"
	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/plan"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

const callerID = "01939f80-0000-7000-8000-000000000001"

// callerFixture is the caller API over real sockets with one endpoint.
type callerFixture struct {
	api    *callerAPI
	url    string
	secret string
	fresh  atomic.Bool
	set    *endpoint.Set
}

func newCallerFixture(tb testing.TB, slots int, h http.Handler) *callerFixture {
	tb.Helper()
	backend := httptest.NewServer(h)
	tb.Cleanup(backend.Close)
	limit := fleet.Resources{Slots: 64, Cores: 8000}
	lists := plan.Lists{
		CustomersList: plan.CustomersList{Customers: []fleet.Customer{{
			Name: "club", Plan: "p", Teams: []fleet.Team{{Name: "posting", Share: 1, UpperLimit: limit}},
		}}},
		PlansList: plan.PlansList{
			Plans: []fleet.Plan{{Name: "p", Queues: []fleet.QueueName{"post"}, UpperLimit: limit}},
			Queues: []fleet.Queue{
				{Name: "post", Pool: "pool", MaxLength: 100, MaxWait: fleet.Duration(time.Minute)},
				{Name: "other", Pool: "pool", MaxLength: 100, MaxWait: fleet.Duration(time.Minute)},
			},
			Pools: []fleet.Pool{{Name: "pool"}},
		},
	}
	k, secret := key.Issue("posting", time.Now())
	rev := revision.Revision{Number: 1}.WithLists(lists).WithKeys(key.NewRing(k))

	r := &callerFixture{secret: secret, set: endpoint.NewSet()}
	r.fresh.Store(true)
	controller := admission.New(revision.New(&store.Client{}), r.set)
	controller.Current = func() *revision.Revision { return &rev }
	controller.Fresh = func(time.Time) bool { return r.fresh.Load() }
	controller.AcquireLimit = admission.NewLimits(controller.Current).Acquire
	r.set.Replace([]fleet.Endpoint{{
		Name: "runner", Pool: "pool", Slots: slots, Connections: 64,
		Address: netip.MustParseAddrPort(backend.Listener.Addr().String()),
	}})
	r.api = &callerAPI{admission: controller, sender: endpoint.NewSender(), log: log.New(io.Discard), maxRequestTime: 10 * time.Minute}
	front := httptest.NewServer(r.api.handler())
	tb.Cleanup(front.Close)
	r.url = front.URL + "/v1/queues/"

	return r
}

// call sends one request; header lines are "Name: value".
func (r *callerFixture) call(ctx context.Context, queue string, body io.Reader, header ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+queue+"/work", body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+r.secret)
	for _, h := range header {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}

	return http.DefaultClient.Do(req)
}

// callerOutcome is the status of an answer and, for a refusal, its code and whether the request ran.
type callerOutcome struct {
	Status int
	Code   refusal.Code
	NotRun bool
}

func (r *callerFixture) outcome(t *testing.T, queue string, body io.Reader, header ...string) callerOutcome {
	t.Helper()
	resp, err := r.call(t.Context(), queue, body, header...)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var a refusalAnswer
	if resp.StatusCode != http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
			t.Errorf("status %d: %v", resp.StatusCode, err)
		}
	}

	return callerOutcome{resp.StatusCode, a.Code, a.NotRun}
}

func TestCallerOutcomes(t *testing.T) {
	closing := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	slow := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	echo := standin.NewEndpoint(0)
	for _, c := range []struct {
		name    string
		handler http.Handler
		queue   string
		body    io.Reader
		header  string
		want    callerOutcome
	}{
		{"done", echo, "post", nil, "", callerOutcome{200, "", false}},
		{"no key", echo, "post", nil, "Authorization: ", callerOutcome{401, refusal.KeyMissing, true}},
		{"another scheme", echo, "post", nil, "Authorization: Basic eDp5", callerOutcome{401, refusal.KeyUnknown, true}},
		{"unknown key", echo, "post", nil, "Authorization: Bearer x", callerOutcome{401, refusal.KeyUnknown, true}},
		{"unknown queue", echo, "none", nil, "", callerOutcome{404, refusal.QueueUnknown, true}},
		{"queue outside the plan", echo, "other", nil, "", callerOutcome{403, refusal.PlanForbids, true}},
		{"ID is no UUID", echo, "post", nil, "Request-Id: 7", callerOutcome{400, refusal.RequestInvalid, true}},
		{"ID is a UUID of version 4", echo, "post", nil, "Request-Id: 5d7f9b58-3d0a-4a7a-9d5b-0d0f8c1f2a3b", callerOutcome{400, refusal.RequestInvalid, true}},
		{"timeout without a unit", echo, "post", nil, "Request-Timeout: 10", callerOutcome{400, refusal.RequestInvalid, true}},
		{"timeout of nothing", echo, "post", nil, "Request-Timeout: 0s", callerOutcome{400, refusal.RequestInvalid, true}},
		{"timeout beyond the longest", echo, "post", nil, "Request-Timeout: 11m", callerOutcome{400, refusal.RequestInvalid, true}},
		{"idempotent perhaps", echo, "post", nil, "Idempotent: perhaps", callerOutcome{400, refusal.RequestInvalid, true}},
		{"size is no number", echo, "post", nil, "Size-Cores: many", callerOutcome{400, refusal.RequestInvalid, true}},
		{"size is negative", echo, "post", nil, "Size-Memory: -1", callerOutcome{400, refusal.RequestInvalid, true}},
		{"no slots", echo, "post", nil, "Size-Slots: 0", callerOutcome{400, refusal.RequestInvalid, true}},
		{"more slots than an endpoint", echo, "post", nil, "Size-Slots: 3", callerOutcome{422, refusal.NeverRuns, true}},
		{"more than the team may have", echo, "post", nil, "Size-Accelerators: 1", callerOutcome{422, refusal.NeverRuns, true}},
		{"body too large", echo, "post", io.LimitReader(zeros{}, maxBodySize+1), "Content-Length-Known: yes", callerOutcome{413, refusal.RequestTooLarge, true}},
		{"endpoint closes", closing, "post", nil, "", callerOutcome{502, refusal.OutcomeUnknown, false}},
		{"endpoint is slower than the deadline", slow, "post", nil, "Request-Timeout: 50ms", callerOutcome{504, refusal.EndpointTimedOut, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newCallerFixture(t, 2, c.handler)
			if c.header == "Content-Length-Known: yes" {
				req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, r.url+c.queue+"/work", c.body)
				req.ContentLength = maxBodySize + 1
				w := httptest.NewRecorder()
				req.Header.Set("Authorization", "Bearer "+r.secret)
				r.api.handler().ServeHTTP(w, req)
				var a refusalAnswer
				_ = json.Unmarshal(w.Body.Bytes(), &a)
				if d := cmp.Diff(c.want, callerOutcome{w.Code, a.Code, a.NotRun}); d != "" {
					t.Errorf("outcome (-want +got):\n%s", d)
				}

				return
			}
			header := []string{c.header}
			if c.header == "" {
				header = nil
			}
			if d := cmp.Diff(c.want, r.outcome(t, c.queue, c.body, header...)); d != "" {
				t.Errorf("outcome (-want +got):\n%s", d)
			}
		})
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// TestCallerBodies checks that bodies of all sizes, with and without chunked encoding, are echoed completely.
func TestCallerBodies(t *testing.T) {
	r := newCallerFixture(t, 2, standin.NewEndpoint(0))
	for _, size := range []int{0, 1, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1, 3 << 20} {
		for _, chunked := range []bool{false, true} {
			body := bytes.Repeat([]byte("sleeve "), size/7+1)[:size]
			var in io.Reader = bytes.NewReader(body)
			if chunked {
				in = io.MultiReader(in)
			}
			resp, err := r.call(t.Context(), "post", in, "Request-Id: "+callerID)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			digest := sha256.Sum256(body)
			if err != nil || !bytes.Equal(got, body) || resp.Header.Get(standin.HeaderBodyDigest) != hex.EncodeToString(digest[:]) {
				t.Errorf("%d bytes, chunked %t: got %d bytes, %v", size, chunked, len(got), err)
			}
			if resp.Header.Get(headerRequestID) != callerID {
				t.Errorf("answer names request %q", resp.Header.Get(headerRequestID))
			}
		}
	}
}

// TestCallerHeaders checks which headers are forwarded to the endpoint and back to the caller.
func TestCallerHeaders(t *testing.T) {
	var seen http.Header
	r := newCallerFixture(t, 2, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-End", "1")
		w.Header().Set("Endpoint-State", "Fine")
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.WriteString(w, "part")
		w.(http.Flusher).Flush()
		w.Header().Set("X-Sum", "9")
	}))
	resp, err := r.call(t.Context(), "post", nil, "Request-Id: "+callerID, "Request-Timeout: 5s", "X-Mine: 1", "Connection: X-Gone", "X-Gone: 1")
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || string(body) != "part" || resp.Trailer.Get("X-Sum") != "9" {
		t.Errorf("got %q, %v, trailer %v", body, err, resp.Trailer)
	}
	for name, want := range map[string]string{"X-Hop": "", "X-End": "1", "Endpoint-State": ""} {
		if got := resp.Header.Get(name); got != want {
			t.Errorf("caller sees %s %q, want %q", name, got, want)
		}
	}
	for name, want := range map[string]string{"Authorization": "", "X-Gone": "", "X-Mine": "1", "X-Request-Id": callerID, "Idempotent": "false"} {
		if got := seen.Get(name); got != want {
			t.Errorf("endpoint sees %s %q, want %q", name, got, want)
		}
	}
	if d, err := time.ParseDuration(seen.Get("Request-Timeout")); err != nil || d <= 0 || d > 5*time.Second {
		t.Errorf("endpoint sees a timeout of %q", seen.Get("Request-Timeout"))
	}
}

// TestCallerTruncatedAnswer checks that a truncated answer never looks complete to the caller.
func TestCallerTruncatedAnswer(t *testing.T) {
	for name, length := range map[string]string{"by length": "100", "by end mark": ""} {
		t.Run(name, func(t *testing.T) {
			r := newCallerFixture(t, 2, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = io.WriteString(w, "half")
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}))
			resp, err := r.call(t.Context(), "post", nil)
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			if got, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("a truncated answer looked complete: %q", got)
			}
		})
	}
}

// TestCallerStop checks that a stop refuses waiting and new requests and lets running ones finish.
func TestCallerStop(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	r := newCallerFixture(t, 1, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-leave
		_, _ = io.WriteString(w, "receipt")
	}))
	var wg sync.WaitGroup
	var running, waiting callerOutcome
	wg.Go(func() { running = r.outcome(t, "post", nil) })
	<-entered
	wg.Go(func() { waiting = r.outcome(t, "post", nil) })
	for r.api.admission.Waiting("pool") == 0 {
		runtime.Gosched()
	}
	r.api.admission.Stop()
	stopping := callerOutcome{503, refusal.Stopping, true}
	if d := cmp.Diff(stopping, r.outcome(t, "post", nil)); d != "" {
		t.Errorf("outcome of a new request (-want +got):\n%s", d)
	}
	close(leave)
	wg.Wait()
	if d := cmp.Diff([]callerOutcome{{200, "", false}, stopping}, []callerOutcome{running, waiting}); d != "" {
		t.Errorf("outcomes of running and waiting requests (-want +got):\n%s", d)
	}
}

// TestCallerClaim checks that the right outcome of a claim is recorded exactly once, and that a request that must not
// run is not sent.
func TestCallerClaim(t *testing.T) {
	closing := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for _, c := range []struct {
		name    string
		handler http.Handler
		header  string
		refused error
		// slow lets the configuration become stale while the claim is written.
		slow        bool
		want        []string
		wantOutcome callerOutcome
	}{
		{"done", standin.NewEndpoint(0), "", nil, false, []string{"posting " + callerID, "Done"}, callerOutcome{200, "", false}},
		{"unknown", closing, "", nil, false, []string{"posting " + callerID, "Unknown"}, callerOutcome{502, refusal.OutcomeUnknown, false}},
		{"idempotent work needs none", standin.NewEndpoint(0), "Idempotent: true", nil, false, nil, callerOutcome{200, "", false}},
		{"in progress elsewhere", closing, "", refusal.Uncertain(refusal.InProgress, "x"), false, []string{"posting " + callerID}, callerOutcome{409, refusal.InProgress, false}},
		{"store down", closing, "", refusal.Refuse(refusal.StoreUnavailable, "x"), false, []string{"posting " + callerID}, callerOutcome{503, refusal.StoreUnavailable, true}},
		{"key may be withdrawn by then", closing, "", nil, true, []string{"posting " + callerID, "NotRun"}, callerOutcome{503, refusal.NotFresh, true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newCallerFixture(t, 2, c.handler)
			var got []string
			r.api.claim = func(_ context.Context, team fleet.TeamName, id string, _ [32]byte) (claimed, error) {
				got = append(got, fmt.Sprint(team, " ", id))
				r.fresh.Store(!c.slow)

				return claimed{recordOutcome: func(o outcome, _ *claim.Answer) { got = append(got, string(o)) }}, c.refused
			}
			header := []string{"Request-Id: " + callerID}
			if c.header != "" {
				header = append(header, c.header)
			}
			if d := cmp.Diff(c.wantOutcome, r.outcome(t, "post", nil, header...)); d != "" {
				t.Errorf("outcome (-want +got):\n%s", d)
			}
			if d := cmp.Diff(c.want, got); d != "" {
				t.Errorf("claims (-want +got):\n%s", d)
			}
		})
	}
}

// TestCallerMayNotStart checks that an admitted request is not sent once the process may no longer use its parts of the
// limits.
func TestCallerMayNotStart(t *testing.T) {
	for _, may := range []bool{true, false} {
		echo := standin.NewEndpoint(0)
		r := newCallerFixture(t, 2, echo)
		r.api.mayStart = func(time.Time) bool { return may }
		want, runs := callerOutcome{200, "", false}, 1
		if !may {
			want, runs = callerOutcome{503, refusal.NotFresh, true}, 0
		}
		if d := cmp.Diff(want, r.outcome(t, "post", nil)); d != "" {
			t.Errorf("may start %t: outcome (-want +got):\n%s", may, d)
		}
		if echo.Total() != runs {
			t.Errorf("may start %t: %d runs, want %d", may, echo.Total(), runs)
		}
	}
}

// TestCallerRepeatedRequest checks, with a real registry of claims, that a repeated request gets the answer of the first
// attempt and does not run again.
func TestCallerRepeatedRequest(t *testing.T) {
	echo := standin.NewEndpoint(0)
	r := newCallerFixture(t, 2, echo)
	b := claim.New(standin.NewStore().Client(), "a#1")
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { b.Run(ctx) })
	defer wg.Wait()
	defer stop()
	r.api.claim, r.api.maxKeptAnswer = newClaimFunc(b), claim.DefaultTiming().AnswerSize

	id := uuid.Must(uuid.NewV7()).String()
	for _, c := range []struct {
		name   string
		header string
		want   callerOutcome
		runs   int
	}{
		{"first", "Request-Id: " + id, callerOutcome{200, "", false}, 1},
		{"repeat", "Request-Id: " + id, callerOutcome{200, "", false}, 1},
		{"without an ID", "Idempotent: false", callerOutcome{200, "", false}, 2},
		{"another ID", "Request-Id: " + uuid.Must(uuid.NewV7()).String(), callerOutcome{200, "", false}, 3},
	} {
		if d := cmp.Diff(c.want, r.outcome(t, "post", nil, c.header)); d != "" {
			t.Errorf("%s: outcome (-want +got):\n%s", c.name, d)
		}
		if echo.Total() != c.runs {
			t.Errorf("%s: %d runs, want %d", c.name, echo.Total(), c.runs)
		}
	}
}

// TestCallerUpload checks that an upload that stalls or is cut short holds no slot and is reported as not run.
func TestCallerUpload(t *testing.T) {
	for name, closesEarly := range map[string]bool{"stalls": false, "breaks off": true} {
		t.Run(name, func(t *testing.T) {
			echo := standin.NewEndpoint(0)
			r := newCallerFixture(t, 1, echo)
			var d net.Dialer
			c, err := d.DialContext(t.Context(), "tcp", strings.Split(r.url, "/")[2])
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = fmt.Fprintf(c, "POST /v1/queues/post/work HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
				"Request-Timeout: 100ms\r\nContent-Length: 10\r\n\r\nhalf", r.secret)
			if closesEarly {
				_ = c.(*net.TCPConn).CloseWrite()
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			var a refusalAnswer
			if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || !a.NotRun || resp.StatusCode >= 500 {
				t.Errorf("answered %d %+v, %v", resp.StatusCode, a, err)
			}
			if echo.Total() != 0 {
				t.Errorf("ran %d times", echo.Total())
			}
			if got := r.outcome(t, "post", nil); got.Status != http.StatusOK {
				t.Errorf("the slot was held: %+v", got)
			}
		})
	}
}
