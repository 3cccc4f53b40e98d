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

// outcome is the result of each call made through an exchange.
type outcome struct {
	status int
	err    error
}

func (r outcome) exchange(calls *int) platform.Exchange {
	return func(context.Context, platform.Request) (platform.Response, error) {
		*calls++
		return platform.Response{Status: r.status}, r.err
	}
}

var (
	success    = outcome{status: http.StatusOK}
	rejection  = outcome{status: http.StatusServiceUnavailable}
	badGateway = outcome{status: http.StatusBadGateway}
	notSent    = outcome{err: platform.ErrNotSent}
	noAnswer   = outcome{err: platform.ErrNoAnswer}
	timedOut   = outcome{err: merry.Wrap(platform.ErrNoAnswer, merry.WithCause(context.DeadlineExceeded))}
	readCall   = platform.Request{Method: http.MethodGet, Path: platform.StorePath + "key?key=a"}
	writeCall  = platform.Request{Method: http.MethodPost, Path: platform.StorePath + "txn"}
)

// TestExchange checks that a call is retried through a peer if the store did not carry it out, and that a write is never
// retried if the store may have carried it out.
func TestExchange(t *testing.T) {
	tests := []struct {
		name         string
		direct, peer outcome
		call         platform.Request
		status       int
		err          error
		viaPeer      bool
	}{
		{"the store answers", success, success, writeCall, http.StatusOK, nil, false},
		{"the store rejects the call", rejection, success, writeCall, http.StatusOK, nil, true},
		{"the store can't be reached", notSent, success, writeCall, http.StatusOK, nil, true},
		{"a write without a response is not retried", noAnswer, success, writeCall, 0, platform.ErrNoAnswer, false},
		{"a read without a response is retried", noAnswer, success, readCall, http.StatusOK, nil, true},
		{"a write that a peer may have forwarded is not retried", rejection, noAnswer, writeCall, 0, platform.ErrNoAnswer, true},
		{"the store is down for all hosts", rejection, badGateway, writeCall, http.StatusServiceUnavailable, nil, true},
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

// TestFailover guards against a partition in which the store did not respond to the owner alone for
// 7 s. After the first timeout calls must go to a peer at once, and return to the direct connection when it works again.
func TestFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var direct, peer int
		current := timedOut
		r := newRoute(func(ctx context.Context, req platform.Request) (platform.Response, error) {
			return current.exchange(&direct)(ctx, req)
		}, success.exchange(&peer))
		if _, err := r.Exchange(t.Context(), writeCall); err == nil {
			t.Error("the first write got a response")
		}
		if _, err := r.Exchange(t.Context(), writeCall); err != nil || direct != 1 {
			t.Errorf("the second write: %v, after %d direct calls", err, direct)
		}

		current = success
		time.Sleep(probeInterval)
		for range 2 {
			if _, err := r.Exchange(t.Context(), writeCall); err != nil {
				t.Error(err)
			}
			synctest.Wait()
		}
		if !r.Direct() {
			t.Error("direct calls were not resumed")
		}
	})
}

// TestCallerDeadline checks that a call that ends at its deadline counts as a failure of the store if it lasted at least
// minSilence, and that a shorter or a cancelled call does not.
func TestCallerDeadline(t *testing.T) {
	tests := []struct {
		name      string
		wait      time.Duration
		cancel    bool
		failsOver bool
	}{
		{"long wait", minSilence, false, true},
		{"short wait", minSilence - time.Millisecond, false, false},
		{"cancelled call", 2 * minSilence, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var peer int
				r := newRoute(func(ctx context.Context, _ platform.Request) (platform.Response, error) {
					<-ctx.Done()
					return platform.Response{}, merry.Wrap(platform.ErrNoAnswer, merry.WithCause(ctx.Err()))
				}, success.exchange(&peer))
				ctx, cancel := context.WithTimeout(t.Context(), tt.wait)
				defer cancel()
				if tt.cancel {
					time.AfterFunc(tt.wait-time.Millisecond, cancel)
				}
				if _, err := r.Exchange(ctx, writeCall); err == nil {
					t.Error("got a response from a store that does not respond")
				}
				if r.Direct() == tt.failsOver {
					t.Errorf("calls go to the store directly: %t", r.Direct())
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
