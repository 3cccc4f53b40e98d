package placement

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
)

const (
	// minFailures is the number of failures before a worker may be quarantined.
	minFailures = 4
	// failureFactor is how many times the rate of the rest of its pool a worker's failure rate must be.
	failureFactor = 3
	// maxFailureRate is a rate below which no worker is quarantined.
	maxFailureRate = 0.5
	// probeAfter is when a quarantined worker gets its first probe; the wait doubles up to maxProbeWait.
	probeAfter   = time.Minute
	maxProbeWait = time.Hour
	// keptTasks bounds the memory of a worker: beyond it, old tasks count half.
	keptTasks = 64
)

// record is how a worker's tasks ended.
type record struct {
	pool        fleet.PoolName
	done        float64
	failed      float64
	quarantined bool
	probeAt     time.Time
	wait        time.Duration
}

// Health is how the tasks of each worker ended; it is an immutable value.
type Health struct {
	workers fleet.Table[fleet.HostName, record]
}

// With returns the health after a task on a host ended.
func (h Health) With(host fleet.HostName, pool fleet.PoolName, failed bool, now time.Time) Health {
	r, _ := h.workers.Get(host)
	r.pool = pool
	if r.done+r.failed >= keptTasks {
		r.done, r.failed = r.done/2, r.failed/2
	}
	switch {
	case !failed && r.quarantined:
		r = record{pool: pool, done: 1}
	case !failed:
		r.done++
	case r.quarantined:
		r.failed++
		r.wait = min(2*r.wait, maxProbeWait)
		r.probeAt = now.Add(r.wait)
	default:
		r.failed++
		if h.worse(host, r) {
			r.quarantined, r.wait, r.probeAt = true, probeAfter, now.Add(probeAfter)
		}
	}
	h.workers = h.workers.With(host, r)

	return h
}

// worse reports whether a worker fails much more than the rest of its pool, so that bad jobs don't blame workers.
func (h Health) worse(host fleet.HostName, r record) bool {
	rate := r.failed / (r.done + r.failed)
	if r.failed < minFailures || rate < maxFailureRate {
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

// Judge returns the worker as quarantined or not, and as open to a probe.
func (h Health) Judge(w Worker, now time.Time) Worker {
	r, _ := h.workers.Get(w.Name)
	w.Quarantined = r.quarantined
	w.Probing = r.quarantined && !now.Before(r.probeAt)

	return w
}
