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
func (repo *Repository) maintainSeats(ctx context.Context) {
	self := repo.registry.Self().Seat
	if self == "" || !repo.writeMu.tryLock() {
		return
	}
	defer repo.writeMu.unlock()
	if repo.resigned.Load() {
		return
	}
	if err := repo.resolveUncertainWrite(ctx); err != nil {
		return
	}

	repo.mu.RLock()
	standing, head, base, storeReachable := repo.standing, repo.head, repo.base, repo.storeReachable
	repo.mu.RUnlock()
	if !storeReachable {
		return
	}
	seats, due := repo.wantedSeats(standing, head, self)
	if !due {
		return
	}
	next := head.successor()
	next.Seats = seats
	if err := repo.writeHead(ctx, next, base); errors.Is(err, store.ErrConflict) {
		_ = repo.refresh(ctx)
	}
}

// wantedSeats returns the seats for the next head, and whether this process should write them now.
func (repo *Repository) wantedSeats(standing member.Standing, head headRecord, self member.Seat) ([]member.Seat, bool) {
	if head.Generation == 0 {
		return []member.Seat{self}, !standing.Confirmed().IsZero()
	}
	if !standing.Seated() && len(head.Seats) > 0 {
		repo.registry.NoteMissing(head.Seats, time.Now())
		return []member.Seat{self}, standing.TakeoverDue(repo.registry.GoneSince(), time.Now())
	}

	members := repo.registry.Members()
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
func (repo *Repository) TakeOver(ctx context.Context) error {
	if err := repo.writeMu.lock(ctx); err != nil {
		return err
	}
	defer repo.writeMu.unlock()
	self := repo.registry.Self().Seat
	if self == "" {
		return merry.Wrap(member.ErrNotJoined)
	}
	if err := repo.refresh(ctx); err != nil {
		return err
	}
	repo.mu.RLock()
	next, base, seated := repo.head.successor(), repo.base, repo.standing.Seated()
	repo.mu.RUnlock()
	if seated {
		return nil
	}
	next.Seats = []member.Seat{self}

	return repo.writeHead(ctx, next, base)
}

// Leave gives up this process's seats before it exits, so that the other processes can continue without it. It removes its own
// seat in the store or, if that fails, transfers its seats to peers. It returns ErrNotSeated when no peer took a seat.
func (repo *Repository) Leave(ctx context.Context) error {
	if repo.registry == nil {
		return nil
	}
	if err := repo.writeMu.lock(ctx); err != nil {
		return err
	}
	defer repo.writeMu.unlock()
	repo.resigned.Store(true)
	self := repo.registry.Self().Seat
	if err := repo.releaseSeatInStore(ctx, self); err == nil {
		return nil
	}

	return repo.transferSeats(ctx)
}

func (repo *Repository) releaseSeatInStore(ctx context.Context, self member.Seat) error {
	if err := repo.resolveUncertainWrite(ctx); err != nil {
		return err
	}
	if err := repo.refresh(ctx); err != nil {
		return err
	}
	repo.mu.RLock()
	next, base := repo.head.successor(), repo.base
	repo.mu.RUnlock()
	at := slices.Index(next.Seats, self)
	if at < 0 {
		return nil
	}
	// Any process may write a head without seats. Without seats, no process counts as fresh by the seats' statements alone.
	next.Seats = slices.Delete(next.Seats, at, at+1)

	return repo.writeHead(ctx, next, base)
}

// transferSeats hands each seat that this process holds to a peer whose head is at least as new.
func (repo *Repository) transferSeats(ctx context.Context) error {
	repo.mu.Lock()
	now := time.Now()
	uncertain, generation := repo.standing.Uncertain(), repo.standing.Head().Generation
	seats := repo.standing.OwnSeats()
	if !uncertain {
		// From here on this process makes no statement for the seats, whether or not a peer takes them.
		for _, s := range seats {
			repo.standing = repo.standing.WithoutSeat(s.Seat)
		}
	}
	repo.mu.Unlock()
	if uncertain {
		return merry.Prepend(ErrNotSeated, "the outcome of a write is unknown")
	}

	for _, s := range seats {
		msg := seatMessage{Seat: s.Seat, Age: now.Sub(s.Renewed), Generation: generation}
		if err := repo.transferSeat(ctx, msg); err != nil {
			return err
		}
	}

	return nil
}

// transferSeat offers a seat to one peer after another until one takes it. It stops if an answer is lost, because that peer may have taken the seat.
func (repo *Repository) transferSeat(ctx context.Context, msg seatMessage) error {
	for _, p := range repo.mesh.Peers() {
		if h, ok := repo.mesh.Heard(p.Name); !ok || h.Status.Generation < msg.Generation {
			continue
		}
		a, err := peer.Call[seatResponse](ctx, repo.mesh, p.Name, kindSeat, msg)
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
func (repo *Repository) handleSeat(_ context.Context, _ peer.Peer, msg seatMessage) (seatResponse, error) {
	repo.mu.Lock()
	defer repo.mu.Unlock()
	next, ok := repo.standing.WithHanded(msg.Seat, time.Now().Add(-msg.Age), msg.Generation)
	repo.standing = next

	return seatResponse{Taken: ok}, nil
}
