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
	// seatsKey is the control work of keeping the seats, which belongs to one of those who have one.
	seatsKey = "config/seats"
)

// seatMessage leaves a seat to the receiver.
type seatMessage struct {
	Seat member.Seat
	// Age is the time since the lease of the seat was renewed.
	Age        time.Duration
	Generation uint64
}

// seatAnswer says whether the receiver speaks for the seat from now on.
type seatAnswer struct {
	Taken bool
}

// tend settles doubt and keeps the seats in step with the members.
func (b *Book) tend(ctx context.Context) {
	self := b.registry.Self().Seat
	if self == "" || !b.writing.tryTake() {
		return
	}
	defer b.writing.give()
	if b.left.Load() {
		return
	}
	if err := b.settle(ctx); err != nil {
		return
	}

	b.mu.RLock()
	standing, held, base, reaching := b.standing, b.head, b.base, b.reaching
	b.mu.RUnlock()
	if !reaching {
		return
	}
	seats, due := b.wantedSeats(standing, held, self)
	if !due {
		return
	}
	next := held.successor()
	next.Seats = seats
	if err := b.writeHead(ctx, next, base); errors.Is(err, store.ErrConflict) {
		_ = b.refresh(ctx)
	}
}

// wantedSeats returns the seats that this process should write, and whether it should write any.
func (b *Book) wantedSeats(standing member.Standing, held headRecord, self member.Seat) ([]member.Seat, bool) {
	if held.Generation == 0 {
		return []member.Seat{self}, !standing.Confirmed().IsZero()
	}
	if !standing.Seated() && len(held.Seats) > 0 {
		b.registry.NoteMissing(held.Seats, time.Now())
		return []member.Seat{self}, standing.TakeoverDue(b.registry.GoneSince(), time.Now())
	}

	members := b.registry.Members()
	live := make([]member.Seat, 0, len(members))
	var writers []member.Member
	for _, m := range members {
		live = append(live, m.Seat)
		if slices.Contains(held.Seats, m.Seat) {
			writers = append(writers, m)
		}
	}
	// A process that speaks for a seat without a record of its own in the head writes itself in.
	mine := !slices.Contains(held.Seats, self) || member.Owner(writers, seatsKey).Seat == self

	return live, mine && len(live) > 0 && slices.Contains(live, self) && !slices.Equal(live, held.Seats)
}

// TakeOver gives this process the only seat although those who have one may be alive; an operator calls it who knows that
// they are gone. If they are not, and cut off, they may go on with the revision in force before for up to OutageLimit.
func (b *Book) TakeOver(ctx context.Context) error {
	if err := b.writing.take(ctx); err != nil {
		return err
	}
	defer b.writing.give()
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

// Leave gives the seat up before the process ends, so that the others can go on without it: in the store, or to a peer when the
// store cannot be reached. It returns ErrNotSeated when nobody took the seat.
func (b *Book) Leave(ctx context.Context) error {
	if b.registry == nil {
		return nil
	}
	if err := b.writing.take(ctx); err != nil {
		return err
	}
	defer b.writing.give()
	b.left.Store(true)
	self := b.registry.Self().Seat
	if err := b.leaveInStore(ctx, self); err == nil {
		return nil
	}

	return b.leaveToPeer(ctx)
}

func (b *Book) leaveInStore(ctx context.Context, self member.Seat) error {
	if err := b.settle(ctx); err != nil {
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
	// A head without seats may be written by anyone; then nobody is fresh by statements of seats.
	next.Seats = slices.Delete(next.Seats, at, at+1)

	return b.writeHead(ctx, next, base)
}

// leaveToPeer hands every seat that this process speaks for to one peer that holds the same head.
func (b *Book) leaveToPeer(ctx context.Context) error {
	b.mu.Lock()
	now := time.Now()
	doubt, generation := b.standing.Doubt(), b.standing.Head().Generation
	seats := b.standing.Yield()
	if !doubt {
		// From here on the process states nothing, whether a peer takes the seats or not.
		for _, s := range seats {
			b.standing = b.standing.WithoutSeat(s.Seat)
		}
	}
	b.mu.Unlock()
	if doubt {
		return merry.Prepend(ErrNotSeated, "a write is in doubt")
	}

	for _, s := range seats {
		msg := seatMessage{Seat: s.Seat, Age: now.Sub(s.Renewed), Generation: generation}
		if err := b.handSeat(ctx, msg); err != nil {
			return err
		}
	}

	return nil
}

// handSeat offers a seat to one peer after another, but to no other one once a peer may have taken it.
func (b *Book) handSeat(ctx context.Context, msg seatMessage) error {
	for _, p := range b.mesh.Peers() {
		if h, ok := b.mesh.Heard(p.Name); !ok || h.Status.Generation < msg.Generation {
			continue
		}
		a, err := peer.Call[seatAnswer](ctx, b.mesh, p.Name, kindSeat, msg)
		switch {
		case err == nil && a.Taken:
			return nil
		case errors.Is(err, peer.ErrUnreachable):
			return err
		}
	}

	return merry.Prepend(ErrNotSeated, "nobody took the seat")
}

// answerSeat takes a seat over from a process that leaves.
func (b *Book) answerSeat(_ context.Context, _ peer.Peer, msg seatMessage) (seatAnswer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, ok := b.standing.WithHanded(msg.Seat, time.Now().Add(-msg.Age), msg.Generation)
	b.standing = next

	return seatAnswer{Taken: ok}, nil
}
