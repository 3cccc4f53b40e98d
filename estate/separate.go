package estate

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/cert"
	"lycheehook.example/lycheehook/entry"
	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/settings"
)

const (
	settingsFileMode = 0o600
	// certificateLifetime is the validity of the certificates of a sample estate.
	certificateLifetime = 30 * 24 * time.Hour
)

// WithSeparate makes Start write a settings file for each entry host to dir instead of running it, so that the entry hosts can be
// started as separate processes.
func WithSeparate(dir string) Option {
	return func(e *Estate) { e.separate = dir }
}

// writeEntry writes the settings file of an entry host that runs as a separate process.
func (e *Estate) writeEntry(s settings.Settings) error {
	s.Operators = []settings.Operator{{Name: "dev", TokenHash: key.NewHashed(DevOperatorToken)}}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return merry.Prependf(err, "settings of %s", s.Name)
	}
	path := filepath.Join(e.separate, string(s.Name)+".json")

	return os.WriteFile(path, append(data, '\n'), settingsFileMode)
}

// issueCertificate writes the certificate files with which an entry host authenticates to its peers.
func (e *Estate) issueCertificate(s settings.Settings) (settings.TLSFiles, error) {
	pair, err := e.authority.Issue(entry.PeerServerName, certificateLifetime)
	if err != nil {
		return settings.TLSFiles{}, merry.Prependf(err, "certificate of %s", s.Name)
	}
	files, err := e.authority.WriteFiles(filepath.Join(e.certificates, string(s.Name)), pair)

	return settings.TLSFiles{CertificateFile: files.Certificate, KeyFile: files.Key, CAFile: files.CA}, err
}

// prepareCertificates creates an authority and a directory for its certificates.
func (e *Estate) prepareCertificates() error {
	var err error
	if e.authority, err = cert.NewAuthority("lycheehook sample estate", certificateLifetime); err != nil {
		return err
	}
	if e.certificates = e.separate; e.certificates == "" {
		e.certificates, err = os.MkdirTemp("", "lycheehook-estate-")
		e.temporary = e.certificates
	}

	return err
}

// AwaitEntries waits until all entry hosts listen; it is for entry hosts that run as separate processes.
func (e *Estate) AwaitEntries(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	for _, s := range e.Entries() {
		if err := awaitListening(ctx, s.CallerAddress, s.OperatorAddress); err != nil {
			return merry.Prepend(err, string(s.Name))
		}
	}

	return nil
}
