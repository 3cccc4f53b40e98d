package peer

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

const (
	kindHeartbeat Kind = "Heartbeat"
	// maxBackoff is the longest time between heartbeats to a peer that does not answer, in intervals.
	maxBackoff = 8
)

// Status is what a process says of itself in each heartbeat.
type Status struct {
	// Generation is the newest state of the head record that the sender holds.
	Generation uint64
	// Revision is the number of the configuration that the sender holds.
	Revision uint64
	// Confirmed says that the sender knows a moment at which Generation was in force; Age is the time since.
	Confirmed bool
	Age       time.Duration
	// Seats are the seats for which the sender states that it has written nothing after Generation.
	Seats []string `cbor:",omitempty"`
	// StoreReachable says whether the sender's last call to the store was answered.
	StoreReachable bool
	// View is a hash of the members that the sender knows.
	View uint64
}

// Heard is the answer of a peer to a heartbeat.
type Heard struct {
	From   Peer
	Status Status
	// Asked is the moment before the heartbeat was sent; the answer was made after it.
	Asked time.Time
	// Received is the moment at which the answer arrived.
	Received time.Time
}

// heartbeat is the message in both directions; answers carry no reports.
type heartbeat struct {
	Sequence    uint64
	Incarnation Incarnation
	Status      Status
	// Reports are deflated CBOR, a map of names to reports.
	Reports []byte `cbor:",omitempty"`
}

// SetStatus makes f the source of what heartbeats say.
func (m *Mesh) SetStatus(f func() Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status = f
}

// OnHeard calls f with each answer to a heartbeat, one at a time per peer.
func (m *Mesh) OnHeard(f func(Heard)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onHeard = append(m.onHeard, f)
}

// Kick sends a heartbeat to every peer now.
func (m *Mesh) Kick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.peers {
		select {
		case l.kick <- struct{}{}:
		default:
		}
	}
}

// Heard returns the newest answer of a peer and whether there is one.
func (m *Mesh) Heard(name fleet.EntryName) (Heard, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.peers[name]
	if !ok || l.heard.Received.IsZero() {
		return Heard{}, false
	}

	return l.heard, true
}

// beat sends heartbeats to one peer until ctx ends; a peer that does not answer is asked less often.
func (m *Mesh) beat(ctx context.Context, l *link) {
	defer m.quic.drop(l.peer)
	wait := m.interval
	for ctx.Err() == nil {
		if m.sendHeartbeat(ctx, l) {
			wait = m.interval
		} else {
			wait = min(2*wait, maxBackoff*m.interval)
		}

		select {
		case <-ctx.Done():
		case <-l.kick:
		case <-time.After(jitter(wait)):
		}
	}
}

// jitter returns d less up to a fifth, so that heartbeats of many processes do not fall together.
func jitter(d time.Duration) time.Duration {
	return d - time.Duration(rand.Int64N(int64(d)/5+1))
}

// sendHeartbeat exchanges heartbeats with a peer and reports whether it answered.
func (m *Mesh) sendHeartbeat(ctx context.Context, l *link) bool {
	asked := time.Now()
	reply, err := send[heartbeat](ctx, m, l.peer, kindHeartbeat, m.compose(l))
	if err != nil || reply.Incarnation != l.peer.Incarnation {
		return false
	}

	h := Heard{From: l.peer, Status: reply.Status, Asked: asked, Received: time.Now()}
	m.mu.Lock()
	l.heard = h
	observers := m.onHeard
	m.mu.Unlock()
	for _, f := range observers {
		f(h)
	}

	return true
}

// compose returns the next heartbeat for a peer, with reports when they are due.
func (m *Mesh) compose(l *link) heartbeat {
	m.mu.Lock()
	l.sequence++
	hb := heartbeat{Sequence: l.sequence, Incarnation: m.self.Incarnation}
	status, now := m.status, time.Now()
	due := len(m.reports) > 0 && now.Sub(l.reported) >= m.reportInterval
	if due {
		l.reported = now
	}
	m.mu.Unlock()

	hb.Status = status()
	if due {
		hb.Reports = m.packed(now)
	}

	return hb
}

// answerHeartbeat takes a peer's heartbeat and answers with the own status.
func (m *Mesh) answerHeartbeat(_ context.Context, from Peer, hb heartbeat) (heartbeat, error) {
	m.deliver(from, hb)
	m.mu.Lock()
	status := m.status
	m.mu.Unlock()

	return heartbeat{Incarnation: m.Self().Incarnation, Status: status()}, nil
}

// deliver hands out the reports of a heartbeat unless one sent later came first.
func (m *Mesh) deliver(from Peer, hb heartbeat) {
	m.mu.Lock()
	l, ok := m.peers[from.Name]
	if !ok || l.peer.Incarnation != from.Incarnation || hb.Sequence <= l.received {
		m.mu.Unlock()
		return
	}
	l.received = hb.Sequence
	handlers := maps.Clone(m.onReport)
	m.mu.Unlock()
	if len(hb.Reports) == 0 {
		return
	}

	reports, err := unpack(hb.Reports)
	if err != nil {
		m.counters.dropped("Malformed")
		return
	}
	for name, data := range reports {
		if f, ok := handlers[name]; ok {
			f(from, data)
		}
	}
}
