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

// Give makes a key for a team and returns it with its secret, which is kept nowhere.
func Give(team fleet.TeamName, now time.Time) (Key, string) {
	id := newID()
	hashed, secret := NewSecret()

	return Key{ID: ID(id), Team: team, Salt: hashed.Salt, Hash: hashed.Hash, Given: now}, strings.Join([]string{prefix, id, secret}, ".")
}

// newID makes a random ID that no command line takes for a flag.
func newID() string {
	for {
		if id := encode(random(idSize)); !strings.HasPrefix(id, "-") {
			return id
		}
	}
}

// Ring is an immutable set of keys in force.
type Ring struct {
	keys fleet.Table[ID, Key]
}

// NewRing returns a ring of the keys.
func NewRing(keys ...Key) Ring {
	return Ring{keys: fleet.NewTable(func(k Key) ID { return k.ID }, keys...)}
}

// Keys returns the keys in the order of their IDs.
func (r Ring) Keys() []Key {
	return r.keys.Values()
}

// OfTeam returns the keys of one team in the order of their IDs.
func (r Ring) OfTeam(team fleet.TeamName) []Key {
	var keys []Key
	for _, k := range r.keys.All() {
		if k.Team == team {
			keys = append(keys, k)
		}
	}

	return keys
}

// Get returns the key with the given ID and whether the ring has it.
func (r Ring) Get(id ID) (Key, bool) {
	return r.keys.Get(id)
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
	id, secret, err := split(presented)
	if err != nil {
		return Key{}, err
	}

	// An unknown ID costs the same hash as a known one.
	k, ok := r.keys.Get(id)
	if matches := (Hashed{Salt: k.Salt, Hash: k.Hash}).Matches(secret); !matches || !ok {
		return Key{}, merry.Wrap(ErrUnknown)
	}

	return k, nil
}

// split takes a presented secret apart and refuses any other form before it is hashed.
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
