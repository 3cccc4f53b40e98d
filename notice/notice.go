package notice

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/relay"
	"lycheehook.example/lycheehook/store"
)

const (
	// sendTimeout bounds a message; after it the store's watch will have brought its jobs.
	sendTimeout = 400 * time.Millisecond
	// maxAge is how old a notice may be when it is sent. A job's record is removed minutes after its end, and a notice
	// that is sent after that would bring the job back.
	maxAge = time.Second
	// maxRecords bounds the records of one message.
	maxRecords = 64
	// maxWaiting bounds the notices that wait for a message that is on its way; more are left to the watch.
	maxWaiting = 1024
)

// ErrNoOwner says that this host knows of no owner.
var ErrNoOwner = merry.Sentinel("notice: no owner")

// Sender tells the owner of records that this host has stored.
type Sender struct {
	to func(address string) platform.Exchange
	// owner returns the owner as far as this host knows, and its term; zero if there is none.
	owner func() (ledger.Owner, uint64)
	// uptime is a clock that goes on while the machine is suspended.
	uptime func() time.Duration
	log    *log.Logger

	mu      sync.Mutex
	waiting []dated
	busy    bool
}

// dated is a record with the uptime at which it was stored.
type dated struct {
	record store.Record
	at     time.Duration
}

type wireMessage struct {
	Term    uint64       `cbor:"1,keyasint"`
	Records []wireRecord `cbor:"2,keyasint"`
}

type wireRecord struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
}

// NewSender returns a sender; to returns the exchange with a peer, owner the owner as far as this host knows and its term,
// and uptime is a clock that goes on while the machine is suspended.
func NewSender(
	to func(address string) platform.Exchange, owner func() (ledger.Owner, uint64), uptime func() time.Duration, l *log.Logger,
) *Sender {
	return &Sender{to: to, owner: owner, uptime: uptime, log: l}
}

// Tell has the owner told of a record that is stored. It does not wait, and a notice may be lost: the watch of the store
// brings what the owner was not told of.
func (s *Sender) Tell(r store.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) >= maxWaiting {
		return
	}
	s.waiting = append(s.waiting, dated{r, s.uptime()})
	if !s.busy {
		s.busy = true
		go s.work()
	}
}

// work sends messages until nothing waits; what comes meanwhile goes into the next one.
func (s *Sender) work() {
	for {
		batch := s.take()
		if len(batch) == 0 {
			return
		}
		if err := s.send(batch); err != nil {
			s.log.Debug("owner not told of stored jobs, its watch will bring them", "records", len(batch), "error", err)
		}
	}
}

// take returns what goes into the next message; nothing ends the work.
func (s *Sender) take() []dated {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.waiting), maxRecords)
	batch := slices.Clone(s.waiting[:n])
	s.waiting = s.waiting[n:]
	s.busy = n > 0

	return batch
}

// send tells the owner of the records that are not too old by now.
func (s *Sender) send(batch []dated) error {
	owner, term := s.owner()
	if term == 0 {
		return ErrNoOwner
	}
	m := wireMessage{Term: term}
	now := s.uptime()
	for _, d := range batch {
		if now-d.at <= maxAge {
			m.Records = append(m.Records, wireRecord(d.record))
		}
	}

	return relay.Send(context.Background(), s.to(owner.PeerAddress), Path, sendTimeout, m, nil)
}
