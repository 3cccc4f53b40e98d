package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/cert"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/settings"
)

// withTLS wraps a listener in TLS if the settings name certificate files, and reloads the files on change until ctx ends.
func withTLS(ctx context.Context, wg *sync.WaitGroup, l net.Listener, f settings.TLSFiles, logger *log.Logger) (net.Listener, error) {
	if f.IsZero() {
		return l, nil
	}

	s, err := cert.New(cert.Files{Certificate: f.CertificateFile, Key: f.KeyFile, CA: f.CAFile}, cert.WithLogger(logger))
	if err != nil {
		return nil, err
	}
	wg.Go(func() { s.Follow(ctx) })

	return tls.NewListener(l, s.Server("http/1.1")), nil
}

// newServer returns an HTTP server that enforces the limits on headers, bodies and idle connections.
func newServer(h http.Handler, l settings.Limits, logger *log.Logger) *http.Server {
	return &http.Server{
		ErrorLog:          logger.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}),
		Handler:           limitBodies(h, l),
		ReadHeaderTimeout: l.ReadHeaderTimeout.Std(),
		IdleTimeout:       l.IdleTimeout.Std(),
		MaxHeaderBytes:    l.MaxHeaderBytes,
	}
}

// limitBodies rejects bodies that are too large and stops reading those that arrive too slowly.
func limitBodies(h http.Handler, l settings.Limits) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.TransferEncoding) > 0 {
			// The request may also have a Content-Length header, which net/http ignores. A proxy that relied on that
			// header may have sent the following bytes as part of the body (request smuggling), so they must not be
			// read as another request.
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength > l.MaxBodyBytes {
			w.Header().Set("Connection", "close")
			writeError(w, refusal.Refuse(refusal.RequestTooLarge, "the body has %d bytes, at most %d are taken", r.ContentLength, l.MaxBodyBytes))

			return
		}
		if r.Body != http.NoBody {
			// The server clears the deadline once the body is read. The error is ignored: a test's response recorder has
			// no deadlines and needs none.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(l.ReadTimeout.Std()))
			r.Body = http.MaxBytesReader(w, r.Body, l.MaxBodyBytes)
		}
		h.ServeHTTP(w, r)
	})
}
