package allotment

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// Allocation is the amount of a limit that one holder may have running.
type Allocation struct {
	Holder fleet.Incarnation
	Amount fleet.Resources
}

// Limit is an upper limit with the allocations into which it is divided.
//
// The allocations sum to at most Upper in each component, unless Upper was lowered below the sum.
// From then on no allocation grows in that component until the sum is below Upper again.
type Limit struct {
	Upper fleet.Resources
	// Allocations are sorted by holder; none is zero.
	Allocations []Allocation
}

// Allocation returns the amount allocated to holder h.
func (l Limit) Allocation(h fleet.Incarnation) fleet.Resources {
	i, ok := l.find(h)
	if !ok {
		return fleet.Resources{}
	}

	return l.Allocations[i].Amount
}

// Allocated returns the sum of the allocations.
func (l Limit) Allocated() fleet.Resources {
	var sum fleet.Resources
	for _, a := range l.Allocations {
		sum = sum.Plus(a.Amount)
	}

	return sum
}

// Free returns the amount that is not allocated.
func (l Limit) Free() fleet.Resources {
	return l.Upper.Minus(l.Allocated()).Max(fleet.Resources{})
}

// Excess returns by how much the allocations exceed a limit that was lowered.
func (l Limit) Excess() fleet.Resources {
	return l.Allocated().Minus(l.Upper).Max(fleet.Resources{})
}

// WithAcquired returns the limit after h acquired up to want of the free amount.
func (l Limit) WithAcquired(h fleet.Incarnation, want fleet.Resources) Limit {
	grown := want.Max(fleet.Resources{}).Min(l.Free())

	return l.withAllocation(h, l.Allocation(h).Plus(grown))
}

// WithReleased returns the limit after h released up to amount of its allocation.
func (l Limit) WithReleased(h fleet.Incarnation, amount fleet.Resources) Limit {
	allocation := l.Allocation(h)

	return l.withAllocation(h, allocation.Minus(amount.Max(fleet.Resources{}).Min(allocation)))
}

// WithTransferred returns the limit after up to amount was transferred from one holder to another,
// except for components in excess.
func (l Limit) WithTransferred(from, to fleet.Incarnation, amount fleet.Resources) Limit {
	moved := maskOut(amount.Max(fleet.Resources{}).Min(l.Allocation(from)), l.Excess())

	l = l.withAllocation(from, l.Allocation(from).Minus(moved))

	return l.withAllocation(to, l.Allocation(to).Plus(moved))
}

// WithUpper returns the limit with another upper bound.
func (l Limit) WithUpper(upper fleet.Resources) Limit {
	l.Upper = upper
	return l
}

// WithoutHolder returns the limit with h's allocation freed; h must be known to run nothing.
func (l Limit) WithoutHolder(h fleet.Incarnation) Limit {
	return l.withAllocation(h, fleet.Resources{})
}

func (l Limit) find(h fleet.Incarnation) (int, bool) {
	return slices.BinarySearchFunc(l.Allocations, h, func(a Allocation, h fleet.Incarnation) int {
		return cmp.Compare(a.Holder, h)
	})
}

// withAllocation replaces one allocation in a copy of the allocations.
func (l Limit) withAllocation(h fleet.Incarnation, amount fleet.Resources) Limit {
	i, ok := l.find(h)
	switch {
	case ok && l.Allocations[i].Amount == amount, !ok && amount.IsZero():
		return l
	case amount.IsZero():
		l.Allocations = slices.Delete(slices.Clone(l.Allocations), i, i+1)
	case ok:
		l.Allocations = slices.Clone(l.Allocations)
		l.Allocations[i].Amount = amount
	default:
		l.Allocations = slices.Insert(slices.Clone(l.Allocations), i, Allocation{Holder: h, Amount: amount})
	}

	return l
}

// maskOut returns r with zero in each component in which mask is above zero.
func maskOut(r, mask fleet.Resources) fleet.Resources {
	if mask.Slots > 0 {
		r.Slots = 0
	}
	if mask.Cores > 0 {
		r.Cores = 0
	}
	if mask.Memory > 0 {
		r.Memory = 0
	}
	if mask.Accelerators > 0 {
		r.Accelerators = 0
	}

	return r
}

