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
	kindRenew         peer.Kind = "Member/Renew"
	kindIntroduce     peer.Kind = "Member/Introduce"
	discoveryInterval           = 2 * time.Second
)

// renewRequest requests that a peer renews the sender's lease in the store.
type renewRequest struct {
	Lease store.LeaseID
}

// renewResponse is the result of a renewal by a peer.
type renewResponse struct {
	Renewed bool
	Lapsed  bool
}

// introduction is the members known to a process, exchanged between two processes.
type introduction struct {
	Members []Member
}

// keepLease joins with a new lease, renews it until it expires, and repeats.
func (r *Registry) keepLease(ctx context.Context) {
	for ctx.Err() == nil && !r.leaving.Load() {
		if err := r.join(ctx); err != nil {
			pause.For(ctx, retryWait)
			continue
		}
		r.renewUntilExpired(ctx)
	}
}

// Leave revokes the lease, which deletes the process's record at once, so that others don't wait for the lease to expire.
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

// join requests a lease and writes the process's record with a new seat.
func (r *Registry) join(ctx context.Context) error {
	requested := time.Now()
	lease, err := r.client.Grant(ctx, r.ttl)
	r.setReachable(answered(err))
	if err != nil {
		return err
	}

	self := r.mesh.Self()
	r.mu.Lock()
	r.epoch++
	m := Member{Seat: seatOf(self, r.epoch), Peer: self, Zone: r.self.Zone, Region: r.self.Region, Joined: requested}
	r.mu.Unlock()
	if err := r.writeRecord(ctx, m, lease.ID); err != nil {
		return err
	}

	r.mu.Lock()
	r.self, r.lease = m, lease.ID
	r.mu.Unlock()
	r.notifyRenewed(m.Seat, requested)

	return nil
}

// writeRecord creates the member's record. If the outcome is unknown, it reads the record to find out.
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

// notifyRenewed informs observers of a renewal that was requested at the given time.
func (r *Registry) notifyRenewed(seat Seat, requested time.Time) {
	r.mu.Lock()
	r.renewed = requested
	observers := r.onRenewed
	r.mu.Unlock()
	for _, f := range observers {
		f(seat, requested)
	}
}

// renewUntilExpired renews the lease until the store reports it as expired. It asks peers while it can't reach the store itself.
func (r *Registry) renewUntilExpired(ctx context.Context) {
	r.mu.Lock()
	lease, seat := r.lease, r.self.Seat
	r.mu.Unlock()
	for ctx.Err() == nil {
		pause.For(ctx, r.ttl/renewalsPerTTL)
		requested := time.Now()
		err := r.client.KeepAlive(ctx, lease)
		if ctx.Err() != nil {
			// The call was cancelled by shutdown, so its error doesn't mean that the store is unreachable.
			return
		}
		r.setReachable(answered(err))
		if !answered(err) {
			err = r.renewThroughPeer(ctx, lease)
		}

		switch {
		case err == nil:
			r.notifyRenewed(seat, requested)
		case errors.Is(err, store.ErrLeaseLapsed):
			return
		}
	}
}

// renewThroughPeer asks the peers that can reach the store, one at a time, to renew the lease.
func (r *Registry) renewThroughPeer(ctx context.Context, lease store.LeaseID) error {
	for _, p := range r.mesh.Peers() {
		if h, ok := r.mesh.Heard(p.Name); !ok || !h.Status.StoreReachable {
			continue
		}
		a, err := peer.Call[renewResponse](ctx, r.mesh, p.Name, kindRenew, renewRequest{Lease: lease})
		switch {
		case err != nil:
		case a.Lapsed:
			return merry.Prepend(store.ErrLeaseLapsed, "renew through peer "+string(p.Name))
		case a.Renewed:
			return nil
		}
	}

	return merry.Prepend(store.ErrUnavailable, "renew lease")
}

// renewForPeer renews a peer's lease.
func (r *Registry) renewForPeer(ctx context.Context, _ peer.Peer, req renewRequest) (renewResponse, error) {
	// Limits how long an unresponsive store can block the request; after one TTL the lease has expired anyway.
	ctx, cancel := context.WithTimeout(ctx, r.ttl)
	defer cancel()

	err := r.client.KeepAlive(ctx, req.Lease)

	return renewResponse{Renewed: err == nil, Lapsed: errors.Is(err, store.ErrLeaseLapsed)}, nil
}

// discover exchanges known members with seeds and peers while the store is unreachable.
func (r *Registry) discover(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.StoreReachable() {
			for _, p := range r.discoveryTargets() {
				response, err := peer.CallAt[introduction](ctx, r.mesh, p, kindIntroduce, r.introduction())
				if err == nil {
					r.learn(response)
				}
			}
		}
		pause.For(ctx, discoveryInterval)
	}
}

// discoveryTargets returns the peers, and the seeds that are not among them.
func (r *Registry) discoveryTargets() []peer.Peer {
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

// introduction returns the process itself and the members that it has read from the store.
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

// handleIntroduction adds the members known to a peer and returns those known to this process.
func (r *Registry) handleIntroduction(_ context.Context, _ peer.Peer, in introduction) (introduction, error) {
	r.learn(in)

	return r.introduction(), nil
}

// learn adds processes that are not members according to the store as guests.
func (r *Registry) learn(in introduction) {
	self, now := r.mesh.Self(), time.Now()
	r.mu.Lock()
	for _, m := range in.Members {
		if _, member := r.members[m.Seat]; member || m.Peer == self {
			continue
		}
		r.guests[m.Peer] = guest{member: m, until: now.Add(guestTTL)}
	}
	r.mu.Unlock()
	r.mesh.SetPeers(r.peers(now))
}
