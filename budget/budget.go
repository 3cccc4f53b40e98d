package budget

import (
	"cmp"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
)

// Prefix is the store prefix of budget records; it is followed by the budget's name.
const Prefix = "budget/"

// Errors returned by the transitions of a Record.
var (
	// ErrExhausted reports that the budget has no unit left for a planned outage.
	ErrExhausted = merry.Sentinel("budget: no unit left for a planned outage")
	// ErrHeld reports that the host still holds a unit under another intent, which Reconciled must free
	// first.
	ErrHeld = merry.Sentinel("budget: host holds a unit under another intent")
	// ErrStaleLimit reports that the record was written under a newer revision of the operators'
	// lists.
	ErrStaleLimit = merry.Sentinel("budget: limit comes from an older revision")
)

// Reason is the reason why a host is unavailable.
type Reason string

// Reasons of an outage.
const (
	Planned   Reason = "Planned"
	Unplanned Reason = "Unplanned"
)

// Hold is one unit of a budget, held by a host while it is unavailable or about to be drained under
// an intent.
type Hold struct {
	Host   fleet.HostName
	Reason Reason
	// Intent is the recorded intent that spent the unit; it is empty for an unplanned outage.
	Intent hostapi.IntentID `json:",omitempty"`
	Since  time.Time
}

// Record is the state of one budget; it is immutable, and every With method is idempotent.
type Record struct {
	Name fleet.BudgetName
	// MaxUnavailable is the limit, Revision the revision of the operators' lists that it comes
	// from.
	MaxUnavailable int
	Revision       uint64
	// Holds are sorted by host and have at most one entry per host.
	Holds []Hold `json:",omitempty"`
}

// Held returns the number of hosts that hold a unit.
func (r Record) Held() int {
	return len(r.Holds)
}

// Free returns the number of units left for planned outages; it is zero while unplanned outages
// raise the number of holds above the maximum.
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

// WithLimit returns the record under the limit of a revision, or ErrStaleLimit if the revision is
// older than the record's.
func (r Record) WithLimit(b fleet.Budget, revision uint64) (Record, error) {
	if revision < r.Revision {
		return r, merry.Prependf(ErrStaleLimit, "budget %s at revision %d, not %d", b.Name, r.Revision, revision)
	}
	r.Name, r.MaxUnavailable, r.Revision = b.Name, b.MaxUnavailable, revision

	return r, nil
}

// WithPlanned returns the record with a unit spent for a planned outage, or ErrExhausted or
// ErrHeld.
func (r Record) WithPlanned(h fleet.HostName, intent hostapi.IntentID, now time.Time) (Record, error) {
	if r.HeldBy(h, intent) {
		return r, nil
	}
	if other, held := r.Hold(h); held {
		return r, merry.Prependf(ErrHeld, "budget %s: host %s, intent %s", r.Name, h, other.Intent)
	}
	if len(r.Holds) >= r.MaxUnavailable {
		return r, merry.Prependf(ErrExhausted, "budget %s: %d of %d units held", r.Name, len(r.Holds), r.MaxUnavailable)
	}

	return r.with(Hold{Host: h, Reason: Planned, Intent: intent, Since: now}), nil
}

// WithUnavailable returns the record with a unit for a host that is already unavailable, even
// above the maximum. A unit that the host already holds keeps its intent, because the host record
// may have been read earlier and may not know the intent of the unit yet.
func (r Record) WithUnavailable(h fleet.HostName, reason Reason, intent hostapi.IntentID, now time.Time) Record {
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

// HostState is a host's claim on a unit of one budget, according to its host record.
type HostState struct {
	// Unavailable reports whether the host is unavailable within the budget's scope.
	Unavailable bool
	// Reason is the reason why the host is unavailable.
	Reason Reason
	// Intent is the host's recorded intent, as long as the budget is among those that it spends.
	Intent hostapi.IntentID
}

// Reconciled returns the record with a unit for every unavailable host, and without the units of
// hosts that returned or were removed. The claims must come from host records read no earlier than
// r: a unit is recorded after its intent, so a host record that no longer has the intent proves
// that nothing can be drained under it.
func (r Record) Reconciled(claims map[fleet.HostName]HostState, now time.Time) Record {
	reconciled := r
	for _, h := range r.Holds {
		claim := claims[h.Host]
		reserved := h.Intent != "" && h.Intent == claim.Intent
		if !claim.Unavailable && !reserved {
			reconciled = reconciled.without(h.Host)
		}
	}

	for _, name := range sortedHosts(claims) {
		if claim := claims[name]; claim.Unavailable {
			reconciled = reconciled.WithUnavailable(name, claim.Reason, claim.Intent, now)
		}
	}

	return reconciled
}

// Equal reports whether r and o have the same limit and the same units; the revision of the lists
// may differ.
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

func sortedHosts(claims map[fleet.HostName]HostState) []fleet.HostName {
	names := make([]fleet.HostName, 0, len(claims))
	for name := range claims {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}
