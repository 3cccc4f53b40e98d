package member

import (
	"maps"
	"slices"
	"time"

	"lycheehook.example/lycheehook/peer"
)

const (
	// DefaultFreshFor is how long a confirmation that the held head is current remains valid.
	DefaultFreshFor = 3 * time.Second
	// DefaultOutageLimit is how long a process may operate without renewing its lease in the store.
	DefaultOutageLimit = time.Hour
)

// Seat is the right to write the head record. It is bound to one lease and permanently ends when that lease expires.
type Seat string

// Head is the part of the head record that determines who may write the next generation.
type Head struct {
	// Generation increases by one with each write of the head record.
	Generation uint64
	// Seats are the only seats that may write the next generation.
	Seats []Seat
}

// Limits are the time limits of a Standing.
type Limits struct {
	FreshFor    time.Duration
	OutageLimit time.Duration
}

// Standing is what a process knows about whether the head that it holds is current. It is an immutable value.
//
// Its times mean that no later head had been written at that time, except for those of leases and storeless.
type Standing struct {
	limits Limits
	head   Head
	// confirmed is the latest such time known from the store, directly or through peers.
	confirmed time.Time
	// own maps each seat of this process to the time of the last renewal of the seat's lease.
	own map[Seat]time.Time
	// stated maps the seats of others to the time at which their holders last stated that they haven't written a later head.
	stated map[Seat]time.Time
	// storeless maps the seats of others to the time at which their holders last reported that they can't reach the store.
	storeless map[Seat]time.Time
	// uncertain is set while a write of this process may have replaced the held head or may still replace it.
	uncertain bool
}

// NewStanding returns the standing of a process without a head or a seat.
func NewStanding(l Limits) Standing {
	return Standing{limits: l}
}

// Head returns the head that the process holds.
func (s Standing) Head() Head {
	return s.head
}

// Uncertain reports whether a write of this process may still replace the held head.
func (s Standing) Uncertain() bool {
	return s.uncertain
}

// WithHead returns the standing after the process adopted h; an older head is ignored.
func (s Standing) WithHead(h Head) Standing {
	if h.Generation <= s.head.Generation {
		return s
	}

	// An uncertain write is conditional on the old head, so it has either taken effect or can't any more.
	s.head, s.stated, s.storeless, s.uncertain = h, nil, nil, false

	return s
}

// WithRead returns the standing after a read of the store, requested at the given time, returned h.
func (s Standing) WithRead(h Head, requested time.Time) Standing {
	s = s.WithHead(h)
	if h.Generation == s.head.Generation && requested.After(s.confirmed) {
		s.confirmed = requested
	}

	return s
}

// WithHeard returns the standing after a peer's heartbeat response; a response about another generation is ignored.
func (s Standing) WithHeard(h peer.Heard) Standing {
	if h.Status.Generation != s.head.Generation || h.Status.Generation == 0 {
		return s
	}
	// The peer responded after the request was sent, so an age counted from the request is safe regardless of latency.
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

// cloned returns a copy of m that is not nil.
func cloned(m map[Seat]time.Time) map[Seat]time.Time {
	if m == nil {
		return map[Seat]time.Time{}
	}

	return maps.Clone(m)
}

// WithUncertain returns the standing with uncertain set or cleared; a writer sets it before it sends the write.
func (s Standing) WithUncertain(uncertain bool) Standing {
	s.uncertain = uncertain
	return s
}

// WithSeat returns the standing of a process that holds a seat whose lease was last renewed at the given time.
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

// WithHanded returns the standing after the holder of a seat handed it over to this process, and whether it was accepted.
//
// A process with an older head than the former holder's must not make statements for the seat, because the former holder may
// have written the next generation.
func (s Standing) WithHanded(seat Seat, renewed time.Time, generation uint64) (Standing, bool) {
	if s.head.Generation < generation {
		return s, false
	}

	return s.WithSeat(seat, renewed), true
}

// WithoutSeat returns the standing of a process that no longer holds a seat.
func (s Standing) WithoutSeat(seat Seat) Standing {
	s.own = maps.Clone(s.own)
	delete(s.own, seat)

	return s
}

// HeldSeat is a seat of this process, with the time of the last renewal of the seat's lease.
type HeldSeat struct {
	Seat    Seat
	Renewed time.Time
}

// OwnSeats returns the seats of the held head that the process holds.
func (s Standing) OwnSeats() []HeldSeat {
	var held []HeldSeat
	for _, seat := range s.head.Seats {
		if renewed, ok := s.own[seat]; ok {
			held = append(held, HeldSeat{Seat: seat, Renewed: renewed})
		}
	}

	return held
}

// Seated reports whether the process holds a seat of the held head, so that it may write the next one.
func (s Standing) Seated() bool {
	return slices.ContainsFunc(s.head.Seats, func(seat Seat) bool {
		_, ok := s.own[seat]
		return ok
	})
}

// Stating returns the seats for which the process can state that it has not written a later head.
func (s Standing) Stating(now time.Time) []Seat {
	if s.uncertain {
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

// AsOf returns the latest time at which the held head is known to have been current; zero if there is none.
func (s Standing) AsOf(now time.Time) time.Time {
	if stated := s.statedByAll(now); stated.After(s.confirmed) {
		return stated
	}

	return s.confirmed
}

// statedByAll returns the time of the oldest statement among all seats, or zero if a statement is missing.
//
// Together they prove that the head was current then: only a seat of the held head can write the next one, and its holder
// stops making statements before it writes.
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

// Confirmed returns the latest time at which the store confirmed the head, directly or through peers; statements don't count.
func (s Standing) Confirmed() time.Time {
	return s.confirmed
}

// Fresh reports whether the held head is known to have been current within the last FreshFor.
func (s Standing) Fresh(now time.Time) bool {
	if !s.confirmed.IsZero() && now.Sub(s.confirmed) < s.limits.FreshFor {
		return true
	}
	asOf := s.AsOf(now)

	return !asOf.IsZero() && now.Sub(asOf) < s.limits.FreshFor
}

// Licensed reports whether a lease of the process was renewed within the last OutageLimit, so that others still respect its allocations.
func (s Standing) Licensed(now time.Time) bool {
	for _, renewed := range s.own {
		if now.Sub(renewed) < s.limits.OutageLimit {
			return true
		}
	}

	return false
}

// StoreLost reports whether the holders of all other seats reported within the last FreshFor that they can't reach the store,
// so that no seat holder can observe there that this process's lease has expired.
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

// Status returns the fields of a heartbeat that describe the standing; generation, age and seats are consistent.
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

// TakeoverDue reports whether a process without a seat may take over the seats of the held head. goneSince has the times
// at which records of members were found to be deleted. Once a seat's lease expired OutageLimit ago, its holder makes no
// statements any more, and without them no process can be fresh by statements alone.
func (s Standing) TakeoverDue(goneSince map[Seat]time.Time, now time.Time) bool {
	for _, seat := range s.head.Seats {
		// Allows for clocks of two processes that differ in rate by up to 1%.
		if since, gone := goneSince[seat]; gone && now.Sub(since) > s.limits.OutageLimit+s.limits.OutageLimit/100 {
			return true
		}
	}

	return false
}
