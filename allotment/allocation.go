package allotment

import "lycheehook.example/lycheehook/fleet"

// allocationState is what one holder knows about its own allocation of one limit; values are
// immutable.
//
// The known allocation is never larger than the stored one less the escrowed amount, because only
// the holder itself reduces its allocation, and it escrows the amount before it writes. So work
// that fits this state also fits the record.
type allocationState struct {
	// used is the amount of work running on this holder.
	used fleet.Resources
	// allocated is the holder's allocation in the newest record seen.
	allocated fleet.Resources
	// escrowed is the amount that a write in flight, or one of unknown outcome, removes from the
	// allocation.
	escrowed fleet.Resources
	// reserved is kept for a peer that needs it more; it halves with every full tick, so it lapses
	// unless the peer requests it again.
	reserved fleet.Resources
	// excess has the components in which the limit was lowered below the allocated sum.
	excess fleet.Resources
	// suspended reports that nothing may start until a newer record has been seen.
	suspended bool
}

// room returns the amount of work that may start now.
func (s allocationState) room() fleet.Resources {
	if s.suspended {
		return fleet.Resources{}
	}

	return maskOut(s.idle().Minus(s.reserved).Max(fleet.Resources{}), s.excess)
}

// idle returns the part of the allocation that is neither used nor escrowed.
func (s allocationState) idle() fleet.Resources {
	return s.allocated.Minus(s.escrowed).Minus(s.used).Max(fleet.Resources{})
}

// withStart returns the state with size more running, if there is room.
func (s allocationState) withStart(size fleet.Resources) (allocationState, bool) {
	if !size.FitsIn(s.room()) {
		return s, false
	}
	s.used = s.used.Plus(size)

	return s, true
}

// withEnd returns the state after work of the given size ended.
func (s allocationState) withEnd(size fleet.Resources) allocationState {
	s.used = s.used.Minus(size)
	return s
}

// withEscrow returns the state before a write that removes up to amount from the allocation, and
// the amount that may be removed.
//
// An earlier escrow of unknown outcome still counts: that write may yet be applied.
func (s allocationState) withEscrow(amount fleet.Resources) (allocationState, fleet.Resources) {
	escrowed := s.allocated.Minus(s.used).Max(fleet.Resources{}).Min(amount)
	s.escrowed = s.escrowed.Max(escrowed)
	s.reserved = s.reserved.Minus(escrowed).Max(fleet.Resources{})

	return s, escrowed
}

// withoutEscrow returns the state after all writes that escrowed an amount are known to have
// failed.
func (s allocationState) withoutEscrow() allocationState {
	s.escrowed = fleet.Resources{}
	return s
}

// withLimit returns the state under a newer record, to which no earlier write can be applied any
// more.
func (s allocationState) withLimit(l Limit, self fleet.Incarnation) allocationState {
	s.allocated = l.Allocation(self)
	s.excess = l.Excess()

	return s.withoutEscrow()
}

// withSuspended returns the state with new work suspended or allowed.
func (s allocationState) withSuspended(suspended bool) allocationState {
	s.suspended = suspended
	return s
}
