package session

import "time"

const (
	// maxClockDrift is the largest relative rate error of a worker's clock.
	maxClockDrift = 0.02
	// leaseEndMargin is added to the end of a lease for the time that a worker takes to kill its runs.
	leaseEndMargin = 300 * time.Millisecond
)

// LeaseBound returns how long a lease may last on this host's clock, given the drift of a worker's clock.
func LeaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-maxClockDrift)) + leaseEndMargin
}

// Lease returns the end of a new lease on the worker's clock, or zero if that clock is not known.
func (s *Session) Lease(now time.Time) time.Duration {
	if s.answeredAt.IsZero() {
		return 0
	}
	until := s.clock + now.Sub(s.askedAt) + s.maxLease
	low := s.clock + time.Duration(float64(now.Sub(s.answeredAt))*(1-maxClockDrift))
	s.extend(now.Add(LeaseBound(until - low)))

	return until
}

// HoldLeases takes into account that somebody may have given the worker the longest lease now.
func (s *Session) HoldLeases(now time.Time) {
	s.extend(now.Add(LeaseBound(s.maxLease)))
}

// EndLeases notes that the worker has ended, and its leases with it.
func (s *Session) EndLeases(now time.Time) {
	s.leasesEnd = now
}

// LeasesEnded reports whether every lease given to the worker has surely ended.
func (s *Session) LeasesEnded(now time.Time) bool {
	return now.After(s.leasesEnd)
}

func (s *Session) extend(end time.Time) {
	if end.After(s.leasesEnd) {
		s.leasesEnd = end
	}
}
