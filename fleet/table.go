package fleet

import (
	"cmp"
	"iter"

	"github.com/benbjohnson/immutable"
)

// Table is an immutable map sorted by key; its zero value is empty and ready to use.
type Table[K cmp.Ordered, V any] struct {
	m *immutable.SortedMap[K, V]
}

// comparer orders keys without reflection, so that lookups don't allocate.
type comparer[K cmp.Ordered] struct{}

// Compare implements immutable.Comparer.
func (comparer[K]) Compare(a, b K) int {
	return cmp.Compare(a, b)
}

// NewTable returns a table of values, each stored under the key that key returns for it.
func NewTable[K cmp.Ordered, V any](key func(V) K, values ...V) Table[K, V] {
	b := immutable.NewSortedMapBuilder[K, V](comparer[K]{})
	for _, v := range values {
		b.Set(key(v), v)
	}

	return Table[K, V]{m: b.Map()}
}

// Get returns the value stored under k and whether there is one.
func (t Table[K, V]) Get(k K) (V, bool) {
	if t.m == nil {
		var zero V
		return zero, false
	}

	return t.m.Get(k)
}

// Len returns the number of entries.
func (t Table[K, V]) Len() int {
	if t.m == nil {
		return 0
	}

	return t.m.Len()
}

// With returns a copy of the table in which k maps to v.
func (t Table[K, V]) With(k K, v V) Table[K, V] {
	m := t.m
	if m == nil {
		m = immutable.NewSortedMap[K, V](comparer[K]{})
	}

	return Table[K, V]{m: m.Set(k, v)}
}

// Without returns a copy of the table without k.
func (t Table[K, V]) Without(k K) Table[K, V] {
	if t.m == nil {
		return t
	}

	return Table[K, V]{m: t.m.Delete(k)}
}

// All iterates over the entries in key order.
func (t Table[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if t.m == nil {
			return
		}

		for it := t.m.Iterator(); !it.Done(); {
			k, v, _ := it.Next()
			if !yield(k, v) {
				return
			}
		}
	}
}

// Values returns the values in key order.
func (t Table[K, V]) Values() []V {
	vs := make([]V, 0, t.Len())
	for _, v := range t.All() {
		vs = append(vs, v)
	}

	return vs
}
