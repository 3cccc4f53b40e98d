package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/lookahead"
	"lycheehook.example/lycheehook/work"
)

// Errors of Explain.
var (
	// ErrUnknownQueue and ErrUnknownWorkspace mean that the configuration in force lacks the queue or workspace.
	ErrUnknownQueue     = merry.Sentinel("no such queue in the configuration in force")
	ErrUnknownWorkspace = merry.Sentinel("no such workspace in the configuration in force")
	// ErrNoConfiguration means that the owner has not read a configuration yet.
	ErrNoConfiguration = merry.Sentinel("the owner has not read the configuration yet")
	// ErrTooManyTasks means that a trial of the job would hold up the scheduler.
	ErrTooManyTasks = merry.Sentinel("more than 2000 tasks would be ready at once")
)

const (
	// maxTrialTasks and maxTrialSteps bound the time for which a trial holds up the scheduler: the tasks of the job, and the steps
	// before it that are tried first.
	maxTrialTasks = 2000
	maxTrialSteps = 200
	// maxListed bounds the workers of a step and the reservations that an explanation lists.
	maxListed = 5
)

// Explanation is where the ready steps of a job would go now, and why.
type Explanation struct {
	Term uint64
	// Confirmed reports that the store still vouches for the term.
	Confirmed bool
	// PlacedBefore is the time since the last placement; it is negative if this owner has made none.
	PlacedBefore time.Duration
	Pool         fleet.PoolName
	// DueIn is the time until the job's first occurrence is due. Until then it has no ready steps.
	DueIn            time.Duration
	Workspace        fleet.WorkspaceName
	WorkspaceInUse   fleet.Resources
	WorkspaceLimit   fleet.Resources
	WorkspaceAtLimit bool
	Steps            []StepExplanation
	// Reservations lists the first of the pool's reservations; ReservationCount counts all.
	Reservations     []ReservedRoom
	ReservationCount int
}

// StepExplanation is what would become of one step.
type StepExplanation struct {
	Step, Tasks, Starting int
	// Before counts the waiting steps that come before it in the order of placement.
	Before int
	// Workers lists the first workers on which tasks would start.
	Workers []WorkerRoom
	// Reason is why the remaining tasks would wait, and Words the same with the number of workers for each reason.
	Reason WaitReason
	Words  string
}

// WorkerRoom is a worker with the number of tasks that would start there, and the room that it has without them.
type WorkerRoom struct {
	Worker work.WorkerID
	Pool   fleet.PoolName
	Zone   fleet.ZoneName
	Free   fleet.Resources
	Tasks  int
}

// ReservedRoom is room on a worker that is reserved for a step, or for lasting tasks if Job is empty.
type ReservedRoom struct {
	Worker work.WorkerID
	Room   fleet.Resources
	Job    fleet.JobID
	Step   int
	In     time.Duration
}

// Explain returns where the ready steps of a job that is not submitted would go now. It makes the placement on a copy and changes
// nothing.
func (s *Scheduler) Explain(j work.Job, now time.Time) (Explanation, error) {
	q, known := s.queues[j.Queue]
	_, knownWorkspace := s.workspaces[j.Workspace]
	switch {
	case !s.configured:
		return Explanation{}, ErrNoConfiguration
	case !known:
		return Explanation{}, merry.Prependf(ErrUnknownQueue, "%q", j.Queue)
	case j.Workspace != "" && !knownWorkspace:
		return Explanation{}, merry.Prependf(ErrUnknownWorkspace, "%q", j.Workspace)
	case readyTasks(&j) > maxTrialTasks:
		return Explanation{}, ErrTooManyTasks
	}
	j.Pool, j.MaxAttempts, j.Submitted = q.Pool, q.MaxAttempts, now
	x := Explanation{
		Term: s.term, PlacedBefore: -1, Pool: q.Pool, Workspace: j.Workspace, WorkspaceInUse: s.workspaceUsage[j.Workspace],
		WorkspaceLimit: s.workspaces[j.Workspace].UpperLimit, DueIn: max(0, j.Due(0).Sub(now)),
	}
	if !s.placedAt.IsZero() {
		x.PlacedBefore = now.Sub(s.placedAt)
	}
	x.Reservations, x.ReservationCount = s.reservedRoom(q.Pool, now)
	if x.DueIn > 0 {
		return x, nil
	}
	t := s.newTrial(j, q, now)
	for _, r := range t.own {
		x.WorkspaceAtLimit = x.WorkspaceAtLimit || !s.withinLimit(j.Workspace, r.spec().Size)
	}
	t.place(now)
	for _, r := range t.own {
		x.Steps = append(x.Steps, t.explain(s, r, now))
	}

	return x, nil
}

// readyTasks returns how many tasks of a new job are ready at once.
func readyTasks(j *work.Job) int {
	n := 0
	for i := range j.Steps {
		if len(j.Steps[i].After) == 0 {
			n += j.Steps[i].Count
		}
	}

	return n
}

// trial is a copy of a scheduler for a trial placement in one pool. Only what a placement changes is copied.
type trial struct {
	*Scheduler
	pool fleet.PoolName
	set  *workerSet
	// own has the ready steps of the job in question.
	own    []*readyStep
	before map[lookahead.StepID]int
}

