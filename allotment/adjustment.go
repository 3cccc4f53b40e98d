package allotment

import "lycheehook.example/lycheehook/fleet"

// adjustment is the change that a holder wants to its allocation of one limit.
type adjustment struct {
	// acquire is to be taken from the free amount, release to be returned to it.
	acquire, release fleet.Resources
	// shortage is to be requested from peers; it includes headroom because each increase takes a
	// tick.
	shortage fleet.Resources
}

// adjustmentFor computes how a holder's allocation should change under a limit shared by n
// members.
//
// Every member keeps half of an even share, so that a team's first request on any entry host needs
// no transfer; the other half goes to the members with demand.
func adjustmentFor(s allocationState, d demand, l Limit, self fleet.Incarnation, n int, idleTicks int) adjustment {
	allocation := l.Allocation(self)
	excess := l.Excess()
	if !excess.IsZero() {
		return adjustment{release: allocation.Minus(s.used).Max(fleet.Resources{}).Min(excess)}
	}

	baseline := scaled(l.Upper, 1, 2*int64(max(n, 1)))
	target := d.need.Plus(scaled(d.need, 1, 4)).Max(baseline)
	var a adjustment
	switch {
	case d.hadRefusals:
		a.acquire = target.Minus(allocation).Max(fleet.Resources{})
		a.shortage = target.Min(l.Upper).Minus(allocation).Max(fleet.Resources{})
	case d.idleTicks >= idleTicks:
		a.release = allocation.Minus(target.Max(s.used)).Max(fleet.Resources{})
	default:
		a.acquire = baseline.Minus(allocation).Max(fleet.Resources{})
	}
	a.acquire = a.acquire.Min(l.Free())

	return a
}

// oversized reports whether an allocation is more than twice what is needed in some component.
func oversized(allocation fleet.Resources, d demand, l Limit, n int) bool {
	baseline := scaled(l.Upper, 1, 2*int64(max(n, 1)))

	return !allocation.FitsIn(d.need.Max(baseline).Times(2).Max(baseline.Plus(fleet.Resources{Slots: 1})))
}

// surplusFor computes how much a holder transfers to a peer that requests it, and how much it
// reserves for that peer until running work ends.
//
// A holder that refused no work transfers all that it has not used recently. If both are short,
// each should hold an amount in proportion to its need.
func surplusFor(s allocationState, d demand, want Want) (transfer, reserve fleet.Resources) {
	if !d.hadRefusals {
		return s.allocated.Minus(d.peak.Max(s.used)).Max(fleet.Resources{}).Min(want.Short), fleet.Resources{}
	}

	surplus := s.allocated.Minus(fairAllocation(s.allocated, want.Part, d.need, want.Need)).Max(fleet.Resources{})
	if surplus.FitsIn(scaled(s.allocated, 1, 8)) {
		return fleet.Resources{}, fleet.Resources{}
	}
	surplus = surplus.Min(want.Short)
	transfer = s.allocated.Minus(s.used).Max(fleet.Resources{}).Min(surplus)

	return transfer, surplus.Minus(transfer)
}

// fairAllocation splits the sum of two allocations by need and returns the first's share, rounded
// up.
func fairAllocation(own, other, ownNeed, otherNeed fleet.Resources) fleet.Resources {
	split := func(sum, need, total int64) int64 {
		if total <= 0 {
			return sum
		}
		return int64(float64(sum)*float64(need)/float64(total) + 1)
	}
	sum, total := own.Plus(other), ownNeed.Plus(otherNeed)

	return fleet.Resources{
		Slots:        split(sum.Slots, ownNeed.Slots, total.Slots),
		Cores:        fleet.MilliCores(split(int64(sum.Cores), int64(ownNeed.Cores), int64(total.Cores))),
		Memory:       fleet.Mebibytes(split(int64(sum.Memory), int64(ownNeed.Memory), int64(total.Memory))),
		Accelerators: split(sum.Accelerators, ownNeed.Accelerators, total.Accelerators),
	}
}
