package inquiry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/emicklei/go-restful/v3"
	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/platform"
)

const term = 3

var errNoAnswer = errors.New("no answer")

// host is an owner that knows the states of some jobs.
type host struct {
	states       map[fleet.JobID]ledger.State
	delay        time.Duration
	unresponsive bool
	queries      int
}

// exchange passes a request to the host's server.
func (h *host) exchange(_ context.Context, r platform.Request) (platform.Response, error) {
	h.queries++
	time.Sleep(h.delay)
	if h.unresponsive {
		return platform.Response{}, errNoAnswer
	}
	c := restful.NewContainer()
	state := func(j Job) (ledger.State, bool) {
		s, ok := h.states[j.ID]
		return s, ok && j.Workspace == "w"
	}
	c.Add(NewServer(func(t uint64) bool { return t == term }, state, log.New(io.Discard)).Service())
	w := httptest.NewRecorder()
	c.ServeHTTP(w, httptest.NewRequest(r.Method, r.Path, bytes.NewReader(r.Body)))

	return platform.Response{Status: w.Code, Body: w.Body.Bytes()}, nil
}

func (h *host) client(ownerTerm uint64) *Client {
	return NewClient(
		func(string) platform.Exchange { return h.exchange }, func() (ledger.Owner, uint64) { return ledger.Owner{}, ownerTerm }, log.New(io.Discard),
	)
}

// TestState checks the state that a client obtains from an owner, and from one that does not know or does not answer.
func TestState(t *testing.T) {
	known := map[fleet.JobID]ledger.State{"a": ledger.Completed}
	tests := []struct {
		name string
		host host
		term uint64
		job  Job
		want ledger.State
		ok   bool
	}{
		{"known job", host{states: known}, term, Job{ID: "a", Workspace: "w"}, ledger.Completed, true},
		{"unknown job", host{states: known}, term, Job{ID: "b", Workspace: "w"}, ledger.Queued, false},
		{"job of another workspace", host{states: known}, term, Job{ID: "a", Workspace: "v"}, ledger.Queued, false},
		{"no longer the owner", host{states: known}, term - 1, Job{ID: "a", Workspace: "w"}, ledger.Queued, false},
		{"no owner", host{states: known}, 0, Job{ID: "a", Workspace: "w"}, ledger.Queued, false},
		{"owner does not respond", host{states: known, unresponsive: true}, term, Job{ID: "a", Workspace: "w"}, ledger.Queued, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, ok := tt.host.client(tt.term).State(t.Context(), tt.job); got != tt.want || ok != tt.ok {
				t.Errorf("State: %v, %t, want %v, %t", got, ok, tt.want, tt.ok)
			}
		})
	}
}

// TestConcurrentCallers checks that one query serves all waiting callers, as when all callers ask for the result of their
// jobs at the same time.
func TestConcurrentCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &host{states: map[fleet.JobID]ledger.State{"a": ledger.InProgress}, delay: 5 * time.Millisecond}
		c := h.client(term)
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() {
				if s, ok := c.State(t.Context(), Job{ID: "a", Workspace: "w"}); !ok || s != ledger.InProgress {
					t.Errorf("State: %v, %t", s, ok)
				}
			})
		}
		wg.Wait()
		if h.queries > 3 {
			t.Errorf("%d queries for 100 callers", h.queries)
		}
	})
}

// TestFailureBackoff checks that an owner that does not answer is queried, and its callers wait, at most once per
// failureBackoff.
func TestFailureBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &host{unresponsive: true, delay: queryTimeout}
		c := h.client(term)
		var waited []time.Duration
		for range 3 {
			start := time.Now()
			c.State(t.Context(), Job{ID: "a", Workspace: "w"})
			waited = append(waited, time.Since(start))
		}
		time.Sleep(failureBackoff)
		c.State(t.Context(), Job{ID: "a", Workspace: "w"})
		if diff := cmp.Diff([]time.Duration{queryTimeout, 0, 0}, waited); diff != "" {
			t.Errorf("waits (-want +got):\n%s", diff)
		}
		if h.queries != 2 {
			t.Errorf("the owner was queried %d times, want 2", h.queries)
		}
	})
}

func TestMalformedQuery(t *testing.T) {
	h := &host{}
	resp, err := h.exchange(t.Context(), platform.Request{Method: http.MethodPost, Path: Path, Body: []byte("{")})
	if err != nil || resp.Status != http.StatusBadRequest {
		t.Errorf("status %d, error %v", resp.Status, err)
	}
}
