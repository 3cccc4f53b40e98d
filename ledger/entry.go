package ledger

import (
	"math"
	"slices"

	"lycheehook.example/lycheehook/work"
)

// State is the state of a job.
type State uint8

// The states of jobs.
const (
	Queued State = iota
	InProgress
	Completed
	Failed
	Cancelled
)

// Live is an attempt that may be running.
type Live struct {
	_      struct{} `cbor:",toarray"`
	Number int
	Worker work.WorkerID
	Life   work.Life
}

// TaskState is what the log says of a task.
type TaskState struct {
	// Attempts is the highest number given to an attempt.
	Attempts int
	Failures int
	Done     bool
	Live     []Live
	// Checkpoint is the newest state saved by an ended attempt.
	Checkpoint string
}

// StepOf names a step of an occurrence.
type StepOf struct {
	Occurrence int
	Step       int
}

// StepState is what the log says of a step of an occurrence.
type StepState struct {
	Tasks []TaskState
	// Done counts the tasks that are done.
	Done int
}

// Entry is a job with what became of its tasks.
type Entry struct {
	Job work.Job
	// Revision is the store revision of the job's record.
	Revision uint64
	Failed   bool
	started  bool
	// steps has the states by occurrence and step, as far as there were changes; one that is nil has none.
	steps []*StepState
	total int
	done  int
}

// NewEntry returns a job of which nothing has started.
func NewEntry(j work.Job, revision uint64) *Entry {
	e := &Entry{Job: j, Revision: revision}
	for _, s := range j.Steps {
		e.total += s.Count
	}
	e.total *= j.Occurrences()

	return e
}

// Clone returns a copy that shares only the job, which nobody changes.
func (e *Entry) Clone() *Entry {
	c := *e
	c.steps = slices.Clone(e.steps)
	for i, st := range c.steps {
		if st == nil {
			continue
		}
		tasks := slices.Clone(st.Tasks)
		for n := range tasks {
			tasks[n].Live = slices.Clone(tasks[n].Live)
		}
		c.steps[i] = &StepState{Tasks: tasks, Done: st.Done}
	}

	return &c
}

// Step returns the state of a step, which the job must have.
func (e *Entry) Step(s StepOf) *StepState {
	at := e.index(s)
	for len(e.steps) <= at {
		e.steps = append(e.steps, nil)
	}
	if e.steps[at] == nil {
		e.steps[at] = &StepState{Tasks: make([]TaskState, e.Job.Steps[s.Step].Count)}
	}

	return e.steps[at]
}

func (e *Entry) index(s StepOf) int {
	return s.Occurrence*len(e.Job.Steps) + s.Step
}

// known calls yield for each step of an occurrence of which something is known.
func (e *Entry) known(yield func(StepOf, *StepState) bool) {
	for i, st := range e.steps {
		if st != nil && !yield(StepOf{Occurrence: i / len(e.Job.Steps), Step: i % len(e.Job.Steps)}, st) {
			return
		}
	}
}

// Has reports whether the job has such a task.
func (e *Entry) Has(t work.Task) bool {
	return t.Occurrence >= 0 && t.Occurrence < e.Job.Occurrences() && t.Step >= 0 && t.Step < len(e.Job.Steps) &&
		t.Index >= 0 && t.Index < e.Job.Steps[t.Step].Count
}

// Task returns the state of a task, which the job must have.
func (e *Entry) Task(t work.Task) *TaskState {
	return &e.Step(StepOf{t.Occurrence, t.Step}).Tasks[t.Index]
}

// Apply carries a change over into the entry; a change of a task that the job does not have is passed over.
func (e *Entry) Apply(c Change) {
	if c.Kind == JobFailed {
		e.Failed = true
		return
	}
	if !e.Has(c.Attempt.Task) {
		return
	}
	s := e.Task(c.Attempt.Task)
	if c.Kind == Restated {
		e.restate(s, c)
		return
	}
	switch c.Kind {
	case Assigned:
		if c.Attempt.Number <= s.Attempts {
			// The attempt was taken in before, as part of a state that was restated.
			return
		}
		s.Attempts = c.Attempt.Number
		e.started = true
		s.Live = append(s.Live, Live{Number: c.Attempt.Number, Worker: c.Worker, Life: c.Life})
	case Ended:
		e.end(s, c)
	}
}

