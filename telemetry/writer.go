package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueued is the length of the queue of lines; at some 200 bytes each they take under a megabyte.
const maxQueued = 4096

// Writer queues lines for another writer without ever blocking its callers. Lines are dropped and counted while the queue
// is full, and their number is logged once there is room.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewWriter returns a writer that forwards lines to out until it is closed.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueued)}
	w.done.Go(w.run)

	return w
}

// Write implements io.Writer. It queues the line, or drops it if the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}

	return len(line), nil
}

// Close writes the queued lines. Write must not be called afterwards.
func (w *Writer) Close() {
	close(w.lines)
	w.done.Wait()
}

// run writes all queued lines at once, so that many lines take one system call.
func (w *Writer) run() {
	var batch bytes.Buffer
	for line := range w.lines {
		batch.Reset()
		batch.Write(line)
		for waiting := len(w.lines); waiting > 0; waiting-- {
			batch.Write(<-w.lines)
		}
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(&batch, "time=%q level=warn msg=\"log lines dropped\" count=%d\n", time.Now().Format(TimeFormat), n)
		}
		// A failure to write the log itself can't be logged.
		_, _ = w.out.Write(batch.Bytes())
	}
}

// TimeFormat has milliseconds and the zone, because the logs of several hosts are merged.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"
