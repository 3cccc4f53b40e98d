package allotment

import "time"

// Timing has the durations of the protocol; all entry hosts must use the same.
type Timing struct {
	// LeaseTTL is how long the store keeps a member key without a renewal.
	LeaseTTL time.Duration
	// FreshFor is how long a peer's word about the licence counts.
	FreshFor time.Duration
	// MaxRequestTime is the longest that admitted work can run.
	MaxRequestTime time.Duration
	// Margin covers the drift of clocks and the way of a request to its endpoint.
	Margin time.Duration
	// OutageLimit is the longest for which processes that are cut off from the store serve on each other's word.
	OutageLimit time.Duration
	// Tick is the time between rounds of taking, giving and asking.
	Tick time.Duration
	// RefreshEvery is the time between readings of all records of a kind.
	RefreshEvery time.Duration
	// IdleAfter is how long a part must be much too large before it is given back.
	IdleAfter time.Duration
	// CallTimeout bounds one call of the store or of a peer.
	CallTimeout time.Duration
	// WriteRate and WriteBurst bound the writes of one holder, per second and at once.
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

// ReclaimAfter returns how long a member key must be absent before the parts of its holder may be used by others.
func (t Timing) ReclaimAfter() time.Duration {
	return t.FreshFor + t.LeaseTTL + t.MaxRequestTime + t.Margin
}
