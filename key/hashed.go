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
	// secretSize is the entropy of a secret, in bytes. It rules out brute force, so a slow password hash isn't needed.
	secretSize = 32
)

// Hashed is the salted hash of a secret. Its text form is "SALT.HASH" in URL-safe base64.
type Hashed struct {
	Salt []byte
	Hash []byte
}

// NewSecret generates a random secret and returns it with its salted hash.
func NewSecret() (Hashed, string) {
	secret := encode(randomBytes(secretSize))
	return NewHashed(secret), secret
}

// NewHashed returns the salted hash of a secret, which must have as much entropy as one of NewSecret.
func NewHashed(secret string) Hashed {
	salt := randomBytes(saltSize)
	hash := saltedHash(salt, secret)

	return Hashed{Salt: salt, Hash: hash[:]}
}

// Matches reports whether h is the hash of secret; the comparison takes constant time.
func (h Hashed) Matches(secret string) bool {
	hash := saltedHash(h.Salt, secret)

	return subtle.ConstantTimeCompare(hash[:], h.Hash) == 1
}

// IsZero reports whether h is empty; an empty hash matches no secret.
func (h Hashed) IsZero() bool {
	return len(h.Hash) == 0
}

// Allowed describes the texts that UnmarshalText accepts, for error messages.
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

	// decodes has validated both texts, so these calls can't fail.
	h.Salt, _ = base64.RawURLEncoding.DecodeString(salt)
	h.Hash, _ = base64.RawURLEncoding.DecodeString(hash)

	return nil
}

// sumBufferSize fits a salt and a secret of the usual sizes, in bytes, so that Matches doesn't allocate.
const sumBufferSize = 128

func saltedHash(salt []byte, secret string) [sha256.Size]byte {
	buf := make([]byte, 0, sumBufferSize)
	buf = append(buf, salt...)
	buf = append(buf, secret...)

	return sha256.Sum256(buf)
}

func randomBytes(size int) []byte {
	b := make([]byte, size)
	// rand.Read never returns an error: it crashes the program if the system has no entropy source.
	_, _ = rand.Read(b)

	return b
}
