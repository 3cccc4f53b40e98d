package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueued bounds the lines that wait to be written; at some 200 bytes each they take under a megabyte.
const maxQueued = 4096

// Writer passes lines on to another writer without ever blocking its callers: lines that find the queue full are
// dropped, counted, and the count is written once there is room.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewWriter returns a writer that passes lines on to out until it is closed.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueued)}
	w.done.Go(w.run)

	return w
}

// Write implements io.Writer; it takes the line or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}

	return len(line), nil
}

// Close writes what waits; nothing may be written afterwards.
func (w *Writer) Close() {
	close(w.lines)
	w.done.Wait()
}

// run writes all lines that wait at once, so that many lines cost one call of the system.
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
		// There is nobody to tell that the log itself can't be written.
		_, _ = w.out.Write(batch.Bytes())
	}
}

// TimeFormat shows milliseconds and the zone, since several hosts' logs are read together.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"
