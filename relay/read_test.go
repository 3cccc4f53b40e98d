package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/platform"
)

const (
	testHedgeDelay = 250 * time.Millisecond
	testTimeout    = 3 * time.Second
)

// silentUntil returns an exchange that answers calls which begin after a time at once, and no others.
func silentUntil(at time.Time) platform.Exchange {
	return func(ctx context.Context, r platform.Request) (platform.Response, error) {
		if !time.Now().Before(at) {
			return platform.Response{Status: http.StatusOK}, nil
		}
		ctx, cancel := context.WithTimeout(ctx, r.Timeout)
		defer cancel()
		<-ctx.Done()

		return platform.Response{}, merry.Wrap(platform.ErrNoAnswer, merry.WithCause(ctx.Err()))
	}
}

// Guards against a read that waits for the timeouts of silent ways one after the other, long after another way is well (CONFIG).
func TestReadByAnotherWay(t *testing.T) {
	const never = time.Hour
	tests := []struct {
		name string
		// direct and peers are how long each way is silent.
		direct time.Duration
		peers  []time.Duration
		// want is when the read is answered at the latest.
		want time.Duration
	}{
		{"the store answers", 0, nil, 0},
		{"only the first call is lost", time.Millisecond, []time.Duration{never, never, never}, 2 * testHedgeDelay},
		{"the direct connection is out", never, []time.Duration{0}, testHedgeDelay},
		{"the direct connection and a peer are out", never, []time.Duration{never, 0}, 3 * testHedgeDelay},
		{"all ways were out for a second", time.Second, []time.Duration{never, never, never}, time.Second + repeatDelay},
		{"no peers", time.Second, nil, time.Second + repeatDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				r := routeOf(start, tt.direct, tt.peers)
				req := readCall
				req.Timeout, req.HedgeDelay = testTimeout, testHedgeDelay
				resp, err := r.Exchange(t.Context(), req)
				if err != nil || resp.Status != http.StatusOK {
					t.Errorf("status %d, %v", resp.Status, err)
				}
				if took := time.Since(start); took > tt.want {
					t.Errorf("answered after %v, want %v at most", took, tt.want)
				}
			})
		})
	}
}

// Guards against a narrow link on which a page that arrives slowly is sent again, and then arrives later or never.
func TestReadWhoseResponseHasBegun(t *testing.T) {
	for _, tt := range []struct {
		name string
		// body is how long the body takes after the first byte.
		body  time.Duration
		calls int
	}{
		{"slow body", 3 * testHedgeDelay, 1},
		{"body that stops", time.Hour, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				direct := func(ctx context.Context, r platform.Request) (platform.Response, error) {
					calls++
					if calls > 1 {
						return platform.Response{Status: http.StatusOK}, nil
					}
					time.Sleep(testHedgeDelay / 2)
					r.OnResponse()
					pause.For(ctx, tt.body)

					return platform.Response{Status: http.StatusOK}, ctx.Err()
				}
				r := New(direct, nil, func() []string { return nil }, readCall, log.New(io.Discard))
				req := readCall
				req.Timeout, req.HedgeDelay = testTimeout, testHedgeDelay
				if resp, err := r.Exchange(t.Context(), req); err != nil || resp.Status != http.StatusOK {
					t.Errorf("status %d, %v", resp.Status, err)
				}
				if diff := cmp.Diff(tt.calls, calls); diff != "" {
					t.Errorf("calls (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestReadEnds checks that a read that no way answers ends with an error, also if its caller gives up first.
func TestReadEnds(t *testing.T) {
	tests := []struct {
		name string
		// hedge is the hedge delay and limit the caller's deadline.
		hedge, limit time.Duration
		want         time.Duration
	}{
		{"no way answers", testHedgeDelay, time.Minute, testHedgeDelay + testTimeout + repeatDelay},
		{"without repetitions", 0, time.Minute, 3 * testTimeout},
		{"the caller gives up", testHedgeDelay, time.Second, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				r := routeOf(start, time.Hour, []time.Duration{time.Hour})
				ctx, cancel := context.WithTimeout(t.Context(), tt.limit)
				defer cancel()
				req := readCall
				req.Timeout, req.HedgeDelay = testTimeout, tt.hedge
				if _, err := r.Exchange(ctx, req); !errors.Is(err, platform.ErrNoAnswer) {
					t.Errorf("got %v", err)
				}
				if took := time.Since(start); took > tt.want {
					t.Errorf("ended after %v, want %v at most", took, tt.want)
				}
			})
		})
	}
}

// Guards against a direct connection that counts as failed again because calls from before its recovery end.
func TestLateFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		r := routeOf(start, time.Second, []time.Duration{time.Hour})
		req := readCall
		req.Timeout, req.HedgeDelay = testTimeout, testHedgeDelay
		if _, err := r.Exchange(t.Context(), req); err != nil {
			t.Error(err)
		}
		time.Sleep(testTimeout)
		if diff := cmp.Diff(true, r.Direct()); diff != "" {
			t.Errorf("calls go to the store directly (-want +got):\n%s", diff)
		}
	})
}

