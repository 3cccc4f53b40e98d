package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"lycheehook.example/lycheehook/standin"
)

// soakJudge compares what callers were told with what ran on the workers.
type soakJudge struct {
	began time.Time

	mu       sync.Mutex
	accepted map[string]bool
	refused  map[string]bool
	// cancelled has when a cancel was acknowledged; the zero time stands for one without an answer.
	cancelled map[string]time.Time
	// runs has the runs of each task. A worker tells of an end when it is next called, which may be after another worker's
	// begin of the same task, so that they are compared in the end.
	runs map[string][]*soakRun
	// done counts the runs of each task that were finished, ran the runs of each job that began.
	done  map[string]int
	ran   map[string]int
	begun int
	// story has the faults of the site, and found what broke a promise.
	story, found []string
}

// soakRun is one run of a task; its end is zero while it is not known.
type soakRun struct {
	attempt    int
	begin, end time.Time
}

func newSoakJudge() *soakJudge {
	return &soakJudge{
		began: time.Now(), accepted: map[string]bool{}, refused: map[string]bool{}, cancelled: map[string]time.Time{},
		runs: map[string][]*soakRun{}, done: map[string]int{}, ran: map[string]int{},
	}
}

func (j *soakJudge) note(text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.story = append(j.story, fmt.Sprintf("%.3f s %s", time.Since(j.began).Seconds(), text))
}

func (j *soakJudge) accept(id string) { j.set(j.accepted, id) }
func (j *soakJudge) refuse(id string) { j.set(j.refused, id) }

func (j *soakJudge) set(ids map[string]bool, id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	ids[id] = true
}

func (j *soakJudge) cancel(id string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cancelled[id] = at
}

// run takes in what happens on a worker.
func (j *soakJudge) run(e standin.RunEvent) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job, _, _ := strings.Cut(e.Task, ".")
	if e.How != "" {
		for _, r := range j.runs[e.Task] {
			if r.attempt == e.Attempt && r.end.IsZero() {
				r.end = e.At
			}
		}
		if e.How == "done" {
			j.done[e.Task]++
		}

		return
	}
	if at := j.cancelled[job]; !at.IsZero() && e.At.Sub(at) > cancelTime {
		j.broken("task %s began %s after the cancel of its job", e.Task, e.At.Sub(at))
	}
	j.runs[e.Task] = append(j.runs[e.Task], &soakRun{attempt: e.Attempt, begin: e.At})
	j.ran[job]++
	j.begun++
}

func (j *soakJudge) at(t time.Time) string {
	return fmt.Sprintf("%.3f s", t.Sub(j.began).Seconds())
}

// broken notes a broken promise; the judge is locked.
func (j *soakJudge) broken(format string, args ...any) {
	j.found = append(j.found, fmt.Sprintf(format, args...))
}

// compare finds runs of a task that overlap. A second run may begin once the first has ended, by its lease too.
func (j *soakJudge) compare(task string, runs []*soakRun) {
	slices.SortFunc(runs, func(a, b *soakRun) int { return a.begin.Compare(b.begin) })
	for i, r := range runs {
		for _, next := range runs[i+1:] {
			if r.end.IsZero() || next.begin.Before(r.end) {
				j.broken("task %s began as attempt %d at %s while attempt %d of %s ran until %s",
					task, next.attempt, j.at(next.begin), r.attempt, j.at(r.begin), j.at(r.end))
			}
		}
	}
}

// told takes in what a host says of a job that is over.
func (j *soakJudge) told(id, answer string) {
	if !strings.Contains(answer, "completed") {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for task := range j.done {
		if strings.HasPrefix(task, id+".") {
			n++
		}
	}
	if n < soakJobTasks {
		j.broken("job %s is told as completed with %d of %d tasks done", id, n, soakJobTasks)
	}
}

// open returns the jobs that must be over in the end.
func (j *soakJudge) open() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var ids []string
	for id := range j.accepted {
		ids = append(ids, id)
	}
	slices.Sort(ids)

	return ids
}

// faults returns what broke a promise, with the story of the site's faults before it.
func (j *soakJudge) faults() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	for task, runs := range j.runs {
		j.compare(task, runs)
	}
	for job, n := range j.ran {
		if j.refused[job] {
			j.broken("%d runs of job %s, which was refused", n, job)
		}
	}
	if len(j.found) == 0 {
		return nil
	}

	return append(j.story, j.found...)
}
