package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/peer"
	"lycheehook.example/lycheehook/store"
)

const (
	// Prefix is the key prefix of member records in the store.
	Prefix = "member/"
	// DefaultLeaseTTL is the default TTL of a member's lease.
	DefaultLeaseTTL = 5 * time.Second
	// renewalsPerTTL is the number of lease renewals in one TTL.
	renewalsPerTTL = 3
	// watchWait is the maximum duration of one long poll for changes of members.
	watchWait = 5 * time.Second
	retryWait = 500 * time.Millisecond
	// guestTTL is how long a guest remains a peer after it was last reported.
	guestTTL = 30 * time.Second
)

// ErrNotJoined means that the process has no valid lease in the store.
var ErrNotJoined = merry.Sentinel("member: not joined")

// record is a member as stored.
type record struct {
	Name        fleet.EntryName
	Incarnation peer.Incarnation
	Address     netip.AddrPort
	Zone        fleet.ZoneName   `json:",omitempty"`
	Region      fleet.RegionName `json:",omitempty"`
	Joined      time.Time
}

// guest is a process known from introductions that has no record in the store as far as this process has read it.
type guest struct {
	member Member
	until  time.Time
}

// Registry maintains the process's own record in the store and watches those of other members.
type Registry struct {
	client *store.Client
	mesh   *peer.Mesh
	self   Member
	ttl    time.Duration
	seeds  []netip.AddrPort

	// leaving is set on shutdown, so that the process doesn't join again.
	leaving atomic.Bool

	mu        sync.Mutex
	lease     store.LeaseID
	renewed   time.Time
	epoch     int
	members   map[Seat]Member
	listed    bool
	guests    map[peer.Peer]guest
	goneSince map[Seat]time.Time
	reachable bool
	onRenewed []func(Seat, time.Time)
	onChange  []func()
}

// Option configures a Registry.
type Option func(*Registry)

// WithLeaseTTL sets the TTL of the member's lease.
func WithLeaseTTL(d time.Duration) Option {
	return func(r *Registry) { r.ttl = d }
}

// WithSeeds sets addresses of entry hosts to contact while the store is unreachable.
func WithSeeds(seeds ...netip.AddrPort) Option {
	return func(r *Registry) { r.seeds = seeds }
}

// New returns a registry for the process that mesh belongs to; Run joins.
func New(client *store.Client, mesh *peer.Mesh, zone fleet.ZoneName, region fleet.RegionName, opts ...Option) *Registry {
	r := &Registry{
		client: client, mesh: mesh, ttl: DefaultLeaseTTL, self: Member{Zone: zone, Region: region},
		members: map[Seat]Member{}, guests: map[peer.Peer]guest{}, goneSince: map[Seat]time.Time{},
	}
	for _, opt := range opts {
		opt(r)
	}
	peer.Handle(mesh, kindRenew, r.renewForPeer)
	peer.Handle(mesh, kindIntroduce, r.handleIntroduction)

	return r
}

// Self returns the process's own member; its seat is empty until the process has joined.
func (r *Registry) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.self
}

// Members returns the members as last read from the store, ordered by seat.
func (r *Registry) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()

	return slices.SortedFunc(maps.Values(r.members), compareSeats)
}

// Owner returns the member that owns a key.
func (r *Registry) Owner(key string) Member {
	return Owner(r.Members(), key)
}

// Owns reports whether this process owns a key. Until all members have seen a change of membership, two of them can own a key.
func (r *Registry) Owns(key string) bool {
	self := r.Self()
	return self.Seat != "" && r.Owner(key).Seat == self.Seat
}

// GoneSince returns when the record of each former member was found to be deleted. A seat is never recreated.
func (r *Registry) GoneSince() map[Seat]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()

	return maps.Clone(r.goneSince)
}

// StoreReachable reports whether the store responded to the last call.
func (r *Registry) StoreReachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.reachable
}

// Remaining returns a lower bound for the remaining time of the own lease: the TTL counts from before its last renewal was requested.
func (r *Registry) Remaining(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == 0 {
		return 0
	}

	return max(0, r.ttl-now.Sub(r.renewed))
}

// Lease returns the process's lease, or ErrNotJoined if it has none or the lease may have expired.
func (r *Registry) Lease(now time.Time) (store.LeaseID, error) {
	remaining := r.Remaining(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if remaining <= 0 {
		return 0, merry.Wrap(ErrNotJoined)
	}

	return r.lease, nil
}

// OnRenewed registers f, called after each renewal with the seat and the time at which the renewal was requested.
func (r *Registry) OnRenewed(f func(Seat, time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onRenewed = append(r.onRenewed, f)
}

// OnChange registers f, called after each change of members.
func (r *Registry) OnChange(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onChange = append(r.onChange, f)
}

// Run joins, renews the lease and watches the members until ctx is done.
func (r *Registry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.keepLease(ctx) })
	wg.Go(func() { r.follow(ctx) })
	wg.Go(func() { r.discover(ctx) })
	wg.Wait()
}

