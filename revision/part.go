package revision

import (
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/plan"
	"lycheehook.example/lycheehook/store"
)

const (
	partPrefix = "config/part/"
	// targetPartSize is the mean size of a part, in bytes; an edit of one entry writes one part.
	targetPartSize = 64 << 10
	// maxPartSize leaves room for what the service adds to a value.
	maxPartSize = store.MaxValueSize * 3 / 4
	// maxBuckets bounds the number of parts of one kind.
	maxBuckets = 1 << 14
)

// ErrTooLarge says that the configuration has an entry that fits no value of the store.
var ErrTooLarge = merry.Sentinel("revision: entry too large")

// hash identifies the content of a part.
type hash string

func hashOf(data []byte) hash {
	sum := sha256.Sum256(data)
	return hash(base64.RawURLEncoding.EncodeToString(sum[:]))
}

// part is a share of the entries of a revision; which entries share one depends only on the names and the total size.
type part struct {
	Customers []fleet.Customer `json:",omitempty"`
	Plans     []fleet.Plan     `json:",omitempty"`
	Queues    []fleet.Queue    `json:",omitempty"`
	Pools     []fleet.Pool     `json:",omitempty"`
	Budgets   []fleet.Budget   `json:",omitempty"`
	Keys      []key.Key        `json:",omitempty"`
}

// rawPart is a part with its entries already encoded; the names of its fields are those of part.
type rawPart struct {
	Customers []json.RawMessage `json:",omitempty"`
	Plans     []json.RawMessage `json:",omitempty"`
	Queues    []json.RawMessage `json:",omitempty"`
	Pools     []json.RawMessage `json:",omitempty"`
	Budgets   []json.RawMessage `json:",omitempty"`
	Keys      []json.RawMessage `json:",omitempty"`
}

// rawEntry is one encoded entry and the list of a part that it belongs to.
type rawEntry struct {
	name string
	data json.RawMessage
	list func(*rawPart) *[]json.RawMessage
}

// split returns the parts of a revision by their hashes, and the hashes in a fixed order.
func split(r Revision) (map[hash][]byte, []hash, error) {
	lists := r.Lists.Canonical()
	var e encoder
	addEntries(&e, lists.Customers, func(c fleet.Customer) string { return string(c.Name) }, func(p *rawPart) *[]json.RawMessage { return &p.Customers })
	customers := e.take()
	addEntries(&e, lists.Plans, func(p fleet.Plan) string { return string(p.Name) }, func(p *rawPart) *[]json.RawMessage { return &p.Plans })
	addEntries(&e, lists.Queues, func(q fleet.Queue) string { return string(q.Name) }, func(p *rawPart) *[]json.RawMessage { return &p.Queues })
	addEntries(&e, lists.Pools, func(p fleet.Pool) string { return string(p.Name) }, func(p *rawPart) *[]json.RawMessage { return &p.Pools })
	addEntries(&e, lists.Budgets, func(b fleet.Budget) string { return string(b.Name) }, func(p *rawPart) *[]json.RawMessage { return &p.Budgets })
	plans := e.take()
	addEntries(&e, r.Keys.Keys(), func(k key.Key) string { return string(k.ID) }, func(p *rawPart) *[]json.RawMessage { return &p.Keys })
	keys := e.take()
	if e.err != nil {
		return nil, nil, merry.Prepend(e.err, "encode revision")
	}

	parts, order := map[hash][]byte{}, []hash{}
	for _, entries := range [][]rawEntry{customers, plans, keys} {
		packed, err := pack(entries)
		if err != nil {
			return nil, nil, err
		}
		for _, data := range packed {
			h := hashOf(data)
			parts[h] = data
			order = append(order, h)
		}
	}

	return parts, order, nil
}

// encoder encodes entries and keeps the first error.
type encoder struct {
	entries []rawEntry
	err     error
}

func (e *encoder) take() []rawEntry {
	entries := e.entries
	e.entries = nil

	return entries
}

func addEntries[T any](e *encoder, values []T, name func(T) string, list func(*rawPart) *[]json.RawMessage) {
	for _, v := range values {
		data, err := json.Marshal(v)
		if err != nil && e.err == nil {
			e.err = err
		}
		e.entries = append(e.entries, rawEntry{name: name(v), data: data, list: list})
	}
}

// pack puts entries into as many parts as their size asks for, so that an edit of one entry changes one part.
func pack(entries []rawEntry) ([][]byte, error) {
	total := 0
	for _, e := range entries {
		total += len(e.data)
	}
	for buckets := 1; buckets <= maxBuckets; buckets *= 2 {
		if buckets < maxBuckets && total > buckets*targetPartSize {
			continue
		}
		if packed, ok := packInto(entries, buckets); ok {
			return packed, nil
		}
	}

	return nil, merry.Wrap(ErrTooLarge)
}

// packInto packs entries into a number of buckets by the hashes of their names and reports whether each fits a value of the store.
func packInto(entries []rawEntry, buckets int) ([][]byte, bool) {
	parts := make([]rawPart, buckets)
	for _, e := range entries {
		list := e.list(&parts[xxhash.Sum64String(e.name)%uint64(buckets)])
		*list = append(*list, e.data)
	}

	var packed [][]byte
	for _, p := range parts {
		data, err := json.Marshal(p)
		if err != nil || len(data) > maxPartSize {
			return nil, false
		}
		if string(data) != "{}" {
			packed = append(packed, data)
		}
	}

	return packed, true
}

// join returns the revision that was split into the parts.
func join(number uint64, parts []*part) Revision {
	var lists plan.Lists
	var keys []key.Key
	for _, p := range parts {
		lists.Customers = append(lists.Customers, p.Customers...)
		lists.Plans = append(lists.Plans, p.Plans...)
		lists.Queues = append(lists.Queues, p.Queues...)
		lists.Pools = append(lists.Pools, p.Pools...)
		lists.Budgets = append(lists.Budgets, p.Budgets...)
		keys = append(keys, p.Keys...)
	}
	slices.SortFunc(keys, func(a, b key.Key) int { return cmp.Compare(a.ID, b.ID) })

	return Revision{Number: number}.WithLists(lists.Canonical()).WithKeys(key.NewRing(keys...))
}

// parsePart decodes a part after checking that it is the one asked for.
func parsePart(h hash, data []byte) (*part, error) {
	if got := hashOf(data); got != h {
		return nil, merry.Prependf(ErrDamaged, "part %s has the content of %s", h, got)
	}

	var p part
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, merry.Prependf(ErrDamaged, "part %s: %v", h, err)
	}

	return &p, nil
}
