package schedule

import (
	"fmt"
	"time"

	"lycheehook.example/lycheehook/work"
)

const (
	// maxLateAge is the age up to which a lasting run that was alone may be the cause of a crash of its worker. Later crashes are
	// rare whatever their cause.
	maxLateAge = 10 * time.Second
	// lateAgeSpread is how much the ages of the crashes that a task causes may differ.
	lateAgeSpread = time.Second
)

// lateCrashes is a series of crashes of workers on which nothing but one lasting task ran, each at about the same age of its run.
// Isolation can't tell whether the task is the cause, since the run outlives it.
type lateCrashes struct {
	count int
	age   time.Duration
}

// noteLateCrash takes note of the crash of a worker if its only run was a lasting one that had outlived the longest isolation.
// It returns that run if its task has done so too often, and nil otherwise. Other owners don't know the series.
func (s *Scheduler) noteLateCrash(w *worker, now time.Time) *run {
	r := w.onlyRun()
	if r == nil || !r.step.Lasting || r.entry == nil || r.entry.Finished() || s.rackFailed(w) {
		return nil
	}
	j, open := s.jobs[r.attempt.Job]
	age := r.ageAtCrash(now)
	if !open || age <= maxIsolation || age > maxLateAge {
		return nil
	}
	t := r.attempt.Task
	if j.late == nil {
		j.late = map[work.Task]lateCrashes{}
	}
	series := j.late[t]
	if (age - series.age).Abs() > lateAgeSpread {
		series.count = 0
	}
	series.count++
	series.age = age
	j.late[t] = series
	if series.count < failAfterLateCrashes {
		return nil
	}

	return r
}

// endLateCrashes ends the series of tasks whose runs have lasted longer than before.
func (s *Scheduler) endLateCrashes(j *job) {
	for t, series := range j.late {
		for _, l := range j.entry.Task(t).Live {
			r := s.runOf(work.Attempt{Task: t, Number: l.Number}, l.Worker)
			if r != nil && r.provenAge() > series.age+lateAgeSpread {
				delete(j.late, t)
			}
		}
	}
}

// onlyRun returns the only run on the worker, or nil if there are none or several.
func (w *worker) onlyRun() *run {
	runs := w.runsOfLife()
	if len(runs) != 1 {
		return nil
	}

	return runs[0]
}

func (l lateCrashes) String() string {
	return fmt.Sprintf("%d workers crashed about %v after the task had started there alone", l.count, l.age.Round(100*time.Millisecond))
}
