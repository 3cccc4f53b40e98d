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

var errSilent = errors.New("no answer")

// host is an owner that knows some jobs.
type host struct {
	states map[fleet.JobID]ledger.State
	delay  time.Duration
	silent bool
	asked  int
}

// exchange carries a message to the host's server.
func (h *host) exchange(_ context.Context, r platform.Request) (platform.Response, error) {
	h.asked++
	time.Sleep(h.delay)
	if h.silent {
		return platform.Response{}, errSilent
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

func (h *host) asker(at uint64) *Asker {
	return NewAsker(
		func(string) platform.Exchange { return h.exchange }, func() (ledger.Owner, uint64) { return ledger.Owner{}, at }, log.New(io.Discard),
	)
}

// What an asker learns from an owner, and from one that can't tell.
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
		{"a job that the owner knows", host{states: known}, term, Job{ID: "a", Workspace: "w"}, ledger.Completed, true},
		{"a job that it does not know", host{states: known}, term, Job{ID: "b", Workspace: "w"}, ledger.Queued, false},
		{"a job of another workspace", host{states: known}, term, Job{ID: "a", Workspace: "v"}, ledger.Queued, false},
		{"no longer the owner", host{states: known}, term - 1, Job{ID: "a", Workspace: "w"}, ledger.Queued, false},
		{"no owner", host{states: known}, 0, Job{ID: "a", Workspace: "w"}, ledger.Queued, false},
		{"a silent owner", host{states: known, silent: true}, term, Job{ID: "a", Workspace: "w"}, ledger.Queued, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, ok := tt.host.asker(tt.term).State(t.Context(), tt.job); got != tt.want || ok != tt.ok {
				t.Errorf("State: %v, %t, want %v, %t", got, ok, tt.want, tt.ok)
			}
		})
	}
}

// All clients ask after the end of their jobs at once (the end of a turn): one message asks for all that wait.
func TestManyCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &host{states: map[fleet.JobID]ledger.State{"a": ledger.InProgress}, delay: 5 * time.Millisecond}
		a := h.asker(term)
		var all sync.WaitGroup
		for range 100 {
			all.Go(func() {
				if s, ok := a.State(t.Context(), Job{ID: "a", Workspace: "w"}); !ok || s != ledger.InProgress {
					t.Errorf("State: %v, %t", s, ok)
				}
			})
		}
		all.Wait()
		if h.asked > 3 {
			t.Errorf("%d messages for 100 callers", h.asked)
		}
	})
}

// Callers do not wait for an owner that does not answer more than once a second.
func TestSilentOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &host{silent: true, delay: askTimeout}
		a := h.asker(term)
		var waited []time.Duration
		for range 3 {
			began := time.Now()
			a.State(t.Context(), Job{ID: "a", Workspace: "w"})
			waited = append(waited, time.Since(began))
		}
		time.Sleep(failurePause)
		a.State(t.Context(), Job{ID: "a", Workspace: "w"})
		if diff := cmp.Diff([]time.Duration{askTimeout, 0, 0}, waited); diff != "" {
			t.Errorf("waits (-want +got):\n%s", diff)
		}
		if h.asked != 2 {
			t.Errorf("the owner was asked %d times, want 2", h.asked)
		}
	})
}

func TestMalformedInquiry(t *testing.T) {
	h := &host{}
	resp, err := h.exchange(t.Context(), platform.Request{Method: http.MethodPost, Path: Path, Body: []byte("{")})
	if err != nil || resp.Status != http.StatusBadRequest {
		t.Errorf("status %d, error %v", resp.Status, err)
	}
}
