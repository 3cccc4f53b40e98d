package member

import (
	"cmp"
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/peer"
	"lycheehook.example/lycheehook/store"
)

// Member is one process of an entry host, under the lease that it holds in the store.
type Member struct {
	Seat   Seat
	Peer   peer.Peer
	Zone   fleet.ZoneName
	Region fleet.RegionName
	Joined time.Time
}

// List reads the members' records from the store.
func List(ctx context.Context, c *store.Client) ([]Member, error) {
	l, err := c.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}

	members := make([]Member, 0, len(l.Records))
	for _, rec := range l.Records {
		if m, ok := parse(rec); ok {
			members = append(members, m)
		}
	}

	return members, nil
}

// compareSeats orders members for listings.
func compareSeats(a, b Member) int {
	return cmp.Compare(a.Seat, b.Seat)
}

// Owner returns the member to which a key belongs by rendezvous hashing (Thaler and Ravishankar, 1998): when a member
// comes or goes, only its own keys change hands. It returns the zero Member if there are none.
func Owner(members []Member, key string) Member {
	var owner Member
	var best uint64
	for _, m := range members {
		if weight := rendezvous(m.Seat, key); weight > best || (weight == best && m.Seat > owner.Seat) {
			owner, best = m, weight
		}
	}

	return owner
}

func rendezvous(seat Seat, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(seat))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)

	return d.Sum64()
}

// View returns a hash of members, by which two processes see whether they know the same ones.
func View(members []Member) uint64 {
	var sum uint64
	for _, m := range members {
		sum ^= xxhash.Sum64String(string(m.Seat))
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], sum)

	return xxhash.Sum64(b[:])
}
