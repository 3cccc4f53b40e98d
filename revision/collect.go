package revision

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"lycheehook.example/lycheehook/store"
)

const (
	// collectInterval is the time between two looks for parts that the history no longer refers to.
	collectInterval = 10 * time.Minute
	collectKey      = "config/collect"
)

// collect removes the parts that no revision of the history refers to.
//
// A part is removed only if it was last written before the head was, and on the condition that it was not written since. An edit
// in progress writes its parts after it read the head, so its parts are newer than that head, or another head came after and the
// edit fails.
func (b *Book) collect(ctx context.Context) {
	if b.registry != nil && !b.registry.Owns(collectKey) || !b.Seated() {
		return
	}
	l, err := b.client.List(ctx, partPrefix)
	if err != nil {
		return
	}
	// The head is read after the list, so that it is newer than all that the list shows to be unused.
	r, err := b.client.Get(ctx, headKey)
	if err != nil {
		return
	}
	h, err := parseHead(r.Value)
	if err != nil {
		return
	}
	used, err := usedParts(h, l.Records)
	if err != nil {
		return
	}

	for _, p := range l.Records {
		if used[hash(strings.TrimPrefix(p.Key, partPrefix))] || p.Revision > r.Revision {
			continue
		}
		_, err := b.client.CompareAndSwap(ctx, store.Write{Key: p.Key, Base: p.Revision, Delete: true})
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return
		}
	}
}

// usedParts returns the parts that the head and the manifests of its history refer to.
func usedParts(h headRecord, parts []store.Record) (map[hash]bool, error) {
	content := make(map[hash][]byte, len(parts))
	for _, p := range parts {
		content[hash(strings.TrimPrefix(p.Key, partPrefix))] = p.Value
	}

	used := map[hash]bool{}
	for _, p := range h.Parts {
		used[p] = true
	}
	for _, entry := range h.History {
		used[entry.Manifest] = true
		data, ok := content[entry.Manifest]
		if !ok {
			continue
		}
		var m manifest
		if err := json.Unmarshal(data, &m); err != nil {
			return nil, err
		}
		for _, p := range m.Parts {
			used[p] = true
		}
	}

	return used, nil
}
