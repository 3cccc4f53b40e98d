package allotment

import "lycheehook.example/lycheehook/fleet"

// wish is what a holder would change about its part of one limit.
type wish struct {
	// grow is to be taken from the free amount, give to be returned to it.
	grow, give fleet.Resources
	// short is what is lacking, to be asked from peers; it has a reserve as growth takes a round each.
	short fleet.Resources
}

// wishFor decides how a holder's part should change, with the limit shared by n members.
//
// Every member keeps half of an even part, so that a team's first request
// anywhere needs no move; the other half goes to whoever needs it.
func wishFor(s standing, d demand, l Limit, self fleet.Incarnation, n int, idleTicks int) wish {
	part := l.Part(self)
	excess := l.Excess()
	if !excess.IsZero() {
		return wish{give: part.Minus(s.used).Max(fleet.Resources{}).Min(excess)}
	}

	base := scaled(l.Upper, 1, 2*int64(max(n, 1)))
	roomy := d.need.Plus(scaled(d.need, 1, 4)).Max(base)
	var w wish
	switch {
	case d.short:
		w.grow = roomy.Minus(part).Max(fleet.Resources{})
		w.short = roomy.Min(l.Upper).Minus(part).Max(fleet.Resources{})
	case d.idleTicks >= idleTicks:
		w.give = part.Minus(roomy.Max(s.used)).Max(fleet.Resources{})
	default:
		w.grow = base.Minus(part).Max(fleet.Resources{})
	}
	w.grow = w.grow.Min(l.Free())

	return w
}

// oversized reports whether a part is more than twice what is needed in some component.
func oversized(part fleet.Resources, d demand, l Limit, n int) bool {
	base := scaled(l.Upper, 1, 2*int64(max(n, 1)))

	return !part.FitsIn(d.need.Max(base).Times(2).Max(base.Plus(fleet.Resources{Slots: 1})))
}

// spareFor decides what a holder gives to a peer that asks, and what it keeps back for it once running work ends.
//
// A holder that turned nothing away gives all that it did not use lately. Of two
// that are both short, each should hold in proportion to its need.
func spareFor(s standing, d demand, want Want) (give, reserve fleet.Resources) {
	if !d.short {
		return s.part.Minus(d.most.Max(s.used)).Max(fleet.Resources{}).Min(want.Short), fleet.Resources{}
	}

	surplus := s.part.Minus(fairPart(s.part, want.Part, d.need, want.Need)).Max(fleet.Resources{})
	if surplus.FitsIn(scaled(s.part, 1, 8)) {
		return fleet.Resources{}, fleet.Resources{}
	}
	surplus = surplus.Min(want.Short)
	give = s.part.Minus(s.used).Max(fleet.Resources{}).Min(surplus)

	return give, surplus.Minus(give)
}

// fairPart splits the sum of two parts by need, rounded up for the first.
func fairPart(own, other, ownNeed, otherNeed fleet.Resources) fleet.Resources {
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
