package placement

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
)

const (
	// minFailures is the number of failures from which a worker may be quarantined.
	minFailures = 4
	// failureFactor is how many times the failure rate of the rest of its pool a worker's rate must exceed.
	failureFactor = 3
	// minFailureRate is the failure rate from which a worker may be quarantined.
	minFailureRate = 0.5
	// firstProbeWait is the time from quarantine to the first probe; it doubles with each failed probe up to maxProbeWait.
	firstProbeWait = time.Minute
	maxProbeWait   = time.Hour
	// maxTaskCount bounds the task counts of a worker: once it is reached, they are halved, so that old tasks count less.
	maxTaskCount = 64
)

// taskStats counts the ended tasks of a worker by outcome, with its quarantine state.
type taskStats struct {
	pool        fleet.PoolName
	done        float64
	failed      float64
	quarantined bool
	probeAt     time.Time
	probeWait   time.Duration
}

// Health tracks the outcomes of tasks on each worker. It is immutable.
type Health struct {
	workers fleet.Table[fleet.HostName, taskStats]
}

// With returns the health with the outcome of a task that ended on a host.
func (h Health) With(host fleet.HostName, pool fleet.PoolName, failed bool, now time.Time) Health {
	r, _ := h.workers.Get(host)
	r.pool = pool
	if r.done+r.failed >= maxTaskCount {
		r.done, r.failed = r.done/2, r.failed/2
	}
	switch {
	case !failed && r.quarantined:
		r = taskStats{pool: pool, done: 1}
	case !failed:
		r.done++
	case r.quarantined:
		r.failed++
		r.probeWait = min(2*r.probeWait, maxProbeWait)
		r.probeAt = now.Add(r.probeWait)
	default:
		r.failed++
		if h.shouldQuarantine(host, r) {
			r.quarantined, r.probeWait, r.probeAt = true, firstProbeWait, now.Add(firstProbeWait)
		}
	}
	h.workers = h.workers.With(host, r)

	return h
}

// shouldQuarantine reports whether a worker's failure rate is much higher than that of the rest of its pool. Jobs that
// fail on every worker don't cause a quarantine.
func (h Health) shouldQuarantine(host fleet.HostName, r taskStats) bool {
	rate := r.failed / (r.done + r.failed)
	if r.failed < minFailures || rate < minFailureRate {
		return false
	}
	var done, failed float64
	for name, o := range h.workers.All() {
		if name != host && o.pool == r.pool && !o.quarantined {
			done, failed = done+o.done, failed+o.failed
		}
	}

	return done+failed > 0 && rate > failureFactor*failed/(done+failed)
}

// Annotate returns the worker with Quarantined and Probing set from its health.
func (h Health) Annotate(w Worker, now time.Time) Worker {
	r, _ := h.workers.Get(w.Name)
	w.Quarantined = r.quarantined
	w.Probing = r.quarantined && !now.Before(r.probeAt)

	return w
}
