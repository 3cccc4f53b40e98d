package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"lycheehook.example/lycheehook/cert"
	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/standin"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.b.Write(p)
}

// String returns what was written.
func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.b.String()
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()

	return netip.MustParseAddrPort(l.Addr().String())
}

// tlsFiles writes a certificate of an authority for loopback to a new directory.
func tlsFiles(t *testing.T, a *cert.Authority) cert.Files {
	t.Helper()
	p, err := a.Issue("entry-1", time.Hour, net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	f, err := a.WriteFiles(t.TempDir(), p)
	if err != nil {
		t.Fatal(err)
	}

	return f
}

func newAuthority(t *testing.T) *cert.Authority {
	t.Helper()
	a, err := cert.NewAuthority("operators", time.Hour)
	if err != nil {
		t.Fatal(err)
	}

	return a
}

// An entry host that is started with a settings file serves operators over TLS, logs JSON without secrets, and stops gracefully.
func TestEntryFromSettingsFile(t *testing.T) {
	entryFromSettingsFile(t, 3)
}

// entryFromSettingsFile retries with other addresses if another process has taken a port, up to attempts times.
func entryFromSettingsFile(t *testing.T, attempts int) {
	t.Helper()
	store, platform := httptest.NewServer(standin.NewStore()), httptest.NewServer(standin.NewPlatform())
	defer store.Close()
	defer platform.Close()
	files, otherFiles := tlsFiles(t, newAuthority(t)), tlsFiles(t, newAuthority(t))
	hash, token := key.NewSecret()
	s := settings.Settings{
		Name: "entry-1", Region: "region-1", Zone: "zone-a", CallerAddress: freeAddress(t), OperatorAddress: freeAddress(t),
		StoreAddress:    netip.MustParseAddrPort(store.Listener.Addr().String()),
		PlatformAddress: netip.MustParseAddrPort(platform.Listener.Addr().String()),
		Operators:       []settings.Operator{{Name: "wanjiru", TokenHash: hash}},
		TLS:             settings.TLS{Operators: settings.TLSFiles{CertificateFile: files.Certificate, KeyFile: files.Key}},
		Log:             settings.Log{Format: settings.LogJSON},
	}.WithDefaults()
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "entry.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}

	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var logs lockedBuffer
	ended := make(chan exitCode, 1)
	go func() {
		ended <- run(ctx, []string{"entry", "--settings", path}, environment{out: &logs, err: &logs, getenv: os.Getenv})
	}()

	var out bytes.Buffer
	operate := func(ca string, args ...string) exitCode {
		out.Reset()
		env := map[string]string{envOperator: s.OperatorAddress.String(), envToken: token, envCA: ca}
		return run(t.Context(), args, environment{out: &out, err: &out, getenv: func(name string) string { return env[name] }})
	}
	for range 1000 {
		if operate(files.CA, "status") == exitOK && strings.Contains(out.String(), "in force") {
			break
		}
		if len(ended) > 0 {
			if strings.Contains(logs.String(), "address already in use") && attempts > 1 {
				// Another process has taken a port between the choice of the address and the start.
				entryFromSettingsFile(t, attempts-1)
				return
			}
			t.Fatalf("the entry host ended with %d:\n%s", <-ended, logs.String())
		}
		<-time.After(10 * time.Millisecond)
	}
	if !strings.Contains(out.String(), "entry-1") || !strings.Contains(out.String(), "in force") {
		t.Fatalf("status over TLS: %s\n%s", out.String(), logs.String())
	}
	if code := operate(otherFiles.CA, "customers", "get"); code != exitUnavailable || !strings.Contains(out.String(), "unknown authority") {
		t.Errorf("an entry host of another authority was trusted: %d %s", code, out.String())
	}
	if code := operate("", "customers", "get"); code == exitOK {
		t.Errorf("a request without TLS succeeded: %s", out.String())
	}

	stop()
	if code := <-ended; code != exitOK {
		t.Errorf("the entry host ended with %d", code)
	}
	for line := range strings.Lines(logs.String()) {
		if !json.Valid([]byte(line)) {
			t.Errorf("log line is not valid JSON: %s", line)
		}
	}
	if text := logs.String(); !strings.Contains(text, "entry host serves") || strings.Contains(text, token) || !strings.Contains(text, "TLS handshake error") {
		t.Errorf("logs without a start or a failed handshake, or with a token:\n%s", text)
	}
}
