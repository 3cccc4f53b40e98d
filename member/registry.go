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
	// Prefix is the prefix of the members' records in the store.
	Prefix = "member/"
	// DefaultLeaseTTL is how long a member's record outlives the last renewal of its lease.
	DefaultLeaseTTL = 5 * time.Second
	// renewals is the number of renewals within one TTL.
	renewals = 3
	// watchWait is how long one watch of the members waits.
	watchWait = 5 * time.Second
	retryWait = 500 * time.Millisecond
	// guestFor is how long a process that is not in the store counts as a peer after it was last heard.
	guestFor = 30 * time.Second
)

// ErrNotJoined says that the process holds no lease in the store yet.
var ErrNotJoined = merry.Sentinel("member: not joined")

// record is the form of a member in the store.
type record struct {
	Name        fleet.EntryName
	Incarnation peer.Incarnation
	Address     netip.AddrPort
	Zone        fleet.ZoneName   `json:",omitempty"`
	Region      fleet.RegionName `json:",omitempty"`
	Joined      time.Time
}

// guest is a process that introduced itself while the store did not show it.
type guest struct {
	member Member
	until  time.Time
}

// Registry keeps the process's own record in the store and follows those of the others.
type Registry struct {
	client *store.Client
	mesh   *peer.Mesh
	self   Member
	ttl    time.Duration
	seeds  []netip.AddrPort

	// leaving says that the process ends and joins no more.
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

// WithLeaseTTL sets how long a member's record outlives the last renewal of its lease.
func WithLeaseTTL(d time.Duration) Option {
	return func(r *Registry) { r.ttl = d }
}

// WithSeeds names addresses of other entry hosts to ask when the store does not show any.
func WithSeeds(seeds ...netip.AddrPort) Option {
	return func(r *Registry) { r.seeds = seeds }
}

// New returns a registry for the process that mesh speaks for; it joins in Run.
func New(client *store.Client, mesh *peer.Mesh, zone fleet.ZoneName, region fleet.RegionName, opts ...Option) *Registry {
	r := &Registry{
		client: client, mesh: mesh, ttl: DefaultLeaseTTL, self: Member{Zone: zone, Region: region},
		members: map[Seat]Member{}, guests: map[peer.Peer]guest{}, goneSince: map[Seat]time.Time{},
	}
	for _, opt := range opts {
		opt(r)
	}
	peer.Handle(mesh, kindRenew, r.renewFor)
	peer.Handle(mesh, kindIntroduce, r.introduced)

	return r
}

// Self returns the process's own record; its seat is empty until it has joined.
func (r *Registry) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.self
}

// Members returns the members that the store last showed, in the order of their seats.
func (r *Registry) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()

	return slices.SortedFunc(maps.Values(r.members), compareSeats)
}

// Owner returns the member to which a key belongs.
func (r *Registry) Owner(key string) Member {
	return Owner(r.Members(), key)
}

// Owns reports whether a key belongs to this process; at most for the time that members take to learn of a change, two may own a key.
func (r *Registry) Owns(key string) bool {
	self := r.Self()
	return self.Seat != "" && r.Owner(key).Seat == self.Seat
}

// GoneSince returns since when records of members are known to be gone; a seat's record never returns.
func (r *Registry) GoneSince() map[Seat]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()

	return maps.Clone(r.goneSince)
}

// StoreReachable reports whether the last call to the store was answered.
func (r *Registry) StoreReachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.reachable
}

// Remaining returns how long the own lease surely lasts, counted from before its last renewal was asked for.
func (r *Registry) Remaining(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == 0 {
		return 0
	}

	return max(0, r.ttl-now.Sub(r.renewed))
}

// Lease returns the process's one lease with a positive remaining time, or ErrNotJoined.
func (r *Registry) Lease(now time.Time) (store.LeaseID, error) {
	remaining := r.Remaining(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if remaining <= 0 {
		return 0, merry.Wrap(ErrNotJoined)
	}

	return r.lease, nil
}

// OnRenewed calls f with the seat and the moment before each renewal of its lease was asked for.
func (r *Registry) OnRenewed(f func(Seat, time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onRenewed = append(r.onRenewed, f)
}

// OnChange calls f after the members changed.
func (r *Registry) OnChange(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onChange = append(r.onChange, f)
}

// Run joins, renews the lease and follows the members until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.keepLease(ctx) })
	wg.Go(func() { r.follow(ctx) })
	wg.Go(func() { r.meet(ctx) })
	wg.Wait()
}

// follow lists the members and then watches for changes; any failure starts over with a list.
func (r *Registry) follow(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		l, err := r.client.List(ctx, Prefix)
		r.setReachable(err == nil)
		if err != nil {
			pause.For(ctx, retryWait)
			continue
		}
		r.replace(l, asked)
		r.watch(ctx, l.Revision)
	}
}

// watch takes over changes until the watch fails.
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
			r.change(e)
		}
		if len(ev.Events) > 0 {
			r.changed()
		}
	}
}

// replace takes over a list of all members.
func (r *Registry) replace(l store.Listing, asked time.Time) {
	members := make(map[Seat]Member, len(l.Records))
	for _, rec := range l.Records {
		if m, ok := parse(rec); ok {
			members[m.Seat] = m
		}
	}

	r.mu.Lock()
	for seat := range r.members {
		if _, ok := members[seat]; !ok {
			r.gone(seat, asked)
		}
	}
	r.members, r.listed = members, true
	r.mu.Unlock()
	r.changed()
}

func (r *Registry) change(e store.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if e.Deleted {
		seat := Seat(strings.TrimPrefix(e.Record.Key, Prefix))
		delete(r.members, seat)
		r.gone(seat, time.Now())
		return
	}
	if m, ok := parse(e.Record); ok {
		r.members[m.Seat] = m
	}
}

// gone notes that a seat's record was seen to be gone; the registry is locked.
func (r *Registry) gone(seat Seat, at time.Time) {
	if _, known := r.goneSince[seat]; !known {
		r.goneSince[seat] = at
	}
}

// NoteMissing notes those seats whose records the store did not show in the last list; seats of a head were once recorded.
func (r *Registry) NoteMissing(seats []Seat, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.listed || !r.reachable {
		return
	}
	for _, seat := range seats {
		if _, ok := r.members[seat]; !ok {
			r.gone(seat, now)
		}
	}
}

// changed tells the mesh and the observers of a new list of members.
func (r *Registry) changed() {
	r.mesh.SetPeers(r.peers(time.Now()))
	r.mu.Lock()
	observers := r.onChange
	r.mu.Unlock()
	for _, f := range observers {
		f()
	}
}

// peers returns the processes to exchange heartbeats with: the members, and guests in place of older processes of their name.
func (r *Registry) peers(now time.Time) []peer.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()

	newest := map[fleet.EntryName]Member{}
	take := func(m Member) {
		if old, ok := newest[m.Peer.Name]; !ok || m.Joined.After(old.Joined) {
			newest[m.Peer.Name] = m
		}
	}
	for _, m := range r.members {
		take(m)
	}
	for p, g := range r.guests {
		if now.After(g.until) {
			delete(r.guests, p)
			continue
		}
		take(g.member)
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
