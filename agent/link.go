package agent

import (
	"compress/flate"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/work"
)

// maxFrameCalls limits the number of calls in one frame.
const maxFrameCalls = 512

// link is an owner's stream of calls to one agent.
type link struct {
	address string
	stream  io.ReadWriteCloser
	// uptime is a monotonic clock that includes time in suspend.
	uptime func() time.Duration
	log    *log.Logger
	queue  chan wireCall
	// ready is closed after the first frame of the agent, done when the stream has ended.
	ready, done chan struct{}

	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan wireReply
	// clock is the agent's clock in its last frame, and lastHeard the time on this host's clock when that frame arrived.
	clock, lastHeard time.Duration
	// started is set after the first frame of the agent, leaving when it wants no more calls, ended when the stream has ended.
	started, leaving, ended bool
}

// newLink returns a link over an open stream and starts its reader and writer.
func newLink(address string, stream io.ReadWriteCloser, uptime func() time.Duration, l *log.Logger) *link {
	k := &link{
		address: address, stream: stream, uptime: uptime, log: l, queue: make(chan wireCall, maxCalls),
		ready: make(chan struct{}), done: make(chan struct{}), waiting: map[uint64]chan wireReply{}, lastHeard: uptime(),
	}
	go k.write()
	go k.read()

	return k
}

// usable reports whether the agent accepts calls.
func (k *link) usable() bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.started && !k.leaving && !k.ended
}

// silent returns the time since the last frame of the agent.
func (k *link) silent() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.uptime() - k.lastHeard
}

// idle reports whether no call is waiting for its reply.
func (k *link) idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	return len(k.waiting) == 0
}

// close closes the stream; waiting calls return work.ErrNoAnswer.
func (k *link) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	close(k.done)
	if err := k.stream.Close(); err != nil {
		k.log.Debug("failed to close the stream to an agent", "agent", k.address, "error", err)
	}
}

// call sends a call that the agent may make within window, and waits for the reply. It returns errNotMade if the agent has not
// made and will not make the call, and work.ErrNoAnswer if that is unknown.
func (k *link) call(c wireCall, window, timeout time.Duration) (wireReply, error) {
	id, reply, err := k.send(c, window)
	if err != nil {
		return wireReply{}, err
	}
	defer k.removeCall(id)
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case r := <-reply:
		return r, r.err()
	case <-k.done:
		return wireReply{}, merry.Prependf(work.ErrNoAnswer, "agent %s: stream ended", k.address)
	case <-t.C:
		return wireReply{}, merry.Prependf(work.ErrNoAnswer, "agent %s: no reply", k.address)
	}
}

// removeCall stops waiting for the reply to a call.
func (k *link) removeCall(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiting, id)
}

// send queues a call and returns its number and the channel for its reply.
func (k *link) send(c wireCall, window time.Duration) (uint64, <-chan wireReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || !k.started {
		return 0, nil, merry.Prependf(errNotMade, "agent %s: no stream", k.address)
	}
	k.lastID++
	c.ID = k.lastID
	// The agent read its clock before the frame arrived here, so the deadline is at most window from now.
	c.Deadline = k.clock + (k.uptime() - k.lastHeard) + window
	select {
	case k.queue <- c:
	default:
		return 0, nil, merry.Prependf(errNotMade, "agent %s: too many queued calls", k.address)
	}
	reply := make(chan wireReply, 1)
	k.waiting[c.ID] = reply

	return c.ID, reply, nil
}

// write writes queued calls in frames until the stream ends.
func (k *link) write() {
	for {
		var m wireCalls
		select {
		case <-k.done:
			return
		case c := <-k.queue:
			m.Calls = append(m.Calls, c)
		}
		for len(m.Calls) < maxFrameCalls && len(k.queue) > 0 {
			m.Calls = append(m.Calls, <-k.queue)
		}
		if err := writeFrame(k.stream, m); err != nil {
			k.log.Debug("failed to write calls, closing the stream", "agent", k.address, "error", err)
			k.close()

			return
		}
	}
}

// read handles frames from the agent until the stream ends.
func (k *link) read() {
	defer k.close()
	in := flate.NewReader(k.stream)
	for {
		var m wireReplies
		if err := readFrame(in, &m); err != nil {
			if errors.Is(err, ErrFrame) {
				k.log.Warn("malformed frame from an agent, closing the stream", "agent", k.address, "error", err)
			}

			return
		}
		k.handle(m)
	}
}

func (k *link) handle(m wireReplies) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.started {
		close(k.ready)
	}
	k.clock, k.lastHeard, k.started = m.Clock, k.uptime(), true
	k.leaving = m.Leaving
	for _, r := range m.Replies {
		if reply, ok := k.waiting[r.ID]; ok {
			reply <- r
			delete(k.waiting, r.ID)
		}
	}
}
