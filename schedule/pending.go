package schedule

import (
	"slices"
	"time"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

const (
	// maxBatchChanges is the most changes of one batch, whose record must fit into a value of the store.
	maxBatchChanges = 4096
	// maxPendingChanges is how many changes may wait until no more runs are taken for over.
	maxPendingChanges = 2 * maxBatchChanges
)

// TakePending returns the changes to store in the ledger, at most maxBatchChanges, and the starts to send once they are stored.
func (s *Scheduler) TakePending() ([]ledger.Change, []Start) {
	if len(s.changes) > maxBatchChanges {
		return s.takePart()
	}
	changes, runs, hosts := s.changes, s.pendingRuns, s.pendingHosts
	s.changes, s.pendingRuns, s.pendingHosts = nil, nil, nil
	starts := make([]Start, 0, len(runs)+len(hosts))
	for _, r := range runs {
		starts = append(starts, Start{run: r})
	}
	for _, h := range hosts {
		starts = append(starts, Start{host: h})
	}

	return changes, starts
}

// takePart returns the first changes with the starts of the runs that they assign. Orders to hosts wait for the last part.
func (s *Scheduler) takePart() ([]ledger.Change, []Start) {
	changes := slices.Clone(s.changes[:maxBatchChanges])
	s.changes = slices.Delete(s.changes, 0, maxBatchChanges)
	var starts []Start
	for _, c := range changes {
		if c.Kind == ledger.Assigned {
			// Each assignment is recorded together with its pending run.
			starts = append(starts, Start{run: s.pendingRuns[len(starts)]})
		}
	}
	s.pendingRuns = slices.Delete(s.pendingRuns, 0, len(starts))

	return changes, starts
}

// record applies a change to the job and queues it for the ledger.
func (s *Scheduler) record(e *ledger.Entry, c ledger.Change) {
	e.Apply(c)
	s.changes = append(s.changes, c)
}

// CancelStarts cancels starts that are stored but must not be sent.
func (s *Scheduler) CancelStarts(starts []Start) {
	for _, st := range starts {
		if st.host != nil {
			s.cancelPlan(st.host, time.Time{})
			continue
		}
		if st.run.worker.runs[st.run.attempt] == st.run {
			s.endRun(st.run, ending{source: NeverSent, outcome: work.OutcomeNotStarted, reason: "ownership term no longer confirmed"})
		}
	}
	s.ackStoredEnds()
}
