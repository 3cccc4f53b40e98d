package schedule

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/lookahead"
	"lycheehook.example/lycheehook/runtimes"
	"lycheehook.example/lycheehook/work"
)

const (
	// expectedQuantile of the run times is when a run is expected to end, and backfillQuantile the run time within which a task
	// behind a reservation must end: it delays a larger one in one case of ten.
	expectedQuantile = 0.5
	backfillQuantile = 0.9
	// reservedSlack is the part of a job's slack that is left when room is reserved for its tasks. Before, room mostly comes by
	// itself, and a reservation would only keep it from small tasks. Room for a gang does not, so it reserves at once.
	reservedSlack = 0.75
	// A task must need more than largeFactor/largeDivisor of the mean size of the pool's runs for a reservation. A smaller one mostly
	// finds room with the next end.
	largeFactor, largeDivisor = 3, 2
	// minMeasuredPercent is the progress from which a run's end is extrapolated.
	minMeasuredPercent = 10
)

// lookAhead is the state of the reservations for tasks that find no room, and what is known of run times.
type lookAhead struct {
	disabled bool
	times    *runtimes.Table
	planners map[fleet.PoolName]*lookahead.Planner
	// mixtures has the sizes of the tasks that wait in each pool.
	mixtures map[fleet.PoolName]*mixture
	// running has the sizes of the runs in each pool.
	running map[fleet.PoolName]runSizes
}

// mixture describes the sizes of the ready steps of a pool, without the lasting ones.
type mixture struct {
	steps int
	// first is the need of one of the steps.
	first fleet.Resources
	// mixed reports that the needs differ or that some steps are gangs.
	mixed bool
}

// runSizes is the sum of what a number of runs reserve.
type runSizes struct {
	sum  fleet.Resources
	runs int64
}

// smallerThan reports whether the runs are on average so much smaller than a need that the end of one does not make room for it.
func (l runSizes) smallerThan(need fleet.Resources) bool {
	return l.runs > 0 && !need.Times(largeDivisor*l.runs).FitsIn(l.sum.Times(largeFactor))
}

// addRunSize adds n times the size of a run to those of its pool; lasting runs don't make room and are left out.
func (s *Scheduler) addRunSize(r *run, n int64) {
	if r.step.Lasting {
		return
	}
	l := s.lookAhead.running[r.pool]
	s.lookAhead.running[r.pool] = runSizes{l.sum.Plus(r.reserved.Times(n)), l.runs + n}
}

// largerHold is room on a worker that is reserved for a larger task of a step, until a time.
type largerHold struct {
	step lookahead.StepID
	// room is the part of the free room that is reserved, since the ends of the awaited runs will make the rest.
	room    fleet.Resources
	awaited []work.Attempt
	at      time.Time
}

// WithoutLookAhead makes no reservations for larger tasks, so that placements can be compared.
func WithoutLookAhead() Option {
	return func(s *Scheduler) { s.lookAhead.disabled = true }
}

func newLookAhead() lookAhead {
	return lookAhead{times: runtimes.NewTable(), planners: map[fleet.PoolName]*lookahead.Planner{}, mixtures: map[fleet.PoolName]*mixture{}, running: map[fleet.PoolName]runSizes{}}
}

// stepID identifies the step.
func (r *readyStep) stepID() lookahead.StepID {
	return lookahead.StepID{Job: r.job.entry.Job.ID, StepKey: r.step}
}

// spec returns the step as it was submitted.
func (r *readyStep) spec() *work.Step {
	return &r.job.entry.Job.Steps[r.step.Step]
}

// findMixtures determines the sizes of the ready steps of each pool. In pools where they differ, it ranks the steps of begun jobs
// before others of the same class. Overdue jobs stay in the order of their age, since some of them were never served otherwise.
func (s *Scheduler) findMixtures(list []*readyStep) {
	clear(s.lookAhead.mixtures)
	if s.lookAhead.disabled {
		return
	}
	for _, r := range list {
		if r.spec().Lasting {
			continue
		}
		need := r.spec().Reserved()
		m, ok := s.lookAhead.mixtures[r.queue.Pool]
		if !ok {
			m = &mixture{first: need}
			s.lookAhead.mixtures[r.queue.Pool] = m
		}
		m.mixed = m.mixed || need != m.first || r.spec().Gang
		m.steps++
	}
	// The steps of an occurrence follow each other.
	var last occurrence
	begun := false
	for _, r := range list {
		if m := s.lookAhead.mixtures[r.queue.Pool]; m != nil && m.mixed && r.rank.urgency != lasting && r.rank.urgency != overdue {
			if o := (occurrence{r.job, r.step.Occurrence}); o != last {
				last, begun = o, o.begun()
			}
			r.rank.begun = begun
		}
	}
}