// TestOvertakenDirectReads checks that calls go through peers once these were faster several times, so that not each read has to
// wait for the direct connection first.
func TestOvertakenDirectReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		r := routeOf(start, time.Hour, []time.Duration{0})
		req := readCall
		req.Timeout, req.HedgeDelay = testTimeout, testHedgeDelay
		for range failoverThreshold {
			if _, err := r.Exchange(t.Context(), req); err != nil {
				t.Error(err)
			}
			synctest.Wait()
		}
		start = time.Now()
		if _, err := r.Exchange(t.Context(), req); err != nil || time.Since(start) > 0 {
			t.Errorf("%v after %v", err, time.Since(start))
		}
	})
}

// routeOf returns a route whose ways are silent for some time from the start.
func routeOf(start time.Time, direct time.Duration, peers []time.Duration) *Route {
	ways := map[string]platform.Exchange{}
	var names []string
	for i, d := range peers {
		name := string(rune('a' + i))
		names = append(names, name)
		ways[name] = silentUntil(start.Add(d))
	}

	return New(
		silentUntil(start.Add(direct)), func(a string) platform.Exchange { return ways[a] }, func() []string { return names },
		readCall, log.New(io.Discard),
	)
}

// Guards against a store that is slow for all and gets several times its load, since each read is sent by all ways: the answer
// must come from the first attempt, the number of attempts must follow from its delay, and calls must not turn to the peers.
func TestReadOfSlowStore(t *testing.T) {
	for _, tt := range []struct {
		latency  time.Duration
		attempts int64
	}{
		{testHedgeDelay / 2, 1}, {testHedgeDelay + testHedgeDelay/2, 2}, {2*testHedgeDelay + testHedgeDelay/2, 3},
	} {
		t.Run(tt.latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const reads = 10
				var attempts atomic.Int64
				slow := func(ctx context.Context, _ platform.Request) (platform.Response, error) {
					attempts.Add(1)
					if !pause.For(ctx, tt.latency) {
						return platform.Response{}, merry.Wrap(platform.ErrNoAnswer, merry.WithCause(ctx.Err()))
					}

					return platform.Response{Status: http.StatusOK}, nil
				}
				r := New(slow, func(string) platform.Exchange { return slow }, func() []string { return []string{"a", "b", "c"} }, readCall, log.New(io.Discard))
				req := readCall
				req.Timeout, req.HedgeDelay = testTimeout, testHedgeDelay
				for range reads {
					start := time.Now()
					if _, err := r.Exchange(t.Context(), req); err != nil || time.Since(start) != tt.latency {
						t.Errorf("%v after %v", err, time.Since(start))
					}
					synctest.Wait()
				}
				if diff := cmp.Diff(tt.attempts*reads, attempts.Load()); diff != "" {
					t.Errorf("attempts (-want +got):\n%s", diff)
				}
				if !r.Direct() {
					t.Error("calls go through peers")
				}
			})
		})
	}
}
