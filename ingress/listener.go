package ingress

import (
	"container/list"
	"net"
	"sync"
)

// phase is what a connection is used for at the moment.
type phase int

const (
	// phaseIdle is before the first byte of a request.
	phaseIdle phase = iota
	// phaseReceiving is from the first byte of a request to the last.
	phaseReceiving
	// phaseServing is from the last byte of a request to the end of its handler.
	phaseServing
	// phaseStream is while the connection is a stream between hosts.
	phaseStream
)

// newcomerShare is the part of the connections that those without any answered request may be before they are closed first.
const newcomerShare = 3

// busyReserve is the part of the connections that is kept from requests that are being served, so that others get an answer.
const busyReserve = 16

// evictingShare is the part of the connections that may be open beyond the limit while they are closed.
const evictingShare = 16

// The ranks of connections that may be closed for new ones.
const (
	rankUnanswered = iota
	rankIdle
	rankReceiving
	ranks
)

// Listener is a listener that bounds its open connections.
type Listener struct {
	net.Listener
	gate  *Gate
	limit int
	mu    sync.Mutex
	open  int
	// evicting has the connections that have been removed and are still open.
	evicting map[*conn]struct{}
	// phases has the number of connections in each phase.
	phases [phaseStream + 1]int
	// drain is the progress of the end of the listener's service.
	drain drain
	// evictable has the connections that may be closed for new ones, by rank and by the time of their last change of phase.
	evictable [ranks]list.List
}

// Phases has the numbers of a listener's open connections by what they are used for.
type Phases struct {
	// Idle connections wait for the first byte of a request.
	Idle int
	// Receiving connections have received a part of a request.
	Receiving int
	// Serving connections have a request that waits for its response.
	Serving int
	// Streams are those between hosts.
	Streams int
}

// Phases returns the numbers of open connections by phase.
func (l *Listener) Phases() Phases {
	l.mu.Lock()
	defer l.mu.Unlock()

	return Phases{
		Idle: l.phases[phaseIdle], Receiving: l.phases[phaseReceiving], Serving: l.phases[phaseServing], Streams: l.phases[phaseStream],
	}
}

// Fields returns the numbers as the fields of a log line.
func (p Phases) Fields() []any {
	return []any{"idle", p.Idle, "receiving", p.Receiving, "serving", p.Serving}
}

// slot is the place of a connection in its listener, guarded by the listener's mutex.
type slot struct {
	phase phase
	// answered is set when a request of the connection was answered.
	answered bool
	// list and element are where the connection is listed as evictable; nil if it is not.
	list    *list.List
	element *list.Element
	closed  bool
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, l.acceptError(err)
		}
		c := &conn{Conn: accepted, listener: l, waiting: true}
		evicted, ok := l.add(c)
		if evicted != nil {
			l.evict(evicted)
		}
		if ok {
			return c, nil
		}
		l.gate.observe(ReasonConnections)
		// The client gets no answer, and nothing was received that could be lost.
		_ = accepted.Close()
	}
}

// evict closes a connection that has been removed. If it waits for a request, one that has arrived already is served first, on few such
// connections at a time.
func (l *Listener) evict(c *conn) {
	l.mu.Lock()
	leaves := c.slot.phase == phaseIdle && len(l.evicting) < max(1, l.limit/evictingShare)
	if leaves {
		l.evicting[c] = struct{}{}
	}
	l.mu.Unlock()
	if leaves {
		l.gate.observe(ReasonEvicted)
		c.leaveLast()

		return
	}
	c.explain(ReasonEvicted)
	// An error means that the connection is closed already.
	_ = c.closeNow()
}

// add adds a connection. If the limit is reached, it removes another one and returns it, or returns false if all are in use.
func (l *Listener) add(c *conn) (evicted *conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && l.open >= l.limit {
		if evicted = l.leastUseful(); evicted == nil {
			return nil, false
		}
		l.drop(evicted)
	}
	l.open++
	l.phases[phaseIdle]++
	l.place(c)
	c.leaving = l.drain.closing

	return evicted, true
}

// leastUseful returns the connection to close first, or nil if each serves a request: idle ones before those that are receiving a request,
// and the one that has been so for the longest time. Those without any answered request come last, so that a new one stays
// whatever the others have done before, but first once they are too many.
func (l *Listener) leastUseful() *conn {
	order := [ranks]int{rankIdle, rankReceiving, rankUnanswered}
	if l.evictable[rankUnanswered].Len() >= l.limit/newcomerShare {
		order = [ranks]int{rankUnanswered, rankIdle, rankReceiving}
	}
	for _, i := range order {
		if first := l.evictable[i].Front(); first != nil {
			c, _ := first.Value.(*conn)
			return c
		}
	}

	return nil
}

// place lists a connection by its phase.
func (l *Listener) place(c *conn) {
	l.unlist(c)
	rank := rankReceiving
	switch {
	case c.slot.phase > phaseReceiving:
		return
	case !c.slot.answered:
		rank = rankUnanswered
	case c.slot.phase == phaseIdle:
		rank = rankIdle
	}
	c.slot.list = &l.evictable[rank]
	c.slot.element = c.slot.list.PushBack(c)
}

func (l *Listener) unlist(c *conn) {
	if c.slot.element != nil {
		c.slot.list.Remove(c.slot.element)
		c.slot.list, c.slot.element = nil, nil
	}
}

func (l *Listener) drop(c *conn) {
	delete(l.evicting, c)
	if !c.slot.closed {
		c.slot.closed = true
		l.open--
		l.unlist(c)
		l.phases[c.slot.phase]--
	}
	l.signalIfEmpty()
}

func (l *Listener) setPhase(c *conn, p phase) {
	l.phases[c.slot.phase]--
	l.phases[p]++
	c.slot.phase = p
}

// isBusy reports whether so many connections are being served that a further request is refused.
func (l *Listener) isBusy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.limit > 0 && l.phases[phaseServing] > l.limit-l.limit/busyReserve
}

// remove forgets a connection that is closed.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(c)
}

// enter changes the phase of a connection.
func (l *Listener) enter(c *conn, p phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterLocked(c, p)
}

// answered changes the phase of a connection on which a response has been sent, and reports whether the listener accepts no more
// connections.
func (l *Listener) answered(c *conn, p phase) (closing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.slot.answered = true
	l.enterLocked(c, p)

	return l.drain.closing
}

func (l *Listener) enterLocked(c *conn, p phase) {
	if _, evicting := l.evicting[c]; evicting {
		c.slot.phase = p
		l.signalIfEmpty()
	}
	if c.slot.closed {
		return
	}
	l.setPhase(c, p)
	l.place(c)
	l.signalIfEmpty()
}
