package schedule

import (
	"fmt"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

const (
	// minMeasureTime is the least time over which the progress of a run is measured, and minMeasureFraction the least
	// fraction of its estimate, since workers report progress in whole percent.
	minMeasureTime     = 500 * time.Millisecond
	minMeasureFraction = 0.1
	// slowSpeed is the fraction of the estimated speed below which a worker is slow. Estimates are off by up to half.
	slowSpeed = 0.35
	// restoreTime is the most time that a worker takes to resume from a checkpoint and report progress.
	restoreTime = time.Second
	// slowQuarantine is how long a slow worker gets no new tasks.
	slowQuarantine = 2 * time.Second
	// maxMovesSlow bounds how often a task that makes progress is moved, since it may be slow on every worker, and
	// maxMovesStalled how often one that makes none is.
	maxMovesSlow    = 1
	maxMovesStalled = 4
	// progressPollWait is how long a worker may delay its answer while it runs tasks that are not lasting, whose
	// progress is measured.
	progressPollWait = 700 * time.Millisecond
	// donePercent is the progress of a run that is about to end.
	donePercent = 100
)

// progress is a run's progress at a point in time.
type progress struct {
	percent int
	at      time.Time
}

// measurable reports whether the run's speed indicates that of its worker, which excludes runs that depend on other
// tasks, read remote data or may be slowed.
func (r *run) measurable() bool {
	step := r.step
	switch {
	case step == nil, step.Lasting, step.Gang, step.Filling, step.Estimate <= 0:
		return false
	case step.Rack != "" && step.Rack != r.worker.reg.Rack:
		return false
	default:
		return r.phase == confirmed && !r.stopRequested && r.percent < donePercent
	}
}

// restoreAllowance returns how long a run may make no progress while it resumes from a checkpoint.
func (r *run) restoreAllowance() time.Duration {
	if r.step.Checkpointing && r.attempt.Number > 1 {
		return restoreTime
	}

	return 0
}

// speed returns the run's speed since it was last measured, as a fraction of the estimated speed, and false if that was
// too recent.
func (r *run) speed(now time.Time) (float64, bool) {
	took := now.Sub(r.lastProgress.at)
	if took < max(minMeasureTime, time.Duration(minMeasureFraction*float64(r.step.Estimate))) {
		return 0, false
	}

	return float64(r.percent-r.lastProgress.percent) / donePercent * r.step.Estimate.Seconds() / took.Seconds(), true
}

// measureSpeed detects slow workers by the progress of their runs. If all runs are stalled, or the runs of several jobs
// are far slower than estimated, the worker gets no new tasks for a time and its runs are moved.
func (s *Scheduler) measureSpeed(w *worker, now time.Time) {
	jobs := map[fleet.JobID]bool{}
	var runs []*run
	fastest := 0.0
	for _, r := range w.runs {
		if !r.measurable() {
			continue
		}
		if r.lastProgress.at.IsZero() {
			r.lastProgress = progress{r.percent, now.Add(r.restoreAllowance())}
			continue
		}
		speed, ok := r.speed(now)
		if !ok {
			continue
		}
		r.lastProgress = progress{r.percent, now}
		runs, fastest = append(runs, r), max(fastest, speed)
		jobs[r.attempt.Job] = true
	}
	if len(runs) == 0 || fastest >= slowSpeed || fastest > 0 && len(jobs) < 2 {
		return
	}
	w.quarantinedUntil = now.Add(slowQuarantine)
	s.dirty = true
	moved := 0
	for _, r := range runs {
		if s.moveIfFaster(r, fastest) {
			moved++
		}
	}
	s.observe(Decision{
		Kind: DecidedWorkerSlow, Worker: w.id, Reason: fmt.Sprintf("fastest of %d runs at %.2f of its estimated speed, %d moved", len(runs), fastest, moved),
	})
}

// moveIfFaster stops a run on a slow worker if a restart elsewhere would finish sooner, and reports whether it did.
func (s *Scheduler) moveIfFaster(r *run, speed float64) bool {
	j, ok := s.jobs[r.attempt.Job]
	maxMoves := maxMovesStalled
	if speed > 0 {
		maxMoves = maxMovesSlow
	}
	if !ok || j.moves[r.attempt.Task] >= maxMoves || float64(donePercent-r.percent)/donePercent < speed {
		return false
	}
	if j.moves == nil {
		j.moves = map[work.Task]int{}
	}
	j.moves[r.attempt.Task]++
	r.requestStop()
	r.worker.RequestPoll()

	return true
}
