package telemetry

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// maxPerSecond is the limit of lines of one kind per second. The owner logs some 200 starts and as many ends a second
// under heavy load, and several times that in the second after a change of ownership.
const maxPerSecond = 800

// Limiter limits the rate of log lines by kind and logs how many lines of a second were suppressed.
type Limiter struct {
	log    *log.Logger
	mu     sync.Mutex
	second int64
	counts map[string]int
}

// NewLimiter returns a limiter that logs suppressed lines to l.
func NewLimiter(l *log.Logger) *Limiter {
	return &Limiter{log: l, counts: map[string]int{}}
}

// Allow reports whether another line of the kind may be logged in the current second.
func (l *Limiter) Allow(kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now().Unix(); now != l.second {
		l.logSuppressed()
		l.second = now
		clear(l.counts)
	}
	l.counts[kind]++

	return l.counts[kind] <= maxPerSecond
}

func (l *Limiter) logSuppressed() {
	for kind, n := range l.counts {
		if n > maxPerSecond {
			l.log.Warn("log lines suppressed", "kind", kind, "count", n-maxPerSecond)
		}
	}
}
