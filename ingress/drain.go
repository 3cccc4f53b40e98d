package ingress

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// backlogTime is how long a listener that is drained waits for connections that the kernel has not handed over yet.
	backlogTime = 50 * time.Millisecond
	// refusalTime is how long requests that are given up may take to answer that.
	refusalTime = 500 * time.Millisecond
)

// ErrStopping means that the process stops before a request could be served.
var ErrStopping = merry.Sentinel("ingress: the process stops")

// ErrInterrupted means that connections were still in use when a drain ended.
var ErrInterrupted = merry.Sentinel("ingress: connections were interrupted")

// drain is the progress of the end of a listener's service.
type drain struct {
	// begun is set when answers ask clients to close their connections, closing when no connection is accepted any more, over when the drain
	// has ended.
	begun, closing, over bool
	// ended is closed when Accept has returned its last error, empty when no connection is open after that; nil before closing.
	ended, empty chan struct{}
}

// signalIfEmpty closes empty once no connection but streams is open and none will be accepted. Streams end with the process.
func (l *Listener) signalIfEmpty() {
	d := &l.drain
	if d.empty == nil || l.isInUse() || !isClosed(d.ended) || isClosed(d.empty) {
		return
	}
	close(d.empty)
}

// isInUse reports whether connections but streams are open, among them those that were evicted.
func (l *Listener) isInUse() bool {
	for c := range l.evicting {
		if c.slot.phase != phaseStream {
			return true
		}
	}

	return l.open > l.phases[phaseStream]
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Drain ends the service of listeners of the gate without a request that ends unanswered. Until closing is closed connections are
// accepted and requests served as before, but each answer asks its client to close the connection. Then no more connections are accepted than
// the kernel has taken already, and idle ones are closed unless a request has arrived on them. When ctx ends, the contexts of the
// requests that are left are cancelled with ErrStopping, and they have a moment to answer. The error is ErrInterrupted if connections
// remain after that. A listener is drained once.
func (g *Gate) Drain(ctx context.Context, closing <-chan struct{}, listeners ...*Listener) error {
	var wg sync.WaitGroup
	errs := make([]error, len(listeners))
	for i, l := range listeners {
		wg.Go(func() { errs[i] = l.finish(ctx, closing) })
	}
	wg.Wait()

	return errors.Join(errs...)
}

// finish drains one listener.
func (l *Listener) finish(ctx context.Context, closing <-chan struct{}) error {
	l.beginDrain()
	defer l.endDrain()
	select {
	case <-closing:
	case <-ctx.Done():
	}
	l.stopAccepting()
	select {
	case <-l.drain.empty:
		return nil
	case <-ctx.Done():
	}
	l.gate.stop(ErrStopping)
	l.abortBodies()
	select {
	case <-l.drain.empty:
		return nil
	case <-time.After(refusalTime):
		return ErrInterrupted
	}
}

func (l *Listener) beginDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drain.begun = true
}

func (l *Listener) endDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drain.over = true
}

// lingers reports whether connections wait before they are closed until their clients have taken the last answer.
func (l *Listener) lingers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.drain.begun && !l.drain.over
}

// isDraining reports whether the listener's service is being ended.
func (l *Listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.drain.begun
}

// stopAccepting accepts what the kernel has taken already, closes the listener, and makes idle connections leave.
func (l *Listener) stopAccepting() {
	l.mu.Lock()
	l.drain.closing = true
	l.drain.ended, l.drain.empty = make(chan struct{}), make(chan struct{})
	idle := l.idle()
	l.mu.Unlock()
	d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok || d.SetDeadline(time.Now().Add(backlogTime)) != nil {
		// An error means that the listener is closed already.
		_ = l.Close()
	}
	for _, c := range idle {
		c.leave()
	}
}

// idle returns the connections that wait for a request.
func (l *Listener) idle() []*conn {
	var list []*conn
	for _, rank := range []int{rankUnanswered, rankIdle} {
		for e := l.evictable[rank].Front(); e != nil; e = e.Next() {
			if c, _ := e.Value.(*conn); c.slot.phase == phaseIdle {
				list = append(list, c)
			}
		}
	}

	return list
}

// acceptError returns the error of Accept, which is http.ErrServerClosed once the listener is drained, and notes that it has ended.
func (l *Listener) acceptError(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.drain.closing {
		return err
	}
	if !isClosed(l.drain.ended) {
		close(l.drain.ended)
	}
	l.signalIfEmpty()
	// An error means that the listener is closed already.
	_ = l.Close()

	return http.ErrServerClosed
}

// abortBodies makes the reads of bodies that have not arrived fail.
func (l *Listener) abortBodies() {
	l.mu.Lock()
	var receiving []*conn
	for i := range l.evictable {
		for e := l.evictable[i].Front(); e != nil; e = e.Next() {
			if c, _ := e.Value.(*conn); c.slot.phase == phaseReceiving {
				receiving = append(receiving, c)
			}
		}
	}
	for c := range l.evicting {
		if c.slot.phase == phaseReceiving {
			receiving = append(receiving, c)
		}
	}
	l.mu.Unlock()
	for _, c := range receiving {
		c.abort()
	}
}