// follow lists the members and then watches for changes; after a failure it lists them again.
func (r *Registry) follow(ctx context.Context) {
	for ctx.Err() == nil {
		requested := time.Now()
		l, err := r.client.List(ctx, Prefix)
		r.setReachable(err == nil)
		if err != nil {
			pause.For(ctx, retryWait)
			continue
		}
		r.replace(l, requested)
		r.watch(ctx, l.Revision)
	}
}

// watch applies changes until the watch fails.
func (r *Registry) watch(ctx context.Context, after uint64) {
	for ctx.Err() == nil {
		ev, err := r.client.Watch(ctx, Prefix, after, watchWait)
		r.setReachable(err == nil)
		if err != nil {
			pause.For(ctx, retryWait)
			return
		}
		after = ev.Revision
		for _, e := range ev.Events {
			r.apply(e)
		}
		if len(ev.Events) > 0 {
			r.notifyChanged()
		}
	}
}

// replace replaces the members with a complete list.
func (r *Registry) replace(l store.Listing, requested time.Time) {
	members := make(map[Seat]Member, len(l.Records))
	for _, rec := range l.Records {
		if m, ok := parse(rec); ok {
			members[m.Seat] = m
		}
	}

	r.mu.Lock()
	for seat := range r.members {
		if _, ok := members[seat]; !ok {
			r.markGone(seat, requested)
		}
	}
	r.members, r.listed = members, true
	r.mu.Unlock()
	r.notifyChanged()
}

func (r *Registry) apply(e store.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if e.Deleted {
		seat := Seat(strings.TrimPrefix(e.Record.Key, Prefix))
		delete(r.members, seat)
		r.markGone(seat, time.Now())
		return
	}
	if m, ok := parse(e.Record); ok {
		r.members[m.Seat] = m
	}
}

// markGone records that a seat's record is deleted; the caller holds the lock.
func (r *Registry) markGone(seat Seat, at time.Time) {
	if _, known := r.goneSince[seat]; !known {
		r.goneSince[seat] = at
	}
}

// NoteMissing marks the seats of a head that are not members as gone, because each of them had a record once.
func (r *Registry) NoteMissing(seats []Seat, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.listed || !r.reachable {
		return
	}
	for _, seat := range seats {
		if _, ok := r.members[seat]; !ok {
			r.markGone(seat, now)
		}
	}
}

// notifyChanged updates the peers of the mesh and informs observers of a change of members.
func (r *Registry) notifyChanged() {
	r.mesh.SetPeers(r.peers(time.Now()))
	r.mu.Lock()
	observers := r.onChange
	r.mu.Unlock()
	for _, f := range observers {
		f()
	}
}

// peers returns the processes to exchange heartbeats with: for each entry host the most recently joined member or guest.
func (r *Registry) peers(now time.Time) []peer.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()

	newest := map[fleet.EntryName]Member{}
	keepNewest := func(m Member) {
		if old, ok := newest[m.Peer.Name]; !ok || m.Joined.After(old.Joined) {
			newest[m.Peer.Name] = m
		}
	}
	for _, m := range r.members {
		keepNewest(m)
	}
	for p, g := range r.guests {
		if now.After(g.until) {
			delete(r.guests, p)
			continue
		}
		keepNewest(g.member)
	}

	peers := make([]peer.Peer, 0, len(newest))
	for _, m := range newest {
		peers = append(peers, m.Peer)
	}

	return peers
}

func (r *Registry) setReachable(ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reachable = ok
}

func parse(rec store.Record) (Member, bool) {
	var v record
	if err := json.Unmarshal(rec.Value, &v); err != nil {
		return Member{}, false
	}

	return Member{
		Seat: Seat(strings.TrimPrefix(rec.Key, Prefix)),
		Peer: peer.Peer{Name: v.Name, Incarnation: v.Incarnation, Address: v.Address},
		Zone: v.Zone, Region: v.Region, Joined: v.Joined,
	}, true
}

// seatOf names the seat of a process under its lease with that number.
func seatOf(p peer.Peer, epoch int) Seat {
	return Seat(fmt.Sprintf("%s.%s.%d", p.Name, p.Incarnation, epoch))
}

// answered reports whether the store answered a call, whatever it said.
func answered(err error) bool {
	return !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrOutcomeUnknown)
}
