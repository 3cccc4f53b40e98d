package allotment

import "time"

// Timing has the durations of the protocol; all entry hosts must use the same.
type Timing struct {
	// LeaseTTL is how long the store keeps a member key without a renewal.
	LeaseTTL time.Duration
	// FreshFor is how long a peer's confirmation of the lease is valid.
	FreshFor time.Duration
	// MaxRequestTime is the longest time for which admitted work can run.
	MaxRequestTime time.Duration
	// Margin covers clock drift and the transit time of a request to its endpoint.
	Margin time.Duration
	// OutageLimit is the longest time for which processes without the store keep serving on each
	// other's confirmations.
	OutageLimit time.Duration
	// Tick is the interval between rounds of the protocol.
	Tick time.Duration
	// RefreshEvery is the interval between listings of all records of a kind.
	RefreshEvery time.Duration
	// IdleAfter is how long an allocation must be much too large before it is released.
	IdleAfter time.Duration
	// CallTimeout bounds one call to the store or to a peer.
	CallTimeout time.Duration
	// WriteRate, in writes per second, and WriteBurst limit the writes of one holder.
	WriteRate  float64
	WriteBurst int
}

// DefaultTiming returns the durations for one region.
func DefaultTiming() Timing {
	return Timing{
		LeaseTTL:       5 * time.Second,
		FreshFor:       3 * time.Second,
		MaxRequestTime: 30 * time.Second,
		Margin:         2 * time.Second,
		OutageLimit:    time.Hour,
		Tick:           250 * time.Millisecond,
		RefreshEvery:   time.Second,
		IdleAfter:      10 * time.Second,
		CallTimeout:    time.Second,
		WriteRate:      8,
		WriteBurst:     16,
	}
}

// ReclaimAfter returns how long a member key must be absent before the allocations of its holder
// may be reclaimed.
func (t Timing) ReclaimAfter() time.Duration {
	return t.FreshFor + t.LeaseTTL + t.MaxRequestTime + t.Margin
}
