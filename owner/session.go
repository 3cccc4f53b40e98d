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
	// leaseTime is the lease's time to live, for which the others wait if a process dies; the store's minimum is a second.
	leaseTime = 2 * time.Second
	// renewInterval allows for several lost renewals within leaseTime.
	renewInterval = 400 * time.Millisecond
	// leaseMargin is how long before its expiry a lease is considered invalid.
	leaseMargin = 150 * time.Millisecond
	retryPause  = 100 * time.Millisecond
	// contentionPause is the pause before another try to acquire a term.
	contentionPause = 50 * time.Millisecond
	releaseTimeout  = 500 * time.Millisecond
)

// Session keeps a process's lease in the store, with the record of the entry host bound to it.
type Session struct {
	client *store.Client
	host   ledger.Host
	log    *log.Logger
	// uptime is a monotonic clock that includes time in suspend.
	uptime func() time.Duration

	mu sync.Mutex
	id store.LeaseID
	// validUntil is the uptime at which the lease expires, less leaseMargin.
	validUntil time.Duration
	// acquired is the uptime at which the lease was acquired.
	acquired time.Duration
	// wake ends the pause between two renewals early.
	wake chan struct{}
}

// Option configures a Session.
type Option func(*Session)

// WithUptime replaces the clock by which the lease expires.
func WithUptime(uptime func() time.Duration) Option {
	return func(s *Session) { s.uptime = uptime }
}

// NewSession returns a Session; Run acquires the lease.
func NewSession(c *store.Client, host ledger.Host, l *log.Logger, options ...Option) *Session {
	s := &Session{client: c, host: host, log: l, uptime: Uptime, wake: make(chan struct{}, 1)}
	for _, o := range options {
		o(s)
	}

	return s
}

// Uptime returns the time since the machine booted, including time in suspend.
func Uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39. Without it, every lease counts as expired.
		return 1<<63 - 1
	}

	return time.Duration(ts.Nano())
}

// Lease returns the ID of the lease, and whether it is valid now.
func (s *Session) Lease() (store.LeaseID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.id, s.id != 0 && s.uptime() < s.validUntil
}

// Remaining returns how long the lease stays valid without a renewal.
func (s *Session) Remaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == 0 {
		return 0
	}

	return max(0, s.validUntil-s.uptime())
}

// Run acquires and renews the lease until the context ends.
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		id, valid := s.Lease()
		if id == 0 {
			if err := s.acquire(ctx); err != nil {
				s.log.Warn("failed to acquire a lease, retrying", "error", err)
				pause.For(ctx, retryPause)
			}

			continue
		}
		go s.renew(ctx, id)
		s.awaitRenewal(ctx, valid)
	}
}

// awaitRenewal waits until the next renewal is due, or the lease is known to have expired. A lease that is no longer valid is
// renewed more often: the process can't do anything else until the store responds.
func (s *Session) awaitRenewal(ctx context.Context, valid bool) {
	interval := renewInterval
	if !valid {
		interval = retryPause
	}
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-t.C:
	}
}

// Leave revokes the lease, so that the others need not wait for its expiry.
func (s *Session) Leave(ctx context.Context) {
	s.mu.Lock()
	id := s.id
	s.validUntil = 0
	s.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := s.client.Revoke(ctx, id); err != nil {
		s.log.Warn("failed to revoke the lease, leaving it to expire", "error", err)
	}
}

func (s *Session) acquire(ctx context.Context) error {
	requested := s.uptime()
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
	s.extend(lease.ID, requested)
	s.mu.Lock()
	s.acquired = requested
	s.mu.Unlock()
	s.log.Info("lease acquired", "lease", lease.ID)

	return nil
}

func (s *Session) extend(id store.LeaseID, requested time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != 0 && s.id != id {
		return
	}
	s.id = id
	s.validUntil = max(s.validUntil, requested+leaseTime-leaseMargin)
}

func (s *Session) renew(ctx context.Context, id store.LeaseID) {
	requested := s.uptime()
	err := s.client.KeepAlive(ctx, id)
	switch {
	case err == nil:
		s.extend(id, requested)
	case errors.Is(err, store.ErrLeaseLapsed):
		s.expired(id)
	case ctx.Err() == nil:
		s.log.Debug("failed to renew the lease", "error", err)
	}
}

// expired notes that the store no longer has a lease, so that a new one is acquired at once. One that the store has dropped right
// after it was granted is not replaced before the next renewal, so that a store that keeps none isn't called all the time.
func (s *Session) expired(id store.LeaseID) {
	s.mu.Lock()
	current := s.id == id
	if current {
		s.id, s.validUntil = 0, 0
	}
	young := s.uptime()-s.acquired < renewInterval
	s.mu.Unlock()
	if !current {
		return
	}
	s.log.Warn("lease expired", "lease", id)
	if young {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
