package revision

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/member"
	"lycheehook.example/lycheehook/peer"
)

const (
	kindHead  peer.Kind = "Config/Head"
	kindPart  peer.Kind = "Config/Part"
	kindOffer peer.Kind = "Config/Offer"
	// maxOfferSize limits the total size of the parts sent with an offer, in bytes.
	maxOfferSize = 256 << 10
	// fetchTimeout limits the time to fetch a head and its parts from a peer.
	fetchTimeout = 10 * time.Second
)

// headMessage carries an encoded head, its store revision, and the parts that the receiver is likely to lack.
type headMessage struct {
	Raw   []byte
	Base  uint64
	Parts map[string][]byte `cbor:",omitempty"`
}

// headRequest asks a peer for its current head.
type headRequest struct{}

// partRequest asks a peer for an encoded part.
type partRequest struct {
	Hash string
}

type partResponse struct {
	Data []byte
}

// offerResponse carries the receiver's revision number after an offer.
type offerResponse struct {
	Number uint64
}

// registerHandlers registers the repository with the peer mesh and the member registry.
func (repo *Repository) registerHandlers() {
	peer.Handle(repo.mesh, kindHead, repo.handleHead)
	peer.Handle(repo.mesh, kindPart, repo.handlePart)
	peer.Handle(repo.mesh, kindOffer, repo.handleOffer)
	peer.Handle(repo.mesh, kindSeat, repo.handleSeat)
	repo.mesh.SetStatus(repo.status)
	repo.mesh.OnHeard(repo.heard)
	repo.registry.OnRenewed(func(seat member.Seat, requestedAt time.Time) {
		repo.mu.Lock()
		defer repo.mu.Unlock()
		repo.standing = repo.standing.WithSeat(seat, requestedAt)
	})
}

// status returns the repository's part of the heartbeat status.
func (repo *Repository) status() peer.Status {
	members := repo.registry.Members()
	repo.mu.RLock()
	defer repo.mu.RUnlock()
	st := repo.standing.Status(time.Now())
	st.Revision, st.StoreReachable, st.View = repo.head.Number, repo.storeReachable, member.View(members)

	return st
}

// heard processes a peer's heartbeat status. A newer head is fetched from the peer first.
func (repo *Repository) heard(h peer.Heard) {
	repo.recordInForce(h.From.Name, h.Status.Revision)
	repo.mu.RLock()
	newer := h.Status.Generation > repo.head.Generation
	repo.mu.RUnlock()
	if newer {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		if err := repo.fetchFrom(ctx, h.From); err != nil {
			return
		}
	}

	repo.mu.Lock()
	defer repo.mu.Unlock()
	repo.standing = repo.standing.WithHeard(h)
}

// fetchFrom fetches a peer's head and the parts that are not cached.
func (repo *Repository) fetchFrom(ctx context.Context, from peer.Peer) error {
	if err := repo.fetchMu.lock(ctx); err != nil {
		return err
	}
	defer repo.fetchMu.unlock()
	msg, err := peer.Call[headMessage](ctx, repo.mesh, from.Name, kindHead, headRequest{})
	if err != nil {
		return err
	}

	return repo.acceptHead(ctx, msg.Raw, msg.Base, time.Time{}, repo.readPartsFromPeer(from.Name))
}

// readPartsFromPeer returns a reader that asks the peer for a part, and reads it from the store if the peer lacks it or cannot be reached.
func (repo *Repository) readPartsFromPeer(name fleet.EntryName) partReader {
	return func(ctx context.Context, h hash) ([]byte, error) {
		a, err := peer.Call[partResponse](ctx, repo.mesh, name, kindPart, partRequest{Hash: string(h)})
		if err == nil && hashOf(a.Data) == h {
			return a.Data, nil
		}

		return repo.readPartFromStore(ctx, h)
	}
}

func (repo *Repository) handleHead(context.Context, peer.Peer, headRequest) (headMessage, error) {
	repo.mu.RLock()
	defer repo.mu.RUnlock()
	if repo.head.Generation == 0 {
		return headMessage{}, merry.Prepend(ErrNoSuchRevision, "no head")
	}

	return headMessage{Raw: repo.raw, Base: repo.base}, nil
}

