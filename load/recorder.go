package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lycheehook.example/lycheehook/refusal"
)

// Bounds of the latency histograms.
const (
	lowestLatency  = int64(time.Microsecond)
	highestLatency = int64(5 * time.Minute)
	latencyDigits  = 3
)

// cell is what one stream saw in one window.
type cell struct {
	sent, done, notRun, unknown int
	latencySum                  time.Duration
	latencyMax                  time.Duration
}

// track is what one stream saw in all.
type track struct {
	sent, skipped int
	outcomes      map[Outcome]int
	codes         map[refusal.Code]int
	latency       *hdrhistogram.Histogram
	cells         []cell
}

// told is what the caller learned about one request.
type told struct {
	outcome    Outcome
	idempotent bool
}

// recorder gathers answers of all streams; it is safe for concurrent use.
type recorder struct {
	start   time.Time
	window  time.Duration
	streams []Stream

	mu     sync.Mutex
	tracks []*track
	told   map[string]told
}

func newRecorder(start time.Time, window time.Duration, streams []Stream) *recorder {
	r := &recorder{start: start, window: window, streams: streams, told: map[string]told{}}
	for range streams {
		r.tracks = append(r.tracks, &track{
			outcomes: map[Outcome]int{},
			codes:    map[refusal.Code]int{},
			latency:  hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		})
	}

	return r
}

// cellAt returns the cell of a moment of the run; the recorder is locked.
func (r *recorder) cellAt(stream int, at time.Duration) *cell {
	t := r.tracks[stream]
	i := int(at / r.window)
	for len(t.cells) <= i {
		t.cells = append(t.cells, cell{})
	}

	return &t.cells[i]
}

func (r *recorder) sent(stream int, intended time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracks[stream].sent++
	r.cellAt(stream, intended).sent++
}

// skipped counts a request that was not sent because too many waited for an answer.
func (r *recorder) skipped(stream int, intended time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracks[stream].skipped++
	r.cellAt(stream, intended).sent++
}

// answered records what a request came to; its latency counts from the intended start.
func (r *recorder) answered(stream int, intended time.Duration, req request, res result) {
	now := time.Since(r.start)
	latency := now - intended

	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tracks[stream]
	t.outcomes[res.outcome]++
	r.told[req.id] = told{outcome: res.outcome, idempotent: req.idempotent}
	if res.code != "" {
		t.codes[res.code]++
	}

	c := r.cellAt(stream, now)
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
