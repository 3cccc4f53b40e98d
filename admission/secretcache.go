package admission

import (
	"sync"

	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/revision"
)

// maxCachedSecrets bounds the cached secrets.
const maxCachedSecrets = 4096

// secretCache caches the keys that secrets matched in one revision, so that a secret is hashed once per revision.
// Withdrawing a key creates a new revision, for which the cache is cleared.
type secretCache struct {
	mu       sync.Mutex
	revision *revision.Revision
	keys     map[string]key.Key
}

// match returns the key of a secret in a revision.
func (c *secretCache) match(rev *revision.Revision, secret string) (key.Key, error) {
	c.mu.Lock()
	if c.revision != rev {
		c.revision, c.keys = rev, map[string]key.Key{}
	}
	k, ok := c.keys[secret]
	c.mu.Unlock()
	if ok {
		return k, nil
	}

	k, err := rev.Keys.Match(secret)
	if err != nil {
		return k, err
	}
	c.mu.Lock()
	if c.revision == rev && len(c.keys) < maxCachedSecrets {
		c.keys[secret] = k
	}
	c.mu.Unlock()

	return k, nil
}
