package revision

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"lycheehook.example/lycheehook/store"
)

// maxParallelReads limits how many parts are read concurrently.
const maxParallelReads = 8

// readPartFromStore reads the encoded part from the store.
func (repo *Repository) readPartFromStore(ctx context.Context, h hash) ([]byte, error) {
	r, err := repo.client.Get(ctx, partPrefix+string(h))
	return r.Value, err
}

// loadParts returns the parts with the hashes. Parts that are not cached are read by from and then cached.
func (repo *Repository) loadParts(ctx context.Context, hashes []hash, from partReader) ([]*part, error) {
	parts := make([]*part, len(hashes))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelReads)
	for i, h := range hashes {
		repo.mu.RLock()
		parts[i] = repo.parts[h]
		repo.mu.RUnlock()
		if parts[i] != nil {
			continue
		}
		g.Go(func() error {
			data, err := from(ctx, h)
			if err != nil {
				return err
			}
			parts[i], err = repo.cachePart(h, data)

			return err
		})
	}

	return parts, g.Wait()
}

// cachePart decodes a part and caches it for peers and later revisions.
func (repo *Repository) cachePart(h hash, data []byte) (*part, error) {
	p, err := parsePart(h, data)
	if err != nil {
		return nil, err
	}
	repo.mu.Lock()
	defer repo.mu.Unlock()
	repo.parts[h], repo.partData[h] = p, data

	return p, nil
}

func isNotFound(err error) bool {
	return errors.Is(err, store.ErrNotFound)
}
