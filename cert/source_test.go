package cert_test

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/cert"
)

func authority(t *testing.T, name string) *cert.Authority {
	t.Helper()
	a, err := cert.NewAuthority(name, time.Hour)
	if err != nil {
		t.Fatal(err)
	}

	return a
}

// files issues a certificate and writes it to dir.
func files(t *testing.T, a *cert.Authority, name, dir string, lifetime time.Duration) cert.Files {
	t.Helper()
	p, err := a.Issue(name, lifetime, net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	f, err := a.WriteFiles(dir, p)
	if err != nil {
		t.Fatal(err)
	}

	return f
}

func source(t *testing.T, f cert.Files, opts ...cert.Option) *cert.Source {
	t.Helper()
	s, err := cert.New(f, opts...)
	if err != nil {
		t.Fatal(err)
	}

	return s
}

// connect performs a handshake over loopback, exchanges a byte each way and returns the server's certificate.
func connect(t *testing.T, server, client *tls.Config) (*x509.Certificate, error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		b := make([]byte, 1)
		if _, err := c.Read(b); err == nil {
			_, _ = c.Write(b)
		}
	}()

	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("x")); err != nil {
		return nil, err
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return nil, err
	}

	return c.ConnectionState().PeerCertificates[0], nil
}

func TestMutualTLS(t *testing.T) {
	ours, theirs := authority(t, "ours"), authority(t, "theirs")
	server := source(t, files(t, ours, "entry-1", t.TempDir(), time.Hour))
	fromUs := files(t, ours, "entry-2", t.TempDir(), time.Hour)
	fromThem := files(t, theirs, "entry-2", t.TempDir(), time.Hour)
	stranger, onlyCA := fromThem, cert.Files{CA: fromUs.CA}
	stranger.CA = fromUs.CA

	tests := []struct {
		name, serverName string
		files            cert.Files
		want             string
	}{
		{"same authority", "entry-1", fromUs, ""},
		{"by address", "127.0.0.1", fromUs, ""},
		{"server certificate is for another name", "entry-3", fromUs, "not entry-3"},
		{"client trusts another authority", "entry-1", fromThem, "unknown authority"},
		{"client certificate is of another authority", "entry-1", stranger, "unknown certificate authority"},
		{"client presents no certificate", "entry-1", onlyCA, "certificate required"},
	}
	for _, tt := range tests {
		client := source(t, tt.files).Client(tt.serverName)
		if len(client.Certificates) > 0 {
			// Present the certificate even if the server doesn't list its authority as acceptable.
			client.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
				return &client.Certificates[0], nil
			}
		}
		_, err := connect(t, server.Server(), client)
		if (err == nil) != (tt.want == "") || err != nil && !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: %v, want %q", tt.name, err, tt.want)
		}
	}
}

func TestExpired(t *testing.T) {
	a := authority(t, "ours")
	good := files(t, a, "entry-1", t.TempDir(), time.Hour)
	expired := files(t, a, "entry-2", t.TempDir(), -time.Second)
	if _, err := cert.New(expired); !errors.Is(err, cert.ErrInvalid) || !strings.Contains(err.Error(), "expired") {
		t.Errorf("an expired certificate was loaded: %v", err)
	}

	// The other side must reject an expired certificate even if the presenting side doesn't check its own.
	pair, err := tls.LoadX509KeyPair(expired.Certificate, expired.Key)
	if err != nil {
		t.Fatal(err)
	}
	client := source(t, good).Client("entry-1")
	client.Certificates = []tls.Certificate{pair}
	if _, err := connect(t, source(t, good).Server(), client); err == nil || !strings.Contains(err.Error(), "expired") {
		t.Errorf("an expired client certificate was accepted: %v", err)
	}
	if _, err := connect(t, &tls.Config{Certificates: []tls.Certificate{pair}}, source(t, good).Client("entry-2")); err == nil {
		t.Error("an expired server certificate was accepted")
	}
}

func TestReload(t *testing.T) {
	a, dir := authority(t, "ours"), t.TempDir()
	f := files(t, a, "entry-1", dir, time.Hour)
	var logs bytes.Buffer
	s := source(t, f, cert.WithLogger(log.New(&logs)))
	server, client := s.Server(), source(t, cert.Files{Certificate: f.Certificate, Key: f.Key, CA: f.CA})
	before, err := connect(t, server, client.Client("entry-1"))
	if err != nil {
		t.Fatal(err)
	}

	broken := map[string]string{
		f.Certificate: "-----BEGIN CERTIFICATE-----\nhalf a fi",
		f.Key:         "",
		f.CA:          "nothing",
	}
	for name, content := range broken {
		sound, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		logs.Reset()
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := s.Reload(); !errors.Is(err, cert.ErrInvalid) {
			t.Errorf("broken %s: %v", name, err)
		}
		if got, err := connect(t, server, client.Client("entry-1")); err != nil || !got.Equal(before) {
			t.Errorf("broken %s: the old certificate is not in use: %v", name, err)
		}
		if !strings.Contains(logs.String(), "failed to reload") {
			t.Errorf("broken %s: logged %q", name, logs.String())
		}
		if err := os.WriteFile(name, sound, 0o600); err != nil {
			t.Fatal(err)
		}
	}

	files(t, a, "entry-1", dir, time.Hour)
	if err := s.Reload(); err != nil {
		t.Fatal(err)
	}
	if after, err := connect(t, server, client.Client("entry-1")); err != nil || after.Equal(before) {
		t.Errorf("the new certificate is not in use: %v", err)
	}
}

func TestReplacedAuthority(t *testing.T) {
	ours, theirs, dir := authority(t, "ours"), authority(t, "theirs"), t.TempDir()
	s := source(t, files(t, ours, "entry-1", dir, time.Hour))
	old := source(t, files(t, ours, "entry-2", t.TempDir(), time.Hour))
	server := s.Server()
	files(t, theirs, "entry-1", dir, time.Hour)
	if err := s.Reload(); err != nil {
		t.Fatal(err)
	}

	config := old.Client("entry-1")
	config.RootCAs = x509.NewCertPool()
	config.RootCAs.AppendCertsFromPEM(theirs.PEM())
	if _, err := connect(t, server, config); err == nil {
		t.Error("a client certificate of the replaced authority was accepted")
	}
}

func TestFollowReloads(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		// The bubble's clock starts in the year 2000, so the authority is created inside the bubble.
		a := authority(t, "ours")
		s := source(t, files(t, a, "entry-1", dir, time.Hour))
		before := s.NotAfter()
		go s.Follow(t.Context())
		files(t, a, "entry-1", dir, 2*time.Hour)
		time.Sleep(cert.DefaultInterval + time.Second)
		synctest.Wait()
		if !s.NotAfter().After(before) {
			t.Errorf("valid until %s still, want later than %s", s.NotAfter(), before)
		}
	})
}
