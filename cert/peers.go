package cert

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/ansel1/merry/v2"
)

// Peers returns the server and client configurations for mutual TLS between peers. Each side must present a certificate of a
// common authority for a name that all peers share: peers dial each other by address, and a new process may reuse a host's
// name. Every new connection uses the last valid contents of the files, so the configurations can be kept and cloned.
func (s *Source) Peers(name string) (server, client *tls.Config, err error) {
	if m := s.current.Load(); m.certificate == nil || m.authorities == nil {
		return nil, nil, merry.Prepend(ErrInvalid, "TLS between peers requires a certificate and an authority")
	}

	server = &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAnyClientCert,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.current.Load().certificate, nil },
		VerifyConnection:       s.verify(name, x509.ExtKeyUsageClientAuth),
	}
	client = &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		// VerifyConnection verifies the chain instead, because the authorities can be reloaded.
		InsecureSkipVerify:   true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.current.Load().certificate, nil },
		VerifyConnection:     s.verify(name, x509.ExtKeyUsageServerAuth),
	}

	return server, client, nil
}

// verify returns a function that verifies the peer's chain against the current authorities.
func (s *Source) verify(name string, usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(cs tls.ConnectionState) error {
		if len(cs.PeerCertificates) == 0 {
			return merry.Prepend(ErrInvalid, "the peer presented no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, c := range cs.PeerCertificates[1:] {
			intermediates.AddCert(c)
		}
		_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
			DNSName: name, Roots: s.current.Load().authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
		})

		return err
	}
}
