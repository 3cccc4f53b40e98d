package telemetry

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/work"
)

// gate is a writer that waits until it is opened.
type gate struct {
	open chan struct{}
	bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.Buffer.Write(p)
}

// A log that can't be written blocks nobody; what was dropped is counted.
func TestWriterNeverBlocks(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := NewWriter(g)
	const lines = 3 * maxQueued
	for range lines {
		if _, err := io.WriteString(w, "line\n"); err != nil {
			t.Fatal(err)
		}
	}
	close(g.open)
	w.Close()

	written := strings.Count(g.String(), "line\n")
	if written < maxQueued || written >= lines {
		t.Errorf("%d of %d lines written", written, lines)
	}
	if !strings.Contains(g.String(), "log lines dropped") {
		t.Error("nothing says that lines were dropped")
	}
}

// Each kind of line is bounded by itself, and what was left out is told in the next second.
func TestLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := NewLimiter(log.New(&out))
		allowed := 0
		for range maxPerSecond + 7 {
			if l.Allow("Ended") {
				allowed++
			}
		}
		if diff := cmp.Diff(maxPerSecond, allowed); diff != "" {
			t.Errorf("lines in one second (-want +got):\n%s", diff)
		}
		if !l.Allow("Assigned") {
			t.Error("another kind was held back")
		}
		time.Sleep(time.Second)
		if !l.Allow("Ended") || !strings.Contains(out.String(), "count=7") {
			t.Errorf("a second later: %s", out.String())
		}
	})
}

// The metrics are served as text.
func TestMetrics(t *testing.T) {
	m := NewMetrics()
	m.Request(http.MethodPost, http.StatusOK, 20*time.Millisecond)
	m.End(work.OutcomeDone)
	m.call("worker", "Start", time.Now(), work.ErrFenced)
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`lycheehook_requests_total{method="POST",status="OK"} 1`, `lycheehook_run_ends_total{outcome="Done"} 1`,
		`lycheehook_calls_total{call="Start",result="Fenced",to="worker"} 1`,
	} {
		if !strings.Contains(rec.Body.String(), want) {
			t.Errorf("missing %s in\n%s", want, rec.Body)
		}
	}
}

// The operators' page lists every metric.
func TestMetricsOnThePage(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	m := NewMetrics()
	m.Request(http.MethodGet, http.StatusOK, 0)
	m.Decision("Assigned")
	m.End(work.OutcomeDone)
	m.Unstarted("NoRoom", 0)
	m.call("store", "Get", time.Now(), nil)
	families, err := m.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if !bytes.Contains(page, []byte("`"+f.GetName()+"`")) {
			t.Errorf("docs/OPERATIONS.md does not list %s", f.GetName())
		}
	}
}