// occurrence is an occurrence of a job.
type occurrence struct {
	job    *job
	number int
}

// begun reports whether a task of the occurrence has been assigned before.
func (o occurrence) begun() bool {
	for i := range o.job.entry.Job.Steps {
		st := o.job.entry.Step(ledger.StepKey{Occurrence: o.number, Step: i})
		if st.Done > 0 {
			return true
		}
		for _, t := range st.Recorded {
			if t.Attempts > 0 {
				return true
			}
		}
	}

	return false
}

// beginReservations begins a placement, in which reservations take effect as their steps are reached.
func (s *Scheduler) beginReservations(now time.Time) {
	for _, p := range s.lookAhead.planners {
		p.Begin(now)
	}
}

// endReservations drops the reservations of steps that don't need them any more.
func (s *Scheduler) endReservations() {
	for _, p := range s.lookAhead.planners {
		p.End()
	}
}

// reserveForLarger reserves room for tasks of a step that found none, if smaller tasks could take it before.
func (s *Scheduler) reserveForLarger(r *readyStep, tasks taskList, p *workerSet, now time.Time) {
	q, ok := s.reservationRequest(r, tasks, now)
	if !ok {
		return
	}
	planner, ok := s.lookAhead.planners[r.queue.Pool]
	if !ok {
		planner = lookahead.New(func(e lookahead.Event) { s.observeReservation(e) })
		s.lookAhead.planners[r.queue.Pool] = planner
	}
	table := lookahead.Table{
		Usable: func(id work.WorkerID) bool {
			w, ok := s.workers[id]

			return ok && w.usable(now) && s.mayReserve(r, tasks.first(), w, now)
		},
		Workers: func() []lookahead.Worker { return s.reservableWorkers(r, tasks.first(), p, now) },
	}
	planner.Reserve(q, table, now, func(kept *lookahead.Reservation) { s.hold(kept) })
}

// reservingSteps returns the steps that have reservations, and those that come next for one if their tasks find no room, in the
// order of a list.
func (s *Scheduler) reservingSteps(list []*readyStep, now time.Time) map[lookahead.StepID]bool {
	if len(list) == 0 {
		return nil
	}
	if m := s.lookAhead.mixtures[list[0].queue.Pool]; m == nil || !m.mixed {
		return nil
	}
	steps, left := map[lookahead.StepID]bool{}, lookahead.MaxReservations
	if p, ok := s.lookAhead.planners[list[0].queue.Pool]; ok {
		for id := range p.Steps() {
			steps[id] = true
			left--
		}
	}
	for _, r := range list {
		if left <= 0 {
			break
		}
		if steps[r.stepID()] {
			continue
		}
		if q, ok := s.reservationRequest(r, r.tasks, now); ok {
			steps[r.stepID()] = true
			left -= q.Wanted
		}
	}

	return steps
}

// reservationRequest returns the request for reservations for tasks of a step, or false if it must have none.
func (s *Scheduler) reservationRequest(r *readyStep, tasks taskList, now time.Time) (lookahead.Request, bool) {
	step, m := r.spec(), s.lookAhead.mixtures[r.queue.Pool]
	if m == nil || !m.mixed || step.Lasting || r.rank.urgency == overdue || !step.Gang && now.Before(r.rank.reserveFrom) {
		return lookahead.Request{}, false
	}
	q := lookahead.Request{
		Step: r.stepID(), Class: lookahead.Class{Urgency: int(r.rank.urgency), Priority: r.rank.priority},
		Need: step.Reserved(), Members: 1, Wanted: tasks.len(),
	}
	if step.Gang {
		q.Members, q.Wanted, q.SameRack = tasks.len(), 1, step.SameRack
	}
	if m.steps < 2 || !step.Gang && !s.lookAhead.running[r.queue.Pool].smallerThan(q.Need) {
		return lookahead.Request{}, false
	}
	q.Wanted = s.withinLimitTimes(r, q.Members, q.Wanted)
	isolated := r.job.mustIsolate(r.task(tasks.first()))

	return q, q.Wanted > 0 && !isolated
}

