package key

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

const (
	prefix   = "lh"
	idSize   = 9
	saltSize = 16
	// secretSize is the entropy of a secret in bytes; at this size a plain salted hash cannot be searched.
	secretSize = 32
	// maxSecretSize bounds what is hashed of a presented secret, in bytes.
	maxSecretSize = 64
)

// Sentinel errors of keys.
var (
	// ErrMalformed says that a secret does not have the form of one.
	ErrMalformed = merry.Sentinel("key: malformed")
	// ErrUnknown says that no key in force has this secret.
	ErrUnknown = merry.Sentinel("key: unknown or withdrawn")
)

// ID identifies a key without its secret.
type ID string

// Key is what is kept of a key: its team and a salted hash of its secret.
type Key struct {
	ID    ID
	Team  fleet.TeamName
	Salt  []byte
	Hash  []byte
	Given time.Time
}

// Ring is an immutable set of keys in force.
type Ring struct {
	keys fleet.Table[ID, Key]
}

// Give makes a key for a team and returns it with its secret, which is kept nowhere.
func Give(team fleet.TeamName, now time.Time) (Key, string) {
	id := base64.RawURLEncoding.EncodeToString(random(idSize))
	secret := base64.RawURLEncoding.EncodeToString(random(secretSize))
	k := Key{ID: ID(id), Team: team, Salt: random(saltSize), Given: now}
	sum := hash(k.Salt, secret)
	k.Hash = sum[:]

	return k, strings.Join([]string{prefix, id, secret}, ".")
}

// NewRing returns a ring of the keys.
func NewRing(keys ...Key) Ring {
	return Ring{keys: fleet.NewTable(func(k Key) ID { return k.ID }, keys...)}
}

// Keys returns the keys in the order of their IDs.
func (r Ring) Keys() []Key {
	return r.keys.Values()
}

// With returns a ring that has k too.
func (r Ring) With(k Key) Ring {
	return Ring{keys: r.keys.With(k.ID, k)}
}

// Without returns a ring that lacks the key with the given ID.
func (r Ring) Without(id ID) Ring {
	return Ring{keys: r.keys.Without(id)}
}

// Has reports whether the ring has the key with the given ID.
func (r Ring) Has(id ID) bool {
	_, ok := r.keys.Get(id)
	return ok
}

// Match returns the key whose secret was presented, compared in constant time.
func (r Ring) Match(presented string) (Key, error) {
	head, rest, _ := strings.Cut(presented, ".")
	id, secret, ok := strings.Cut(rest, ".")
	if !ok || head != prefix || len(secret) > maxSecretSize {
		return Key{}, merry.Wrap(ErrMalformed)
	}

	k, ok := r.keys.Get(ID(id))
	sum := hash(k.Salt, secret)
	if subtle.ConstantTimeCompare(sum[:], k.Hash) != 1 || !ok {
		return Key{}, merry.Wrap(ErrUnknown)
	}

	return k, nil
}

// hash allocates nothing, because each request of a caller is checked by it.
func hash(salt []byte, secret string) [sha256.Size]byte {
	var buf [saltSize + maxSecretSize]byte
	n := copy(buf[:saltSize], salt)
	n += copy(buf[n:], secret)

	return sha256.Sum256(buf[:n])
}

func random(size int) []byte {
	b := make([]byte, size)
	// Read never fails: it ends the program when the system has no randomness.
	_, _ = rand.Read(b)

	return b
}
