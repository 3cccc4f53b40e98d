package schedule

import (
	"time"

	"lycheehook.example/lycheehook/work"
)

const (
	// probeAfter is how long a worker that may carry out a start late answers nothing until it is probed. It is longer than its polls
	// wait.
	probeAfter = 150 * time.Millisecond
	// minProbeInterval and maxProbeInterval bound the time between two probes of a worker, which grows by the part 1/probeGrowth of the
	// time for which it has been silent.
	minProbeInterval = 40 * time.Millisecond
	maxProbeInterval = 200 * time.Millisecond
	probeGrowth      = 20
)

// Probe shows a token to a worker that is silent while it may carry out a start late, beside the poll that waits there: its next incarnation
// begins the start unless it has seen a newer token.
type Probe struct {
	Worker work.Registration
	Token  uint64
}

// DueProbes returns the workers to probe from now on, each until NextProbe returns none.
func (s *Scheduler) DueProbes(now time.Time) []work.WorkerID {
	var due []work.WorkerID
	for _, w := range s.workers {
		if !w.probed && w.needsProbe(now) {
			w.probed = true
			due = append(due, w.id)
		}
	}

	return due
}

// NextProbe returns the probe of a worker to send now and the pause after it, or false if the worker is not to be probed any more.
func (s *Scheduler) NextProbe(id work.WorkerID, now time.Time) (Probe, time.Duration, bool) {
	w, ok := s.workers[id]
	if !ok {
		return Probe{}, 0, false
	}
	w.probed = w.needsProbe(now)
	if !w.probed {
		return Probe{}, 0, false
	}
	pause := min(maxProbeInterval, max(minProbeInterval, w.SilentFor(now)/probeGrowth))

	return Probe{Worker: w.Target(w.reg), Token: w.Token()}, pause, true
}

// Probed handles the answer to a probe. A probe without an answer proves nothing, since it waits less than a poll.
func (s *Scheduler) Probed(p Probe, a work.Answer, now time.Time) {
	w, ok := s.workers[p.Worker.ID]
	if !ok || a.Life == 0 {
		return
	}
	w.Heard(now)
	if !w.Restarted(a) {
		return
	}
	s.observe(Decision{Kind: DecidedRestartSuspected, Worker: w.id, Token: p.Token, Life: a.Life, Reason: "another incarnation answered a probe"})
	w.Doubt()
}

// needsProbe reports whether the worker is silent while it may carry out a start late.
func (w *worker) needsProbe(now time.Time) bool {
	return w.LateStartExpected(now) && w.SilentFor(now) > probeAfter && w.Target(w.reg).Address != ""
}
