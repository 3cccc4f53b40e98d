package wave

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/move"
)

// HoldReason says why a wave starts no drains now.
type HoldReason string

// The reasons to start no drains.
const (
	// HoldNone means that the wave may start drains.
	HoldNone HoldReason = ""
	// HoldNotStarted means that the notice period of the wave has not ended.
	HoldNotStarted HoldReason = "NotStarted"
	// HoldEnded means that every host has been through maintenance.
	HoldEnded HoldReason = "Ended"
	// HoldPaused means that the wave was paused.
	HoldPaused HoldReason = "Paused"
	// HoldUnplannedLoss means that a host was recently lost.
	HoldUnplannedLoss HoldReason = "UnplannedLoss"
	// HoldTooManyLost means that more hosts are lost than the policy allows.
	HoldTooManyLost HoldReason = "TooManyLost"
)

// Progress is the progress of a wave and what it waits for.
type Progress struct {
	Number int
	State  State
	// Zone is the availability zone in maintenance.
	Zone fleet.ZoneName `json:",omitempty"`
	// Done, Moving and Left count the hosts that are done, out of service for maintenance, and still to do.
	Done, Moving, Left int
	Hold               HoldReason `json:",omitempty"`
	// HoldHost is the lost host of HoldUnplannedLoss. HoldUntil is when the hold ends if no other reason arises.
	HoldHost  fleet.HostName   `json:",omitempty"`
	HoldUntil time.Time        `json:",omitzero"`
	Lost      []fleet.HostName `json:",omitempty"`
	// NotReturned lists the hosts that did not come back from their reboot in time; they keep their budget units.
	NotReturned []fleet.HostName `json:",omitempty"`
}

// Decide returns the wave's proposals in the order of its plan, and its progress. It is a pure function.
func Decide(r Record, p Policy, hosts Hosts, now time.Time) ([]move.Proposal, Progress) {
	all := sortedHosts(hosts)
	pr := r.progress(p, all, now)
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

// progress counts the hosts and determines the zone in maintenance and the reason to hold, if any.
func (r Record) progress(p Policy, all []move.Record, now time.Time) Progress {
	pr := Progress{Number: r.Number, State: r.State}
	var next fleet.ZoneName
	moving := map[fleet.ZoneName]int{}
	for _, h := range all {
		rebooting := h.Intent != nil && h.Intent.Reboot
		switch {
		case h.State == fleet.HostLost:
			pr.Lost = append(pr.Lost, h.Name)
			r.holdForLoss(&pr, p, h, now)
		case rebooting && h.Intent.Phase == move.Rebooting && now.Sub(h.Intent.Entered) > p.ReturnLimit.Std():
			pr.NotReturned = append(pr.NotReturned, h.Name)
		case rebooting:
			pr.Moving++
			moving[h.Zone]++
			pr.Zone = lowestZone(pr.Zone, h.Zone)
		case r.Due(h):
			pr.Left++
			next = lowestZone(next, h.Zone)
		default:
			pr.Done++
		}
	}
	// The next zone starts once at most Tail hosts of other zones are still out of service for maintenance.
	if next != "" && pr.Moving-moving[next] <= p.Tail {
		pr.Zone = next
	}
	r.setHold(&pr, p)

	return pr
}

func lowestZone(zone, next fleet.ZoneName) fleet.ZoneName {
	if zone == "" {
		return next
	}

	return min(zone, next)
}

func (r Record) holdForLoss(pr *Progress, p Policy, h move.Record, now time.Time) {
	until := h.LostAt.Add(p.SettleFor.Std())
	if now.Before(until) && until.After(pr.HoldUntil) {
		pr.Hold, pr.HoldHost, pr.HoldUntil = HoldUnplannedLoss, h.Name, until
	}
}

func (r Record) setHold(pr *Progress, p Policy) {
	switch {
	case r.State == Planned:
		pr.Hold, pr.HoldUntil = HoldNotStarted, r.StartsAt
	case r.State == Done:
		pr.Hold = HoldEnded
	case r.PausedBy != "":
		pr.Hold = HoldPaused
	case len(pr.Lost) > p.MaxLost:
		pr.Hold = HoldTooManyLost
	}
}

// Merge returns the proposals of moves and of maintenance with one proposal for each host, so that a host with both
// moves and reboots in one drain.
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

// FilterOwned returns the proposals that this entry host may carry out: maintenance in the pools that it owns, and moves
// only if ownsMoves, so that two entry hosts don't both move a host to a pool for the same need.
func FilterOwned(props []move.Proposal, hosts Hosts, pool func(fleet.PoolName) bool, ownsMoves bool) []move.Proposal {
	var owned []move.Proposal
	for _, p := range props {
		if p.To != "" && ownsMoves || p.To == "" && pool(hosts[p.Host].Value.Pool) {
			owned = append(owned, p)
		}
	}

	return owned
}
