package endpoint

import "time"

const (
	// outlierWindow is the length of each of the two windows over which failures are counted.
	outlierWindow = 10 * time.Second
	// outlierSamples is the number of exchanges below which an endpoint is not judged.
	outlierSamples = 8
	// outlierMargin is how far an endpoint's failure rate must be above that of the rest of its pool.
	outlierMargin = 0.3
	// outlierFraction bounds the quarantined part of a pool: one in so many.
	outlierFraction = 3
	// firstQuarantine doubles with each further failure up to longestQuarantine.
	firstQuarantine   = time.Second
	longestQuarantine = time.Minute
	// trialDelay is how much later than idempotent work other work may try a quarantined endpoint.
	trialDelay = 10 * time.Second
	// probeFailures is the number of failed probes after which an endpoint gets nothing new.
	probeFailures = 2
)

type tally struct {
	total, failed int
}

// health is how an endpoint did lately.
type health struct {
	current, last tally
	since         time.Time
	// quarantined is the time until which the endpoint gets nothing new; zero if it is not in quarantine.
	quarantined time.Time
	ejections   int
	probesLost  int
	unreachable bool
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
		h.current, h.last, h.since = tally{}, tally{}, now
	case age >= outlierWindow:
		h.last, h.current, h.since = h.current, tally{}, now
	}
}

func (h *health) counts() tally {
	return tally{total: h.current.total + h.last.total, failed: h.current.failed + h.last.failed}
}

func (h *health) quarantine(now time.Time) {
	if now.Before(h.quarantined) {
		return
	}
	length := min(firstQuarantine<<min(h.ejections, 10), longestQuarantine)
	h.quarantined = now.Add(length)
	h.ejections++
}

// succeed ends a quarantine whose trial went well; work begun before the quarantine does not end it.
func (h *health) succeed(now time.Time) {
	if h.quarantined.IsZero() {
		return
	}
	if now.After(h.quarantined) {
		h.quarantined = time.Time{}
		h.current, h.last = tally{}, tally{}
	}
}

// allows reports whether the endpoint is out of quarantine, or is due for a trial with one request at a time.
func (h *health) allows(now time.Time, idempotent bool, used int64) bool {
	if h.quarantined.IsZero() {
		return true
	}
	trial := h.quarantined
	if !idempotent {
		trial = trial.Add(trialDelay)
	}

	return used == 0 && now.After(trial)
}

// isOutlier reports whether st fails so much more than the rest of its pool that it should be quarantined.
func isOutlier(st *state, pool []*state, now time.Time) bool {
	own := st.health.counts()
	if own.total < outlierSamples {
		return false
	}

	var rest tally
	quarantined := 1
	for _, other := range pool {
		if other == st {
			continue
		}
		if !other.health.quarantined.IsZero() {
			quarantined++
			continue
		}
		other.health.rotate(now)
		c := other.health.counts()
		rest.total += c.total
		rest.failed += c.failed
	}

	return quarantined*outlierFraction <= len(pool) && own.rate() >= rest.rate()+outlierMargin
}

func (t tally) rate() float64 {
	if t.total == 0 {
		return 0
	}

	return float64(t.failed) / float64(t.total)
}
