package ledger

import (
	"math"
	"slices"

	"lycheehook.example/lycheehook/work"
)

// State is the state of a job.
type State uint8

// The job states. Those after InProgress are final.
const (
	Queued State = iota
	InProgress
	Completed
	Failed
	Cancelled
)

// LiveAttempt is an attempt that may still be running.
type LiveAttempt struct {
	_      struct{} `cbor:",toarray"`
	Number int
	Worker work.WorkerID
	Life   work.Life
}

// maxLostStarts is the number of lost starts of a task that are kept; only the last ones may still be carried out.
const maxLostStarts = 4

// TaskState is the logged state of a task.
type TaskState struct {
	// Attempts is the highest attempt number assigned so far.
	Attempts int
	Failures int
	Done     bool
	Live     []LiveAttempt
	// LostStarts has the last attempts, at most maxLostStarts, whose starts got no answer and may be carried out late, also when the task
	// is done.
	LostStarts []LiveAttempt
	// Checkpoint is the latest checkpoint reported by an ended attempt.
	Checkpoint string
	// Crashes has the workers that crashed under attempts of the task, without those that another cause explains.
	Crashes []Crash
}

// Crash is the unexpected end of a worker under an attempt.
type Crash struct {
	// Number is the number of the attempt.
	Number int
	Worker work.WorkerID
	Life   work.Life
}

// Entry is a job with the logged state of its tasks.
type Entry struct {
	Job work.Job
	// Revision is the store revision of the job's record.
	Revision uint64
	Failed   bool
	// assigned reports that an attempt was assigned, begun that one is known to have begun.
	assigned, begun bool
	// steps holds the states by occurrence and step; it ends after the last changed step, and unchanged steps are nil.
	steps []*StepState
	// total and done count tasks over all occurrences, stepsDone the steps that are done by occurrence.
	total     int
	done      int
	stepsDone []int
}

// NewEntry returns the entry of a job that has not started.
func NewEntry(j work.Job, revision uint64) *Entry {
	e := &Entry{Job: j, Revision: revision}
	for _, s := range j.Steps {
		e.total += s.Count
	}
	e.total *= j.Occurrences()

	return e
}

// Clone returns a deep copy, except for the job, which is immutable.
func (e *Entry) Clone() *Entry {
	c := *e
	c.steps, c.stepsDone = slices.Clone(e.steps), slices.Clone(e.stepsDone)
	for i, st := range c.steps {
		if st != nil {
			copied := st.clone()
			c.steps[i] = &copied
		}
	}

	return &c
}

// Step returns the state of a step, which must exist in the job.
func (e *Entry) Step(s StepKey) StepState {
	if at := e.index(s); at < len(e.steps) && e.steps[at] != nil {
		return *e.steps[at]
	}

	return StepState{Count: e.Job.Steps[s.Step].Count}
}

// step returns the state of a step, creating it if needed.
func (e *Entry) step(s StepKey) *StepState {
	at := e.index(s)
	for len(e.steps) <= at {
		e.steps = append(e.steps, nil)
	}
	if e.steps[at] == nil {
		e.steps[at] = &StepState{Count: e.Job.Steps[s.Step].Count}
	}

	return e.steps[at]
}

func (e *Entry) index(s StepKey) int {
	return s.Occurrence*len(e.Job.Steps) + s.Step
}

// recordedSteps iterates over the steps that have logged changes.
func (e *Entry) recordedSteps(yield func(StepKey, *StepState) bool) {
	for i, st := range e.steps {
		if st != nil && !yield(StepKey{Occurrence: i / len(e.Job.Steps), Step: i % len(e.Job.Steps)}, st) {
			return
		}
	}
}

// HasTask reports whether t is a task of the job.
func (e *Entry) HasTask(t work.Task) bool {
	return t.Occurrence >= 0 && t.Occurrence < e.Job.Occurrences() && t.Step >= 0 && t.Step < len(e.Job.Steps) &&
		t.Index >= 0 && t.Index < e.Job.Steps[t.Step].Count
}

// Task returns the state of t, which must be a task of the job, creating it if needed.
func (e *Entry) Task(t work.Task) *TaskState {
	return e.step(StepKey{t.Occurrence, t.Step}).task(t.Index)
}

