package schedule

import (
	"cmp"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// lateFactor times the objective is the last moment at which a job is worth something.
const lateFactor = 3

// standing is how much may still come of a job.
type standing uint8

const (
	// lasting jobs serve users of their own all the time.
	lasting standing = iota
	// inTime jobs can still meet their objective.
	inTime
	// late jobs can't, but their callers still wait.
	late
	// overdue jobs are finished when nothing else waits.
	overdue
)

// String returns the standing's name for logs.
func (s standing) String() string {
	return [...]string{"Lasting", "InTime", "Late", "Overdue"}[s]
}

// rank orders the jobs of a pool.
type rank struct {
	standing standing
	priority int
	// start is the latest time at which the job's remaining work has to begin.
	start time.Time
	id    fleet.JobID
}

// alike reports whether two jobs stand alike, so that only their time and their workspaces order them.
func (r rank) alike(o rank) bool {
	return r.standing == o.standing && r.priority == o.priority
}

func (r rank) compare(o rank) int {
	return cmp.Or(
		cmp.Compare(r.standing, o.standing), cmp.Compare(r.priority, o.priority), r.start.Compare(o.start), cmp.Compare(r.id, o.id),
	)
}

// rank returns where an occurrence of a job stands.
func (s *Scheduler) rank(j *job, q *work.Queue, occurrence int, now time.Time) rank {
	r := rank{standing: lasting, priority: q.Priority, id: j.entry.Job.ID}
	if j.entry.Job.Lasting() {
		return r
	}
	from := j.seen
	if due := j.entry.Job.Due(occurrence); due.After(from) {
		from = due
	}
	whole, left := chain(j, occurrence)
	objective := time.Duration(float64(whole)*q.SlackFactor) + q.Slack
	r.start = from.Add(objective - left)
	switch {
	case !now.After(r.start):
		r.standing = inTime
	case !now.After(from.Add(lateFactor*objective - left)):
		r.standing = late
	default:
		r.standing = overdue
	}

	return r
}

// chain returns the longest chain of estimated work of an occurrence, and the part of it that is not done.
func chain(j *job, occurrence int) (whole, left time.Duration) {
	steps := j.entry.Job.Steps
	ends, lefts := make([]time.Duration, len(steps)), make([]time.Duration, len(steps))
	for i, step := range steps {
		var before, leftBefore time.Duration
		for _, a := range step.After {
			before, leftBefore = max(before, ends[a]), max(leftBefore, lefts[a])
		}
		ends[i] = before + step.Estimate
		lefts[i] = leftBefore
		if !j.entry.StepDone(ledger.StepOf{Occurrence: occurrence, Step: i}) {
			lefts[i] += step.Estimate
		}
		whole, left = max(whole, ends[i]), max(left, lefts[i])
	}

	return whole, left
}
