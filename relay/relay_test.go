package relay

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/platform"
)

// answers is what a way to the store does with a call.
type answers struct {
	status int
	err    error
}

func (a answers) exchange(calls *int) platform.Exchange {
	return func(context.Context, platform.Request) (platform.Response, error) {
		*calls++
		return platform.Response{Status: a.status}, a.err
	}
}

var (
	works     = answers{status: http.StatusOK}
	refuses   = answers{status: http.StatusServiceUnavailable}
	cutOff    = answers{status: http.StatusBadGateway}
	notSent   = answers{err: platform.ErrNotSent}
	noAnswer  = answers{err: platform.ErrNoAnswer}
	silent    = answers{err: merry.Wrap(platform.ErrNoAnswer, merry.WithCause(context.DeadlineExceeded))}
	readCall  = platform.Request{Method: http.MethodGet, Path: platform.StorePath + "key?key=a"}
	writeCall = platform.Request{Method: http.MethodPost, Path: platform.StorePath + "txn"}
)

// A call goes through a peer when the store surely did not carry it out, and never when it may have.
func TestExchange(t *testing.T) {
	tests := []struct {
		name         string
		direct, peer answers
		call         platform.Request
		status       int
		err          error
		viaPeer      bool
	}{
		{"the store answers", works, works, writeCall, http.StatusOK, nil, false},
		{"the store turns the host away", refuses, works, writeCall, http.StatusOK, nil, true},
		{"the store can't be reached", notSent, works, writeCall, http.StatusOK, nil, true},
		{"a write without an answer is left to the caller", noAnswer, works, writeCall, 0, platform.ErrNoAnswer, false},
		{"a read without an answer is repeated", noAnswer, works, readCall, http.StatusOK, nil, true},
		{"a write that a peer may have made is left to the caller", refuses, noAnswer, writeCall, 0, platform.ErrNoAnswer, true},
		{"the store is down for all", refuses, cutOff, writeCall, http.StatusServiceUnavailable, nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var direct, peer int
			r := newRoute(tt.direct.exchange(&direct), tt.peer.exchange(&peer))
			resp, err := r.Exchange(t.Context(), tt.call)
			if diff := cmp.Diff(tt.status, resp.Status); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			if (tt.err == nil) != (err == nil) {
				t.Errorf("got error %v, want %v", err, tt.err)
			}
			if tt.viaPeer != (peer > 0) {
				t.Errorf("%d calls through the peer", peer)
			}
		})
	}
}

// Harambee, trouble-1: the store is silent for the owner alone for 7 s. Once that is noticed, calls go to a peer at
// once, and come back when the store answers again.
func TestSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var direct, peer int
		way := silent
		r := newRoute(func(ctx context.Context, req platform.Request) (platform.Response, error) {
			return way.exchange(&direct)(ctx, req)
		}, works.exchange(&peer))
		if _, err := r.Exchange(t.Context(), writeCall); err == nil {
			t.Error("the first write had an answer")
		}
		if _, err := r.Exchange(t.Context(), writeCall); err != nil || direct != 1 {
			t.Errorf("the second write: %v, after %d direct calls", err, direct)
		}

		way = works
		time.Sleep(probeInterval)
		for range 2 {
			if _, err := r.Exchange(t.Context(), writeCall); err != nil {
				t.Error(err)
			}
			synctest.Wait()
		}
		if !r.Direct() {
			t.Error("the direct way is not taken again")
		}
	})
}

// A caller that waits a fifth of a second in vain has learnt enough; one that leaves sooner, or for another reason, has not.
func TestSilenceSeenByCallers(t *testing.T) {
	tests := []struct {
		name   string
		wait   time.Duration
		cancel bool
		leaves bool
	}{
		{"a long wait", silenceTime, false, true},
		{"a short wait", silenceTime - time.Millisecond, false, false},
		{"a caller that goes away", 2 * silenceTime, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var peer int
				r := newRoute(func(ctx context.Context, _ platform.Request) (platform.Response, error) {
					<-ctx.Done()
					return platform.Response{}, merry.Wrap(platform.ErrNoAnswer, merry.WithCause(ctx.Err()))
				}, works.exchange(&peer))
				ctx, cancel := context.WithTimeout(t.Context(), tt.wait)
				defer cancel()
				if tt.cancel {
					time.AfterFunc(tt.wait-time.Millisecond, cancel)
				}
				if _, err := r.Exchange(ctx, writeCall); err == nil {
					t.Error("an answer from a silent store")
				}
				if r.Direct() == tt.leaves {
					t.Errorf("calls go to the store itself: %t", r.Direct())
				}
			})
		})
	}
}

func newRoute(direct, peer platform.Exchange) *Route {
	return New(
		direct, func(string) platform.Exchange { return peer }, func() []string { return []string{"p1", "p2"} },
		readCall, log.New(io.Discard),
	)
}