// Apply applies a change to the entry; changes to tasks that the job does not have are ignored.
func (e *Entry) Apply(c Change) {
	if c.Kind == JobFailed {
		e.Failed = true
		return
	}
	if !e.HasTask(c.Attempt.Task) {
		return
	}
	s := e.Task(c.Attempt.Task)
	if c.Kind == TaskSnapshot {
		e.applySnapshot(s, c)
		return
	}
	switch c.Kind {
	case Assigned:
		if c.Attempt.Number <= s.Attempts {
			// A snapshot that was applied before already includes the attempt.
			return
		}
		s.Attempts = c.Attempt.Number
		e.assigned = true
		s.Live = append(s.Live, LiveAttempt{Number: c.Attempt.Number, Worker: c.Worker, Life: c.Life})
	case Found:
		e.assigned = true
		s.Attempts = max(s.Attempts, c.Attempt.Number)
		s.LostStarts = slices.DeleteFunc(s.LostStarts, func(l LiveAttempt) bool { return l.Number == c.Attempt.Number })
		if !slices.ContainsFunc(s.Live, func(l LiveAttempt) bool { return l.Number == c.Attempt.Number }) {
			s.Live = append(s.Live, LiveAttempt{Number: c.Attempt.Number, Worker: c.Worker, Life: c.Life})
		}
	case StartLost:
		s.addLostStart(LiveAttempt{Number: c.Attempt.Number, Worker: c.Worker, Life: c.Life})
	case Begun:
		e.begun = true
	case Ended:
		e.applyEnd(s, c)
	case TaskCrashed:
		s.addCrash(Crash{Number: c.Attempt.Number, Worker: c.Worker, Life: c.Life})
	case CrashCleared:
		s.Crashes = slices.DeleteFunc(s.Crashes, func(k Crash) bool { return k.Worker == c.Worker && k.Life == c.Life })
	}
}

// addCrash adds a crash, unless a snapshot that was applied before already includes it.
func (t *TaskState) addCrash(k Crash) {
	if !slices.Contains(t.Crashes, k) {
		t.Crashes = append(t.Crashes, k)
	}
}

// LostStart reports whether the start of an attempt may be carried out late.
func (t *TaskState) LostStart(number int) bool {
	return slices.ContainsFunc(t.LostStarts, func(l LiveAttempt) bool { return l.Number == number })
}

// addLostStart adds a start that got no answer, unless a snapshot that was applied before already includes it.
func (t *TaskState) addLostStart(l LiveAttempt) {
	if slices.Contains(t.LostStarts, l) {
		return
	}
	t.LostStarts = append(t.LostStarts, l)
	t.LostStarts = t.LostStarts[max(0, len(t.LostStarts)-maxLostStarts):]
}

// applySnapshot replaces the state of a task by the one in a snapshot change.
func (e *Entry) applySnapshot(s *TaskState, c Change) {
	if c.Done && !s.Done {
		e.addDone(c.Attempt.Task)
	}
	e.assigned = true
	e.begun = e.begun || c.Done || c.Failures > 0
	*s = TaskState{
		Attempts: c.Attempt.Number, Failures: c.Failures, Done: c.Done, Live: slices.Clone(c.Live), Checkpoint: c.Checkpoint,
	}
}

// Snapshot returns changes that reproduce everything logged for the job.
func (e *Entry) Snapshot() []Change {
	changes, _ := e.RestateFrom(0, math.MaxInt)

	return changes
}

// RestateFrom returns about limit of the snapshot changes of the job, starting at position, and the position of the next
// change, or zero after the last one; the changes of one task stay together. A position stays valid when the job changes.
func (e *Entry) RestateFrom(position, limit int) (changes []Change, next int) {
	for at, st := range e.recordedSteps {
		first := e.position(at)
		for i, t := range st.Recorded {
			if t.Attempts == 0 || first+i < position {
				continue
			}
			if len(changes) >= limit {
				return changes, first + i
			}
			task := work.Task{Job: e.Job.ID, Occurrence: at.Occurrence, Step: at.Step, Index: i}
			changes = appendSnapshot(changes, task, t)
			if e.begun {
				changes = append(changes, Change{Kind: Begun, Attempt: work.Attempt{Task: task, Number: t.Attempts}})
			}
		}
	}
	if e.Failed && len(changes) >= limit {
		return changes, max(1, e.total)
	}
	if e.Failed {
		changes = append(changes, Change{Kind: JobFailed, Attempt: work.Attempt{Task: work.Task{Job: e.Job.ID}}})
	}

	return changes, 0
}

// appendSnapshot appends the changes that reproduce the state of a task.
func appendSnapshot(changes []Change, task work.Task, t *TaskState) []Change {
	changes = append(changes, Change{
		Kind: TaskSnapshot, Attempt: work.Attempt{Task: task, Number: t.Attempts}, Failures: t.Failures, Done: t.Done, Live: slices.Clone(t.Live),
		Checkpoint: t.Checkpoint,
	})
	for _, l := range t.LostStarts {
		changes = append(changes, Change{Kind: StartLost, Attempt: work.Attempt{Task: task, Number: l.Number}, Worker: l.Worker, Life: l.Life})
	}
	for _, k := range t.Crashes {
		changes = append(changes, Change{Kind: TaskCrashed, Attempt: work.Attempt{Task: task, Number: k.Number}, Worker: k.Worker, Life: k.Life})
	}

	return changes
}

