package key

import (
	"encoding/base64"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

const (
	prefix = "lh"
	idSize = 9
)

// Sentinel errors of keys.
var (
	// ErrMalformed means that a text is not a valid key or hash.
	ErrMalformed = merry.Sentinel("key: malformed")
	// ErrUnknown means that no valid key has this ID and secret.
	ErrUnknown = merry.Sentinel("key: unknown or withdrawn")
)

// ID identifies a key; it is not secret.
type ID string

// Key is a key as stored: its team and the salted hash of its secret.
type Key struct {
	ID    ID
	Team  fleet.TeamName
	Salt  []byte
	Hash  []byte
	Given time.Time
}

// Issue issues a key for a team and returns it with the text that the team presents, which is not stored.
func Issue(team fleet.TeamName, now time.Time) (Key, string) {
	id := newID()
	hashed, secret := NewSecret()

	return Key{ID: ID(id), Team: team, Salt: hashed.Salt, Hash: hashed.Hash, Given: now}, strings.Join([]string{prefix, id, secret}, ".")
}

// newID generates a random ID that doesn't start with a dash, because a command line would take it for a flag.
func newID() string {
	for {
		if id := encode(randomBytes(idSize)); !strings.HasPrefix(id, "-") {
			return id
		}
	}
}

// Ring is an immutable set of valid keys.
type Ring struct {
	keys fleet.Table[ID, Key]
}

// NewRing returns a ring with the given keys.
func NewRing(keys ...Key) Ring {
	return Ring{keys: fleet.NewTable(func(k Key) ID { return k.ID }, keys...)}
}

// Keys returns all keys, ordered by ID.
func (r Ring) Keys() []Key {
	return r.keys.Values()
}

// OfTeam returns the keys of one team, ordered by ID.
func (r Ring) OfTeam(team fleet.TeamName) []Key {
	var keys []Key
	for _, k := range r.keys.All() {
		if k.Team == team {
			keys = append(keys, k)
		}
	}

	return keys
}

// Get returns the key with the given ID and whether it is in the ring.
func (r Ring) Get(id ID) (Key, bool) {
	return r.keys.Get(id)
}

// With returns a copy of the ring with k added or replaced.
func (r Ring) With(k Key) Ring {
	return Ring{keys: r.keys.With(k.ID, k)}
}

// Without returns a copy of the ring without the key with the given ID.
func (r Ring) Without(id ID) Ring {
	return Ring{keys: r.keys.Without(id)}
}

// Has reports whether the key with the given ID is in the ring.
func (r Ring) Has(id ID) bool {
	_, ok := r.keys.Get(id)
	return ok
}

// Match returns the key whose text was presented; secrets are compared in constant time.
func (r Ring) Match(presented string) (Key, error) {
	id, secret, err := split(presented)
	if err != nil {
		return Key{}, err
	}

	// The hash is computed for unknown IDs too, so that timing doesn't reveal which IDs exist.
	k, ok := r.keys.Get(id)
	if matches := (Hashed{Salt: k.Salt, Hash: k.Hash}).Matches(secret); !matches || !ok {
		return Key{}, merry.Wrap(ErrUnknown)
	}

	return k, nil
}

// split parses a presented key and rejects malformed ones before any hashing.
func split(presented string) (ID, string, error) {
	const size = len(prefix) + 1 + (idSize*8+5)/6 + 1 + (secretSize*8+5)/6
	if len(presented) != size {
		return "", "", merry.Prependf(ErrMalformed, "%d characters in place of %d", len(presented), size)
	}

	parts := strings.Split(presented, ".")
	if len(parts) != 3 || parts[0] != prefix || !decodes(parts[1], idSize) || !decodes(parts[2], secretSize) {
		return "", "", merry.Prependf(ErrMalformed, "must be %s.ID.SECRET", prefix)
	}

	return ID(parts[1]), parts[2], nil
}

func encode(b []byte) string {
	return base64.RawURLEncoding.EncodeToString(b)
}

func decodes(text string, size int) bool {
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	return err == nil && len(b) == size
}
