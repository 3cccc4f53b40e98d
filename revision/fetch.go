package revision

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"lycheehook.example/lycheehook/store"
)

// parallelReads bounds the parts that are read at once.
const parallelReads = 8

// fromStore reads a part from the store.
func (b *Book) fromStore(ctx context.Context, h hash) ([]byte, error) {
	r, err := b.client.Get(ctx, partPrefix+string(h))
	return r.Value, err
}

// load returns the parts of a head; those that are not held already come from a source.
func (b *Book) load(ctx context.Context, hashes []hash, from source) ([]*part, error) {
	parts := make([]*part, len(hashes))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelReads)
	for i, h := range hashes {
		b.mu.RLock()
		parts[i] = b.parts[h]
		b.mu.RUnlock()
		if parts[i] != nil {
			continue
		}
		g.Go(func() error {
			data, err := from(ctx, h)
			if err != nil {
				return err
			}
			parts[i], err = b.keep(h, data)

			return err
		})
	}

	return parts, g.Wait()
}

// keep decodes a part and holds it for peers and later revisions.
func (b *Book) keep(h hash, data []byte) (*part, error) {
	p, err := parsePart(h, data)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts[h], b.data[h] = p, data

	return p, nil
}

func isNotFound(err error) bool {
	return errors.Is(err, store.ErrNotFound)
}
