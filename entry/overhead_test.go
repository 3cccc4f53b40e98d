package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lycheehook.example/lycheehook/standin"
)

const (
	overheadSlots    = 16
	overheadRequests = 4000
	overheadService  = 5 * time.Millisecond
	// overheadRate is half of what the slots can serve, in requests per second.
	overheadRate = overheadSlots * int(time.Second/overheadService) / 2
	overheadBody = 1 << 10
)

// route is a path from a caller to the endpoint, with its measurements.
type route struct {
	name, url string
	cpu       []float64
	latency   []time.Duration
}

// BenchmarkOverhead compares the route through the entry host with a bare net/http handler that calls the same
// endpoint, and both with a direct call, alternating within one run. It measures the processor time of a request, less
// that of the direct call for the ratio, and the latency at half of the endpoint's capacity.
func BenchmarkOverhead(b *testing.B) {
	echo := standin.NewEndpoint(0)
	r := newCallerFixture(b, overheadSlots, echo)
	backend := "http://" + r.set.Endpoints()[0].Address.String() + "/"
	bare := httptest.NewServer(bareHandler(backend))
	defer bare.Close()
	routes := []*route{{name: "direct", url: backend}, {name: "bare", url: bare.URL}, {name: "path", url: r.url + "post/work"}}
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: overheadSlots, DialContext: (&net.Dialer{}).DialContext, DisableCompression: true,
	}}

	for b.Loop() {
		for range 5 {
			echo.SetService(0)
			for _, rt := range routes {
				rt.cpu = append(rt.cpu, processorTime(func() { closedLoop(b, client, r.secret, rt.url) }))
			}
		}
		echo.SetService(overheadService)
		for _, rt := range routes {
			rt.latency = append(rt.latency, openLoop(b, client, r.secret, rt.url)...)
		}
	}
	for _, rt := range routes {
		slices.Sort(rt.cpu)
		slices.Sort(rt.latency)
		b.ReportMetric(rt.median(), rt.name+"-cpu-us")
		b.ReportMetric(float64(rt.latency[len(rt.latency)/2].Microseconds()), rt.name+"-p50-us")
		b.ReportMetric(float64(rt.latency[len(rt.latency)*99/100].Microseconds()), rt.name+"-p99-us")
	}
	direct := routes[0].median()
	b.ReportMetric((routes[2].median()-direct)/(routes[1].median()-direct), "cpu-ratio")
}

func (r *route) median() float64 {
	return r.cpu[len(r.cpu)/2]
}

// processorTime returns the processor time in microseconds per request of f.
func processorTime(f func()) float64 {
	used := func() time.Duration {
		var u syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)

		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	before := used()
	f()

	return float64((used() - before).Microseconds()) / overheadRequests
}

// closedLoop sends requests back to back on half as many connections as there are slots.
func closedLoop(b *testing.B, c *http.Client, secret, url string) {
	b.Helper()
	var wg sync.WaitGroup
	const workers = overheadSlots / 2
	for range workers {
		wg.Go(func() {
			for range overheadRequests / workers {
				post(b, c, secret, url)
			}
		})
	}
	wg.Wait()
}

// openLoop sends requests at a fixed rate and returns the latency of each, measured from when it was due.
func openLoop(b *testing.B, c *http.Client, secret, url string) []time.Duration {
	b.Helper()
	latency := make([]time.Duration, overheadRequests)
	var wg sync.WaitGroup
	began := time.Now()
	for i := range latency {
		due := began.Add(time.Duration(i) * time.Second / time.Duration(overheadRate))
		<-time.After(time.Until(due))
		wg.Go(func() {
			post(b, c, secret, url)
			latency[i] = time.Since(due)
		})
	}
	wg.Wait()

	return latency
}

func post(b *testing.B, c *http.Client, secret, url string) {
	b.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(strings.Repeat("x", overheadBody)))
	if err != nil {
		b.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := c.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if n, err := io.Copy(io.Discard, resp.Body); n != overheadBody || err != nil || resp.StatusCode != http.StatusOK {
		b.Errorf("status %d, %d bytes, %v", resp.StatusCode, n, err)
	}
}

// bareHandler forwards requests with net/http alone.
func bareHandler(backend string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: overheadSlots, DisableCompression: true}}

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		req, err := http.NewRequestWithContext(r.Context(), http.MethodPost, backend, bytes.NewReader(body))
		if err != nil {
			return
		}
		resp, err := client.Do(req)
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}
