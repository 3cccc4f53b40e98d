package admission

import (
	"sync"

	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/revision"
)

// maxVerified bounds the secrets that are remembered.
const maxVerified = 4096

// verified remembers which presented secrets matched a key of one revision, so that a caller's secret is hashed once
// per revision. A withdrawn key comes with a new revision, which forgets them all.
type verified struct {
	mu       sync.Mutex
	revision *revision.Revision
	keys     map[string]key.Key
}

// match returns the key of a presented secret under a revision.
func (v *verified) match(rev *revision.Revision, secret string) (key.Key, error) {
	v.mu.Lock()
	if v.revision != rev {
		v.revision, v.keys = rev, map[string]key.Key{}
	}
	k, ok := v.keys[secret]
	v.mu.Unlock()
	if ok {
		return k, nil
	}

	k, err := rev.Keys.Match(secret)
	if err != nil {
		return k, err
	}
	v.mu.Lock()
	if v.revision == rev && len(v.keys) < maxVerified {
		v.keys[secret] = k
	}
	v.mu.Unlock()

	return k, nil
}
