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

// route is one way from a caller to the endpoint.
type route struct {
	name, url string
	cpu       []float64
	latency   []time.Duration
}

// BenchmarkOverhead compares the way through the entry host with a bare net/http handler that calls the same
// endpoint, and both with the direct call, in turns within one run: processor time of one request, from which the
// direct call's is taken off, and latency at half of the endpoint's capacity.
func BenchmarkOverhead(b *testing.B) {
	echo := standin.NewEndpoint(0)
	r := newCallerRig(b, overheadSlots, echo)
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
			for _, way := range routes {
				way.cpu = append(way.cpu, processorTime(func() { closedLoop(b, client, r.secret, way.url) }))
			}
		}
		echo.SetService(overheadService)
		for _, way := range routes {
			way.latency = append(way.latency, openLoop(b, client, r.secret, way.url)...)
		}
	}
	for _, way := range routes {
		slices.Sort(way.cpu)
		slices.Sort(way.latency)
		b.ReportMetric(way.median(), way.name+"-cpu-us")
		b.ReportMetric(float64(way.latency[len(way.latency)/2].Microseconds()), way.name+"-p50-us")
		b.ReportMetric(float64(way.latency[len(way.latency)*99/100].Microseconds()), way.name+"-p99-us")
	}
	direct := routes[0].median()
	b.ReportMetric((routes[2].median()-direct)/(routes[1].median()-direct), "cpu-ratio")
}

func (r *route) median() float64 {
	return r.cpu[len(r.cpu)/2]
}

// processorTime returns the microseconds of processor time that f takes for each of its requests.
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

// closedLoop sends one request after the other on half as many connections as there are slots.
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

// openLoop sends requests at a fixed rate and returns how long each took from when it was due.
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

// bareHandler passes requests on with net/http alone.
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