// newTrial returns a trial with a new job of a queue.
func (s *Scheduler) newTrial(j work.Job, q *work.Queue, now time.Time) *trial {
	c := *s
	c.observe = func(Decision) {}
	c.pendingRuns, c.changes = nil, nil
	c.workspaceUsage = maps.Clone(s.workspaceUsage)
	c.shares = s.shares.Clone()
	c.runLimit = s.runLimit.clone()
	c.lookAhead.running = maps.Clone(s.lookAhead.running)
	c.lateStarts = make(map[work.Task][]lateStart, len(s.lateStarts))
	for task, list := range s.lateStarts {
		c.lateStarts[task] = slices.Clone(list)
	}
	c.workers = map[work.WorkerID]*worker{}
	for id, w := range s.workers {
		if w.reg.Pool == q.Pool {
			n := *w
			n.runs, n.larger, n.isolated = maps.Clone(w.runs), slices.Clone(w.larger), slices.Clone(w.isolated)
			c.workers[id] = &n
		}
	}
	t := &trial{Scheduler: &c, pool: q.Pool, set: c.usableWorkers(now)[q.Pool], before: map[lookahead.StepID]int{}}
	if t.set == nil {
		t.set = &workerSet{}
	}
	t.own = c.occurrenceSteps(&job{entry: ledger.NewEntry(j, 0), knownSince: now}, 0, now)

	return t
}

// place places the steps that found no room in the last placement and those of the job, in the order of the next placement.
func (t *trial) place(now time.Time) {
	list := t.waiting()
	list = append(list, t.own...)
	slices.SortStableFunc(list, func(a, b *readyStep) int { return a.rank.compare(b.rank) })
	before := 0
	for _, lastingJobs := range []bool{true, false} {
		class := slices.DeleteFunc(slices.Clone(list), func(r *readyStep) bool { return (r.rank.urgency == lasting) != lastingJobs })
		order, steps := t.shares.Order, t.shareSteps(class, t.set.capacity, now)
		if lastingJobs {
			order = t.shares.Plain
		}
		for i := range order(t.pool, t.set.capacity, steps, t.weight) {
			r := class[i]
			if slices.Contains(t.own, r) {
				t.before[r.stepID()] = before
				t.tryStep(r, now)

				continue
			}
			before++
			if before <= maxTrialSteps && !lastingJobs {
				// What waits of lasting jobs has its room reserved.
				j := *r.job
				j.entry = r.job.entry.Clone()
				r.job = &j
				t.tryStep(r, now)
			}
		}
	}
}

// tryStep places a step as a placement would do now, without new reservations. It does nothing while no placement is made.
func (t *trial) tryStep(r *readyStep, now time.Time) {
	if !t.configured || !t.evacuation.Current(now) || now.Sub(t.placedAt) >= placementOverdue {
		return
	}
	look := t.lookAhead
	t.lookAhead.mixtures, t.lookAhead.planners = nil, nil
	t.placeStep(r, t.set, now)
	t.lookAhead = look
}

// waiting returns copies of the pool's steps that found no room in the last placement and still wait.
func (t *trial) waiting() []*readyStep {
	var list []*readyStep
	seen := map[lookahead.StepID]bool{}
	for _, r := range t.unplaced {
		if r.queue.Pool != t.pool || seen[r.stepID()] || t.jobs[r.job.entry.Job.ID] != r.job {
			continue
		}
		seen[r.stepID()] = true
		n := &readyStep{job: r.job, step: r.step, queue: r.queue, rank: r.rank}
		st := r.job.entry.Step(r.step)
		var started []int
		for i, task := range st.Recorded {
			if task.Done || len(task.Live) > 0 {
				started = append(started, i)
			}
		}
		n.tasks = r.tasks.without(started)
		if n.tasks.len() > 0 && (!n.spec().Gang || st.Done == 0) {
			list = append(list, n)
		}
	}

	return list
}

// explain returns what the trial made of a step of the job.
func (t *trial) explain(from *Scheduler, r *readyStep, now time.Time) StepExplanation {
	x := StepExplanation{Step: r.step.Step, Tasks: r.spec().Count, Before: t.before[r.stepID()]}
	started := map[int]bool{}
	for _, n := range t.pendingRuns {
		if n.entry != r.job.entry || n.attempt.Step != r.step.Step {
			continue
		}
		started[n.attempt.Index] = true
		i := slices.IndexFunc(x.Workers, func(l WorkerRoom) bool { return l.Worker == n.worker.id })
		if i < 0 && len(x.Workers) < maxListed {
			w := from.workers[n.worker.id]
			i = len(x.Workers)
			x.Workers = append(x.Workers, WorkerRoom{Worker: w.id, Pool: w.reg.Pool, Zone: w.reg.Zone, Free: w.freeFor(r.spec())})
		}
		if i >= 0 {
			x.Workers[i].Tasks++
		}
	}
	x.Starting = len(started)
	r.tasks = r.tasks.without(slices.Sorted(maps.Keys(started)))
	if r.tasks.len() > 0 {
		x.Reason, x.Words = t.refusal(r, t.set, now)
	}

	return x
}

// reservedRoom returns the first reservations of a pool in the order of the workers, and their number.
func (s *Scheduler) reservedRoom(p fleet.PoolName, now time.Time) ([]ReservedRoom, int) {
	var list []ReservedRoom
	for _, w := range s.workers {
		if w.reg.Pool != p {
			continue
		}
		if !w.lastingReserve.IsZero() {
			list = append(list, ReservedRoom{Worker: w.id, Room: w.lastingReserve})
		}
		for _, h := range w.larger {
			list = append(list, ReservedRoom{Worker: w.id, Room: h.room, Job: h.step.Job, Step: h.step.Step, In: h.at.Sub(now)})
		}
	}
	slices.SortStableFunc(list, func(a, b ReservedRoom) int { return cmp.Compare(a.Worker, b.Worker) })

	return list[:min(len(list), maxListed)], len(list)
}
