package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// ready is a step with tasks that may start.
type ready struct {
	job    *job
	step   ledger.StepOf
	queue  *work.Queue
	tasks  []int
	rank   rank
	spread map[work.WorkerID]int
}

// Place assigns tasks that may start to workers with room, once there is a configuration with the workspaces' limits.
func (s *Scheduler) Place(now time.Time) {
	if !s.dirty || !s.configured {
		return
	}
	s.dirty = false
	rooms := s.rooms(now)
	s.waiting = s.waiting[:0]
	for _, class := range classes(s.ready(now)) {
		pool := class[0].queue.Pool
		if rooms[pool] == nil {
			rooms[pool] = &room{}
		}
		s.placeByPart(class, rooms[pool], now)
	}
}

// room is a set of workers on which tasks may be placed.
type room struct {
	workers []*worker
	// size is the capacity of all.
	size fleet.Resources
	// full has needs that no worker had room for in this placement, in which room only shrinks.
	full []fleet.Resources
}

// rooms returns the usable workers of each pool, by name, with no room kept.
func (s *Scheduler) rooms(now time.Time) map[fleet.PoolName]*room {
	rooms := map[fleet.PoolName]*room{}
	for _, w := range s.workers {
		w.kept = fleet.Resources{}
		if !w.usable(now) {
			continue
		}
		p, ok := rooms[w.reg.Pool]
		if !ok {
			p = &room{}
			rooms[w.reg.Pool] = p
		}
		p.workers = append(p.workers, w)
		p.size = p.size.Plus(w.reg.Capacity)
	}
	for _, p := range rooms {
		slices.SortFunc(p.workers, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	}

	return rooms
}

// lacks reports whether no worker has room for a need, as far as earlier searches show.
func (p *room) lacks(need fleet.Resources) bool {
	return slices.ContainsFunc(p.full, func(f fleet.Resources) bool { return f.FitsIn(need) })
}

// ready returns the steps with tasks that may start, in the order in which they are placed.
func (s *Scheduler) ready(now time.Time) []*ready {
	var list []*ready
	for _, j := range s.jobs {
		q := s.queueOf(&j.entry.Job)
		for k := j.open; k < j.entry.Job.Occurrences(); k++ {
			if j.entry.Job.Due(k).After(now) {
				break
			}
			if k == j.open && j.entry.OccurrenceDone(k) {
				j.open++
				continue
			}
			list = s.readySteps(list, j, q, k, now)
		}
	}
	slices.SortFunc(list, func(a, b *ready) int {
		return cmp.Or(cmp.Compare(a.queue.Pool, b.queue.Pool), a.rank.compare(b.rank))
	})

	return list
}

func (s *Scheduler) readySteps(list []*ready, j *job, q *work.Queue, occurrence int, now time.Time) []*ready {
	e := j.entry
	var standing *rank
	for i := range e.Job.Steps {
		at := ledger.StepOf{Occurrence: occurrence, Step: i}
		if e.StepDone(at) || slices.ContainsFunc(e.Job.Steps[i].After, func(a int) bool {
			return !e.StepDone(ledger.StepOf{Occurrence: occurrence, Step: a})
		}) {
			continue
		}
		tasks := waitingTasks(e.Step(at))
		if len(tasks) == 0 {
			continue
		}
		if standing == nil {
			r := s.rank(j, q, occurrence, now)
			standing = &r
		}
		list = append(list, &ready{job: j, step: at, queue: q, tasks: tasks, rank: *standing})
	}

	return list
}

// waitingTasks returns the tasks that are neither done nor running.
func waitingTasks(st *ledger.StepState) []int {
	var tasks []int
	for n := range st.Tasks {
		if t := &st.Tasks[n]; !t.Done && len(t.Live) == 0 {
			if tasks == nil {
				tasks = make([]int, 0, len(st.Tasks)-n)
			}
			tasks = append(tasks, n)
		}
	}

	return tasks
}

// placeStep assigns as many of a step's tasks as find room; those of a gang all or none.
func (s *Scheduler) placeStep(r *ready, p *room, now time.Time) {
	e := r.job.entry
	step := &e.Job.Steps[r.step.Step]
	if step.Gang {
		s.placeGang(r, step, p, now)
		return
	}
	for i, n := range r.tasks {
		w := s.choose(r, n, p, now)
		if w == nil {
			if step.Lasting && s.withinLimit(e.Job.Workspace, step.Size) {
				keepRoom(r, step, p.workers)
				s.wait(r, 1)

				continue
			}
			s.wait(r, len(r.tasks)-i)

			return
		}
		s.assign(r, n, e.Step(r.step).Tasks[n].Attempts+1, w, now)
	}
}

// wait notes that some tasks of a step found no room, unless it is their workspace that may not have more.
func (s *Scheduler) wait(r *ready, tasks int) {
	if !s.withinLimit(r.job.entry.Job.Workspace, r.job.entry.Job.Steps[r.step.Step].Size) {
		return
	}
	s.waiting = append(s.waiting, &ready{job: r.job, step: r.step, queue: r.queue, tasks: r.tasks[:tasks], rank: r.rank})
}

// placeGang assigns all tasks of a gang under one attempt number, or none of them.
func (s *Scheduler) placeGang(r *ready, step *work.Step, p *room, now time.Time) {
	e := r.job.entry
	tasks := e.Step(r.step).Tasks
	if len(r.tasks) < len(tasks) {
		// Members of an earlier attempt are not over yet.
		return
	}
	attempt := 0
	for i := range tasks {
		attempt = max(attempt, tasks[i].Attempts)
	}
	for _, near := range racks(step, p.workers) {
		if s.placeMembers(r, attempt+1, &room{workers: near}, now) {
			return
		}
	}
	s.wait(r, len(r.tasks))
}

// placeMembers assigns all tasks of a gang to some of the workers, or none, and reports whether they found room.
func (s *Scheduler) placeMembers(r *ready, attempt int, p *room, now time.Time) bool {
	first, firstChange := len(s.starting), len(s.changes)
	r.spread = nil
	for _, n := range r.tasks {
		w := s.choose(r, n, p, now)
		if w == nil {
			s.withdraw(first, firstChange)
			return false
		}
		s.assign(r, n, attempt, w, now)
	}

	return true
}

// racks returns the workers that a gang is tried on, the best first: those of one rack where it is slow across racks, and
// then all.
func racks(step *work.Step, workers []*worker) [][]*worker {
	var list [][]*worker
	if step.SameRack {
		byRack := map[fleet.RackName][]*worker{}
		for _, w := range workers {
			byRack[w.reg.Rack] = append(byRack[w.reg.Rack], w)
		}
		for _, rack := range slices.Sorted(maps.Keys(byRack)) {
			list = append(list, byRack[rack])
		}
	}

	return append(list, workers)
}

// withdraw takes back the assignments made since, of which nothing was stored.
func (s *Scheduler) withdraw(first, firstChange int) {
	for _, r := range s.starting[first:] {
		e := s.release(r)
		e.Withdraw(r.attempt)
	}
	s.starting, s.changes = s.starting[:first], s.changes[:firstChange]
}

// assign puts a task on a worker; its order goes out once that is stored.
func (s *Scheduler) assign(r *ready, index, number int, w *worker, now time.Time) {
	e := r.job.entry
	a := work.Attempt{
		Task:   work.Task{Job: e.Job.ID, Occurrence: r.step.Occurrence, Step: r.step.Step, Index: index},
		Number: number,
	}
	ticket, _ := s.ticketFor(r, w, now)
	run := &run{pace: fullPace, ticket: ticket, attempt: a, worker: w, life: w.life}
	s.hold(e, run)
	if r.spread != nil {
		r.spread[w.id]++
	}
	s.starting = append(s.starting, run)
	s.record(e, ledger.Change{Kind: ledger.Assigned, Attempt: a, Worker: w.id, Life: w.life})
	s.observe(Decision{
		What: DecidedAssigned, Attempt: a, Worker: w.id, Standing: r.rank.standing.String(), Age: now.Sub(r.job.seen), Token: s.token(w),
	})
}

// withinLimit reports whether the workspace may have one more task of that size running.
func (s *Scheduler) withinLimit(name fleet.WorkspaceName, size fleet.Resources) bool {
	ws, ok := s.limits[name]
	if !ok {
		return true
	}
	after := s.running[name].Plus(size)
	within := func(limit, n int64) bool { return limit == 0 || n <= limit }

	return within(int64(ws.UpperLimit.Cores), int64(after.Cores)) && within(int64(ws.UpperLimit.Memory), int64(after.Memory)) &&
		within(ws.UpperLimit.Accelerators, after.Accelerators)
}

// choose returns the worker for a task of a step, or nil if there is none with room.
func (s *Scheduler) choose(r *ready, index int, p *room, now time.Time) *worker {
	step := &r.job.entry.Job.Steps[r.step.Step]
	if !s.withinLimit(r.job.entry.Job.Workspace, step.Size) {
		return nil
	}
	need := step.Reserved()
	if !step.Lasting && p.lacks(need) {
		return nil
	}
	if r.spread == nil && (step.Lasting || step.MaxPerWorker > 0) {
		r.spread = spreadOf(r)
	}
	task := work.Task{Job: r.job.entry.Job.ID, Occurrence: r.step.Occurrence, Step: r.step.Step, Index: index}
	best, again := s.best(r, task, p, now)
	if best == nil && again != nil && (step.Lasting || !r.elsewhere(task, p)) {
		best = again
	}
	if best == nil && anywhere(step, r.queue) && len(r.job.failed) == 0 {
		p.full = append(p.full, need)
	}

	return best
}

// best returns the best worker with room on which a task has not failed, and the best of those on which it has.
func (s *Scheduler) best(r *ready, task work.Task, p *room, now time.Time) (best, again *worker) {
	step := &r.job.entry.Job.Steps[task.Step]
	need := step.Reserved()
	var bestScore, againScore float64
	for _, w := range p.workers {
		if !need.FitsIn(w.free(step)) || !r.allows(step, w) {
			continue
		}
		if _, ok := s.ticketFor(r, w, now); !ok {
			continue
		}
		failed := r.job.failedOn(task, w.id)
		switch score := score(r, step, w); {
		case failed && (again == nil || score < againScore):
			again, againScore = w, score
		case !failed && (best == nil || score < bestScore):
			best, bestScore = w, score
		}
	}

	return best, again
}

// elsewhere reports whether a worker on which a task has not failed may take it once there is room.
func (r *ready) elsewhere(task work.Task, p *room) bool {
	step := &r.job.entry.Job.Steps[task.Step]

	return slices.ContainsFunc(p.workers, func(w *worker) bool {
		return r.allows(step, w) && !r.job.failedOn(task, w.id) && step.Reserved().FitsIn(w.reg.Capacity)
	})
}

// free returns the room that a task of a step may take: what is kept is for tasks that last.
func (w *worker) free(step *work.Step) fleet.Resources {
	free := w.reg.Capacity.Minus(w.used)
	if !step.Lasting {
		free = free.Minus(w.kept)
	}

	return free
}

// allows reports whether the step's label and spread let one more task of it run on a worker.
func (r *ready) allows(step *work.Step, w *worker) bool {
	return hasLabel(w.reg, step.Label) && (step.MaxPerWorker == 0 || r.spread[w.id] < step.MaxPerWorker)
}

// anywhere reports whether only room decides on which worker a task of a step may run.
func anywhere(step *work.Step, q *work.Queue) bool {
	return !step.Lasting && step.Label == "" && step.MaxPerWorker == 0 && q.Advice == nil
}

// keepRoom keeps the room that becomes free on one worker for a task that lasts and finds none.
func keepRoom(r *ready, step *work.Step, workers []*worker) {
	need := step.Reserved()
	var best *worker
	for _, w := range workers {
		if !need.FitsIn(w.reg.Capacity.Minus(w.kept)) || !r.allows(step, w) {
			continue
		}
		if best == nil || w.used.Plus(w.kept).DominantShare(w.reg.Capacity) < best.used.Plus(best.kept).DominantShare(best.reg.Capacity) {
			best = w
		}
	}
	if best != nil {
		best.kept = best.kept.Plus(need)
		r.spread[best.id]++
	}
}

// sharePreference draws lasting tasks to workers that have such already.
const sharePreference = 0.6

// sharingPenalty puts a worker behind others where tasks that fill and tasks that serve would share it.
const sharingPenalty = 2

// duePenalty puts a worker that is due for maintenance behind all others, for a task that lasts.
const duePenalty = 3

// sortBy sorts by rising keys and keeps the order of equals.
func sortBy[T any](list []T, key func(T) float64) {
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}

// farPenalty puts a worker on another rack than the data behind every worker on it.
const farPenalty = 10

// score is lower for the better worker: tasks that last are spread, all others packed.
func score(r *ready, step *work.Step, w *worker) float64 {
	after := w.used.Plus(step.Reserved()).DominantShare(w.reg.Capacity)
	score := 1 - after
	if step.Lasting {
		// Lasting tasks share few workers, so that the others can leave the pool, but not more than two of a step do.
		score = after/10 + float64(r.spread[w.id])/2
		if w.lasting > 0 {
			score -= sharePreference
		}
		if w.due {
			score += duePenalty
		}
	}
	if w.failures > 0 {
		score += suspectPenalty
	}
	// Tasks that fill and tasks that serve under a bound stay apart where they can.
	if step.Filling && w.serving > 0 || step.MaxTail > 0 && w.filling > 0 {
		score += sharingPenalty
	}
	if step.Rack != "" && step.Rack != w.reg.Rack {
		score += farPenalty
	}

	return score
}

// spreadOf counts the live tasks of the step on each worker.
func spreadOf(r *ready) map[work.WorkerID]int {
	spread := map[work.WorkerID]int{}
	st := r.job.entry.Step(r.step)
	for i := range st.Tasks {
		for _, l := range st.Tasks[i].Live {
			spread[l.Worker]++
		}
	}

	return spread
}

func hasLabel(r work.Registration, label string) bool {
	return label == "" || slices.Contains(r.Labels, label)
}
