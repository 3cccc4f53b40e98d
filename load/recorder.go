package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lycheehook.example/lycheehook/refusal"
)

// Range and precision of the latency histograms.
const (
	lowestLatency  = int64(time.Microsecond)
	highestLatency = int64(5 * time.Minute)
	latencyDigits  = 3
)

// windowCounts is the counts of a stream in one window.
type windowCounts struct {
	sent, done, notRun, unknown int
	latencySum                  time.Duration
	latencyMax                  time.Duration
}

// streamCounts is the counts of a stream over the whole run.
type streamCounts struct {
	sent, skipped int
	outcomes      map[Outcome]int
	codes         map[refusal.Code]int
	latency       *hdrhistogram.Histogram
	windows       []windowCounts
}

// observation is the outcome of a request from the caller's view.
type observation struct {
	outcome    Outcome
	idempotent bool
}

// recorder collects the results of all streams. It is safe for concurrent use.
type recorder struct {
	start   time.Time
	window  time.Duration
	streams []Stream

	mu           sync.Mutex
	counts       []*streamCounts
	observations map[string]observation
}

func newRecorder(start time.Time, window time.Duration, streams []Stream) *recorder {
	r := &recorder{start: start, window: window, streams: streams, observations: map[string]observation{}}
	for range streams {
		r.counts = append(r.counts, &streamCounts{
			outcomes: map[Outcome]int{},
			codes:    map[refusal.Code]int{},
			latency:  hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		})
	}

	return r
}

// windowAt returns the window of a stream that contains the given time since the start. r.mu must be held.
func (r *recorder) windowAt(stream int, at time.Duration) *windowCounts {
	t := r.counts[stream]
	i := int(at / r.window)
	for len(t.windows) <= i {
		t.windows = append(t.windows, windowCounts{})
	}

	return &t.windows[i]
}

func (r *recorder) sent(stream int, intended time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[stream].sent++
	r.windowAt(stream, intended).sent++
}

// skipped counts a request that was not sent because too many were outstanding.
func (r *recorder) skipped(stream int, intended time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[stream].skipped++
	r.windowAt(stream, intended).sent++
}

// answered records the result of a request; its latency is measured from the intended start.
func (r *recorder) answered(stream int, intended time.Duration, req request, res result) {
	now := time.Since(r.start)
	latency := now - intended

	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.counts[stream]
	t.outcomes[res.outcome]++
	r.observations[req.id] = observation{outcome: res.outcome, idempotent: req.idempotent}
	if res.code != "" {
		t.codes[res.code]++
	}

	c := r.windowAt(stream, now)
	switch res.outcome {
	case Done:
		c.done++
		c.latencySum += latency
		c.latencyMax = max(c.latencyMax, latency)
		_ = t.latency.RecordValue(min(int64(latency), highestLatency))
	case NotRun:
		c.notRun++
	case Unknown, Mixed, Cut:
		c.unknown++
	}
}
