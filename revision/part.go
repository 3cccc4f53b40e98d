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
	// targetPartSize is the largest mean size of a part, in bytes. An edit of one entry writes one part.
	targetPartSize = 64 << 10
	// maxPartSize leaves room for the data that the store service adds to a value.
	maxPartSize = store.MaxValueSize * 3 / 4
	// maxBuckets limits the number of parts for each of customers, plans and keys.
	maxBuckets = 1 << 14
)

// ErrTooLarge reports that the configuration has an entry that does not fit in one value of the store.
var ErrTooLarge = merry.Sentinel("revision: entry too large")

// hash identifies the content of a part.
type hash string

func hashOf(data []byte) hash {
	sum := sha256.Sum256(data)
	return hash(base64.RawURLEncoding.EncodeToString(sum[:]))
}

// part is a subset of the entries of a revision. How entries are divided depends only on their names and total size.
type part struct {
	Customers []fleet.Customer `json:",omitempty"`
	Plans     []fleet.Plan     `json:",omitempty"`
	Queues    []fleet.Queue    `json:",omitempty"`
	Pools     []fleet.Pool     `json:",omitempty"`
	Budgets   []fleet.Budget   `json:",omitempty"`
	Keys      []key.Key        `json:",omitempty"`
}

// rawPart is a part whose entries are already encoded. Its field names must match those of part.
type rawPart struct {
	Customers []json.RawMessage `json:",omitempty"`
	Plans     []json.RawMessage `json:",omitempty"`
	Queues    []json.RawMessage `json:",omitempty"`
	Pools     []json.RawMessage `json:",omitempty"`
	Budgets   []json.RawMessage `json:",omitempty"`
	Keys      []json.RawMessage `json:",omitempty"`
}

// rawEntry is one encoded entry, its name, and a function that returns the list of a part to append it to.
type rawEntry struct {
	name string
	data json.RawMessage
	list func(*rawPart) *[]json.RawMessage
}

// splitParts returns the encoded parts of a revision keyed by hash, and the hashes in a deterministic order.
func splitParts(r Revision) (map[hash][]byte, []hash, error) {
	lists := r.Lists.Canonical()
	var e encoder
	addEntries(&e, lists.Customers, func(c fleet.Customer) string { return string(c.Name) }, func(p *rawPart) *[]json.RawMessage { return &p.Customers })
	customers := e.flush()
	addEntries(&e, lists.Plans, func(p fleet.Plan) string { return string(p.Name) }, func(p *rawPart) *[]json.RawMessage { return &p.Plans })
	addEntries(&e, lists.Queues, func(q fleet.Queue) string { return string(q.Name) }, func(p *rawPart) *[]json.RawMessage { return &p.Queues })
	addEntries(&e, lists.Pools, func(p fleet.Pool) string { return string(p.Name) }, func(p *rawPart) *[]json.RawMessage { return &p.Pools })
	addEntries(&e, lists.Budgets, func(b fleet.Budget) string { return string(b.Name) }, func(p *rawPart) *[]json.RawMessage { return &p.Budgets })
	plans := e.flush()
	addEntries(&e, r.Keys.Keys(), func(k key.Key) string { return string(k.ID) }, func(p *rawPart) *[]json.RawMessage { return &p.Keys })
	keys := e.flush()
	if e.err != nil {
		return nil, nil, merry.Prepend(e.err, "encode revision")
	}

	parts, hashes := map[hash][]byte{}, []hash{}
	for _, entries := range [][]rawEntry{customers, plans, keys} {
		packed, err := pack(entries)
		if err != nil {
			return nil, nil, err
		}
		for _, data := range packed {
			h := hashOf(data)
			parts[h] = data
			hashes = append(hashes, h)
		}
	}

	return parts, hashes, nil
}

// encoder collects encoded entries and the first encoding error.
type encoder struct {
	entries []rawEntry
	err     error
}

func (e *encoder) flush() []rawEntry {
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

// pack divides entries into parts by total size, so that an edit of one entry usually changes one part.
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

// packInto assigns entries to buckets by the hashes of their names and reports whether each bucket fits in a value of the store.
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

// joinParts rebuilds a revision from its parts.
func joinParts(number uint64, parts []*part) Revision {
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

// parsePart decodes a part after checking its content against the hash.
func parsePart(h hash, data []byte) (*part, error) {
	if got := hashOf(data); got != h {
		return nil, merry.Prependf(ErrCorrupt, "part %s has the content of %s", h, got)
	}

	var p part
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, merry.Prependf(ErrCorrupt, "part %s: %v", h, err)
	}

	return &p, nil
}