func (repo *Repository) handlePart(_ context.Context, _ peer.Peer, req partRequest) (partResponse, error) {
	repo.mu.RLock()
	defer repo.mu.RUnlock()
	data, ok := repo.partData[hash(req.Hash)]
	if !ok {
		return partResponse{}, merry.Prepend(ErrNoSuchRevision, "part "+req.Hash)
	}

	return partResponse{Data: data}, nil
}

// offer sends the head that this process wrote to every peer, along with the parts it added.
func (repo *Repository) offer(ctx context.Context) {
	if repo.mesh == nil {
		return
	}
	repo.mu.RLock()
	msg := headMessage{Raw: repo.raw, Base: repo.base, Parts: map[string][]byte{}}
	size := 0
	for _, h := range repo.addedParts {
		if size += len(repo.partData[h]); size > maxOfferSize {
			break
		}
		msg.Parts[string(h)] = repo.partData[h]
	}
	repo.mu.RUnlock()

	// A peer that misses the offer learns of the head from heartbeats and from the store.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peer.DefaultTimeout)
	var wg sync.WaitGroup
	for _, p := range repo.mesh.Peers() {
		wg.Go(func() {
			a, err := peer.Call[offerResponse](ctx, repo.mesh, p.Name, kindOffer, msg)
			if err == nil {
				repo.recordInForce(p.Name, a.Number)
			}
		})
	}
	go func() {
		wg.Wait()
		cancel()
	}()
}

// offerTimeout limits how long a receiver spends on an offered head.
const offerTimeout = 2 * time.Second

// handleOffer accepts a head sent by its writer. An offer does not confirm that the head is still in force, because it may arrive late.
func (repo *Repository) handleOffer(ctx context.Context, from peer.Peer, msg headMessage) (offerResponse, error) {
	// Parts may have to be read from the store, which may never answer.
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()

	err := repo.acceptHead(ctx, msg.Raw, msg.Base, time.Time{}, func(ctx context.Context, h hash) ([]byte, error) {
		if data, ok := msg.Parts[string(h)]; ok {
			return data, nil
		}

		return repo.readPartsFromPeer(from.Name)(ctx, h)
	})
	if err != nil && !errors.Is(err, ErrStale) {
		return offerResponse{}, err
	}

	return offerResponse{Number: repo.Current().Number}, nil
}

// recordInForce records that an entry host has put a revision in force.
func (repo *Repository) recordInForce(name fleet.EntryName, number uint64) {
	repo.mu.Lock()
	defer repo.mu.Unlock()
	if number <= repo.inForce[name] {
		return
	}
	repo.inForce[name] = number
	close(repo.changed)
	repo.changed = make(chan struct{})
}

// InForce reports for each member whether it has put the numbered revision or a later one in force.
func (repo *Repository) InForce(number uint64) map[fleet.EntryName]bool {
	repo.mu.RLock()
	defer repo.mu.RUnlock()
	if repo.registry == nil {
		return nil
	}

	state := map[fleet.EntryName]bool{}
	for _, m := range repo.registry.Members() {
		state[m.Peer.Name] = repo.inForce[m.Peer.Name] >= number
	}
	state[repo.mesh.Self().Name] = repo.Current().Number >= number

	return state
}

// AwaitInForce waits until the numbered revision is in force on every member, and returns the members where it is not when ctx ends.
func (repo *Repository) AwaitInForce(ctx context.Context, number uint64) []fleet.EntryName {
	for {
		repo.mu.RLock()
		changed := repo.changed
		repo.mu.RUnlock()
		var missing []fleet.EntryName
		for name, ok := range repo.InForce(number) {
			if !ok {
				missing = append(missing, name)
			}
		}
		if len(missing) == 0 {
			return nil
		}

		select {
		case <-ctx.Done():
			return missing
		case <-changed:
		}
	}
}