// restate sets a task to the state that a change gives in whole.
func (e *Entry) restate(s *TaskState, c Change) {
	if c.Done && !s.Done {
		e.done++
		e.Step(StepOf{c.Attempt.Occurrence, c.Attempt.Step}).Done++
	}
	e.started = true
	*s = TaskState{
		Attempts: c.Attempt.Number, Failures: c.Failures, Done: c.Done, Live: slices.Clone(c.Live), Checkpoint: c.Checkpoint,
	}
}

// Restate returns the changes that stand for all that was logged of the job.
func (e *Entry) Restate() []Change {
	changes, _ := e.RestateFrom(0, math.MaxInt)

	return changes
}

// RestateFrom returns at most a number of the changes that stand for what was logged of the job, from a position on, and the
// position of the next one; zero means that there is none. Positions stay valid while the job goes on.
func (e *Entry) RestateFrom(position, most int) (changes []Change, next int) {
	for at, st := range e.known {
		first := e.position(at)
		for i := max(0, position-first); i < len(st.Tasks); i++ {
			t := &st.Tasks[i]
			if t.Attempts == 0 {
				continue
			}
			if len(changes) == most {
				return changes, first + i
			}
			a := work.Attempt{Task: work.Task{Job: e.Job.ID, Occurrence: at.Occurrence, Step: at.Step, Index: i}, Number: t.Attempts}
			changes = append(changes, Change{
				Kind: Restated, Attempt: a, Failures: t.Failures, Done: t.Done, Live: slices.Clone(t.Live), Checkpoint: t.Checkpoint,
			})
		}
	}
	if e.Failed && len(changes) == most {
		return changes, max(1, e.total)
	}
	if e.Failed {
		changes = append(changes, Change{Kind: JobFailed, Attempt: work.Attempt{Task: work.Task{Job: e.Job.ID}}})
	}

	return changes, 0
}

// position returns how many tasks the job has before a step of an occurrence.
func (e *Entry) position(at StepOf) int {
	n := at.Occurrence * (e.total / e.Job.Occurrences())
	for _, s := range e.Job.Steps[:at.Step] {
		n += s.Count
	}

	return n
}

// Withdraw takes back an assignment that was applied and will not be stored.
func (e *Entry) Withdraw(a work.Attempt) {
	s := e.Task(a.Task)
	s.Live = slices.DeleteFunc(s.Live, func(l Live) bool { return l.Number == a.Number })
	s.Attempts = a.Number - 1
}

func (e *Entry) end(s *TaskState, c Change) {
	live := len(s.Live)
	s.Live = slices.DeleteFunc(s.Live, func(l Live) bool { return l.Number == c.Attempt.Number })
	ended := len(s.Live) < live
	if c.Checkpoint != "" {
		s.Checkpoint = c.Checkpoint
	}
	switch c.Outcome {
	case work.OutcomeDone:
		if !s.Done {
			s.Done = true
			e.done++
			e.Step(StepOf{c.Attempt.Occurrence, c.Attempt.Step}).Done++
		}
	case work.OutcomeFailed:
		if ended {
			s.Failures++
		}
	}
}

// State returns the job's state as callers see it.
func (e *Entry) State() State {
	switch {
	case e.Job.Cancelled:
		return Cancelled
	case e.Failed:
		return Failed
	case e.total > 0 && e.done >= e.total:
		return Completed
	case e.started:
		return InProgress
	default:
		return Queued
	}
}

// Over reports whether nothing of the job will start any more.
func (e *Entry) Over() bool {
	return e.State() > InProgress
}

// StepDone reports whether all tasks of a step of an occurrence are done.
func (e *Entry) StepDone(s StepOf) bool {
	at := e.index(s)

	return at < len(e.steps) && e.steps[at] != nil && e.steps[at].Done >= len(e.steps[at].Tasks)
}

// OccurrenceDone reports whether all steps of an occurrence are done.
func (e *Entry) OccurrenceDone(occurrence int) bool {
	for i := range e.Job.Steps {
		if !e.StepDone(StepOf{Occurrence: occurrence, Step: i}) {
			return false
		}
	}

	return true
}

// LiveAttempts calls yield for each attempt that may be running.
func (e *Entry) LiveAttempts(yield func(work.Attempt, Live) bool) {
	for s, st := range e.known {
		for i := range st.Tasks {
			for _, l := range st.Tasks[i].Live {
				a := work.Attempt{Task: work.Task{Job: e.Job.ID, Occurrence: s.Occurrence, Step: s.Step, Index: i}, Number: l.Number}
				if !yield(a, l) {
					return
				}
			}
		}
	}
}

// String returns the state's name for logs.
func (s State) String() string {
	return [...]string{"Queued", "InProgress", "Completed", "Failed", "Cancelled"}[s]
}
