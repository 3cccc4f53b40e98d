package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/cert"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/settings"
)

// testServer is a server with the limits of an entry host; it records the requests that reach its handler.
type testServer struct {
	address string

	mu   sync.Mutex
	seen []string
}

func (l *testServer) requests() string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return strings.Join(l.seen, ", ")
}

func startServer(t *testing.T, limits settings.Limits, respond http.HandlerFunc) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &testServer{address: l.Addr().String()}
	s := newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		srv.mu.Lock()
		srv.seen = append(srv.seen, r.Method+" "+r.URL.Path)
		srv.mu.Unlock()
		respond(w, r)
	}), limits, log.New(io.Discard))
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })

	return srv
}

// readBody answers with 413 for a body that is too large and with 408 for one that can't be read completely.
func readBody(w http.ResponseWriter, r *http.Request) {
	_, err := io.Copy(io.Discard, r.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil:
		w.WriteHeader(http.StatusRequestTimeout)
	}
}

func testLimits() settings.Limits {
	l := settings.Default().Limits
	l.MaxHeaderBytes, l.MaxBodyBytes = 8<<10, 1<<10

	return l
}

// exchange sends raw bytes and returns the statuses of all answers until the server closes the connection, and the body
// of the last one.
func exchange(t *testing.T, address, sent string) (statuses []int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	// The server may close the connection before it has read everything.
	_, _ = io.WriteString(c, sent)

	r := bufio.NewReader(c)
	for {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			return statuses, body
		}
		data, _ := io.ReadAll(a.Body)
		statuses, body = append(statuses, a.StatusCode), string(data)
		if a.Close {
			return statuses, body
		}
	}
}

func TestListenerRejects(t *testing.T) {
	slow := testLimits()
	slow.ReadHeaderTimeout, slow.ReadTimeout = fleet.Duration(100*time.Millisecond), fleet.Duration(100*time.Millisecond)
	const host = "Host: x\r\n"
	tests := []struct {
		name, sent string
		limits     settings.Limits
		want, seen string
		body       string
	}{
		{"large header", "GET / HTTP/1.1\r\n" + host + "A: " + strings.Repeat("a", 16<<10) + "\r\n\r\n", testLimits(), "[431]", "", ""},
		{"large path", "GET /" + strings.Repeat("a", 16<<10) + " HTTP/1.1\r\n" + host + "\r\n", testLimits(), "[431]", "", ""},
		{"large body", "POST / HTTP/1.1\r\n" + host + "Content-Length: 1025\r\n\r\n", testLimits(), "[413]", "",
			`"Code":"RequestTooLarge","Reason":"the body has 1025 bytes, at most 1024 are taken","NotRun":true`},
		{"large chunked body", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n401\r\n" + strings.Repeat("a", 1025) + "\r\n0\r\n\r\n",
			testLimits(), "[413]", "POST /", ""},
		{"slow header", "GET / HTTP/1.1\r\nHo", slow, "[400]", "", ""},
		{"slow body", "POST / HTTP/1.1\r\n" + host + "Content-Length: 10\r\n\r\nabc", slow, "[408]", "POST /", ""},
		{"two lengths", "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", testLimits(), "[400]", "", ""},
		{"list of lengths", "POST / HTTP/1.1\r\n" + host + "Content-Length: 3, 4\r\n\r\nabcd", testLimits(), "[400]", "", ""},
		{"signed length", "POST / HTTP/1.1\r\n" + host + "Content-Length: +3\r\n\r\nabc", testLimits(), "[400]", "", ""},
		{"length and chunks", "POST /a HTTP/1.1\r\n" + host + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n" + host + "\r\n",
			testLimits(), "[200]", "POST /a", ""},
		{"unknown encoding", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", testLimits(), "[501]", "", ""},
		{"two encodings", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n", testLimits(), "[501]", "", ""},
		{"space before the colon", "POST / HTTP/1.1\r\n" + host + "Content-Length : 3\r\n\r\nabc", testLimits(), "[400]", "", ""},
		{"no host", "GET / HTTP/1.1\r\n\r\n", testLimits(), "[400]", "", ""},
		{"control character", "GET / HTTP/1.1\r\n" + host + "A: \x00\r\n\r\n", testLimits(), "[400]", "", ""},
	}
	for _, tt := range tests {
		l := startServer(t, tt.limits, readBody)
		statuses, body := exchange(t, l.address, tt.sent)
		if got := fmt.Sprint(statuses); got != tt.want || l.requests() != tt.seen || !strings.Contains(body, tt.body) {
			t.Errorf("%s: statuses %s, handled %q, body %q; want %s, %q, %q", tt.name, got, l.requests(), body, tt.want, tt.seen, tt.body)
		}
	}
}

// TestBodyDeadlineSparesRunningRequest checks that the read deadline does not end a request whose body was read.
func TestBodyDeadlineSparesRunningRequest(t *testing.T) {
	limits := testLimits()
	limits.ReadTimeout = fleet.Duration(50 * time.Millisecond)
	l := startServer(t, limits, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusBadGateway)
		case <-time.After(4 * limits.ReadTimeout.Std()):
		}
	})
	statuses, _ := exchange(t, l.address, "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc")
	if fmt.Sprint(statuses) != "[200]" {
		t.Errorf("answered %v, want 200", statuses)
	}
}

func TestTLSListener(t *testing.T) {
	a, err := cert.NewAuthority("ours", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	p, err := a.Issue("entry-1", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	f, err := a.WriteFiles(t.TempDir(), p)
	if err != nil {
		t.Fatal(err)
	}
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	l, err := withTLS(ctx, &wg, plain, settings.TLSFiles{CertificateFile: f.Certificate, KeyFile: f.Key, CAFile: f.CA}, log.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.TLS.PeerCertificates[0].Subject.CommonName)
	}), testLimits(), log.New(io.Discard))
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()

	source, err := cert.New(f)
	if err != nil {
		t.Fatal(err)
	}
	withCertificate := source.Client("entry-1")
	withoutCertificate := withCertificate.Clone()
	withoutCertificate.Certificates = nil
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: withCertificate}}
	answer, err := client.Get("https://" + plain.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if data, _ := io.ReadAll(answer.Body); string(data) != "entry-1" {
		t.Errorf("answered %q", data)
	}
	client.CloseIdleConnections()

	stranger := &http.Client{Transport: &http.Transport{TLSClientConfig: withoutCertificate}}
	if _, err := stranger.Get("https://" + plain.Addr().String()); err == nil {
		t.Error("a client without a certificate was accepted")
	}
	if statuses, _ := exchange(t, plain.Addr().String(), "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); fmt.Sprint(statuses) == "[200]" {
		t.Error("a plaintext request was accepted")
	}
}
