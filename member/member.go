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

// Member is one process of an entry host, with the seat that is bound to its lease.
type Member struct {
	Seat   Seat
	Peer   peer.Peer
	Zone   fleet.ZoneName
	Region fleet.RegionName
	Joined time.Time
}

// List reads all member records from the store.
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

// compareSeats orders members by seat.
func compareSeats(a, b Member) int {
	return cmp.Compare(a.Seat, b.Seat)
}

// Owner returns the member that owns a key, by rendezvous hashing (Thaler and Ravishankar, 1998): when a member joins or
// leaves, only its own keys are reassigned. It returns the zero Member if there are no members.
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

// View returns a hash of the set of members, with which two processes compare their membership views.
func View(members []Member) uint64 {
	var sum uint64
	for _, m := range members {
		sum ^= xxhash.Sum64String(string(m.Seat))
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], sum)

	return xxhash.Sum64(b[:])
}
