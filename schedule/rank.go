package schedule

import (
	"cmp"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// overdueFactor times its objective after its arrival or due time, a job is overdue and its completion no longer has any
// value.
const overdueFactor = 3

// urgency is the class of a job by its chance to meet its objective; lower values are placed first.
type urgency uint8

const (
	// lasting jobs serve users until they are cancelled.
	lasting urgency = iota
	// inTime jobs can still meet their objective.
	inTime
	// late jobs can't, but their callers still wait.
	late
	// overdue jobs run only when nothing else waits.
	overdue
)

// String returns the name of the class as it appears in logs.
func (u urgency) String() string {
	return [...]string{"Lasting", "InTime", "Late", "Overdue"}[u]
}

// rank is the placement order of the jobs of a pool.
type rank struct {
	urgency  urgency
	priority int
	// begun steps belong to jobs of which a task has been assigned before; it is set in pools where tasks differ in size.
	begun bool
	// latestStart is the latest time at which the remaining work may begin for the job to meet its objective.
	latestStart time.Time
	// remaining is the estimated duration of the longest chain of steps that are not done.
	remaining time.Duration
	// reserveFrom is when room may be reserved for the job's tasks.
	reserveFrom time.Time
	id          fleet.JobID
}

// compare orders ranks; the lower one is placed first.
func (r rank) compare(o rank) int {
	return cmp.Or(
		cmp.Compare(r.urgency, o.urgency), cmp.Compare(r.priority, o.priority), compareBegun(r.begun, o.begun), r.latestStart.Compare(o.latestStart), cmp.Compare(r.id, o.id),
	)
}

// compareBegun orders steps of begun jobs first: while they wait, what they have done is of no use.
func compareBegun(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// rank returns the rank of an occurrence of a job.
func (s *Scheduler) rank(j *job, q *work.Queue, occurrence int, now time.Time) rank {
	r := rank{urgency: lasting, priority: q.Priority, id: j.entry.Job.ID}
	if j.entry.Job.Lasting() {
		return r
	}
	d := deadlinesOf(j, q, occurrence)
	r.latestStart, r.remaining = d.due.Add(-d.remaining), d.remaining
	r.reserveFrom = r.latestStart.Add(-d.lead)
	switch {
	case !now.After(r.latestStart):
		r.urgency = inTime
	case !now.After(d.expiry.Add(-d.remaining)):
		r.urgency = late
	default:
		r.urgency = overdue
	}

	return r
}

// deadlines are the times by which an occurrence of a job must end.
type deadlines struct {
	// due is the end of the objective, expiry the time after which the end has no more value.
	due, expiry time.Time
	// remaining is the estimated duration of the longest chain of steps that are not done.
	remaining time.Duration
	// lead is how long before its latest start room may be reserved for a task that finds none.
	lead time.Duration
}

// deadlinesOf returns the deadlines of an occurrence of a job that is not lasting.
func deadlinesOf(j *job, q *work.Queue, occurrence int) deadlines {
	from := j.knownSince
	if due := j.entry.Job.Due(occurrence); due.After(from) {
		from = due
	}
	total, remaining := j.criticalPath(occurrence)
	aim := objective(q, total)

	return deadlines{
		due: from.Add(aim), expiry: from.Add(overdueFactor * aim), remaining: remaining,
		lead: max(0, time.Duration(reservedSlack*float64(aim-total))),
	}
}

// pathLength is a critical path as it was when a number of the job's tasks were done.
type pathLength struct {
	known                 bool
	occurrence, tasksDone int
	total, remaining      time.Duration
}

// criticalPath returns the same as criticalPath for the job, which is determined again only once one of its tasks is done.
func (j *job) criticalPath(occurrence int) (total, remaining time.Duration) {
	if p := j.path; !p.known || p.occurrence != occurrence || p.tasksDone != j.entry.TasksDone() {
		total, remaining = criticalPath(j, occurrence)
		j.path = pathLength{true, occurrence, j.entry.TasksDone(), total, remaining}
	}

	return j.path.total, j.path.remaining
}

// leastSize returns the least of each resource that a task of the job uses.
func (j *job) leastSize() fleet.Resources {
	if j.least == nil {
		least := j.entry.Job.Steps[0].Size
		for _, step := range j.entry.Job.Steps[1:] {
			least = least.Min(step.Size)
		}
		j.least = &least
	}

	return *j.least
}

// objective returns the target duration of a job whose longest chain of steps takes total.
func objective(q *work.Queue, total time.Duration) time.Duration {
	return time.Duration(float64(total)*q.SlackFactor) + q.Slack
}

// criticalPath returns the estimated duration of an occurrence's longest chain of steps, and that of its longest chain
// of steps that are not done.
func criticalPath(j *job, occurrence int) (total, remaining time.Duration) {
	steps := j.entry.Job.Steps
	ends, lefts := make([]time.Duration, len(steps)), make([]time.Duration, len(steps))
	for i, step := range steps {
		var before, leftBefore time.Duration
		for _, a := range step.After {
			before, leftBefore = max(before, ends[a]), max(leftBefore, lefts[a])
		}
		ends[i] = before + step.Estimate
		lefts[i] = leftBefore
		if !j.entry.StepDone(ledger.StepKey{Occurrence: occurrence, Step: i}) {
			lefts[i] += step.Estimate
		}
		total, remaining = max(total, ends[i]), max(remaining, lefts[i])
	}

	return total, remaining
}
