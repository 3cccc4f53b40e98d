package wave

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/move"
)

// HoldReason says why a wave starts no drain now.
type HoldReason string

// The reasons for which a wave holds.
const (
	// HoldNone lets the wave go on.
	HoldNone HoldReason = ""
	// HoldNotStarted is a wave whose notice runs.
	HoldNotStarted HoldReason = "NotStarted"
	// HoldEnded is a wave that has taken every host.
	HoldEnded HoldReason = "Ended"
	// HoldPaused is a wave that someone paused.
	HoldPaused HoldReason = "Paused"
	// HoldLoss is a recent unplanned loss.
	HoldLoss HoldReason = "UnplannedLoss"
	// HoldLosses is more lost hosts than the policy allows.
	HoldLosses HoldReason = "TooManyLost"
)

// Progress is how far a wave has come and what it waits for.
type Progress struct {
	Number int
	State  State
	// Zone is the availability zone that is being taken.
	Zone fleet.ZoneName `json:",omitempty"`
	// Done, Moving and Left count hosts: through, out of service for the wave, and still to come.
	Done, Moving, Left int
	Hold               HoldReason `json:",omitempty"`
	// HoldHost is the lost host of HoldLoss; HoldUntil is when it ends if nothing else happens.
	HoldHost  fleet.HostName   `json:",omitempty"`
	HoldUntil time.Time        `json:",omitzero"`
	Lost      []fleet.HostName `json:",omitempty"`
	// NotReturned are the hosts that did not come back from their reboot in time; they keep their budgets' units.
	NotReturned []fleet.HostName `json:",omitempty"`
}

// Decide returns the wave's proposals in the order of its plan, with its progress; it is a pure function.
func Decide(r Record, p Policy, hosts Hosts, now time.Time) ([]move.Proposal, Progress) {
	all := ordered(hosts)
	pr := r.survey(p, all, now)
	if pr.Hold != HoldNone {
		return nil, pr
	}

	var props []move.Proposal
	for _, h := range all {
		if h.Zone == pr.Zone && r.Due(h) && h.State == fleet.HostLive && h.Intent == nil {
			props = append(props, move.Proposal{Host: h.Name, Reboot: true})
		}
	}

	return props, pr
}

// survey counts the hosts, finds the zone that is being taken, and whether the wave holds.
func (r Record) survey(p Policy, all []move.Record, now time.Time) Progress {
	pr := Progress{Number: r.Number, State: r.State}
	var waiting fleet.ZoneName
	moving := map[fleet.ZoneName]int{}
	for _, h := range all {
		rebooting := h.Intent != nil && h.Intent.Reboot
		switch {
		case h.State == fleet.HostLost:
			pr.Lost = append(pr.Lost, h.Name)
			r.noteLoss(&pr, p, h, now)
		case rebooting && h.Intent.Phase == move.Rebooting && now.Sub(h.Intent.Entered) > p.ReturnLimit.Std():
			pr.NotReturned = append(pr.NotReturned, h.Name)
		case rebooting:
			pr.Moving++
			moving[h.Zone]++
			pr.Zone = firstZone(pr.Zone, h.Zone)
		case r.Due(h):
			pr.Left++
			waiting = firstZone(waiting, h.Zone)
		default:
			pr.Done++
		}
	}
	// A zone starts when no more than the tail of another one is still out.
	if waiting != "" && pr.Moving-moving[waiting] <= p.Tail {
		pr.Zone = waiting
	}
	r.hold(&pr, p)

	return pr
}

func firstZone(zone, next fleet.ZoneName) fleet.ZoneName {
	if zone == "" {
		return next
	}

	return min(zone, next)
}

func (r Record) noteLoss(pr *Progress, p Policy, h move.Record, now time.Time) {
	until := h.LostAt.Add(p.SettleFor.Std())
	if now.Before(until) && until.After(pr.HoldUntil) {
		pr.Hold, pr.HoldHost, pr.HoldUntil = HoldLoss, h.Name, until
	}
}

func (r Record) hold(pr *Progress, p Policy) {
	switch {
	case r.State == Planned:
		pr.Hold, pr.HoldUntil = HoldNotStarted, r.StartsAt
	case r.State == Done:
		pr.Hold = HoldEnded
	case r.PausedBy != "":
		pr.Hold = HoldPaused
	case len(pr.Lost) > p.MaxLost:
		pr.Hold = HoldLosses
	}
}

// Merge returns the proposals of moves and of maintenance as one for each host: a host that is drained for
// maintenance changes its pool in the same drain.
func Merge(moves, maintenance []move.Proposal) []move.Proposal {
	at := make(map[fleet.HostName]int, len(moves))
	merged := make([]move.Proposal, 0, len(moves)+len(maintenance))
	for _, m := range moves {
		at[m.Host] = len(merged)
		merged = append(merged, m)
	}
	for _, m := range maintenance {
		if i, ok := at[m.Host]; ok {
			merged[i].Reboot = merged[i].Reboot || m.Reboot
			continue
		}
		merged = append(merged, m)
	}

	return merged
}

// Owned keeps the proposals that this entry host may begin: its own pools' maintenance, and moves if it owns the plan
// of moves, so that two entry hosts don't give a pool the same host twice.
func Owned(props []move.Proposal, hosts Hosts, pool func(fleet.PoolName) bool, ownsMoves bool) []move.Proposal {
	var owned []move.Proposal
	for _, p := range props {
		if p.To != "" && ownsMoves || p.To == "" && pool(hosts[p.Host].Value.Pool) {
			owned = append(owned, p)
		}
	}

	return owned
}
