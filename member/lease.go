package member

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/peer"
	"lycheehook.example/lycheehook/store"
)

const (
	kindRenew     peer.Kind = "Member/Renew"
	kindIntroduce peer.Kind = "Member/Introduce"
	meetInterval            = 2 * time.Second
)

// renewRequest asks a peer to renew a lease in the store on the sender's behalf.
type renewRequest struct {
	Lease store.LeaseID
}

// renewAnswer says what the store answered.
type renewAnswer struct {
	Renewed bool
	Lapsed  bool
}

// introduction is what two processes tell each other of the members that they know.
type introduction struct {
	Members []Member
}

// keepLease joins under a new lease, renews it until it lapses, and starts over.
func (r *Registry) keepLease(ctx context.Context) {
	for ctx.Err() == nil && !r.leaving.Load() {
		if err := r.join(ctx); err != nil {
			pause.For(ctx, retryWait)
			continue
		}
		r.renewUntilLapsed(ctx)
	}
}

// Leave takes the process's record out of the store at once, so that the others need not wait for its lease to lapse.
func (r *Registry) Leave(ctx context.Context) error {
	r.leaving.Store(true)
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	if lease == 0 {
		return nil
	}

	return r.client.Revoke(ctx, lease)
}

// join opens a lease and writes the process's record under a new seat.
func (r *Registry) join(ctx context.Context) error {
	asked := time.Now()
	lease, err := r.client.Grant(ctx, r.ttl)
	r.setReachable(answered(err))
	if err != nil {
		return err
	}

	self := r.mesh.Self()
	r.mu.Lock()
	r.epoch++
	m := Member{Seat: seatOf(self, r.epoch), Peer: self, Zone: r.self.Zone, Region: r.self.Region, Joined: asked}
	r.mu.Unlock()
	if err := r.writeRecord(ctx, m, lease.ID); err != nil {
		return err
	}

	r.mu.Lock()
	r.self, r.lease = m, lease.ID
	r.mu.Unlock()
	r.note(m.Seat, asked)

	return nil
}

// writeRecord creates the member's record; a lost answer is settled by reading the record back.
func (r *Registry) writeRecord(ctx context.Context, m Member, lease store.LeaseID) error {
	value, err := json.Marshal(record{
		Name: m.Peer.Name, Incarnation: m.Peer.Incarnation, Address: m.Peer.Address, Zone: m.Zone, Region: m.Region, Joined: m.Joined,
	})
	if err != nil {
		return merry.Prepend(err, "encode member")
	}

	key := Prefix + string(m.Seat)
	_, err = r.client.CompareAndSwap(ctx, store.Write{Key: key, Value: value, Lease: lease})
	if !errors.Is(err, store.ErrOutcomeUnknown) {
		return err
	}
	got, readErr := r.client.Get(ctx, key)
	if readErr == nil && bytes.Equal(got.Value, value) {
		return nil
	}

	return err
}

// note tells the observers of a renewal that was asked for at that moment.
func (r *Registry) note(seat Seat, asked time.Time) {
	r.mu.Lock()
	r.renewed = asked
	observers := r.onRenewed
	r.mu.Unlock()
	for _, f := range observers {
		f(seat, asked)
	}
}

// renewUntilLapsed renews the lease, through a peer when the store cannot be reached, until the store says that it lapsed.
func (r *Registry) renewUntilLapsed(ctx context.Context) {
	r.mu.Lock()
	lease, seat := r.lease, r.self.Seat
	r.mu.Unlock()
	for ctx.Err() == nil {
		pause.For(ctx, r.ttl/renewals)
		asked := time.Now()
		err := r.client.KeepAlive(ctx, lease)
		if ctx.Err() != nil {
			// The call ended because the process stops, which says nothing about the store.
			return
		}
		r.setReachable(answered(err))
		if !answered(err) {
			err = r.renewThroughPeer(ctx, lease)
		}

		switch {
		case err == nil:
			r.note(seat, asked)
		case errors.Is(err, store.ErrLeaseLapsed):
			return
		}
	}
}

// renewThroughPeer asks peers that reach the store, one after another, to renew the lease.
func (r *Registry) renewThroughPeer(ctx context.Context, lease store.LeaseID) error {
	for _, p := range r.mesh.Peers() {
		if h, ok := r.mesh.Heard(p.Name); !ok || !h.Status.StoreReachable {
			continue
		}
		a, err := peer.Call[renewAnswer](ctx, r.mesh, p.Name, kindRenew, renewRequest{Lease: lease})
		switch {
		case err != nil:
		case a.Lapsed:
			return merry.Prepend(store.ErrLeaseLapsed, "renew through "+string(p.Name))
		case a.Renewed:
			return nil
		}
	}

	return merry.Prepend(store.ErrUnavailable, "renew lease")
}

// renewFor renews a lease on behalf of a peer.
func (r *Registry) renewFor(ctx context.Context, _ peer.Peer, req renewRequest) (renewAnswer, error) {
	// A store that never answers must not hold the peer's request for longer than the lease could last.
	ctx, cancel := context.WithTimeout(ctx, r.ttl)
	defer cancel()

	err := r.client.KeepAlive(ctx, req.Lease)

	return renewAnswer{Renewed: err == nil, Lapsed: errors.Is(err, store.ErrLeaseLapsed)}, nil
}

// meet introduces the process to those it knows of while the store does not show who the others are.
func (r *Registry) meet(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.StoreReachable() {
			for _, p := range r.acquaintances() {
				answer, err := peer.CallAt[introduction](ctx, r.mesh, p, kindIntroduce, r.introduction())
				if err == nil {
					r.learn(answer)
				}
			}
		}
		pause.For(ctx, meetInterval)
	}
}

// acquaintances returns the addresses of the seeds and the peers.
func (r *Registry) acquaintances() []peer.Peer {
	peers := r.mesh.Peers()
	known := map[string]bool{r.mesh.Self().Address.String(): true}
	for _, p := range peers {
		known[p.Address.String()] = true
	}
	for _, seed := range r.seeds {
		if !known[seed.String()] {
			peers = append(peers, peer.Peer{Name: fleet.EntryName(seed.String()), Address: seed})
		}
	}

	return peers
}

// introduction returns the process itself and everyone it knows, the members of the store and its guests.
func (r *Registry) introduction() introduction {
	self := r.mesh.Self()
	r.mu.Lock()
	defer r.mu.Unlock()

	own := r.self
	own.Peer = self
	if own.Joined.IsZero() {
		own.Joined = time.Now()
		r.self.Joined = own.Joined
	}
	all := make([]Member, 0, 1+len(r.members))
	all = append(all, own)
	for _, m := range r.members {
		all = append(all, m)
	}

	return introduction{Members: all}
}

// introduced takes over whom a peer knows and answers with whom this process knows.
func (r *Registry) introduced(_ context.Context, _ peer.Peer, in introduction) (introduction, error) {
	r.learn(in)

	return r.introduction(), nil
}

// learn keeps processes that the store has not shown as guests.
func (r *Registry) learn(in introduction) {
	self, now := r.mesh.Self(), time.Now()
	r.mu.Lock()
	for _, m := range in.Members {
		if _, member := r.members[m.Seat]; member || m.Peer == self {
			continue
		}
		r.guests[m.Peer] = guest{member: m, until: now.Add(guestFor)}
	}
	r.mu.Unlock()
	r.mesh.SetPeers(r.peers(now))
}
