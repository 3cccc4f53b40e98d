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

// maxFrameCalls bounds the calls of one frame.
const maxFrameCalls = 512

// link is an owner's stream of calls to one agent.
type link struct {
	address string
	stream  io.ReadWriteCloser
	// uptime is a steady clock that goes on while the machine is suspended.
	uptime func() time.Duration
	log    *log.Logger
	out    chan wireCall
	// ready is closed when the agent has told its clock, over when the stream has ended.
	ready, over chan struct{}

	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan wireReply
	// clock is the agent's clock as it last told, heard when that came by this host's.
	clock, heard time.Duration
	// met says that the agent has told its clock, leaving that it wants no more calls, ended that the stream is over.
	met, leaving, ended bool
}

// newLink returns a link over an open stream.
func newLink(address string, stream io.ReadWriteCloser, uptime func() time.Duration, l *log.Logger) *link {
	k := &link{
		address: address, stream: stream, uptime: uptime, log: l, out: make(chan wireCall, maxCalls),
		ready: make(chan struct{}), over: make(chan struct{}), waiting: map[uint64]chan wireReply{}, heard: uptime(),
	}
	go k.write()
	go k.read()

	return k
}

// usable reports whether calls may be given to the agent.
func (k *link) usable() bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.met && !k.leaving && !k.ended
}

// silent returns how long nothing has come from the agent.
func (k *link) silent() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.uptime() - k.heard
}

// idle reports whether no call is under way.
func (k *link) idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	return len(k.waiting) == 0
}

// close ends the stream; calls under way have no answer then.
func (k *link) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	close(k.over)
	if err := k.stream.Close(); err != nil {
		k.log.Debug("close of a stream of calls", "agent", k.address, "error", err)
	}
}

// call has the agent make a call within window, and waits for the reply. Its error is of kind errNotMade if the agent did
// not and will not make the call, and work.ErrNoAnswer if that is unknown.
func (k *link) call(c wireCall, window, timeout time.Duration) (wireReply, error) {
	id, reply, err := k.send(c, window)
	if err != nil {
		return wireReply{}, err
	}
	defer k.forget(id)
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case r := <-reply:
		return r, r.err()
	case <-k.over:
		return wireReply{}, merry.Prependf(work.ErrNoAnswer, "agent %s: stream ended", k.address)
	case <-t.C:
		return wireReply{}, merry.Prependf(work.ErrNoAnswer, "agent %s: no reply", k.address)
	}
}

// forget gives up waiting for a reply.
func (k *link) forget(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiting, id)
}

// send puts a call on its way and returns its number and where its reply will come.
func (k *link) send(c wireCall, window time.Duration) (uint64, <-chan wireReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || !k.met {
		return 0, nil, merry.Prependf(errNotMade, "agent %s: no stream", k.address)
	}
	k.last++
	c.ID = k.last
	// The agent's clock was read before it was heard of, so the permission ends no later than window from now.
	c.Until = k.clock + (k.uptime() - k.heard) + window
	select {
	case k.out <- c:
	default:
		return 0, nil, merry.Prependf(errNotMade, "agent %s: too many calls wait", k.address)
	}
	reply := make(chan wireReply, 1)
	k.waiting[c.ID] = reply

	return c.ID, reply, nil
}

// write writes calls in frames until the stream is over.
func (k *link) write() {
	for {
		var m wireCalls
		select {
		case <-k.over:
			return
		case c := <-k.out:
			m.Calls = append(m.Calls, c)
		}
		for len(m.Calls) < maxFrameCalls && len(k.out) > 0 {
			m.Calls = append(m.Calls, <-k.out)
		}
		if err := writeFrame(k.stream, m); err != nil {
			k.log.Debug("calls not written, the stream ends", "agent", k.address, "error", err)
			k.close()

			return
		}
	}
}

// read takes in replies until the stream is over.
func (k *link) read() {
	defer k.close()
	in := flate.NewReader(k.stream)
	for {
		var m wireReplies
		if err := readFrame(in, &m); err != nil {
			if errors.Is(err, ErrFrame) {
				k.log.Warn("agent's stream ends", "agent", k.address, "error", err)
			}

			return
		}
		k.take(m)
	}
}

func (k *link) take(m wireReplies) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.met {
		close(k.ready)
	}
	k.clock, k.heard, k.met = m.Clock, k.uptime(), true
	k.leaving = m.Leaving
	for _, r := range m.Replies {
		if reply, ok := k.waiting[r.ID]; ok {
			reply <- r
			delete(k.waiting, r.ID)
		}
	}
}
