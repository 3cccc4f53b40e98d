package cert

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/ansel1/merry/v2"
)

// Peers returns the configurations for mutual TLS between peers, to accept and to dial with. Each side must show a certificate
// of a common authority for the name that all peers share, because peers dial each other by address and may take over a host's
// name. Every new connection uses the newest sound state of the files, and the configurations may be kept and cloned.
func (s *Source) Peers(name string) (server, client *tls.Config, err error) {
	if m := s.current.Load(); m.certificate == nil || m.authorities == nil {
		return nil, nil, merry.Prepend(ErrInvalid, "peers need a certificate and an authority")
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
		// VerifyConnection checks the chain in its place, against the authorities of the moment.
		InsecureSkipVerify:   true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.current.Load().certificate, nil },
		VerifyConnection:     s.verify(name, x509.ExtKeyUsageServerAuth),
	}

	return server, client, nil
}

// verify returns a check of the other side's chain against the authorities in use.
func (s *Source) verify(name string, usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(cs tls.ConnectionState) error {
		if len(cs.PeerCertificates) == 0 {
			return merry.Prepend(ErrInvalid, "the peer shows no certificate")
		}
		between := x509.NewCertPool()
		for _, c := range cs.PeerCertificates[1:] {
			between.AddCert(c)
		}
		_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
			DNSName: name, Roots: s.current.Load().authorities, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{usage},
		})

		return err
	}
}
