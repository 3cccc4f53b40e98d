package work

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// ErrInvalidTaskName means that a string is not the name of a task.
var ErrInvalidTaskName = merry.Sentinel("work: not the name of a task")

// Task identifies one task of a job.
type Task struct {
	_          struct{} `cbor:",toarray"`
	Job        fleet.JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name in the worker API: the job, occurrence, step and index, separated by dots.
func (t Task) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step.
func (t Task) StepName() string {
	return fmt.Sprintf("%s.%d.%d", t.Job, t.Occurrence, t.Step)
}

// ParseTask parses a task name as returned by Task.String.
func ParseTask(name string) (Task, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[0] == "" {
		return Task{}, merry.Prepend(ErrInvalidTaskName, strconv.Quote(name))
	}

	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return Task{}, merry.Prepend(ErrInvalidTaskName, strconv.Quote(name))
		}
		numbers[i] = n
	}

	return Task{Job: fleet.JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Attempt identifies one run of a task; the attempts of a task are numbered from 1, and no number is reused.
type Attempt struct {
	_ struct{} `cbor:",toarray"`
	Task
	Number int
}

// Outcome is the way in which a run ended.
type Outcome uint8

// The outcomes of runs.
const (
	// OutcomeDone means that the task finished its work.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed means that the task or its worker failed.
	OutcomeFailed
	// OutcomeStopped means that the run was stopped by a Stop call.
	OutcomeStopped
	// OutcomeLapsed means that the run's lease expired, or that the run was lost with its worker.
	OutcomeLapsed
	// OutcomeGangBroken means that another member of the run's gang ended.
	OutcomeGangBroken
	// OutcomeGangIncomplete means that the run waited in vain for the other members of its gang.
	OutcomeGangIncomplete
	// OutcomeNotStarted means that the run certainly never started and never will.
	OutcomeNotStarted
)

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	names := [...]string{"Unknown", "Done", "Failed", "Stopped", "Lapsed", "Broken", "Alone", "NotStarted"}
	if int(o) >= len(names) {
		return names[0]
	}

	return names[o]
}

// MaxListedEnds is the maximum number of ends in a worker's reply to one poll.
const MaxListedEnds = 500

// End is the end of a run; a worker numbers the ends of its runs in increasing order.
type End struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64
	Attempt    Attempt
	Outcome    Outcome
	Checkpoint string
}

// Activity is the state of a run in progress on a worker.
type Activity struct {
	_          struct{} `cbor:",toarray"`
	Attempt    Attempt
	Checkpoint string
	// Percent is the run's current speed in percent of its full speed; 100 once it is fully at work.
	Percent int
	// Tail is the tail response time of a task that serves requests.
	Tail time.Duration
}
