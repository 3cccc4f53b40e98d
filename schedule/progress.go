package schedule

import (
	"fmt"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

const (
	// gaugeTime is the least time over which the progress of a run is measured, and gaugePart that as a part of its
	// estimate: workers tell progress in whole percent.
	gaugeTime = 500 * time.Millisecond
	gaugePart = 0.1
	// slowSpeed is the speed, as a part of what the estimates promise, below which a worker is slow. Estimates are off by
	// half.
	slowSpeed = 0.35
	// restoreTime is the most that a worker takes to go on from a checkpoint, with the time until it says so.
	restoreTime = time.Second
	// slowPause is how long a slow worker gets no new tasks.
	slowPause = 2 * time.Second
	// movesWhenSlow bounds how often a task moves that makes progress, as it may be slow wherever it runs, and movesWhenStill
	// how often one that makes none.
	movesWhenSlow  = 1
	movesWhenStill = 4
	// progressPollWait is how long a worker may hold back its answer while tasks that make progress run there.
	progressPollWait = 700 * time.Millisecond
	// wholePercent is the progress of a run that is about to end.
	wholePercent = 100
)

// progress is how far a run was at some time.
type progress struct {
	percent int
	at      time.Time
}

// gauged reports whether the run's progress tells of its worker: it works on its own, near its data, at its full pace.
func (r *run) gauged() bool {
	step := r.step
	switch {
	case step == nil, step.Lasting, step.Gang, step.Filling, step.Estimate <= 0:
		return false
	case step.Rack != "" && step.Rack != r.worker.reg.Rack:
		return false
	default:
		return r.phase == confirmed && !r.stop && r.percent < wholePercent
	}
}

// restoring returns how long a run may stand still before it goes on from a checkpoint.
func (r *run) restoring() time.Duration {
	if r.step.Checkpointing && r.attempt.Number > 1 {
		return restoreTime
	}

	return 0
}

// speed returns how fast the run went since it was last measured, as a part of what its estimate promises, and whether that
// was long enough ago.
func (r *run) speed(now time.Time) (float64, bool) {
	took := now.Sub(r.mark.at)
	if took < max(gaugeTime, time.Duration(gaugePart*float64(r.step.Estimate))) {
		return 0, false
	}

	return float64(r.percent-r.mark.percent) / wholePercent * r.step.Estimate.Seconds() / took.Seconds(), true
}

// gauge learns from the progress of its runs how fast a worker is. Where all stand still, or those of several jobs are far
// slower than their estimates, the worker gets no new tasks for a time, and what runs there goes on elsewhere.
func (s *Scheduler) gauge(w *worker, now time.Time) {
	jobs := map[fleet.JobID]bool{}
	var runs []*run
	fastest := 0.0
	for _, r := range w.runs {
		if !r.gauged() {
			continue
		}
		if r.mark.at.IsZero() {
			r.mark = progress{r.percent, now.Add(r.restoring())}
			continue
		}
		speed, ok := r.speed(now)
		if !ok {
			continue
		}
		r.mark = progress{r.percent, now}
		runs, fastest = append(runs, r), max(fastest, speed)
		jobs[r.attempt.Job] = true
	}
	if len(runs) == 0 || fastest >= slowSpeed || fastest > 0 && len(jobs) < 2 {
		return
	}
	w.quarantine = now.Add(slowPause)
	s.dirty = true
	moved := 0
	for _, r := range runs {
		if s.leave(r, fastest) {
			moved++
		}
	}
	s.observe(Decision{
		What: DecidedWorkerSlow, Worker: w.id, Reason: fmt.Sprintf("fastest of %d runs at %.2f of its estimate, %d moved", len(runs), fastest, moved),
	})
}

// leave stops a run on a slow worker if it would be done sooner anew elsewhere, and reports whether it does.
func (s *Scheduler) leave(r *run, speed float64) bool {
	j, ok := s.jobs[r.attempt.Job]
	most := movesWhenStill
	if speed > 0 {
		most = movesWhenSlow
	}
	if !ok || j.moved[r.attempt.Task] >= most || float64(wholePercent-r.percent)/wholePercent < speed {
		return false
	}
	if j.moved == nil {
		j.moved = map[work.Task]int{}
	}
	j.moved[r.attempt.Task]++
	r.halt()
	r.worker.wake = true

	return true
}
