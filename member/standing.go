package member

import (
	"maps"
	"slices"
	"time"

	"lycheehook.example/lycheehook/peer"
)

const (
	// DefaultFreshFor is how long knowledge of what is in force counts.
	DefaultFreshFor = 3 * time.Second
	// DefaultOutageLimit is how long a process may go on without renewing its lease in the store.
	DefaultOutageLimit = time.Hour
)

// Seat is the right to write the head record; it is bound to one lease and ends for good when that lease lapses.
type Seat string

// Head is the part of the head record that decides who may write the next one.
type Head struct {
	// Generation grows by one with each write of the head record.
	Generation uint64
	// Seats are those who may write the next generation; nobody else may.
	Seats []Seat
}

// Limits are the times within which a standing counts.
type Limits struct {
	FreshFor    time.Duration
	OutageLimit time.Duration
}

// Standing is what a process knows about whether the head that it holds is in force; it is an immutable value.
//
// Every moment in it has this meaning: no head after the held one was written before it.
type Standing struct {
	limits Limits
	head   Head
	// confirmed is the newest moment known from the store, directly or through peers.
	confirmed time.Time
	// own maps each seat that this process speaks for to the moment of the last renewal of its lease.
	own map[Seat]time.Time
	// stated maps the seats of others to the moment at which their holders last stated that they wrote nothing after the held head.
	stated map[Seat]time.Time
	// storeless maps the seats of others to the moment at which their holders last said that they can't reach the store.
	storeless map[Seat]time.Time
	// doubt says that a write of this process may have replaced the held head, now or later.
	doubt bool
}

// NewStanding returns the standing of a process that knows nothing.
func NewStanding(l Limits) Standing {
	return Standing{limits: l}
}

// Head returns the head that the process holds.
func (s Standing) Head() Head {
	return s.head
}

// Doubt reports whether a write of this process may still replace the held head.
func (s Standing) Doubt() bool {
	return s.doubt
}

// WithHead returns the standing after the process took over a head; an older one changes nothing.
func (s Standing) WithHead(h Head) Standing {
	if h.Generation <= s.head.Generation {
		return s
	}

	// The newer head shows that the write in doubt replaced its base or never will, because it was conditional on it.
	s.head, s.stated, s.storeless, s.doubt = h, nil, nil, false

	return s
}

// WithRead returns the standing after a read of the store that was asked for at that moment returned h.
func (s Standing) WithRead(h Head, asked time.Time) Standing {
	s = s.WithHead(h)
	if h.Generation == s.head.Generation && asked.After(s.confirmed) {
		s.confirmed = asked
	}

	return s
}

// WithHeard returns the standing after a peer's answer; one about another generation changes nothing.
func (s Standing) WithHeard(h peer.Heard) Standing {
	if h.Status.Generation != s.head.Generation || h.Status.Generation == 0 {
		return s
	}
	// The answer was made after it was asked for, so counting ages from that moment is safe however long it took.
	if moment := h.Asked.Add(-h.Status.Age); h.Status.Confirmed && moment.After(s.confirmed) {
		s.confirmed = moment
	}

	s.stated, s.storeless = cloned(s.stated), cloned(s.storeless)
	for _, name := range h.Status.Seats {
		seat := Seat(name)
		if !h.Asked.After(s.stated[seat]) {
			continue
		}
		s.stated[seat] = h.Asked
		delete(s.storeless, seat)
		if !h.Status.StoreReachable {
			s.storeless[seat] = h.Asked
		}
	}

	return s
}

// cloned returns a copy that can be written to.
func cloned(m map[Seat]time.Time) map[Seat]time.Time {
	if m == nil {
		return map[Seat]time.Time{}
	}

	return maps.Clone(m)
}

// WithDoubt returns the standing with a write in doubt or not; it is set before the write is sent.
func (s Standing) WithDoubt(doubt bool) Standing {
	s.doubt = doubt
	return s
}

// WithSeat returns the standing of a process that speaks for a seat whose lease was last renewed at that moment.
func (s Standing) WithSeat(seat Seat, renewed time.Time) Standing {
	s.own = maps.Clone(s.own)
	if s.own == nil {
		s.own = map[Seat]time.Time{}
	}
	if renewed.After(s.own[seat]) {
		s.own[seat] = renewed
	}
	for old, at := range s.own {
		if renewed.Sub(at) > s.limits.OutageLimit && !slices.Contains(s.head.Seats, old) {
			delete(s.own, old)
		}
	}

	return s
}

// WithHanded returns the standing after the holder of a seat left it to this process, and whether it may be taken over.
//
// A process that holds an older head than the former holder must not state for the seat: the former holder may have written the next one.
func (s Standing) WithHanded(seat Seat, renewed time.Time, generation uint64) (Standing, bool) {
	if s.head.Generation < generation {
		return s, false
	}

	return s.WithSeat(seat, renewed), true
}

