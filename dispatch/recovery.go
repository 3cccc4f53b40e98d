package dispatch

import (
	"sync"
	"time"
)

// Stage is a stage of the recovery at the beginning of a term, which is over when tasks start at the full rate.
type Stage string

// The stages, in the order in which they are usually reached.
const (
	// StageTerm has the time for which this process has seen the workers without an owner.
	StageTerm Stage = "Term"
	// StageLedger is reached when the ledger has been read.
	StageLedger Stage = "Ledger"
	// StageWorker is reached when the first worker has answered a poll.
	StageWorker Stage = "FirstWorker"
	// StageBatch is reached when the first batch of the log that assigns tasks is stored.
	StageBatch Stage = "FirstBatch"
	// StageStart is reached when a worker has confirmed the first start.
	StageStart Stage = "FirstStart"
	// StageRate is reached when fullRate starts a second are confirmed.
	StageRate Stage = "FullRate"
)

const (
	// fullRate is the number of starts in a second from which on the recovery counts as complete.
	fullRate = 300
	// rateWindow is the time over which that rate is measured.
	rateWindow = 250 * time.Millisecond
	// recoveryLimit is how long a recovery is measured; with less load the full rate is not reached.
	recoveryLimit = 10 * time.Second
)

// Stages returns all stages.
func Stages() []Stage {
	return []Stage{StageTerm, StageLedger, StageWorker, StageBatch, StageStart, StageRate}
}

// WithRecovery sets a function that is told the duration of each stage of a recovery when it is reached, from the beginning of the
// term.
func WithRecovery(f func(s Stage, took time.Duration)) Option {
	return func(d *Dispatcher) { d.observeStage = f }
}

// recovery measures the stages at the beginning of a term.
type recovery struct {
	began   time.Time
	observe func(s Stage, took time.Duration)

	mu     sync.Mutex
	stages map[Stage]time.Duration
	// recent has the times of the last starts, which become too old after rateWindow.
	recent []time.Time
	over   bool
}

func newRecovery(began time.Time, observe func(s Stage, took time.Duration)) *recovery {
	return &recovery{began: began, observe: observe, stages: map[Stage]time.Duration{}}
}

// reach notes that a stage is reached, unless it was before.
func (r *recovery) reach(s Stage, now time.Time) {
	r.note(s, now.Sub(r.began))
}

func (r *recovery) note(s Stage, took time.Duration) {
	r.mu.Lock()
	_, before := r.stages[s]
	over := r.over
	if !before && !over {
		r.stages[s] = took
	}
	r.mu.Unlock()
	if !before && !over && r.observe != nil {
		r.observe(s, took)
	}
}

// started notes a confirmed start.
func (r *recovery) started(now time.Time) {
	r.reach(StageStart, now)
	r.mu.Lock()
	if r.over || r.stages[StageRate] != 0 {
		r.mu.Unlock()
		return
	}
	old := 0
	for old < len(r.recent) && now.Sub(r.recent[old]) >= rateWindow {
		old++
	}
	r.recent = append(r.recent[old:], now)
	full := len(r.recent) >= int(fullRate*rateWindow/time.Second)
	r.mu.Unlock()
	if full {
		r.reach(StageRate, now)
	}
}

// finish ends the measurement if all stages are reached, the limit has passed or the term has ended. It returns what to log of the
// stages that were reached, once.
func (r *recovery) finish(now time.Time, ended bool) ([]any, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over || len(r.stages) < len(Stages()) && !ended && now.Sub(r.began) < recoveryLimit {
		return nil, false
	}
	r.over, r.recent = true, nil
	var fields []any
	for _, s := range Stages() {
		if took, ok := r.stages[s]; ok {
			fields = append(fields, string(s), took.Round(time.Millisecond))
		}
	}

	return fields, true
}

// reportRecovery logs the stages of the recovery once it is over.
func (t *term) reportRecovery(ended bool) {
	if fields, over := t.recovery.finish(time.Now(), ended); over {
		t.log.Info("recovery of the workers", append([]any{"term", t.ownership.Revision}, fields...)...)
	}
}
