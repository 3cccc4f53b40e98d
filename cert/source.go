package cert

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"
)

// DefaultInterval is how often the files are checked for changes.
const DefaultInterval = 10 * time.Second

// ErrInvalid is returned for certificate files that are unreadable, malformed or expired.
var ErrInvalid = merry.Sentinel("cert: invalid")

// Files names the PEM files of a certificate chain, its private key, and the authorities that the other side is verified against.
type Files struct {
	Certificate string
	Key         string
	// CA may be empty: a server then requests no client certificate, and a client trusts the system's authorities.
	CA string
}

// Source provides TLS configurations from the last valid contents of its files.
type Source struct {
	files    Files
	interval time.Duration
	log      *log.Logger
	read     func(name string) ([]byte, error)
	current  atomic.Pointer[material]
}

// material is the parsed contents of the files.
type material struct {
	content     content
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// content is the raw contents of the files, for detecting changes.
type content struct {
	certificate, key, ca []byte
}

// Option configures a Source.
type Option func(*Source)

// WithInterval sets how often the files are checked for changes.
func WithInterval(d time.Duration) Option {
	return func(s *Source) { s.interval = d }
}

// WithLogger sets the logger for reloads and invalid files.
func WithLogger(l *log.Logger) Option {
	return func(s *Source) { s.log = l }
}

// New returns a source that has loaded the files. The error is ErrInvalid and names the invalid file.
func New(files Files, opts ...Option) (*Source, error) {
	s := &Source{files: files, interval: DefaultInterval, log: log.New(io.Discard), read: os.ReadFile}
	for _, opt := range opts {
		opt(s)
	}

	return s, s.Reload()
}

// Follow reloads the files when they change, until ctx is done.
func (s *Source) Follow(ctx context.Context) {
	tick := time.NewTicker(s.interval)
	defer tick.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			// Reload logs its errors, and the next tick retries.
			_ = s.Reload()
		}
	}
}

// Reload reads the files and uses them if they have changed and are valid; otherwise the current ones stay in use.
func (s *Source) Reload() error {
	c, err := s.readFiles()
	if err != nil {
		s.log.Error("failed to reload certificate files", "file", s.files.Certificate, "err", err)
		return err
	}

	cur := s.current.Load()
	if cur != nil && cur.content.equal(c) {
		return nil
	}

	m, err := s.parse(c)
	if err != nil {
		s.log.Error("failed to reload certificate files", "file", s.files.Certificate, "err", err)
		return err
	}
	s.current.Store(m)
	if cur != nil && m.certificate != nil {
		s.log.Info("certificate reloaded", "file", s.files.Certificate, "subject", m.certificate.Leaf.Subject, "until", m.certificate.Leaf.NotAfter)
	}

	return nil
}

// NotAfter returns when the current certificate expires, or the zero time if there is none.
func (s *Source) NotAfter() time.Time {
	m := s.current.Load()
	if m.certificate == nil {
		return time.Time{}
	}

	return m.certificate.Leaf.NotAfter
}

// Server returns the configuration of a listener; each connection uses the last valid contents of the files.
func (s *Source) Server(nextProtos ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: nextProtos,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.server(nextProtos), nil
		},
	}
}

func (s *Source) server(nextProtos []string) *tls.Config {
	m := s.current.Load()
	c := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: nextProtos,
		// A resumed session would skip verification against an authority that has been replaced since.
		SessionTicketsDisabled: true,
	}
	if m.certificate != nil {
		c.Certificates = []tls.Certificate{*m.certificate}
	}
	if m.authorities != nil {
		c.ClientCAs = m.authorities
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}

	return c
}

// Client returns the configuration for one connection to a server with a certificate for serverName. It doesn't follow reloads.
func (s *Source) Client(serverName string, nextProtos ...string) *tls.Config {
	m := s.current.Load()
	c := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: serverName, NextProtos: nextProtos, RootCAs: m.authorities}
	if m.certificate != nil {
		c.Certificates = []tls.Certificate{*m.certificate}
	}

	return c
}

func (s *Source) readFiles() (content, error) {
	var c content
	var err error
	for _, f := range []struct {
		name string
		into *[]byte
	}{{s.files.Certificate, &c.certificate}, {s.files.Key, &c.key}, {s.files.CA, &c.ca}} {
		if f.name == "" {
			continue
		}
		if *f.into, err = s.read(f.name); err != nil {
			return c, merry.Prepend(ErrInvalid, err.Error())
		}
	}

	return c, nil
}

func (s *Source) parse(c content) (*material, error) {
	m := &material{content: c}
	if s.files.Certificate != "" || s.files.Key != "" {
		pair, err := tls.X509KeyPair(c.certificate, c.key)
		if err != nil {
			return nil, merry.Prependf(ErrInvalid, "%s with %s: %v", s.files.Certificate, s.files.Key, err)
		}
		if now := time.Now(); now.After(pair.Leaf.NotAfter) {
			return nil, merry.Prependf(ErrInvalid, "%s: expired at %s", s.files.Certificate, pair.Leaf.NotAfter)
		}
		m.certificate = &pair
	}
	if s.files.CA != "" {
		m.authorities = x509.NewCertPool()
		if !m.authorities.AppendCertsFromPEM(c.ca) {
			return nil, merry.Prependf(ErrInvalid, "%s: contains no CA certificate", s.files.CA)
		}
	}

	return m, nil
}

func (c content) equal(o content) bool {
	return bytes.Equal(c.certificate, o.certificate) && bytes.Equal(c.key, o.key) && bytes.Equal(c.ca, o.ca)
}
