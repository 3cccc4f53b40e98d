package budget

import (
	"cmp"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
)

// Prefix is the store prefix of budget records; the budget's name follows.
const Prefix = "budget/"

// Sentinel errors of budgets.
var (
	// ErrExhausted says that the budget has no unit left for a planned outage.
	ErrExhausted = merry.Sentinel("budget: no unit left")
	// ErrHeld says that the host holds a unit under another intent, which has to be settled first.
	ErrHeld = merry.Sentinel("budget: host holds a unit under another intent")
	// ErrStaleLimit says that the record was written under a newer revision of the operators' lists.
	ErrStaleLimit = merry.Sentinel("budget: limit comes from an older revision")
)

// Reason says why a host is out of service.
type Reason string

// The reasons of an outage.
const (
	Planned   Reason = "Planned"
	Unplanned Reason = "Unplanned"
)

// Hold is one unit of a budget, held by a host for as long as the host is out of service.
type Hold struct {
	Host   fleet.HostName
	Reason Reason
	// Intent is the recorded intent that spent the unit; empty for an unplanned outage.
	Intent hostapi.IntentID `json:",omitempty"`
	Since  time.Time
}

// Record is the state of one budget; it is immutable, and every With… method is idempotent.
type Record struct {
	Name fleet.BudgetName
	// MaxUnavailable and Revision are the limit and the revision of the operators' lists that it comes from.
	MaxUnavailable int
	Revision       uint64
	// Holds are in order of host and have one entry for each host.
	Holds []Hold `json:",omitempty"`
}

// Out returns the number of hosts that hold a unit.
func (r Record) Out() int {
	return len(r.Holds)
}

// Free returns the number of units left for planned outages; it is zero while unplanned losses take more than the maximum.
func (r Record) Free() int {
	return max(0, r.MaxUnavailable-len(r.Holds))
}

// Hold returns the unit that a host holds, if any.
func (r Record) Hold(h fleet.HostName) (Hold, bool) {
	i, ok := r.find(h)
	if !ok {
		return Hold{}, false
	}

	return r.Holds[i], true
}

// HeldBy reports whether the host holds a unit under the intent.
func (r Record) HeldBy(h fleet.HostName, intent hostapi.IntentID) bool {
	hold, ok := r.Hold(h)
	return ok && hold.Intent == intent
}

// WithLimit returns the record under the limit of a revision; a limit of an older revision is refused with ErrStaleLimit.
func (r Record) WithLimit(b fleet.Budget, revision uint64) (Record, error) {
	if revision < r.Revision {
		return r, merry.Prependf(ErrStaleLimit, "budget %s at revision %d, not %d", b.Name, r.Revision, revision)
	}
	r.Name, r.MaxUnavailable, r.Revision = b.Name, b.MaxUnavailable, revision

	return r, nil
}

// WithPlanned returns the record with a unit spent for a planned outage, or ErrExhausted or ErrHeld.
func (r Record) WithPlanned(h fleet.HostName, intent hostapi.IntentID, now time.Time) (Record, error) {
	if r.HeldBy(h, intent) {
		return r, nil
	}
	if other, held := r.Hold(h); held {
		return r, merry.Prependf(ErrHeld, "budget %s: host %s, intent %s", r.Name, h, other.Intent)
	}
	if len(r.Holds) >= r.MaxUnavailable {
		return r, merry.Prependf(ErrExhausted, "budget %s: %d of %d out", r.Name, len(r.Holds), r.MaxUnavailable)
	}

	return r.with(Hold{Host: h, Reason: Planned, Intent: intent, Since: now}), nil
}

// WithOut returns the record with a unit for a host that is out of service already, even over the maximum. A unit that
// the host holds already keeps its intent, because a host record read long ago may know less than the unit.
func (r Record) WithOut(h fleet.HostName, reason Reason, intent hostapi.IntentID, now time.Time) Record {
	old, held := r.Hold(h)
	if held && old.Reason == reason {
		return r
	}
	hold := Hold{Host: h, Reason: reason, Intent: intent, Since: now}
	if held {
		hold.Intent, hold.Since = old.Intent, old.Since
	}

	return r.without(h).with(hold)
}

// Standing is what a host's record says about its claim on a unit of one budget.
type Standing struct {
	// Out says that the host is out of service within the budget's scope.
	Out bool
	// Reason says why it is out.
	Reason Reason
	// Intent is the host's recorded intent, as long as the budget is among those that it spends.
	Intent hostapi.IntentID
}

// Settled returns the record with a unit for every host that is out, and without the units of hosts that returned or
// were removed. The standings must come from host records read no earlier than r: a unit is recorded after its intent,
// so a host record that no longer has the intent proves that nothing can be drained under it.
func (r Record) Settled(standings map[fleet.HostName]Standing, now time.Time) Record {
	settled := r
	for _, h := range r.Holds {
		s := standings[h.Host]
		reserved := h.Intent != "" && h.Intent == s.Intent
		if !s.Out && !reserved {
			settled = settled.without(h.Host)
		}
	}

	for _, name := range sortedHosts(standings) {
		if s := standings[name]; s.Out {
			settled = settled.WithOut(name, s.Reason, s.Intent, now)
		}
	}

	return settled
}

// Equal reports whether r and o have the same limit and the same units; the revision of the lists may differ.
func (r Record) Equal(o Record) bool {
	return r.Name == o.Name && r.MaxUnavailable == o.MaxUnavailable && slices.Equal(r.Holds, o.Holds)
}

func (r Record) find(h fleet.HostName) (int, bool) {
	return slices.BinarySearchFunc(r.Holds, h, func(hold Hold, name fleet.HostName) int { return cmp.Compare(hold.Host, name) })
}

func (r Record) with(h Hold) Record {
	i, _ := r.find(h.Host)
	r.Holds = slices.Insert(slices.Clone(r.Holds), i, h)

	return r
}

func (r Record) without(h fleet.HostName) Record {
	if i, ok := r.find(h); ok {
		r.Holds = slices.Delete(slices.Clone(r.Holds), i, i+1)
	}

	return r
}

func sortedHosts(standings map[fleet.HostName]Standing) []fleet.HostName {
	names := make([]fleet.HostName, 0, len(standings))
	for name := range standings {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}
