package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lycheehook.example/lycheehook/fleet"
)

const (
	kindHeartbeat Kind = "Heartbeat"
	// MaxReportSize bounds one report in a heartbeat, in bytes.
	MaxReportSize = 8 << 10
	// maxReportsSize bounds all reports of one heartbeat, in bytes.
	maxReportsSize = 16 << 10
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

// heartbeat is the message in both directions.
type heartbeat struct {
	Sequence uint64
	From     Peer
	Status   Status
	Reports  map[string]cbor.RawMessage `cbor:",omitempty"`
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

// Report adds a named report to every heartbeat; one larger than MaxReportSize is left out and counted.
func Report[T any](m *Mesh, name string, produce func() T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports[name] = func() ([]byte, error) { return encode(produce()) }
}

// OnReport calls f with each newer report of that name from a peer.
func OnReport[T any](m *Mesh, name string, f func(from Peer, report T)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onReport[name] = func(from Peer, data []byte) {
		var report T
		if err := decode(data, &report); err != nil {
			m.counters.dropped("Malformed")
			return
		}
		f(from, report)
	}
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
	if err != nil || reply.From.Incarnation != l.peer.Incarnation && l.peer.Incarnation != "" {
		return false
	}

	h := Heard{From: reply.From, Status: reply.Status, Asked: asked, Received: time.Now()}
	m.mu.Lock()
	l.heard = h
	observers := m.onHeard
	m.mu.Unlock()
	for _, f := range observers {
		f(h)
	}
	m.deliver(reply)

	return true
}

// compose returns the next heartbeat for a peer; l is nil for an answer to a process that is not a peer.
func (m *Mesh) compose(l *link) heartbeat {
	m.mu.Lock()
	status, reports := m.status, make(map[string]func() ([]byte, error), len(m.reports))
	for name, r := range m.reports {
		reports[name] = r
	}
	m.mu.Unlock()

	hb := heartbeat{From: m.Self(), Status: status(), Reports: m.collect(reports)}
	if l != nil {
		m.mu.Lock()
		l.sequence++
		hb.Sequence = l.sequence
		m.mu.Unlock()
	}

	return hb
}

func (m *Mesh) collect(reports map[string]func() ([]byte, error)) map[string]cbor.RawMessage {
	if len(reports) == 0 {
		return nil
	}

	size, all := 0, make(map[string]cbor.RawMessage, len(reports))
	for name, produce := range reports {
		data, err := produce()
		if err != nil || len(data) > MaxReportSize || size+len(data) > maxReportsSize {
			m.counters.dropped("TooLarge")
			continue
		}
		size += len(data)
		all[name] = data
	}

	return all
}

// answerHeartbeat takes a peer's heartbeat and answers with the own one.
func (m *Mesh) answerHeartbeat(_ context.Context, _ Peer, hb heartbeat) (heartbeat, error) {
	m.mu.Lock()
	l := m.peers[hb.From.Name]
	m.mu.Unlock()
	m.deliver(hb)

	return m.compose(l), nil
}

// deliver hands out the reports of a heartbeat unless one sent later came first.
func (m *Mesh) deliver(hb heartbeat) {
	m.mu.Lock()
	l, ok := m.peers[hb.From.Name]
	if !ok || l.peer.Incarnation != hb.From.Incarnation || !l.received.advance(hb) {
		m.mu.Unlock()
		return
	}
	handlers := make(map[string]func(Peer, []byte), len(hb.Reports))
	for name := range hb.Reports {
		if f, ok := m.onReport[name]; ok {
			handlers[name] = f
		}
	}
	m.mu.Unlock()

	for name, f := range handlers {
		f(hb.From, hb.Reports[name])
	}
}

// advance reports whether hb is newer than all before and remembers it.
func (s *sequence) advance(hb heartbeat) bool {
	if s.incarnation == hb.From.Incarnation && hb.Sequence <= s.number {
		return false
	}
	*s = sequence{incarnation: hb.From.Incarnation, number: hb.Sequence}

	return true
}
