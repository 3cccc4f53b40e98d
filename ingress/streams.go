package ingress

import (
	"sync"
)

// streams bounds the open streams between hosts.
type streams struct {
	mu    sync.Mutex
	ended *sync.Cond
	limit int
	// open has the streams whose handlers run; the value is set when the stream was closed for a new one.
	open    map[*conn]bool
	closing int
}

func newStreams() *streams {
	s := &streams{open: map[*conn]bool{}}
	s.ended = sync.NewCond(&s.mu)

	return s
}

// add adds a stream and returns how many others were closed for it. These are the ones from which nothing has come for the longest
// time, because the owner of the workers polls them several times a second. It returns when their handlers have ended, so that
// their memory is free.
func (s *streams) add(c *conn) (evicted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.limit > 0 && len(s.open) >= s.limit {
		if s.closing == 0 {
			s.closeMostSilent()
			evicted++
		}
		s.ended.Wait()
	}
	s.open[c] = false

	return evicted
}

func (s *streams) closeMostSilent() {
	var silent *conn
	for c := range s.open {
		if silent == nil || c.heard.Load() < silent.heard.Load() {
			silent = c
		}
	}
	s.open[silent] = true
	s.closing++
	// An error means that the connection is closed already.
	_ = silent.closeNow()
}

func (s *streams) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[c] {
		s.closing--
	}
	delete(s.open, c)
	s.ended.Broadcast()
}
