package telemetry

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// maxPerSecond bounds the lines of one kind in a second. The heaviest day known has some 200 starts and as many ends a
// second, all at the owner, and several times that in the second after a take-over.
const maxPerSecond = 800

// Limiter bounds the log lines of each kind, and logs once a second how many were left out.
type Limiter struct {
	log    *log.Logger
	mu     sync.Mutex
	second int64
	counts map[string]int
}

// NewLimiter returns a limiter that reports to l.
func NewLimiter(l *log.Logger) *Limiter {
	return &Limiter{log: l, counts: map[string]int{}}
}

// Allow reports whether one more line of a kind may be written in this second.
func (l *Limiter) Allow(kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now().Unix(); now != l.second {
		l.report()
		l.second = now
		clear(l.counts)
	}
	l.counts[kind]++

	return l.counts[kind] <= maxPerSecond
}

func (l *Limiter) report() {
	for kind, n := range l.counts {
		if n > maxPerSecond {
			l.log.Warn("log lines left out", "kind", kind, "count", n-maxPerSecond)
		}
	}
}
