package allotment

import "lycheehook.example/lycheehook/fleet"

// standing is what one holder knows of its own part of one limit; values are immutable.
//
// The part known is never larger than the part in the store less what is
// pledged, because only the holder itself lowers its part, and pledges before
// it writes. So used work that fits the standing also fits the record.
type standing struct {
	// used is what runs on this holder.
	used fleet.Resources
	// part is the holder's part in the newest record seen.
	part fleet.Resources
	// pledged is what a write in flight, or one of unknown outcome, takes off the part.
	pledged fleet.Resources
	// reserved is kept for a peer that needs it more, until it asks again.
	reserved fleet.Resources
	// excess has the components in which the limit was lowered below what is held.
	excess fleet.Resources
	// closed says that nothing may start until a newer record was seen.
	closed bool
}

// room returns what may start now.
func (s standing) room() fleet.Resources {
	if s.closed {
		return fleet.Resources{}
	}

	return maskOut(s.idle().Minus(s.reserved).Max(fleet.Resources{}), s.excess)
}

// idle returns what the part holds beyond running work and pledges.
func (s standing) idle() fleet.Resources {
	return s.part.Minus(s.pledged).Minus(s.used).Max(fleet.Resources{})
}

// withStart returns the standing with size more running, if there is room.
func (s standing) withStart(size fleet.Resources) (standing, bool) {
	if !size.FitsIn(s.room()) {
		return s, false
	}
	s.used = s.used.Plus(size)

	return s, true
}

// withEnd returns the standing after work of the given size ended.
func (s standing) withEnd(size fleet.Resources) standing {
	s.used = s.used.Minus(size)
	return s
}

// withPledge returns the standing before a write that takes up to amount off the part, and the amount that may go.
//
// An earlier pledge of unknown outcome stays counted: that write may still arrive.
func (s standing) withPledge(amount fleet.Resources) (standing, fleet.Resources) {
	able := s.part.Minus(s.used).Max(fleet.Resources{}).Min(amount)
	s.pledged = s.pledged.Max(able)
	s.reserved = s.reserved.Minus(able).Max(fleet.Resources{})

	return s, able
}

// withoutPledge returns the standing after all writes that pledged were surely not carried out.
func (s standing) withoutPledge() standing {
	s.pledged = fleet.Resources{}
	return s
}

// withLimit returns the standing under a newer record, on which no earlier write can land any more.
func (s standing) withLimit(l Limit, self fleet.Incarnation) standing {
	s.part = l.Part(self)
	s.excess = l.Excess()

	return s.withoutPledge()
}

// withClosed returns the standing closed or open for new work.
func (s standing) withClosed(closed bool) standing {
	s.closed = closed
	return s
}
