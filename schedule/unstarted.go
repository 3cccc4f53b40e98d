package schedule

import (
	"cmp"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/session"
	"lycheehook.example/lycheehook/work"
)

// The reasons of runs that are assigned and not known to run.
const (
	// LogNotWritten runs wait until the ledger has stored their assignment.
	LogNotWritten WaitReason = "LogNotWritten"
	// StartNotAnswered runs have had their start sent, and the call has not returned.
	StartNotAnswered WaitReason = "StartNotAnswered"
	// StartNotSettled runs have a start without an answer, and their worker has not listed its runs since.
	StartNotSettled WaitReason = "StartNotSettled"
	// InheritedNotSettled runs were assigned by a previous owner, and their worker has not listed its runs since.
	InheritedNotSettled WaitReason = "InheritedNotSettled"
	// OnSilentWorker runs were confirmed by a worker that has left polls unanswered.
	OnSilentWorker WaitReason = "OnSilentWorker"
	// StopNotSettled runs must end, so that their tasks can start again, and have not been listed as ended.
	StopNotSettled WaitReason = "StopNotSettled"
)

const (
	// unstartedAfter is how long none of a ready step's tasks starts until its job counts as unstarted.
	unstartedAfter = 3 * time.Second
	// unstartedInterval is the time between two searches for unstarted jobs.
	unstartedInterval = time.Second
	// maxUnstartedLines bounds the decisions of one search.
	maxUnstartedLines = 20
	// maxExaminedTasks bounds the tasks for which one search asks the placement.
	maxExaminedTasks = 100
)

// unstarted has the steps and runs that wait, as of the last search for unstarted jobs.
type unstarted struct {
	searchedAt time.Time
	waits      map[waitKey]*wait
	// heldSince has the runs that are not known to run.
	heldSince map[*run]time.Time
}

// waitKey identifies a step's tasks that wait for their placement, or those that are held by runs which don't run.
type waitKey struct {
	job  fleet.JobID
	step ledger.StepKey
	held bool
}

// wait is the wait of some tasks of a step.
type wait struct {
	key waitKey
	// ready is the step while it waits for its placement, of which progress was seen last at since.
	ready    *readyStep
	progress stepProgress
	since    time.Time
	reason   WaitReason
	words    string
	// task and worker are one that waits, and its worker if it is held there.
	task   work.Attempt
	worker work.WorkerID
	// logged is the last reason that was logged, examinedAt when the reason was last determined.
	logged     WaitReason
	examinedAt time.Time
}

// stepProgress changes when a task of a step starts.
type stepProgress struct {
	done, failures int
	confirmedAt    time.Time
}

// Unstarted returns the numbers of jobs that are ready and have had none of their ready tasks started for
// unstartedAfter, by reason, and observes a decision for each whose reason is new. It returns false if no search is due:
// that follows a placement, unless there is none for long.
func (s *Scheduler) Unstarted(now time.Time) (map[WaitReason]int, bool) {
	placing := s.configured && now.Sub(s.placedAt) < placementOverdue
	if now.Sub(s.unstarted.searchedAt) < unstartedInterval || placing && !s.placedAt.Equal(now) {
		return nil, false
	}
	s.unstarted.searchedAt = now
	before := s.unstarted.waits
	s.unstarted.waits = map[waitKey]*wait{}
	s.findWaiting(before, now)
	s.findHeld(before, now)
	late := s.lateWaits(now)
	s.examine(late, now)
	s.logWaits(late, now)

	return countJobs(late), true
}

// findWaiting adds the steps with tasks that may start.
func (s *Scheduler) findWaiting(before map[waitKey]*wait, now time.Time) {
	confirmed := s.lastConfirmed()
	for _, r := range s.firstReadySteps(now) {
		key := waitKey{job: r.job.entry.Job.ID, step: r.step}
		progress := progressOf(r, confirmed[key])
		w, ok := before[key]
		if !ok || w.progress != progress {
			w = &wait{key: key, progress: progress, since: now, reason: NotExamined}
		}
		w.ready, w.task = r, work.Attempt{Task: r.task(r.tasks.first())}
		s.unstarted.waits[key] = w
	}
}

// lastConfirmed returns when a run of each step was last confirmed.
func (s *Scheduler) lastConfirmed() map[waitKey]time.Time {
	last := map[waitKey]time.Time{}
	for _, w := range s.workers {
		for a, r := range w.runs {
			key := waitKey{job: a.Job, step: ledger.StepKey{Occurrence: a.Occurrence, Step: a.Step}}
			if r.confirmedAt.After(last[key]) {
				last[key] = r.confirmedAt
			}
		}
	}

	return last
}

func progressOf(r *readyStep, confirmedAt time.Time) stepProgress {
	st := r.job.entry.Step(r.step)
	p := stepProgress{done: st.Done, confirmedAt: confirmedAt}
	for _, t := range st.Recorded {
		p.failures += t.Failures
	}

	return p
}

