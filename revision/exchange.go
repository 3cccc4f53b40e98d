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
	// maxOffered bounds the parts that an offer carries along, in bytes.
	maxOffered = 256 << 10
	// fetchTimeout bounds the take-over of a head from a peer.
	fetchTimeout = 10 * time.Second
)

// headMessage is a head with those parts that the receiver is likely to lack.
type headMessage struct {
	Raw   []byte
	Base  uint64
	Parts map[string][]byte `cbor:",omitempty"`
}

// headRequest asks a peer for the head that it holds.
type headRequest struct{}

// partRequest asks a peer for the content of a part.
type partRequest struct {
	Hash string
}

type partAnswer struct {
	Data []byte
}

// offerAnswer says what the receiver holds after an offer.
type offerAnswer struct {
	Number uint64
}

// join connects the book with the other entry hosts.
func (b *Book) join() {
	peer.Handle(b.mesh, kindHead, b.answerHead)
	peer.Handle(b.mesh, kindPart, b.answerPart)
	peer.Handle(b.mesh, kindOffer, b.answerOffer)
	peer.Handle(b.mesh, kindSeat, b.answerSeat)
	b.mesh.SetStatus(b.status)
	b.mesh.OnHeard(b.heard)
	b.registry.OnRenewed(func(seat member.Seat, asked time.Time) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.standing = b.standing.WithSeat(seat, asked)
	})
}

// status is what heartbeats say of the book.
func (b *Book) status() peer.Status {
	members := b.registry.Members()
	b.mu.RLock()
	defer b.mu.RUnlock()
	st := b.standing.Status(time.Now())
	st.Revision, st.StoreReachable, st.View = b.head.Number, b.reaching, member.View(members)

	return st
}

// heard takes over what a peer knows; a newer head is fetched from it first.
func (b *Book) heard(h peer.Heard) {
	b.noteHolder(h.From.Name, h.Status.Revision)
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

// fetchFrom takes over the head of a peer with the parts that this process lacks.
func (b *Book) fetchFrom(ctx context.Context, from peer.Peer) error {
	if err := b.fetching.take(ctx); err != nil {
		return err
	}
	defer b.fetching.give()
	msg, err := peer.Call[headMessage](ctx, b.mesh, from.Name, kindHead, headRequest{})
	if err != nil {
		return err
	}

	return b.takeOver(ctx, msg.Raw, msg.Base, time.Time{}, b.fromPeer(from.Name))
}

// fromPeer reads parts from a peer, and from the store when the peer cannot give them.
func (b *Book) fromPeer(name fleet.EntryName) source {
	return func(ctx context.Context, h hash) ([]byte, error) {
		a, err := peer.Call[partAnswer](ctx, b.mesh, name, kindPart, partRequest{Hash: string(h)})
		if err == nil && hashOf(a.Data) == h {
			return a.Data, nil
		}

		return b.fromStore(ctx, h)
	}
}

func (b *Book) answerHead(context.Context, peer.Peer, headRequest) (headMessage, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.head.Generation == 0 {
		return headMessage{}, merry.Prepend(ErrNoSuchRevision, "no head")
	}

	return headMessage{Raw: b.raw, Base: b.base}, nil
}

func (b *Book) answerPart(_ context.Context, _ peer.Peer, req partRequest) (partAnswer, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	data, ok := b.data[hash(req.Hash)]
	if !ok {
		return partAnswer{}, merry.Prepend(ErrNoSuchRevision, "part "+req.Hash)
	}

	return partAnswer{Data: data}, nil
}

// offer sends the head that this process wrote to every peer, with the parts that it added.
func (b *Book) offer(ctx context.Context) {
	if b.mesh == nil {
		return
	}
	b.mu.RLock()
	msg := headMessage{Raw: b.raw, Base: b.base, Parts: map[string][]byte{}}
	size := 0
	for _, h := range b.added {
		if size += len(b.data[h]); size > maxOffered {
			break
		}
		msg.Parts[string(h)] = b.data[h]
	}
	b.mu.RUnlock()

	// Those whose offer is lost learn from heartbeats and from the store.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peer.DefaultTimeout)
	var wg sync.WaitGroup
	for _, p := range b.mesh.Peers() {
		wg.Go(func() {
			a, err := peer.Call[offerAnswer](ctx, b.mesh, p.Name, kindOffer, msg)
			if err == nil {
				b.noteHolder(p.Name, a.Number)
			}
		})
	}
	go func() {
		wg.Wait()
		cancel()
	}()
}

// offerTimeout bounds the taking over of an offered head.
const offerTimeout = 2 * time.Second

// answerOffer takes over a head that its writer sends; it confirms nothing, because it may be late.
func (b *Book) answerOffer(ctx context.Context, from peer.Peer, msg headMessage) (offerAnswer, error) {
	// Its parts may be missing here, and the store that has them may never answer.
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()

	err := b.takeOver(ctx, msg.Raw, msg.Base, time.Time{}, func(ctx context.Context, h hash) ([]byte, error) {
		if data, ok := msg.Parts[string(h)]; ok {
			return data, nil
		}

		return b.fromPeer(from.Name)(ctx, h)
	})
	if err != nil && !errors.Is(err, ErrStale) {
		return offerAnswer{}, err
	}

	return offerAnswer{Number: b.Current().Number}, nil
}

// noteHolder notes that an entry host has put a revision in force.
func (b *Book) noteHolder(name fleet.EntryName, number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if number <= b.inForce[name] {
		return
	}
	b.inForce[name] = number
	close(b.moved)
	b.moved = make(chan struct{})
}

// InForce reports for each member whether it has put the revision with that number, or a later one, in force.
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

// AwaitInForce waits until the revision with that number is in force on every member, and returns those where it is not when ctx ends.
func (b *Book) AwaitInForce(ctx context.Context, number uint64) []fleet.EntryName {
	for {
		b.mu.RLock()
		moved := b.moved
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
		case <-moved:
		}
	}
}