// withinLimitTimes returns how many reservations for a number of tasks the limit of the workspace permits to be used, at most n.
func (s *Scheduler) withinLimitTimes(r *readyStep, tasks, n int) int {
	return sort.Search(n, func(i int) bool {
		return !s.withinLimit(r.job.entry.Job.Workspace, r.spec().Size.Times(int64(tasks*(i+1))))
	})
}

// mayReserve reports whether room on a worker may be reserved for a task of a step.
func (s *Scheduler) mayReserve(r *readyStep, index int, w *worker, now time.Time) bool {
	task := work.Task{Job: r.job.entry.Job.ID, Occurrence: r.step.Occurrence, Step: r.step.Step, Index: index}

	return w.mayStart(false, now) && hasLabel(w.reg, r.spec().Label) && r.spec().Reserved().FitsIn(w.reg.Capacity) &&
		!r.job.failedOn(task, w.id) && s.mayHaveTicket(r, w, now)
}

// reservableWorkers returns the workers on which room may be reserved for a task of a step, with the room that other
// reservations leave.
func (s *Scheduler) reservableWorkers(r *readyStep, index int, p *workerSet, now time.Time) []lookahead.Worker {
	step := r.spec()
	list := make([]lookahead.Worker, 0, len(p.workers))
	var onWorker map[work.WorkerID]int
	if step.MaxPerWorker > 0 {
		// The counts of the step may have those of a gang's members that were not placed in the end.
		onWorker = countTasksOnWorkers(r)
	}
	for _, w := range p.workers {
		if !s.mayReserve(r, index, w, now) {
			continue
		}
		l := lookahead.Worker{ID: w.id, Rack: w.reg.Rack, Free: w.freeFor(step), MaxTasks: r.tasks.len()}
		if step.MaxPerWorker > 0 {
			l.MaxTasks = step.MaxPerWorker - onWorker[w.id]
		}
		awaited := map[work.Attempt]bool{}
		for _, h := range w.larger {
			l.Free = l.Free.Minus(h.room)
			for _, a := range h.awaited {
				awaited[a] = true
			}
		}
		for a, run := range w.runs {
			if run.step != nil && (!run.step.Lasting || run.stopRequested) && !awaited[a] {
				l.Runs = append(l.Runs, lookahead.Run{Attempt: a, Size: run.reserved, End: s.expectedEnd(run, now)})
			}
		}
		list = append(list, l)
	}

	return list
}

// hold keeps the room of a reservation until the end of the placement.
func (s *Scheduler) hold(r *lookahead.Reservation) {
	for _, h := range r.Holds {
		w := s.workers[h.Worker]
		room := h.Need
		for _, a := range h.Awaited {
			if run, ok := w.runs[a]; ok {
				room = room.Minus(run.reserved)
			}
		}
		w.larger = append(w.larger, largerHold{step: r.Step, room: room.Max(fleet.Resources{}), awaited: h.Awaited, at: r.At})
	}
}

// keptForLarger reports whether a task of a step must leave the free room on a worker to larger tasks of other steps: it neither
// fits beside them, nor is it likely to end before they start.
func (s *Scheduler) keptForLarger(r *readyStep, step *work.Step, need fleet.Resources, w *worker, now time.Time) bool {
	if len(w.larger) == 0 || step.Lasting {
		return false
	}
	room, at := w.roomBeside(r, step)
	if need.FitsIn(room) {
		return false
	}

	return now.Add(s.length(r)).After(at)
}

// length returns the run time that most tasks of a step don't exceed.
func (s *Scheduler) length(r *readyStep) time.Duration {
	if r.length == 0 {
		step := r.spec()
		r.length = s.lookAhead.times.Quantile(runtimes.Key{Queue: r.job.entry.Job.Queue, Image: step.Image}, step.Estimate, backfillQuantile)
	}

	return r.length
}