// findHeld adds the steps with runs that have not been known to run for unstartedAfter.
func (s *Scheduler) findHeld(before map[waitKey]*wait, now time.Time) {
	since := map[*run]time.Time{}
	for _, w := range s.workers {
		for _, r := range w.runs {
			reason := r.heldBy()
			if reason == noObstacle {
				continue
			}
			at, ok := s.unstarted.heldSince[r]
			if !ok {
				at = now
			}
			since[r] = at
			s.addHeld(before, r, reason, at, now)
		}
	}
	s.unstarted.heldSince = since
}

// addHeld adds the step of a run that is held, with the run that has been held longest.
func (s *Scheduler) addHeld(before map[waitKey]*wait, r *run, reason WaitReason, since, now time.Time) {
	if now.Sub(since) < unstartedAfter {
		return
	}
	key := waitKey{job: r.attempt.Job, step: ledger.StepKey{Occurrence: r.attempt.Occurrence, Step: r.attempt.Step}, held: true}
	w := &wait{key: key, since: since, reason: reason, words: string(reason), task: r.attempt, worker: r.worker.id}
	if b, ok := before[key]; ok {
		w.logged = b.logged
	}
	if o, ok := s.unstarted.waits[key]; !ok || w.compare(o) < 0 {
		s.unstarted.waits[key] = w
	}
}

// compare orders waits; the oldest is first.
func (w *wait) compare(o *wait) int {
	a, b := w.task, o.task
	if c := cmp.Or(w.since.Compare(o.since), cmp.Compare(a.Job, b.Job)); c != 0 {
		return c
	}

	return cmp.Or(
		cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Number, b.Number),
	)
}

// heldBy returns why a run is not known to run although its task has to.
func (r *run) heldBy() WaitReason {
	reason := noObstacle
	switch {
	case r.phase == assigned:
		reason = LogNotWritten
	case r.phase == sent:
		reason = StartNotAnswered
	case r.phase == unanswered:
		reason = StartNotSettled
	case r.phase == inherited:
		reason = InheritedNotSettled
	case r.worker.Missed() >= session.MaxMissed:
		reason = OnSilentWorker
	case r.stopRequested:
		reason = StopNotSettled
	}
	if reason == noObstacle || r.entry == nil || r.entry.Finished() || r.entry.Task(r.attempt.Task).Done {
		return noObstacle
	}

	return reason
}

// lateWaits returns the waits of at least unstartedAfter, the oldest first.
func (s *Scheduler) lateWaits(now time.Time) []*wait {
	var late []*wait
	for _, w := range s.unstarted.waits {
		if now.Sub(w.since) >= unstartedAfter {
			late = append(late, w)
		}
	}
	slices.SortFunc(late, (*wait).compare)

	return late
}

// examine determines why the placement did not start some of the steps, those first whose reason is oldest.
func (s *Scheduler) examine(late []*wait, now time.Time) {
	order := slices.DeleteFunc(slices.Clone(late), func(w *wait) bool { return w.key.held })
	slices.SortStableFunc(order, func(a, b *wait) int { return a.examinedAt.Compare(b.examinedAt) })
	sets := s.usableWorkers(now)
	tasks := 0
	for _, w := range order {
		if tasks >= maxExaminedTasks {
			return
		}
		tasks++
		if w.ready.job.entry.Job.Steps[w.key.step.Step].Gang {
			tasks += w.ready.tasks.len()
		}
		p, ok := sets[w.ready.queue.Pool]
		if !ok {
			p = &workerSet{}
		}
		w.reason, w.words = s.refusal(w.ready, p, now)
		w.examinedAt = now
	}
}

// logWaits observes a decision for some of the waits whose reason is not logged yet.
func (s *Scheduler) logWaits(late []*wait, now time.Time) {
	lines := 0
	for _, w := range late {
		if w.reason == w.logged || w.reason == NotExamined {
			continue
		}
		if lines == maxUnstartedLines {
			return
		}
		lines++
		w.logged = w.reason
		d := Decision{Kind: DecidedUnstarted, Attempt: w.task, Worker: w.worker, Reason: w.words, Age: now.Sub(w.since)}
		if w.ready != nil {
			d.Urgency = w.ready.rank.urgency.String()
		}
		s.observe(d)
	}
}

// countJobs returns the numbers of jobs by reason.
func countJobs(late []*wait) map[WaitReason]int {
	type jobReason struct {
		job    fleet.JobID
		reason WaitReason
	}
	seen := map[jobReason]bool{}
	counts := map[WaitReason]int{}
	for _, w := range late {
		if k := (jobReason{w.key.job, w.reason}); !seen[k] {
			seen[k] = true
			counts[w.reason]++
		}
	}

	return counts
}
