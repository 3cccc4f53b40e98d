package endpoint

import "time"

const (
	// outlierWindow is the length of each of the two windows over which failures are counted.
	outlierWindow = 10 * time.Second
	// outlierSamples is the minimum number of exchanges before an endpoint can be an outlier.
	outlierSamples = 8
	// outlierMargin is the minimum difference between an outlier's failure rate and that of the rest of its pool.
	outlierMargin = 0.3
	// quarantineDivisor is the divisor that bounds quarantine: at most 1/quarantineDivisor of a pool.
	quarantineDivisor = 3
	// firstQuarantine is the length of the first quarantine; each further one doubles, up to longestQuarantine.
	firstQuarantine   = time.Second
	longestQuarantine = time.Minute
	// trialDelay is how much later than idempotent work other work may try a quarantined endpoint.
	trialDelay = 10 * time.Second
	// maxFailedProbes is the number of consecutive failed probes after which an endpoint gets no new work.
	maxFailedProbes = 2
)

type resultCounts struct {
	total, failed int
}

// health has the recent results of an endpoint.
type health struct {
	current, last resultCounts
	since         time.Time
	// quarantinedUntil is the time until which the endpoint gets no new work; zero outside a quarantine.
	quarantinedUntil time.Time
	ejections        int
	failedProbes     int
	unreachable      bool
}

func (h *health) record(failed bool, now time.Time) {
	h.rotate(now)
	h.current.total++
	if failed {
		h.current.failed++
	}
}

func (h *health) rotate(now time.Time) {
	switch age := now.Sub(h.since); {
	case age >= 2*outlierWindow:
		h.current, h.last, h.since = resultCounts{}, resultCounts{}, now
	case age >= outlierWindow:
		h.last, h.current, h.since = h.current, resultCounts{}, now
	}
}

func (h *health) counts() resultCounts {
	return resultCounts{total: h.current.total + h.last.total, failed: h.current.failed + h.last.failed}
}

func (h *health) quarantine(now time.Time) {
	if now.Before(h.quarantinedUntil) {
		return
	}
	length := min(firstQuarantine<<min(h.ejections, 10), longestQuarantine)
	h.quarantinedUntil = now.Add(length)
	h.ejections++
}

// recordSuccess ends a quarantine once its time has passed; a success before that does not end it.
func (h *health) recordSuccess(now time.Time) {
	if h.quarantinedUntil.IsZero() {
		return
	}
	if now.After(h.quarantinedUntil) {
		h.quarantinedUntil = time.Time{}
		h.current, h.last = resultCounts{}, resultCounts{}
	}
}

// allows reports whether the endpoint is not quarantined, or is due for a trial with one request at a time.
func (h *health) allows(now time.Time, idempotent bool, used int64) bool {
	if h.quarantinedUntil.IsZero() {
		return true
	}
	trial := h.quarantinedUntil
	if !idempotent {
		trial = trial.Add(trialDelay)
	}

	return used == 0 && now.After(trial)
}

// isOutlier reports whether the failure rate of st is far enough above that of the rest of its pool for a quarantine.
func isOutlier(st *endpointState, pool []*endpointState, now time.Time) bool {
	own := st.health.counts()
	if own.total < outlierSamples {
		return false
	}

	var rest resultCounts
	quarantined := 1
	for _, other := range pool {
		if other == st {
			continue
		}
		if !other.health.quarantinedUntil.IsZero() {
			quarantined++
			continue
		}
		other.health.rotate(now)
		c := other.health.counts()
		rest.total += c.total
		rest.failed += c.failed
	}

	return quarantined*quarantineDivisor <= len(pool) && own.rate() >= rest.rate()+outlierMargin
}

func (t resultCounts) rate() float64 {
	if t.total == 0 {
		return 0
	}

	return float64(t.failed) / float64(t.total)
}
