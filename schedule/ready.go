package schedule

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

const (
	// maxNewOccurrences bounds the due occurrences of a job that have not begun and are considered at once; more that are overdue come in turn.
	maxNewOccurrences = 16
	// maxReadySteps is how many ready steps are considered at once. Each job may have an equal part of them, at least minJobSteps and at
	// most maxJobSteps.
	maxReadySteps = 4096
	minJobSteps   = 4
	maxJobSteps   = 256
	// maxVisitedSteps bounds the steps that are looked at to find those of one job.
	maxVisitedSteps = 4096
)

// readyStep is a step with tasks that may start.
type readyStep struct {
	job   *job
	step  ledger.StepKey
	queue *work.Queue
	// tasks has the tasks that may start.
	tasks taskList
	rank  rank
	// tasksOnWorker counts the step's live tasks on each worker; nil means not counted yet.
	tasksOnWorker map[work.WorkerID]int
	// length is the run time that most of its tasks don't exceed; zero means not determined yet.
	length time.Duration
}

// readySteps returns steps with tasks that may start, in placement order. A job with more than its part of them is considered from its first
// ones on, and, by turns, from all others, so that steps which can't be placed hold up none after them. Of one that may have no more runs now,
// only some are considered: they tell which sizes of tasks wait.
func (s *Scheduler) readySteps(now time.Time) []*readyStep {
	var list []*readyStep
	for _, j := range s.jobs {
		w := s.newReadyWalk(j, now)
		if !s.mayPlace(j) {
			w.left = minJobSteps
		}
		list = append(list, w.first()...)
		list = append(list, w.turn()...)
	}

	return s.ranked(list)
}

// firstReadySteps returns the first ready steps of each job, also of those that nothing may be placed of, in placement order.
func (s *Scheduler) firstReadySteps(now time.Time) []*readyStep {
	var list []*readyStep
	for _, j := range s.jobs {
		list = append(list, s.newReadyWalk(j, now).first()...)
	}

	return s.ranked(list)
}

func (s *Scheduler) ranked(list []*readyStep) []*readyStep {
	s.findMixtures(list)
	slices.SortFunc(list, func(a, b *readyStep) int {
		return cmp.Or(cmp.Compare(a.queue.Pool, b.queue.Pool), a.rank.compare(b.rank))
	})

	return list
}

// mayPlace reports whether a task of a job may be placed as far as its workspace's limit and the bound on runs are concerned.
func (s *Scheduler) mayPlace(j *job) bool {
	return s.withinLimit(j.entry.Job.Workspace, j.leastSize()) && s.runLimit.mayRun(&j.entry.Job)
}

// jobShare returns how many ready steps of a job are considered.
func (s *Scheduler) jobShare() int {
	return min(maxJobSteps, max(minJobSteps, maxReadySteps/max(1, len(s.jobs))))
}

// readyWalk finds ready steps of a job's due occurrences, in the order of the occurrences and their steps. A position is the number of
// steps before it.
type readyWalk struct {
	s     *Scheduler
	job   *job
	queue *work.Queue
	now   time.Time
	// begin and end are the positions between which steps may be ready; firstEnd is where the first ones ended.
	begin, end, firstEnd int
	// left is how many ready steps are still to be found.
	left int
}

func (s *Scheduler) newReadyWalk(j *job, now time.Time) *readyWalk {
	steps := len(j.entry.Job.Steps)
	for j.firstOpen < j.entry.Job.Occurrences() && j.entry.OccurrenceDone(j.firstOpen) {
		j.firstOpen++
	}

	return &readyWalk{
		s: s, job: j, queue: s.queueOf(&j.entry.Job), now: now, begin: j.firstOpen * steps, end: j.considered(now) * steps, left: s.jobShare(),
	}
}

// considered returns the number of the occurrence up to which a job's are considered: those that are due, and of the ones that have not begun
// only the next ones.
func (j *job) considered(now time.Time) int {
	last := min(j.entry.Job.Occurrences(), j.entry.RecordedOccurrences()+maxNewOccurrences)

	return sort.Search(last, func(k int) bool { return j.entry.Job.Due(k).After(now) })
}

// first returns the first ready steps, at most half of those that are considered if there are more.
func (w *readyWalk) first() []*readyStep {
	half := w.left / 2
	w.left -= half
	list, at := w.walk(w.begin, w.end, half)
	w.firstEnd = at

	return list
}

// turn returns ready steps after the first ones, from where the last turn ended.
func (w *readyWalk) turn() []*readyStep {
	from := w.job.turn
	if from < w.firstEnd || from >= w.end {
		from = w.firstEnd
	}
	list, at := w.walk(from, w.end, w.left)
	if at == w.end {
		var rest []*readyStep
		rest, at = w.walk(w.firstEnd, from, w.left-len(list))
		list = append(list, rest...)
	}
	w.job.turn = at

	return list
}

// walk returns at most limit ready steps between two positions, and the position up to which it has looked.
func (w *readyWalk) walk(from, to, limit int) ([]*readyStep, int) {
	var list []*readyStep
	steps := len(w.job.entry.Job.Steps)
	var ranked *rank
	at, visits := from, 0
	for at < to && len(list) < limit && visits < maxVisitedSteps {
		visits++
		key := ledger.StepKey{Occurrence: at / steps, Step: at % steps}
		if key.Step == 0 || at == from {
			ranked = nil
			if w.job.entry.OccurrenceDone(key.Occurrence) {
				at = min(to, (key.Occurrence+1)*steps)
				continue
			}
		}
		at++
		tasks := w.readyTasks(key)
		if tasks.len() == 0 {
			continue
		}
		if ranked == nil {
			r := w.s.rank(w.job, w.queue, key.Occurrence, w.now)
			ranked = &r
		}
		list = append(list, &readyStep{job: w.job, step: key, queue: w.queue, tasks: tasks, rank: *ranked})
	}

	return list, at
}

// readyTasks returns the tasks of a step that may start.
func (w *readyWalk) readyTasks(at ledger.StepKey) taskList {
	e := w.job.entry
	if e.StepDone(at) {
		return taskList{}
	}
	for _, before := range e.Job.Steps[at.Step].After {
		if !e.StepDone(ledger.StepKey{Occurrence: at.Occurrence, Step: before}) {
			return taskList{}
		}
	}

	return w.s.waitingTasks(w.job, at, w.queue.Pool, w.now)
}

// occurrenceSteps returns the ready steps of one occurrence of a job.
func (s *Scheduler) occurrenceSteps(j *job, occurrence int, now time.Time) []*readyStep {
	steps := len(j.entry.Job.Steps)
	w := &readyWalk{s: s, job: j, queue: s.queueOf(&j.entry.Job), now: now}
	list, _ := w.walk(occurrence*steps, (occurrence+1)*steps, steps)

	return list
}
