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
	// collectInterval is the time between two collections of unreferenced parts.
	collectInterval = 10 * time.Minute
	// collectKey selects the member that is responsible for collecting parts.
	collectKey = "config/collect"
)

// collectGarbage deletes the parts that no revision in the history refers to.
//
// A part is deleted only if its last write is older than the head, and by a compare-and-swap on that write. An edit in progress
// writes its parts after reading the head, so either its parts are newer than the head read here, or a newer head was written
// in the meantime and the edit fails.
func (repo *Repository) collectGarbage(ctx context.Context) {
	if repo.registry != nil && !repo.registry.Owns(collectKey) || !repo.Seated() {
		return
	}
	l, err := repo.client.List(ctx, partPrefix)
	if err != nil {
		return
	}
	// Read the head after listing the parts, so that its history covers every part in the list.
	r, err := repo.client.Get(ctx, headKey)
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
		_, err := repo.client.CompareAndSwap(ctx, store.Write{Key: p.Key, Base: p.Revision, Delete: true})
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return
		}
	}
}

// usedParts returns the hashes that the head refers to, directly or through the manifests of its history.
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
