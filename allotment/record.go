package allotment

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// Part is what one holder may have running under a limit.
type Part struct {
	Holder fleet.Incarnation
	Amount fleet.Resources
}

// Limit is an upper limit with the parts into which it is divided.
//
// The parts sum to at most Upper in each component, unless Upper was lowered
// below what was held. From then on no part grows in that component until the
// sum is below Upper again.
type Limit struct {
	Upper fleet.Resources
	// Parts are sorted by holder; none is zero.
	Parts []Part
}

// Part returns what holder h may use.
func (l Limit) Part(h fleet.Incarnation) fleet.Resources {
	i, ok := l.find(h)
	if !ok {
		return fleet.Resources{}
	}

	return l.Parts[i].Amount
}

// Held returns the sum of the parts.
func (l Limit) Held() fleet.Resources {
	var sum fleet.Resources
	for _, p := range l.Parts {
		sum = sum.Plus(p.Amount)
	}

	return sum
}

// Free returns what no holder has.
func (l Limit) Free() fleet.Resources {
	return l.Upper.Minus(l.Held()).Max(fleet.Resources{})
}

// Excess returns by how much the parts exceed a limit that was lowered.
func (l Limit) Excess() fleet.Resources {
	return l.Held().Minus(l.Upper).Max(fleet.Resources{})
}

// WithTake returns the limit after h took up to want of the free amount.
func (l Limit) WithTake(h fleet.Incarnation, want fleet.Resources) Limit {
	grown := want.Max(fleet.Resources{}).Min(l.Free())

	return l.withPart(h, l.Part(h).Plus(grown))
}

// WithGive returns the limit after h gave back up to amount of its part.
func (l Limit) WithGive(h fleet.Incarnation, amount fleet.Resources) Limit {
	part := l.Part(h)

	return l.withPart(h, part.Minus(amount.Max(fleet.Resources{}).Min(part)))
}

// WithMove returns the limit after up to amount went from one holder's part to another's, but for components in excess.
func (l Limit) WithMove(from, to fleet.Incarnation, amount fleet.Resources) Limit {
	moved := maskOut(amount.Max(fleet.Resources{}).Min(l.Part(from)), l.Excess())

	l = l.withPart(from, l.Part(from).Minus(moved))

	return l.withPart(to, l.Part(to).Plus(moved))
}

// WithUpper returns the limit with another bound.
func (l Limit) WithUpper(upper fleet.Resources) Limit {
	l.Upper = upper
	return l
}

// WithoutHolder returns the limit with h's part free again; h must be known to run nothing.
func (l Limit) WithoutHolder(h fleet.Incarnation) Limit {
	return l.withPart(h, fleet.Resources{})
}

func (l Limit) find(h fleet.Incarnation) (int, bool) {
	return slices.BinarySearchFunc(l.Parts, h, func(p Part, h fleet.Incarnation) int {
		return cmp.Compare(p.Holder, h)
	})
}

// withPart replaces one part in a copy of the parts.
func (l Limit) withPart(h fleet.Incarnation, amount fleet.Resources) Limit {
	i, ok := l.find(h)
	switch {
	case ok && l.Parts[i].Amount == amount, !ok && amount.IsZero():
		return l
	case amount.IsZero():
		l.Parts = slices.Delete(slices.Clone(l.Parts), i, i+1)
	case ok:
		l.Parts = slices.Clone(l.Parts)
		l.Parts[i].Amount = amount
	default:
		l.Parts = slices.Insert(slices.Clone(l.Parts), i, Part{Holder: h, Amount: amount})
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

// Record is the value of one key of the store: a group of limits that change together.
type Record struct {
	// Revision is that of the configuration from which the bounds were taken.
	Revision uint64
	Limits   fleet.Table[string, Limit]
}

// WithLimit returns the record with another state of one limit.
func (r Record) WithLimit(name string, l Limit) Record {
	r.Limits = r.Limits.With(name, l)
	return r
}

// WithLimits returns the record under the bounds of a newer configuration; an older or equal one changes nothing.
//
// A limit that the configuration lacks becomes zero, and is dropped once nobody holds a part of it.
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

// WithoutHolder returns the record with all parts of h free again; h must be known to run nothing.
func (r Record) WithoutHolder(h fleet.Incarnation) Record {
	for name, l := range r.Limits.All() {
		if _, ok := l.find(h); ok {
			r = r.WithLimit(name, l.WithoutHolder(h)).withoutEmpty(name)
		}
	}

	return r
}

// Holders returns every holder of a part, sorted.
func (r Record) Holders() []fleet.Incarnation {
	var hs []fleet.Incarnation
	for _, l := range r.Limits.All() {
		for _, p := range l.Parts {
			hs = append(hs, p.Holder)
		}
	}
	slices.Sort(hs)

	return slices.Compact(hs)
}

// withoutEmpty drops a limit of zero of which nobody holds a part.
func (r Record) withoutEmpty(name string) Record {
	if l, ok := r.Limits.Get(name); ok && l.Upper.IsZero() && len(l.Parts) == 0 {
		r.Limits = r.Limits.Without(name)
	}

	return r
}

// recordForm is the form of a record in the store.
type recordForm struct {
	Revision uint64
	Limits   []limitForm
}

type limitForm struct {
	Name  string
	Upper fleet.Resources
	Parts []Part `json:",omitempty"`
}

// Encode returns the record as it is kept in the store.
func (r Record) Encode() ([]byte, error) {
	f := recordForm{Revision: r.Revision, Limits: make([]limitForm, 0, r.Limits.Len())}
	for name, l := range r.Limits.All() {
		f.Limits = append(f.Limits, limitForm{Name: name, Upper: l.Upper, Parts: l.Parts})
	}

	value, err := json.Marshal(f)

	return value, merry.Prepend(err, "encode limits")
}

// Decode returns the record kept as value; no bytes are an empty record.
func Decode(value []byte) (Record, error) {
	if len(value) == 0 {
		return Record{}, nil
	}

	var f recordForm
	if err := json.Unmarshal(value, &f); err != nil {
		return Record{}, merry.Prepend(err, "decode limits")
	}

	r := Record{Revision: f.Revision}
	forms := fleet.NewTable(func(l limitForm) string { return l.Name }, f.Limits...)
	if forms.Len() != len(f.Limits) {
		return Record{}, merry.New("decode limits: a name occurs twice")
	}
	for _, l := range f.Limits {
		if err := l.check(); err != nil {
			return Record{}, err
		}
		r = r.WithLimit(l.Name, Limit{Upper: l.Upper, Parts: l.Parts})
	}

	return r, nil
}

// check refuses a form from which transitions could not proceed safely.
func (f limitForm) check() error {
	for i, p := range f.Parts {
		if p.Amount.IsNegative() || p.Amount.IsZero() {
			return merry.Errorf("decode limit %s: part of %s is not above zero", f.Name, p.Holder)
		}
		if i > 0 && f.Parts[i-1].Holder >= p.Holder {
			return merry.Errorf("decode limit %s: parts are not sorted by holder", f.Name)
		}
	}

	return nil
}
