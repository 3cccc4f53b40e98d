package backlog

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

const (
	// refusalMargin times the longest wait with which a job still has value is what its expected wait must exceed to be refused, since
	// declared times are inexact, other workspaces may stop and hosts may be on their way to the pool.
	refusalMargin = 2
	// minRetry is the least time until a refused caller should try again.
	minRetry = time.Second
)

// Refusal is a job that can't end in time to be of value.
type Refusal struct {
	// Wait is the expected wait of the job, and Limit the longest wait with which it would have been accepted.
	Wait, Limit time.Duration
}

// RetryAfter returns the time after which there may be room, plus jitter of up to half of it; random is in [0, 1).
func (r Refusal) RetryAfter(random float64) time.Duration {
	after := max(minRetry, r.Wait-r.Limit)

	return after + time.Duration(random*float64(after)/2)
}

// Decide reports whether a new job of a queue surely can't end within three times its target. Lasting and timed jobs, and those without
// declared times or a target, are never refused.
func (d Digest) Decide(j work.Job, q work.Queue) (Refusal, bool) {
	if j.Lasting() || j.Repeats != 0 || !j.FirstStart.IsZero() {
		return Refusal{}, false
	}
	length := chain(j.Steps)
	target := q.Target(length)
	if length <= 0 || target <= 0 {
		return Refusal{}, false
	}
	limit := refusalMargin * max(0, work.ExpiryFactor*target-length)
	var wait time.Duration
	for _, e := range d.Entries {
		if e.Pool != q.Pool || e.Workspace != j.Workspace || e.Priority > q.Priority {
			continue
		}
		w := workOf(j, e.Capacity)
		for _, l := range e.Levels {
			if l.Work <= w {
				wait = max(wait, l.Wait())
			}
		}
	}

	return Refusal{Wait: wait, Limit: limit}, wait > limit
}

// chain returns the declared duration of the longest chain of steps.
func chain(steps []work.Step) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(steps))
	for i, s := range steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}

	return longest
}

// workOf returns the declared work of a job, in seconds of a whole pool.
func workOf(j work.Job, capacity fleet.Resources) float64 {
	sum := 0.0
	for _, s := range j.Steps {
		sum += s.Reserved().DominantShare(capacity) * float64(s.Count) * s.Estimate.Seconds()
	}

	return sum
}
