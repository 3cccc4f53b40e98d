package fleet

// MilliCores is a CPU quantity in thousandths of a core.
type MilliCores int64

// Mebibytes is a memory quantity in units of 2^20 bytes.
type Mebibytes int64

// Resources is a quantity of each resource that work requires and that hosts or endpoints provide.
type Resources struct {
	Slots        int64      `json:",omitempty"`
	Cores        MilliCores `json:",omitempty"`
	Memory       Mebibytes  `json:",omitempty"`
	Accelerators int64      `json:",omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		Slots:        r.Slots + o.Slots,
		Cores:        r.Cores + o.Cores,
		Memory:       r.Memory + o.Memory,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Minus returns r - o; components of the result can be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{
		Slots:        r.Slots - o.Slots,
		Cores:        r.Cores - o.Cores,
		Memory:       r.Memory - o.Memory,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Min returns the minimum of r and o by component.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		Slots:        min(r.Slots, o.Slots),
		Cores:        min(r.Cores, o.Cores),
		Memory:       min(r.Memory, o.Memory),
		Accelerators: min(r.Accelerators, o.Accelerators),
	}
}

// Max returns the maximum of r and o by component.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		Slots:        max(r.Slots, o.Slots),
		Cores:        max(r.Cores, o.Cores),
		Memory:       max(r.Memory, o.Memory),
		Accelerators: max(r.Accelerators, o.Accelerators),
	}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{
		Slots:        r.Slots * n,
		Cores:        r.Cores * MilliCores(n),
		Memory:       r.Memory * Mebibytes(n),
		Accelerators: r.Accelerators * n,
	}
}

// FitsIn reports whether no component of r exceeds that of o.
func (r Resources) FitsIn(o Resources) bool {
	return r.Slots <= o.Slots && r.Cores <= o.Cores && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// IsZero reports whether every component is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// IsNegative reports whether any component is below zero.
func (r Resources) IsNegative() bool {
	return r.Slots < 0 || r.Cores < 0 || r.Memory < 0 || r.Accelerators < 0
}

// DominantShare returns the largest fraction of total that r uses in any component (Ghodsi et al., Dominant Resource Fairness, NSDI 2011).
func (r Resources) DominantShare(total Resources) float64 {
	return r.Fractions(total).Max()
}

// resourceKinds is the number of components of Resources.
const resourceKinds = 4

// Fractions has a value for each component of Resources, in the order of its fields.
type Fractions [resourceKinds]float64

// Max returns the largest value.
func (f Fractions) Max() float64 {
	return max(f[0], f[1], f[2], f[3])
}

// Fractions returns the fraction of each component of total that r uses, which is 0 where total has none of it.
func (r Resources) Fractions(total Resources) Fractions {
	return Fractions{
		fraction(r.Slots, total.Slots),
		fraction(int64(r.Cores), int64(total.Cores)),
		fraction(int64(r.Memory), int64(total.Memory)),
		fraction(r.Accelerators, total.Accelerators),
	}
}

// fraction returns part/total, or 0 if the total has none of the resource.
func fraction(part, total int64) float64 {
	if total <= 0 {
		return 0
	}

	return float64(part) / float64(total)
}