// Record is the value of one store key: a group of limits that change together.
type Record struct {
	// Revision is the revision of the configuration that the bounds come from.
	Revision uint64
	Limits   fleet.Table[string, Limit]
}

// WithLimit returns the record with another state of one limit.
func (r Record) WithLimit(name string, l Limit) Record {
	r.Limits = r.Limits.With(name, l)
	return r
}

// WithLimits returns the record under the bounds of a newer configuration; an older or equal one
// changes nothing.
//
// A limit that is missing from the configuration becomes zero, and is dropped once no holder has
// an allocation of it.
func (r Record) WithLimits(revision uint64, upper map[string]fleet.Resources) Record {
	if revision <= r.Revision {
		return r
	}

	r.Revision = revision
	for name, l := range r.Limits.All() {
		if _, ok := upper[name]; !ok {
			r = r.WithLimit(name, l.WithUpper(fleet.Resources{})).withoutEmpty(name)
		}
	}
	for name, u := range upper {
		l, _ := r.Limits.Get(name)
		r = r.WithLimit(name, l.WithUpper(u))
	}

	return r
}

// WithoutHolder returns the record with all allocations of h freed; h must be known to run
// nothing.
func (r Record) WithoutHolder(h fleet.Incarnation) Record {
	for name, l := range r.Limits.All() {
		if _, ok := l.find(h); ok {
			r = r.WithLimit(name, l.WithoutHolder(h)).withoutEmpty(name)
		}
	}

	return r
}

// Holders returns every holder of an allocation, sorted.
func (r Record) Holders() []fleet.Incarnation {
	var hs []fleet.Incarnation
	for _, l := range r.Limits.All() {
		for _, a := range l.Allocations {
			hs = append(hs, a.Holder)
		}
	}
	slices.Sort(hs)

	return slices.Compact(hs)
}

// withoutEmpty drops the named limit if it is zero and no holder has an allocation of it.
func (r Record) withoutEmpty(name string) Record {
	if l, ok := r.Limits.Get(name); ok && l.Upper.IsZero() && len(l.Allocations) == 0 {
		r.Limits = r.Limits.Without(name)
	}

	return r
}

// recordJSON is the stored form of a record.
type recordJSON struct {
	Revision uint64
	Limits   []limitJSON
}

type limitJSON struct {
	Name  string
	Upper fleet.Resources
	Parts []Allocation `json:",omitempty"`
}

// Encode returns the stored form of the record.
func (r Record) Encode() ([]byte, error) {
	f := recordJSON{Revision: r.Revision, Limits: make([]limitJSON, 0, r.Limits.Len())}
	for name, l := range r.Limits.All() {
		f.Limits = append(f.Limits, limitJSON{Name: name, Upper: l.Upper, Parts: l.Allocations})
	}

	value, err := json.Marshal(f)

	return value, merry.Prepend(err, "encode limits")
}

// Decode returns the record stored as value; an empty value is an empty record.
func Decode(value []byte) (Record, error) {
	if len(value) == 0 {
		return Record{}, nil
	}

	var f recordJSON
	if err := json.Unmarshal(value, &f); err != nil {
		return Record{}, merry.Prepend(err, "decode limits")
	}

	r := Record{Revision: f.Revision}
	forms := fleet.NewTable(func(l limitJSON) string { return l.Name }, f.Limits...)
	if forms.Len() != len(f.Limits) {
		return Record{}, merry.New("decode limits: duplicate name")
	}
	for _, l := range f.Limits {
		if err := l.check(); err != nil {
			return Record{}, err
		}
		r = r.WithLimit(l.Name, Limit{Upper: l.Upper, Allocations: l.Parts})
	}

	return r, nil
}

// check returns an error for a stored limit that violates an invariant on which the transitions
// rely.
func (l limitJSON) check() error {
	for i, a := range l.Parts {
		if a.Amount.IsNegative() || a.Amount.IsZero() {
			return merry.Errorf("decode limit %s: allocation of %s is not positive", l.Name, a.Holder)
		}
		if i > 0 && l.Parts[i-1].Holder >= a.Holder {
			return merry.Errorf("decode limit %s: allocations are not sorted by holder", l.Name)
		}
	}

	return nil
}