// roomBeside returns the room for a task of a step that the reservations of other steps leave, and when the first of these is due.
func (w *worker) roomBeside(r *readyStep, step *work.Step) (room fleet.Resources, at time.Time) {
	room = w.freeFor(step)
	for _, h := range w.larger {
		if h.step == r.stepID() {
			continue
		}
		room = room.Minus(h.room)
		if at.IsZero() || h.at.Before(at) {
			at = h.at
		}
	}

	return room, at
}

// expectedEnd returns when a run is expected to end: by its progress if the worker reported any, otherwise by the run times of
// tasks like it.
func (s *Scheduler) expectedEnd(r *run, now time.Time) time.Time {
	least := now.Add(minTimeLeft)
	began := r.confirmedAt
	if began.IsZero() {
		began = now
	}
	at := r.worker.AnsweredAt()
	if resumed := r.step.Checkpointing && r.attempt.Number > 1; !resumed && r.percent >= minMeasuredPercent && at.After(began) {
		return later(least, began.Add(at.Sub(began)*donePercent/time.Duration(r.percent)))
	}
	k := runtimes.Key{Queue: r.entry.Job.Queue, Image: r.step.Image}

	return later(least, now.Add(s.lookAhead.times.Left(k, r.step.Estimate, now.Sub(began), expectedQuantile)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// recordRunTime adds a run that completed its task to what is known of run times.
func (s *Scheduler) recordRunTime(r *run, end ending) {
	if end.outcome != work.OutcomeDone || end.source != EndListed || r.startedAt.IsZero() || r.confirmedAt.IsZero() || r.step == nil ||
		r.step.Lasting || r.step.Checkpointing && r.attempt.Number > 1 {
		return
	}
	now := r.worker.AnsweredAt()
	s.lookAhead.times.Record(runtimes.Key{Queue: r.entry.Job.Queue, Image: r.step.Image}, r.step.Estimate, now.Sub(r.confirmedAt), now)
}

// notePlaced observes whether a run uses a reservation of its step, or the room of others' until they are due.
func (s *Scheduler) notePlaced(r *readyStep, placed *run, now time.Time) {
	w := placed.worker
	if p, ok := s.lookAhead.planners[r.queue.Pool]; ok {
		p.Placed(r.stepID(), w.id)
	}
	if len(w.larger) == 0 || r.spec().Lasting {
		return
	}
	if room, at := w.roomBeside(r, r.spec()); room.IsNegative() {
		s.observe(Decision{Kind: DecidedBackfilled, Attempt: placed.attempt, Worker: w.id, Age: at.Sub(now), Reason: "ends before larger tasks are due"})
	}
}

// reservationKinds has the kinds of decisions by the kinds of events of reservations.
var reservationKinds = map[lookahead.EventKind]DecisionKind{
	lookahead.Made: DecidedRoomReserved, lookahead.Moved: DecidedReservationMoved, lookahead.Used: DecidedReservationUsed,
	lookahead.Dropped: DecidedReservationDropped,
}

// observeReservation observes a change of a reservation.
func (s *Scheduler) observeReservation(e lookahead.Event) {
	r := e.Reservation
	d := Decision{
		Kind: reservationKinds[e.Kind], Attempt: work.Attempt{Task: work.Task{Job: r.Step.Job, Occurrence: r.Step.Occurrence, Step: r.Step.Step}},
		Worker: r.Holds[0].Worker, Age: r.At.Sub(s.placedAt), Reason: fmt.Sprintf("%d workers", len(r.Holds)),
	}
	if e.Reason != "" {
		d.Reason += ", " + e.Reason
	}
	s.observe(d)
}

// keptNeed is a task that found room only on workers that keep it for larger tasks, with the time that it probably takes.
type keptNeed struct {
	need   fleet.Resources
	length time.Duration
}

// keptFrom reports whether an earlier search of this placement shows that all room for a task is kept for larger ones.
func (s *Scheduler) keptFrom(r *readyStep, need fleet.Resources, p *workerSet) bool {
	return slices.ContainsFunc(p.kept, func(k keptNeed) bool { return k.need.FitsIn(need) && s.length(r) >= k.length })
}

// noteUnplaceable notes that no worker had room for a task that may run on any of them.
func (p *workerSet) noteUnplaceable(r *readyStep, need fleet.Resources) {
	if p.sawKept {
		p.kept = append(p.kept, keptNeed{need, r.length})
		return
	}
	p.unplaceable = append(p.unplaceable, need)
}
