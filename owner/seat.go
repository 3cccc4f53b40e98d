package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sys/unix"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/store"
)

const (
	// leaseTime is how long the others wait for a process that died; the store allows no less than a second.
	leaseTime = 2 * time.Second
	// renewInterval leaves room for several lost renewals in a lease.
	renewInterval = 400 * time.Millisecond
	// leaseMargin is how long before its end a lease is no longer relied upon.
	leaseMargin = 150 * time.Millisecond
	retryPause  = 100 * time.Millisecond
	// contestPause is the pause after another process was quicker.
	contestPause = 50 * time.Millisecond
	leaveTimeout = 500 * time.Millisecond
)

// Seat is a process's lease in the store, with the record of the entry host that is bound to it.
type Seat struct {
	client *store.Client
	host   ledger.Host
	log    *log.Logger
	// uptime is a clock that goes on while the machine is suspended.
	uptime func() time.Duration

	mu sync.Mutex
	id store.LeaseID
	// until is the uptime to which the store vouches for the lease.
	until time.Duration
}

// Option changes a new seat.
type Option func(*Seat)

// WithUptime replaces the clock that goes on while the machine is suspended.
func WithUptime(uptime func() time.Duration) Option {
	return func(s *Seat) { s.uptime = uptime }
}

// NewSeat returns a seat without a lease.
func NewSeat(c *store.Client, host ledger.Host, l *log.Logger, options ...Option) *Seat {
	s := &Seat{client: c, host: host, log: l, uptime: Uptime}
	for _, o := range options {
		o(s)
	}

	return s
}

// Uptime returns the time since the machine started, with the time in which it was suspended.
func Uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39; without it no lease may be relied upon.
		return 1<<63 - 1
	}

	return time.Duration(ts.Nano())
}

// Lease returns the lease, and whether the store vouches for it now.
func (s *Seat) Lease() (store.LeaseID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.id, s.id != 0 && s.uptime() < s.until
}

// Remaining returns how long the store vouches for the lease from now on.
func (s *Seat) Remaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == 0 {
		return 0
	}

	return max(0, s.until-s.uptime())
}

// Run keeps a lease until the context ends.
func (s *Seat) Run(ctx context.Context) {
	for ctx.Err() == nil {
		id, _ := s.Lease()
		if id == 0 {
			if err := s.open(ctx); err != nil {
				s.log.Warn("no lease in the store", "error", err)
				pause.For(ctx, retryPause)
			}

			continue
		}
		go s.renew(ctx, id)
		pause.For(ctx, renewInterval)
	}
}

// Leave ends the lease, so that the others need not wait for it.
func (s *Seat) Leave(ctx context.Context) {
	s.mu.Lock()
	id := s.id
	s.until = 0
	s.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := s.client.Revoke(ctx, id); err != nil {
		s.log.Warn("lease not ended, it will run out", "error", err)
	}
}

func (s *Seat) open(ctx context.Context) error {
	asked := s.uptime()
	lease, err := s.client.Grant(ctx, leaseTime)
	if err != nil {
		return err
	}
	value, err := ledger.Encode(s.host)
	if err != nil {
		return err
	}
	_, err = s.client.Commit(ctx, store.Txn{Puts: []store.Put{{
		Key: ledger.HostPrefix + string(s.host.Name), Value: value, Lease: lease.ID,
	}}})
	if err != nil {
		return err
	}
	s.vouch(lease.ID, asked)
	s.log.Info("lease opened", "lease", lease.ID)

	return nil
}

func (s *Seat) vouch(id store.LeaseID, asked time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != 0 && s.id != id {
		return
	}
	s.id = id
	s.until = max(s.until, asked+leaseTime-leaseMargin)
}

func (s *Seat) renew(ctx context.Context, id store.LeaseID) {
	asked := s.uptime()
	err := s.client.KeepAlive(ctx, id)
	switch {
	case err == nil:
		s.vouch(id, asked)
	case errors.Is(err, store.ErrLeaseLapsed):
		s.mu.Lock()
		if s.id == id {
			s.id, s.until = 0, 0
		}
		s.mu.Unlock()
		s.log.Warn("lease has lapsed", "lease", id)
	case ctx.Err() == nil:
		s.log.Debug("renewal failed", "error", err)
	}
}
