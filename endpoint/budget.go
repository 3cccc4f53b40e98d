package endpoint

import "sync"

const (
	// retryFraction is the number of retries earned by one request.
	retryFraction = 0.1
	// retryBurst bounds the retries that are saved up.
	retryBurst = 10
)

// budget is a token bucket that keeps retries to a fraction of the requests.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget {
	return &budget{tokens: retryBurst}
}

func (b *budget) earn() {
	b.mu.Lock()
	b.tokens = min(b.tokens+retryFraction, retryBurst)
	b.mu.Unlock()
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--

	return true
}
