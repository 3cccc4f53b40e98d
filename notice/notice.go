package notice

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/backlog"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/relay"
	"lycheehook.example/lycheehook/store"
)

const (
	// sendTimeout limits the delivery of a message; after that time the owner will have received the jobs from its watch of
	// the store.
	sendTimeout = 400 * time.Millisecond
	// maxAge is the maximum age of a record when it is sent. A job's record is removed minutes after the job ends, and a
	// notice sent after the removal would add the job again.
	maxAge = time.Second
	// maxRecords is the maximum number of records in one message.
	maxRecords = 64
	// maxQueued is the maximum number of records queued while a message is in flight; further records are dropped, and the
	// owner receives them from its watch.
	maxQueued = 1024
)

// ErrNoOwner means that this host knows no owner.
var ErrNoOwner = merry.Sentinel("notice: no owner")

// Sender sends records stored by this host to the owner.
type Sender struct {
	exchange func(address string) platform.Exchange
	// owner returns the owner known to this host and its term; the term is zero if there is no owner.
	owner func() (ledger.Owner, uint64)
	// uptime returns the time since boot, including time in suspension.
	uptime func() time.Duration
	log    *log.Logger
	// backlog keeps the digests that the owner sends in its responses; nil asks for none.
	backlog *backlog.Holder

	mu      sync.Mutex
	queue   []queuedRecord
	running bool
}

// queuedRecord is a record and the uptime at which it was queued.
type queuedRecord struct {
	record   store.Record
	queuedAt time.Duration
}

type wireMessage struct {
	Term    uint64       `cbor:"1,keyasint"`
	Records []wireRecord `cbor:"2,keyasint"`
}

// wireRequest is a message with what the sender asks for.
type wireRequest struct {
	wireMessage
	// WantsBacklog asks for a digest of the backlog in the response, which has no body otherwise.
	WantsBacklog bool `cbor:"3,keyasint,omitempty"`
}

type wireAnswer struct {
	Backlog *backlog.Message `cbor:"1,keyasint,omitempty"`
}

type wireRecord struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
}

// NewSender returns a sender. Function exchange returns the exchange with the peer at an address, owner returns the owner
// known to this host and its term, and uptime returns the time since boot, including time in suspension.
func NewSender(
	exchange func(address string) platform.Exchange, owner func() (ledger.Owner, uint64), uptime func() time.Duration, l *log.Logger, options ...SenderOption,
) *Sender {
	s := &Sender{exchange: exchange, owner: owner, uptime: uptime, log: l}
	for _, o := range options {
		o(s)
	}

	return s
}

// SenderOption changes a new sender.
type SenderOption func(*Sender)

// WithBacklog makes the sender ask the owner for digests of the backlog that h keeps.
func WithBacklog(h *backlog.Holder) SenderOption {
	return func(s *Sender) { s.backlog = h }
}

// Notify queues a stored record to be sent to the owner. It does not block. Delivery is not guaranteed: the owner receives
// lost records from its watch of the store.
func (s *Sender) Notify(r store.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= maxQueued {
		return
	}
	s.queue = append(s.queue, queuedRecord{r, s.uptime()})
	if !s.running {
		s.running = true
		go s.run()
	}
}

// run sends messages until the queue is empty; records queued during a send go into the next message.
func (s *Sender) run() {
	for {
		batch := s.nextBatch()
		if len(batch) == 0 {
			return
		}
		if err := s.send(batch); err != nil {
			s.log.Debug("failed to notify the owner of stored jobs; it will receive them from its store watch", "records", len(batch), "error", err)
		}
	}
}

// nextBatch returns the records of the next message; an empty batch ends run.
func (s *Sender) nextBatch() []queuedRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), maxRecords)
	batch := slices.Clone(s.queue[:n])
	s.queue = s.queue[n:]
	s.running = n > 0

	return batch
}

// send sends the records not older than maxAge to the owner.
func (s *Sender) send(batch []queuedRecord) error {
	owner, term := s.owner()
	if term == 0 {
		return ErrNoOwner
	}
	m := wireRequest{wireMessage: wireMessage{Term: term}}
	now := s.uptime()
	for _, d := range batch {
		if now-d.queuedAt <= maxAge {
			m.Records = append(m.Records, wireRecord(d.record))
		}
	}

	if s.backlog == nil || !s.backlog.Wanted(term) {
		return relay.Send(context.Background(), s.exchange(owner.PeerAddress), Path, sendTimeout, m, nil)
	}
	m.WantsBacklog = true
	var answer wireAnswer
	err := relay.Send(context.Background(), s.exchange(owner.PeerAddress), Path, sendTimeout, m, &answer)
	if err == nil && answer.Backlog != nil {
		s.backlog.Learn(term, *answer.Backlog, now)
	}

	return err
}
