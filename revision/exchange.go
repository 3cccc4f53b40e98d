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

// registerHandlers registers the book with the peer mesh and the member registry.
func (b *Book) registerHandlers() {
	peer.Handle(b.mesh, kindHead, b.handleHead)
	peer.Handle(b.mesh, kindPart, b.handlePart)
	peer.Handle(b.mesh, kindOffer, b.handleOffer)
	peer.Handle(b.mesh, kindSeat, b.handleSeat)
	b.mesh.SetStatus(b.status)
	b.mesh.OnHeard(b.heard)
	b.registry.OnRenewed(func(seat member.Seat, requestedAt time.Time) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.standing = b.standing.WithSeat(seat, requestedAt)
	})
}

// status returns the book's part of the heartbeat status.
func (b *Book) status() peer.Status {
	members := b.registry.Members()
	b.mu.RLock()
	defer b.mu.RUnlock()
	st := b.standing.Status(time.Now())
	st.Revision, st.StoreReachable, st.View = b.head.Number, b.storeReachable, member.View(members)

	return st
}

// heard processes a peer's heartbeat status. A newer head is fetched from the peer first.
func (b *Book) heard(h peer.Heard) {
	b.recordInForce(h.From.Name, h.Status.Revision)
	b.mu.RLock()
	newer := h.Status.Generation > b.head.Generation
	b.mu.RUnlock()
	if newer {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		if err := b.fetchFrom(ctx, h.From); err != nil {
			return
		}
	}

	b.mu.Lock()
	defer b.mu.Unlock()
	b.standing = b.standing.WithHeard(h)
}

// fetchFrom fetches a peer's head and the parts that are not cached.
func (b *Book) fetchFrom(ctx context.Context, from peer.Peer) error {
	if err := b.fetchMu.lock(ctx); err != nil {
		return err
	}
	defer b.fetchMu.unlock()
	msg, err := peer.Call[headMessage](ctx, b.mesh, from.Name, kindHead, headRequest{})
	if err != nil {
		return err
	}

	return b.acceptHead(ctx, msg.Raw, msg.Base, time.Time{}, b.readPartsFromPeer(from.Name))
}

// readPartsFromPeer returns a reader that asks the peer for a part, and reads it from the store if the peer lacks it or cannot be reached.
func (b *Book) readPartsFromPeer(name fleet.EntryName) partReader {
	return func(ctx context.Context, h hash) ([]byte, error) {
		a, err := peer.Call[partResponse](ctx, b.mesh, name, kindPart, partRequest{Hash: string(h)})
		if err == nil && hashOf(a.Data) == h {
			return a.Data, nil
		}

		return b.readPartFromStore(ctx, h)
	}
}

func (b *Book) handleHead(context.Context, peer.Peer, headRequest) (headMessage, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.head.Generation == 0 {
		return headMessage{}, merry.Prepend(ErrNoSuchRevision, "no head")
	}

	return headMessage{Raw: b.raw, Base: b.base}, nil
}

func (b *Book) handlePart(_ context.Context, _ peer.Peer, req partRequest) (partResponse, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	data, ok := b.partData[hash(req.Hash)]
	if !ok {
		return partResponse{}, merry.Prepend(ErrNoSuchRevision, "part "+req.Hash)
	}

	return partResponse{Data: data}, nil
}

// offer sends the head that this process wrote to every peer, along with the parts it added.
func (b *Book) offer(ctx context.Context) {
	if b.mesh == nil {
		return
	}
	b.mu.RLock()
	msg := headMessage{Raw: b.raw, Base: b.base, Parts: map[string][]byte{}}
	size := 0
	for _, h := range b.addedParts {
		if size += len(b.partData[h]); size > maxOfferSize {
			break
		}
		msg.Parts[string(h)] = b.partData[h]
	}
	b.mu.RUnlock()

	// A peer that misses the offer learns of the head from heartbeats and from the store.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peer.DefaultTimeout)
	var wg sync.WaitGroup
	for _, p := range b.mesh.Peers() {
		wg.Go(func() {
			a, err := peer.Call[offerResponse](ctx, b.mesh, p.Name, kindOffer, msg)
			if err == nil {
				b.recordInForce(p.Name, a.Number)
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
func (b *Book) handleOffer(ctx context.Context, from peer.Peer, msg headMessage) (offerResponse, error) {
	// Parts may have to be read from the store, which may never answer.
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()

	err := b.acceptHead(ctx, msg.Raw, msg.Base, time.Time{}, func(ctx context.Context, h hash) ([]byte, error) {
		if data, ok := msg.Parts[string(h)]; ok {
			return data, nil
		}

		return b.readPartsFromPeer(from.Name)(ctx, h)
	})
	if err != nil && !errors.Is(err, ErrStale) {
		return offerResponse{}, err
	}

	return offerResponse{Number: b.Current().Number}, nil
}

// recordInForce records that an entry host has put a revision in force.
func (b *Book) recordInForce(name fleet.EntryName, number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if number <= b.inForce[name] {
		return
	}
	b.inForce[name] = number
	close(b.changed)
	b.changed = make(chan struct{})
}

// InForce reports for each member whether it has put the numbered revision or a later one in force.
func (b *Book) InForce(number uint64) map[fleet.EntryName]bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.registry == nil {
		return nil
	}

	state := map[fleet.EntryName]bool{}
	for _, m := range b.registry.Members() {
		state[m.Peer.Name] = b.inForce[m.Peer.Name] >= number
	}
	state[b.mesh.Self().Name] = b.Current().Number >= number

	return state
}

// AwaitInForce waits until the numbered revision is in force on every member, and returns the members where it is not when ctx ends.
func (b *Book) AwaitInForce(ctx context.Context, number uint64) []fleet.EntryName {
	for {
		b.mu.RLock()
		changed := b.changed
		b.mu.RUnlock()
		var missing []fleet.EntryName
		for name, ok := range b.InForce(number) {
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
