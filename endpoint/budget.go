package endpoint

import "sync"

const (
	// retryFraction is the number of tokens that one request adds.
	retryFraction = 0.1
	// retryBurst is the capacity of the bucket, in retries.
	retryBurst = 10
)

// retryBudget is a token bucket that limits retries to a fraction of the requests.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{tokens: retryBurst}
}

func (b *retryBudget) deposit() {
	b.mu.Lock()
	b.tokens = min(b.tokens+retryFraction, retryBurst)
	b.mu.Unlock()
}

func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--

	return true
}
