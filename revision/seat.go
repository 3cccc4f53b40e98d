package revision

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/member"
	"lycheehook.example/lycheehook/peer"
	"lycheehook.example/lycheehook/store"
)

const (
	kindSeat peer.Kind = "Config/Seat"
	// seatsKey selects the seat holder that is responsible for keeping the seats up to date.
	seatsKey = "config/seats"
)

// seatMessage transfers a seat to the receiver.
type seatMessage struct {
	Seat member.Seat
	// Age is the time since the last renewal of the seat's lease.
	Age time.Duration
	// Generation is the generation of the sender's head.
	Generation uint64
}

// seatResponse says whether the receiver took the seat.
type seatResponse struct {
	Taken bool
}

// maintainSeats resolves a write of unknown outcome and updates the seats to match the live members.
func (b *Book) maintainSeats(ctx context.Context) {
	self := b.registry.Self().Seat
	if self == "" || !b.writeMu.tryLock() {
		return
	}
	defer b.writeMu.unlock()
	if b.resigned.Load() {
		return
	}
	if err := b.resolveUncertainWrite(ctx); err != nil {
		return
	}

	b.mu.RLock()
	standing, head, base, storeReachable := b.standing, b.head, b.base, b.storeReachable
	b.mu.RUnlock()
	if !storeReachable {
		return
	}
	seats, due := b.wantedSeats(standing, head, self)
	if !due {
		return
	}
	next := head.successor()
	next.Seats = seats
	if err := b.writeHead(ctx, next, base); errors.Is(err, store.ErrConflict) {
		_ = b.refresh(ctx)
	}
}

// wantedSeats returns the seats for the next head, and whether this process should write them now.
func (b *Book) wantedSeats(standing member.Standing, head headRecord, self member.Seat) ([]member.Seat, bool) {
	if head.Generation == 0 {
		return []member.Seat{self}, !standing.Confirmed().IsZero()
	}
	if !standing.Seated() && len(head.Seats) > 0 {
		b.registry.NoteMissing(head.Seats, time.Now())
		return []member.Seat{self}, standing.TakeoverDue(b.registry.GoneSince(), time.Now())
	}

	members := b.registry.Members()
	live := make([]member.Seat, 0, len(members))
	var writers []member.Member
	for _, m := range members {
		live = append(live, m.Seat)
		if slices.Contains(head.Seats, m.Seat) {
			writers = append(writers, m)
		}
	}
	// A process whose own seat is not in the head, for example one that holds a transferred seat, adds its seat itself.
	responsible := !slices.Contains(head.Seats, self) || member.Owner(writers, seatsKey).Seat == self

	return live, responsible && len(live) > 0 && slices.Contains(live, self) && !slices.Equal(live, head.Seats)
}

// TakeOver makes this process the only seat holder without checking that the current holders have stopped; the operator who
// calls it must know that they have. A holder that still runs but is cut off may keep serving the previous revision for up to
// OutageLimit.
func (b *Book) TakeOver(ctx context.Context) error {
	if err := b.writeMu.lock(ctx); err != nil {
		return err
	}
	defer b.writeMu.unlock()
	self := b.registry.Self().Seat
	if self == "" {
		return merry.Wrap(member.ErrNotJoined)
	}
	if err := b.refresh(ctx); err != nil {
		return err
	}
	b.mu.RLock()
	next, base, seated := b.head.successor(), b.base, b.standing.Seated()
	b.mu.RUnlock()
	if seated {
		return nil
	}
	next.Seats = []member.Seat{self}

	return b.writeHead(ctx, next, base)
}

// Leave gives up this process's seats before it exits, so that the other processes can continue without it. It removes its own
// seat in the store or, if that fails, transfers its seats to peers. It returns ErrNotSeated when no peer took a seat.
func (b *Book) Leave(ctx context.Context) error {
	if b.registry == nil {
		return nil
	}
	if err := b.writeMu.lock(ctx); err != nil {
		return err
	}
	defer b.writeMu.unlock()
	b.resigned.Store(true)
	self := b.registry.Self().Seat
	if err := b.releaseSeatInStore(ctx, self); err == nil {
		return nil
	}

	return b.transferSeats(ctx)
}

func (b *Book) releaseSeatInStore(ctx context.Context, self member.Seat) error {
	if err := b.resolveUncertainWrite(ctx); err != nil {
		return err
	}
	if err := b.refresh(ctx); err != nil {
		return err
	}
	b.mu.RLock()
	next, base := b.head.successor(), b.base
	b.mu.RUnlock()
	at := slices.Index(next.Seats, self)
	if at < 0 {
		return nil
	}
	// Any process may write a head without seats. Without seats, no process counts as fresh by the seats' statements alone.
	next.Seats = slices.Delete(next.Seats, at, at+1)

	return b.writeHead(ctx, next, base)
}

// transferSeats hands each seat that this process holds to a peer whose head is at least as new.
func (b *Book) transferSeats(ctx context.Context) error {
	b.mu.Lock()
	now := time.Now()
	uncertain, generation := b.standing.Doubt(), b.standing.Head().Generation
	seats := b.standing.Yield()
	if !uncertain {
		// From here on this process makes no statement for the seats, whether or not a peer takes them.
		for _, s := range seats {
			b.standing = b.standing.WithoutSeat(s.Seat)
		}
	}
	b.mu.Unlock()
	if uncertain {
		return merry.Prepend(ErrNotSeated, "a write is in doubt")
	}

	for _, s := range seats {
		msg := seatMessage{Seat: s.Seat, Age: now.Sub(s.Renewed), Generation: generation}
		if err := b.transferSeat(ctx, msg); err != nil {
			return err
		}
	}

	return nil
}

// transferSeat offers a seat to one peer after another until one takes it. It stops if an answer is lost, because that peer may have taken the seat.
func (b *Book) transferSeat(ctx context.Context, msg seatMessage) error {
	for _, p := range b.mesh.Peers() {
		if h, ok := b.mesh.Heard(p.Name); !ok || h.Status.Generation < msg.Generation {
			continue
		}
		a, err := peer.Call[seatResponse](ctx, b.mesh, p.Name, kindSeat, msg)
		switch {
		case err == nil && a.Taken:
			return nil
		case errors.Is(err, peer.ErrUnreachable):
			return err
		}
	}

	return merry.Prepend(ErrNotSeated, "nobody took the seat")
}

// handleSeat takes over a seat from a process that is leaving.
func (b *Book) handleSeat(_ context.Context, _ peer.Peer, msg seatMessage) (seatResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, ok := b.standing.WithHanded(msg.Seat, time.Now().Add(-msg.Age), msg.Generation)
	b.standing = next

	return seatResponse{Taken: ok}, nil
}
