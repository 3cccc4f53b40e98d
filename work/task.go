package work

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// ErrTaskName says that a text is not the name of a task.
var ErrTaskName = merry.Sentinel("work: not the name of a task")

// Task names one task of a job.
type Task struct {
	_          struct{} `cbor:",toarray"`
	Job        fleet.JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the name as workers know it.
func (t Task) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step.
func (t Task) StepName() string {
	return fmt.Sprintf("%s.%d.%d", t.Job, t.Occurrence, t.Step)
}

// ParseTask returns the task of that name.
func ParseTask(name string) (Task, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[0] == "" {
		return Task{}, merry.Prepend(ErrTaskName, strconv.Quote(name))
	}

	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return Task{}, merry.Prepend(ErrTaskName, strconv.Quote(name))
		}
		numbers[i] = n
	}

	return Task{Job: fleet.JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Attempt names one run of a task; attempts of a task are numbered from 1 and never reused.
type Attempt struct {
	_ struct{} `cbor:",toarray"`
	Task
	Number int
}

// Outcome says how a run ended.
type Outcome uint8

// The outcomes of runs.
const (
	// OutcomeDone is work that was finished.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed is a failure of the task or of its worker.
	OutcomeFailed
	// OutcomeStopped is a run that was stopped on our order.
	OutcomeStopped
	// OutcomeLapsed is a run whose lease ran out, or that was lost with its worker.
	OutcomeLapsed
	// OutcomeBroken is a gang's run of which another member ended.
	OutcomeBroken
	// OutcomeAlone is a gang's run that waited for the others in vain.
	OutcomeAlone
	// OutcomeNotStarted is a run that surely never began and never will.
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

// MaxListedEnds is how many ends a worker lists at a time.
const MaxListedEnds = 500

// End is the end of a run, in the order in which its worker lists them.
type End struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64
	Attempt    Attempt
	Outcome    Outcome
	Checkpoint string
}

// Activity is a run in progress on a worker.
type Activity struct {
	_          struct{} `cbor:",toarray"`
	Attempt    Attempt
	Checkpoint string
	// Percent is how much of its pace the run works at; 100 once it is at work.
	Percent int
	// Tail is the tail of the response times of a task that serves users.
	Tail time.Duration
}
