package cert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	serialBits  = 127
	privateDir  = 0o700
	privateFile = 0o600
	// clockSkew is how far NotBefore lies before the time of issue, for verifiers whose clocks are behind.
	clockSkew = time.Minute
)

// Authority is an in-memory certificate authority for tests and sample estates.
type Authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	pem         []byte
}

// Pair is a certificate and its private key, PEM-encoded.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority returns an authority whose certificate is valid for lifetime.
func NewAuthority(name string, lifetime time.Duration) (*Authority, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, merry.Prepend(err, "authority key")
	}

	template, err := newTemplate(name, lifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, k.Public(), k)
	if err != nil {
		return nil, merry.Prepend(err, "authority certificate")
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, merry.Prepend(err, "authority certificate")
	}

	return &Authority{key: k, certificate: c, pem: encode("CERTIFICATE", der)}, nil
}

// PEM returns the authority's certificate, PEM-encoded.
func (a *Authority) PEM() []byte {
	return a.pem
}

// Issue returns a certificate for a server or client with the given name and addresses. A negative lifetime makes one that has expired.
func (a *Authority) Issue(name string, lifetime time.Duration, addresses ...net.IP) (Pair, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, merry.Prepend(err, "key")
	}

	template, err := newTemplate(name, lifetime)
	if err != nil {
		return Pair{}, err
	}
	template.DNSNames, template.IPAddresses = []string{name}, addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, k.Public(), a.key)
	if err != nil {
		return Pair{}, merry.Prepend(err, "certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return Pair{}, merry.Prepend(err, "key")
	}

	return Pair{Certificate: encode("CERTIFICATE", der), Key: encode("PRIVATE KEY", keyDER)}, nil
}

// WriteFiles writes the pair and the authority's certificate to dir, which is created if needed, and returns the file names.
func (a *Authority) WriteFiles(dir string, p Pair) (Files, error) {
	f := Files{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		CA:          filepath.Join(dir, "ca.pem"),
	}
	if err := os.MkdirAll(dir, privateDir); err != nil {
		return f, merry.Prepend(err, "certificate files")
	}
	for name, data := range map[string][]byte{f.Certificate: p.Certificate, f.Key: p.Key, f.CA: a.pem} {
		if err := os.WriteFile(name, data, privateFile); err != nil {
			return f, merry.Prepend(err, "certificate files")
		}
	}

	return f, nil
}

func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, merry.Prepend(err, "serial number")
	}
	now := time.Now()

	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(min(-clockSkew, lifetime-clockSkew)),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
