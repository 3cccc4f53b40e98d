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
	// maxBackoff is the maximum time between heartbeats to an unresponsive peer, in heartbeat intervals.
	maxBackoff = 8
)

// Status is the status of a process, sent in each heartbeat.
type Status struct {
	// Generation is the generation of the head record that the sender holds.
	Generation uint64
	// Revision is the configuration version that the sender holds.
	Revision uint64
	// Confirmed means that the sender knows a time at which Generation was current; Age is the time since then.
	Confirmed bool
	Age       time.Duration
	// Seats are the seats for which the sender states that it has not written a later generation.
	Seats []string `cbor:",omitempty"`
	// StoreReachable reports whether the store responded to the sender's last call.
	StoreReachable bool
	// View is a hash of the members known to the sender.
	View uint64
}

// Heard is a peer's response to a heartbeat.
type Heard struct {
	From   Peer
	Status Status
	// Asked is a time before the heartbeat was sent, and therefore before the response was created.
	Asked time.Time
	// Received is the time at which the response arrived.
	Received time.Time
}

// heartbeat is both the request and the response; responses carry no reports.
type heartbeat struct {
	Sequence    uint64
	Incarnation Incarnation
	Status      Status
	// Reports is a CBOR map from names to reports, compressed with DEFLATE.
	Reports []byte `cbor:",omitempty"`
}

// SetStatus sets the function that returns the status sent in heartbeats.
func (m *Mesh) SetStatus(f func() Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status = f
}

// OnHeard registers f, called with each response to a heartbeat; calls for one peer are sequential.
func (m *Mesh) OnHeard(f func(Heard)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onHeard = append(m.onHeard, f)
}

// Kick triggers an immediate heartbeat to every peer.
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

// Heard returns the latest heartbeat response of a peer and whether there is one.
func (m *Mesh) Heard(name fleet.EntryName) (Heard, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.peers[name]
	if !ok || l.heard.Received.IsZero() {
		return Heard{}, false
	}

	return l.heard, true
}

// beat sends heartbeats to one peer until ctx is done, with exponential backoff while the peer doesn't respond.
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

// jitter shortens d by a random amount of up to a fifth, so that processes don't send heartbeats at the same time.
func jitter(d time.Duration) time.Duration {
	return d - time.Duration(rand.Int64N(int64(d)/5+1))
}

// sendHeartbeat sends a heartbeat to a peer and reports whether the peer responded.
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

// compose returns the next heartbeat for a peer, with reports if the report interval has passed.
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

// answerHeartbeat handles a peer's heartbeat and responds with the own status.
func (m *Mesh) answerHeartbeat(_ context.Context, from Peer, hb heartbeat) (heartbeat, error) {
	m.deliver(from, hb)
	m.mu.Lock()
	status := m.status
	m.mu.Unlock()

	return heartbeat{Incarnation: m.Self().Incarnation, Status: status()}, nil
}

// deliver passes the reports of a heartbeat to their handlers, unless a later heartbeat has arrived already.
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