// position returns the number of tasks that precede a step of an occurrence.
func (e *Entry) position(at StepKey) int {
	n := at.Occurrence * (e.total / e.Job.Occurrences())
	for _, s := range e.Job.Steps[:at.Step] {
		n += s.Count
	}

	return n
}

// RevertAssignment reverts an assignment that was applied but will not be stored.
func (e *Entry) RevertAssignment(a work.Attempt) {
	s := e.Task(a.Task)
	s.Live = slices.DeleteFunc(s.Live, func(l LiveAttempt) bool { return l.Number == a.Number })
	s.Attempts = a.Number - 1
}

func (e *Entry) applyEnd(s *TaskState, c Change) {
	live := len(s.Live)
	s.Live = slices.DeleteFunc(s.Live, func(l LiveAttempt) bool { return l.Number == c.Attempt.Number })
	ended := len(s.Live) < live
	if c.Checkpoint != "" {
		s.Checkpoint = c.Checkpoint
	}
	switch c.Outcome {
	case work.OutcomeDone:
		e.begun = true
		if !s.Done {
			s.Done = true
			e.addDone(c.Attempt.Task)
		}
	case work.OutcomeFailed:
		e.begun = true
		if ended {
			s.Failures++
		}
	}
}

// State returns the job state that is reported to callers.
func (e *Entry) State() State {
	switch {
	case e.Job.Cancelled:
		return Cancelled
	case e.Failed:
		return Failed
	case e.total > 0 && e.done >= e.total:
		return Completed
	case e.begun:
		return InProgress
	default:
		return Queued
	}
}

// Begun reports whether a task of the job is known to have begun.
func (e *Entry) Begun() bool {
	return e.begun
}

// Finished reports whether the job is in a final state, in which no more attempts start.
func (e *Entry) Finished() bool {
	return e.State() > InProgress
}

// StepDone reports whether all tasks of a step are done.
func (e *Entry) StepDone(s StepKey) bool {
	at := e.index(s)

	return at < len(e.steps) && e.steps[at] != nil && e.steps[at].Done >= e.steps[at].Count
}

// OccurrenceDone reports whether all steps of an occurrence are done.
func (e *Entry) OccurrenceDone(occurrence int) bool {
	return occurrence < len(e.stepsDone) && e.stepsDone[occurrence] == len(e.Job.Steps)
}

// RecordedOccurrences returns the number of the occurrence from which on none has logged changes.
func (e *Entry) RecordedOccurrences() int {
	if len(e.Job.Steps) == 0 {
		return 0
	}

	return (len(e.steps) + len(e.Job.Steps) - 1) / len(e.Job.Steps)
}

// TasksDone returns the number of tasks that are done, over all occurrences.
func (e *Entry) TasksDone() int {
	return e.done
}

// addDone counts a task that is done.
func (e *Entry) addDone(t work.Task) {
	e.done++
	st := e.step(StepKey{t.Occurrence, t.Step})
	if st.Done++; st.Done != st.Count {
		return
	}
	for len(e.stepsDone) <= t.Occurrence {
		e.stepsDone = append(e.stepsDone, 0)
	}
	e.stepsDone[t.Occurrence]++
}

// LiveAttempts iterates over the attempts that may still be running.
func (e *Entry) LiveAttempts(yield func(work.Attempt, LiveAttempt) bool) {
	e.eachAttempt(func(t *TaskState) []LiveAttempt { return t.Live }, yield)
}

// LostStarts iterates over the attempts whose starts may be carried out late.
func (e *Entry) LostStarts(yield func(work.Attempt, LiveAttempt) bool) {
	e.eachAttempt(func(t *TaskState) []LiveAttempt { return t.LostStarts }, yield)
}

// eachAttempt iterates over the attempts in one of the lists of each task.
func (e *Entry) eachAttempt(list func(*TaskState) []LiveAttempt, yield func(work.Attempt, LiveAttempt) bool) {
	for s, st := range e.recordedSteps {
		for i, t := range st.Recorded {
			for _, l := range list(t) {
				a := work.Attempt{Task: work.Task{Job: e.Job.ID, Occurrence: s.Occurrence, Step: s.Step, Index: i}, Number: l.Number}
				if !yield(a, l) {
					return
				}
			}
		}
	}
}

// String returns the name of the state as written to logs.
func (s State) String() string {
	return [...]string{"Queued", "InProgress", "Completed", "Failed", "Cancelled"}[s]
}

// Crashes iterates over the tasks under which workers crashed.
func (e *Entry) Crashes(yield func(work.Task, []Crash) bool) {
	for s, st := range e.recordedSteps {
		for i, t := range st.Recorded {
			task := work.Task{Job: e.Job.ID, Occurrence: s.Occurrence, Step: s.Step, Index: i}
			if len(t.Crashes) > 0 && !yield(task, t.Crashes) {
				return
			}
		}
	}
}