// WithoutSeat returns the standing of a process that no longer speaks for a seat.
func (s Standing) WithoutSeat(seat Seat) Standing {
	s.own = maps.Clone(s.own)
	delete(s.own, seat)

	return s
}

// HeldSeat is a seat that a process speaks for, with the moment of the last renewal of its lease.
type HeldSeat struct {
	Seat    Seat
	Renewed time.Time
}

// Yield returns those seats of the held head that the process speaks for.
func (s Standing) Yield() []HeldSeat {
	var held []HeldSeat
	for _, seat := range s.head.Seats {
		if renewed, ok := s.own[seat]; ok {
			held = append(held, HeldSeat{Seat: seat, Renewed: renewed})
		}
	}

	return held
}

// Seated reports whether the process may write the next head.
func (s Standing) Seated() bool {
	return slices.ContainsFunc(s.head.Seats, func(seat Seat) bool {
		_, ok := s.own[seat]
		return ok
	})
}

// Stating returns the seats for which the process states that it has written nothing after the held head.
func (s Standing) Stating(now time.Time) []Seat {
	if s.doubt {
		return nil
	}

	var seats []Seat
	for _, seat := range s.head.Seats {
		if renewed, ok := s.own[seat]; ok && now.Sub(renewed) < s.limits.OutageLimit {
			seats = append(seats, seat)
		}
	}

	return seats
}

// AsOf returns the newest moment of which the process knows that no later head was written before it; zero if there is none.
func (s Standing) AsOf(now time.Time) time.Time {
	if stated := s.statedByAll(now); stated.After(s.confirmed) {
		return stated
	}

	return s.confirmed
}

// statedByAll returns the oldest of the statements of all seats, or zero when one is missing.
//
// Only a seat of the held head can write the next one, and its holder stops stating before it does.
func (s Standing) statedByAll(now time.Time) time.Time {
	stating := s.Stating(now)
	oldest := now
	for _, seat := range s.head.Seats {
		moment := s.stated[seat]
		if slices.Contains(stating, seat) {
			moment = now
		}
		if moment.Before(oldest) {
			oldest = moment
		}
	}
	if len(s.head.Seats) == 0 {
		return time.Time{}
	}

	return oldest
}

// Confirmed returns the newest moment known from the store, directly or through peers, and not by statements of all seats.
func (s Standing) Confirmed() time.Time {
	return s.confirmed
}

// Fresh reports whether the held head is known to have been in force within FreshFor.
func (s Standing) Fresh(now time.Time) bool {
	if !s.confirmed.IsZero() && now.Sub(s.confirmed) < s.limits.FreshFor {
		return true
	}
	asOf := s.AsOf(now)

	return !asOf.IsZero() && now.Sub(asOf) < s.limits.FreshFor
}

// Licensed reports whether a lease of the process was renewed within OutageLimit, so that others still count what it holds as held.
func (s Standing) Licensed(now time.Time) bool {
	for _, renewed := range s.own {
		if now.Sub(renewed) < s.limits.OutageLimit {
			return true
		}
	}

	return false
}

// StoreLost reports whether the holders of all seats said within FreshFor that they can't reach the store, so that nobody
// with a seat can see there that this process's lease has lapsed.
func (s Standing) StoreLost(now time.Time) bool {
	if len(s.head.Seats) == 0 {
		return false
	}

	for _, seat := range s.head.Seats {
		if _, own := s.own[seat]; own {
			continue
		}
		if moment, said := s.storeless[seat]; !said || now.Sub(moment) >= s.limits.FreshFor {
			return false
		}
	}

	return true
}

// Status returns what heartbeats say of the standing; generation, age and seats are of one moment.
func (s Standing) Status(now time.Time) peer.Status {
	st := peer.Status{Generation: s.head.Generation}
	for _, seat := range s.Stating(now) {
		st.Seats = append(st.Seats, string(seat))
	}
	if asOf := s.AsOf(now); !asOf.IsZero() && s.head.Generation > 0 {
		st.Confirmed, st.Age = true, now.Sub(asOf)
	}

	return st
}

// TakeoverDue reports whether the seats of the held head may be taken over by a process that has none, given since when the
// records of members are known to be gone: a seat whose lease lapsed OutageLimit ago makes no statement any more, and without
// it no other process can be fresh by statements alone.
func (s Standing) TakeoverDue(goneSince map[Seat]time.Time, now time.Time) bool {
	for _, seat := range s.head.Seats {
		// The clocks of two processes may run apart by up to a hundredth.
		if since, gone := goneSince[seat]; gone && now.Sub(since) > s.limits.OutageLimit+s.limits.OutageLimit/100 {
			return true
		}
	}

	return false
}
