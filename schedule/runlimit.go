package schedule

import (
	"maps"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

const (
	// runBytes is the memory of the owner for a run that has begun, and startBytes that for one which is on its way: its change for the log
	// and its call.
	runBytes   = 2 << 10
	startBytes = 32 << 10
	// runMemoryPart and startMemoryPart are the parts 1/n of the process's memory that are for runs and for starts.
	runMemoryPart   = 8
	startMemoryPart = 16
	// guaranteedPart is the part 1/n of a bound that each workspace may use whatever the others have.
	guaranteedPart = 64
)

// quota bounds a number that several workspaces share. Each may use twice as much as is free, so that one of them alone leaves a third of the
// bound, in which the next one finds room at once.
type quota struct {
	// limit is the most that all together may use; zero means no limit.
	limit, used int
	usedBy      map[fleet.WorkspaceName]int
}

func newQuota(memory int64, part, size int64) quota {
	return quota{limit: int(memory / part / size), usedBy: map[fleet.WorkspaceName]int{}}
}

// add adds n to what a workspace uses.
func (q *quota) add(ws fleet.WorkspaceName, n int) {
	q.used += n
	if q.usedBy[ws] += n; q.usedBy[ws] == 0 {
		delete(q.usedBy, ws)
	}
}

// allows reports whether a workspace may use more.
func (q *quota) allows(ws fleet.WorkspaceName) bool {
	if q.limit == 0 || q.usedBy[ws] < q.limit/guaranteedPart {
		return true
	}

	return q.usedBy[ws] < 2*(q.limit-q.used)
}

// runLimit bounds what the owner's runs take of its memory.
type runLimit struct {
	// runs has all runs, starts those that are assigned or whose start is under way.
	runs, starts quota
	// ofJob counts the runs of each job.
	ofJob map[fleet.JobID]int
	// reached reports that a task had to wait for a bound since the last placement.
	reached bool
}

func newRunLimit(memory int64) runLimit {
	return runLimit{
		runs: newQuota(memory, runMemoryPart, runBytes), starts: newQuota(memory, startMemoryPart, startBytes), ofJob: map[fleet.JobID]int{},
	}
}

// add adds n runs of a job.
func (l *runLimit) add(j *work.Job, n int) {
	l.runs.add(j.Workspace, n)
	if l.ofJob[j.ID] += n; l.ofJob[j.ID] == 0 {
		delete(l.ofJob, j.ID)
	}
}

// mayRun reports whether a job may have one more run. It may have as many as are free, so that others of its workspace find room as well.
func (l *runLimit) mayRun(j *work.Job) bool {
	ofJob := l.ofJob[j.ID]
	free := max(l.runs.limit-l.runs.used, l.runs.limit/guaranteedPart)
	if l.runs.limit > 0 && ofJob >= free || !l.runs.allows(j.Workspace) || !l.starts.allows(j.Workspace) {
		l.reached = true
		return false
	}

	return true
}

// clone returns a copy that changes apart from l.
func (l *runLimit) clone() runLimit {
	c := *l
	c.runs.usedBy, c.starts.usedBy, c.ofJob = maps.Clone(l.runs.usedBy), maps.Clone(l.starts.usedBy), maps.Clone(l.ofJob)

	return c
}

// starting reports whether the start of the run is on its way.
func (r *run) starting() bool {
	return r.phase == assigned || r.phase == sent
}

// setPhase sets the progress of the run's start.
func (s *Scheduler) setPhase(r *run, p phase) {
	before := r.starting()
	r.phase = p
	if r.entry != nil && before && !r.starting() {
		s.runLimit.starts.add(r.entry.Job.Workspace, -1)
		s.dirty = s.dirty || s.runLimit.reached
	}
}
