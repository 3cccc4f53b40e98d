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
	// closing is closed when no more lines are taken. The lines' channel never is, since goroutines may log until the process ends.
	closing chan struct{}
	// batch is what run writes at once.
	batch bytes.Buffer
}

// NewWriter returns a writer that forwards lines to out until it is closed.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueued), closing: make(chan struct{})}
	w.done.Go(w.run)

	return w
}

// Write implements io.Writer. It queues the line, or drops it if the queue is full or the writer is closed.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case <-w.closing:
		return len(line), nil
	default:
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}

	return len(line), nil
}

// Close writes the queued lines. Later lines are dropped. It must be called once.
func (w *Writer) Close() {
	close(w.closing)
	w.done.Wait()
}

// run writes lines until the writer is closed, and then those that are queued.
func (w *Writer) run() {
	for {
		select {
		case line := <-w.lines:
			w.writeQueued(line)
		case <-w.closing:
			w.writeQueued(nil)
			return
		}
	}
}

// writeQueued writes a line and all that are queued at once, so that many lines take one system call.
func (w *Writer) writeQueued(first []byte) {
	w.batch.Reset()
	w.batch.Write(first)
	for waiting := len(w.lines); waiting > 0; waiting-- {
		w.batch.Write(<-w.lines)
	}
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(&w.batch, "time=%q level=warn msg=\"log lines dropped\" count=%d\n", time.Now().Format(TimeFormat), n)
	}
	if w.batch.Len() == 0 {
		return
	}
	// A failure to write the log itself can't be logged.
	_, _ = w.out.Write(w.batch.Bytes())
}

// TimeFormat has milliseconds and the zone, because the logs of several hosts are merged.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"
