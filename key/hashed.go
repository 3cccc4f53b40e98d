package key

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"strings"

	"github.com/ansel1/merry/v2"
)

const (
	saltSize = 16
	// secretSize is the entropy of a secret in bytes; at this size a plain salted hash cannot be searched.
	secretSize = 32
)

// Hashed is what is kept of a secret; its text is "SALT.HASH" in the URL form of base64.
type Hashed struct {
	Salt []byte
	Hash []byte
}

// NewSecret makes a random secret and returns it with its salted hash.
func NewSecret() (Hashed, string) {
	secret := encode(random(secretSize))
	return NewHashed(secret), secret
}

// NewHashed returns the salted hash of a secret; the secret must be random and long, as those of NewSecret are.
func NewHashed(secret string) Hashed {
	salt := random(saltSize)
	hash := sum(salt, secret)

	return Hashed{Salt: salt, Hash: hash[:]}
}

// Matches reports in constant time whether the hash is that of secret.
func (h Hashed) Matches(secret string) bool {
	hash := sum(h.Salt, secret)

	return subtle.ConstantTimeCompare(hash[:], h.Hash) == 1
}

// IsZero reports whether h is the hash of nothing, which no secret matches.
func (h Hashed) IsZero() bool {
	return len(h.Hash) == 0
}

// Allowed says which texts UnmarshalText takes.
func (h Hashed) Allowed() string {
	return `a salted hash "SALT.HASH" as printed by lycheehook settings token`
}

// MarshalText implements encoding.TextMarshaler.
func (h Hashed) MarshalText() ([]byte, error) {
	if h.IsZero() {
		return nil, nil
	}

	return []byte(encode(h.Salt) + "." + encode(h.Hash)), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hashed) UnmarshalText(text []byte) error {
	salt, hash, found := strings.Cut(string(text), ".")
	if !found || !decodes(salt, saltSize) || !decodes(hash, sha256.Size) {
		return merry.Prepend(ErrMalformed, "must be "+h.Allowed())
	}

	// The texts were decoded once already, so these can't fail.
	h.Salt, _ = base64.RawURLEncoding.DecodeString(salt)
	h.Hash, _ = base64.RawURLEncoding.DecodeString(hash)

	return nil
}

// sumBuffer holds a salt and a secret of the usual sizes, so that a check allocates nothing.
const sumBuffer = 128

func sum(salt []byte, secret string) [sha256.Size]byte {
	buf := make([]byte, 0, sumBuffer)
	buf = append(buf, salt...)
	buf = append(buf, secret...)

	return sha256.Sum256(buf)
}

func random(size int) []byte {
	b := make([]byte, size)
	// Read never fails: it ends the program when the system has no randomness.
	_, _ = rand.Read(b)

	return b
}
