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

// secure wraps a listener in TLS if files are named for it, and follows changes of the files until ctx ends.
func secure(ctx context.Context, wg *sync.WaitGroup, l net.Listener, f settings.TLSFiles, logger *log.Logger) (net.Listener, error) {
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

// newServer returns a server whose connections are bounded by the limits.
func newServer(h http.Handler, l settings.Limits, logger *log.Logger) *http.Server {
	return &http.Server{
		ErrorLog:          logger.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}),
		Handler:           limitBodies(h, l),
		ReadHeaderTimeout: l.ReadHeaderTimeout.Std(),
		IdleTimeout:       l.IdleTimeout.Std(),
		MaxHeaderBytes:    l.MaxHeaderBytes,
	}
}

// limitBodies refuses bodies that are too large and cuts off those that come too slowly.
func limitBodies(h http.Handler, l settings.Limits) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.TransferEncoding) > 0 {
			// A request may give its length in a second way, which the server drops. Whatever comes behind it on the
			// connection may be meant as its body by whoever sent it on, so nothing behind it is read.
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength > l.MaxBodyBytes {
			w.Header().Set("Connection", "close")
			writeError(w, refusal.Refuse(refusal.RequestTooLarge, "the body has %d bytes, at most %d are taken", r.ContentLength, l.MaxBodyBytes))

			return
		}
		if r.Body != http.NoBody {
			// The server lifts the deadline when the body has come. A connection without deadlines, as of a test's
			// recorder, needs none.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(l.ReadTimeout.Std()))
			r.Body = http.MaxBytesReader(w, r.Body, l.MaxBodyBytes)
		}
		h.ServeHTTP(w, r)
	})
}
