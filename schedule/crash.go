package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

const (
	// failAfterCrashes is how many workers may crash under a task before its job fails, and failAfterCrashesAlone how many if
	// it was isolated on the last one, or alone there, so that hardly anything but the task can be the cause.
	failAfterCrashes      = 3
	failAfterCrashesAlone = 2
	// failAfterLastingCrashes is the limit for lasting tasks, whose jobs others depend on, so that one crash by chance in their
	// isolation does not end them.
	failAfterLastingCrashes = 4
	// failAfterGangCrashes is the limit for members of gangs, which are not isolated, failAfterSharedCrashes that for one of
	// several tasks that may be the cause, of which the next isolation tells the innocent ones.
	failAfterGangCrashes   = 4
	failAfterSharedCrashes = 4
	// failAfterLateCrashes is the limit for tasks that crash their workers late, when others may be the cause.
	failAfterLateCrashes = 5
	// maxSuspects is the most tasks that one crash speaks against, those that started last. It tells nothing about one of so many.
	maxSuspects = 128
	// rackFailureSpan is the time within which all hosts of a rack go down if the rack has failed, and minRackHosts the
	// least number of hosts from which such a failure is told from the crashes of single hosts.
	rackFailureSpan = 2 * time.Second
	minRackHosts    = 3
	// unknownAgeTrial is how long a task must run to be cleared of a crash that a previous owner recorded.
	unknownAgeTrial = 10 * time.Second
	// minTrialMargin is the least time by which a run must outlive the age at which its worker crashed before.
	minTrialMargin = time.Second
)

// incarnation identifies one life of a worker.
type incarnation struct {
	worker work.WorkerID
	life   work.Life
}

// suspicion is what this owner knows of a task under which workers crashed; the crashes themselves are in the ledger.
type suspicion struct {
	// age is the most that a run of the task had lasted when its worker crashed; zero means unknown.
	age time.Duration
	// last is the last crash; early reports that the task had started so shortly before that isolation can tell its part.
	last  incarnation
	early bool
	// withRack counts the crashes of whole racks, which are less likely the task's doing.
	withRack int
	// isolate reports whether the next run must be isolated, which it has waited for since then.
	isolate bool
	since   time.Time
}

// trial returns how long a run must last to clear the task. A lasting task is on many workers that crash for other reasons
// later, so that its isolation is enough.
func (p *suspicion) trial(step *work.Step) time.Duration {
	switch {
	case step.Lasting:
		return p.isolation()
	case p.age == 0:
		return unknownAgeTrial
	default:
		return max(2*p.age, p.age+minTrialMargin)
	}
}

// adoptCrashes applies the crashes that the ledger has of a job.
func (s *Scheduler) adoptCrashes(j *job) {
	for t, crashes := range j.entry.Crashes {
		p := j.suspect(t)
		for _, c := range crashes {
			p.last = incarnation{c.Worker, c.Life}
			s.suspects[p.last] = append(s.suspects[p.last], t)
		}
		p.isolate = j.crashes(t) >= failAfterCrashesAlone
	}
}

// suspect returns what is known of a task under which a worker crashed.
func (j *job) suspect(t work.Task) *suspicion {
	if j.suspicions == nil {
		j.suspicions = map[work.Task]*suspicion{}
	}
	p, ok := j.suspicions[t]
	if !ok {
		p = &suspicion{}
		j.suspicions[t] = p
	}

	return p
}

// crashes returns how many workers crashed under a task, as far as its part in that is not excluded.
func (j *job) crashes(t work.Task) int {
	n := len(j.entry.Task(t).Crashes)
	if p, ok := j.suspicions[t]; ok {
		n += p.withRack
	}

	return n
}

// crashed records that a worker ended unexpectedly as evidence against the tasks that may have caused it, and fails the job
// of the task that did, if that is known. The caller ends the runs.
func (s *Scheduler) crashed(w *worker, reason string, now time.Time) {
	lost := w.runsOfLife()
	if len(lost) == 0 {
		return
	}
	runs := suspectRuns(w, lost, now)
	cause := s.causeOfEnd(w, now)
	s.observe(Decision{Kind: DecidedWorkerCrashed, Worker: w.id, Host: w.host, Reason: fmt.Sprintf("%s, with %d tasks, %d of them suspected%s", reason, len(lost), len(runs), cause)})
	if cause != "" {
		return
	}
	if r := s.noteLateCrash(w, now); r != nil {
		s.giveUp(r, s.jobs[r.attempt.Job].late[r.attempt.Task].String())
		return
	}
	if len(runs) == 0 {
		return
	}
	inRack := s.rackFailed(w)
	rackFailed, alone := inRack && len(w.isolated) == 0, !inRack && (len(lost) == 1 || len(w.isolated) == 1)
	slots := s.isolationSlots(w.reg.Pool)
	for _, r := range runs {
		if s.addCrash(r, rackFailed, now) && slots > 0 {
			s.jobs[r.attempt.Job].suspicions[r.attempt.Task].isolate = true
			slots--
		}
	}
	if rackFailed {
		return
	}
	if r := s.culprit(runs, alone); r != nil {
		s.giveUp(r, r.crashedWorkers())
	}
}

// addCrash notes a crash of the worker of a run, and reports whether the run had begun shortly before. A crash of a
// whole rack is not kept in the ledger.
func (s *Scheduler) addCrash(r *run, rackFailed bool, now time.Time) bool {
	j, t, in := s.jobs[r.attempt.Job], r.attempt.Task, incarnation{r.worker.id, r.life}
	p := j.suspect(t)
	p.early, p.since = false, now
	if rackFailed {
		p.withRack++
	} else {
		p.last, j.lastCrash = in, now
		s.record(r.entry, ledger.Change{Kind: ledger.TaskCrashed, Attempt: r.attempt, Worker: in.worker, Life: in.life})
		s.suspects[in] = append(s.suspects[in], t)
	}
	p.isolate = j.crashes(t) >= failAfterCrashesAlone
	if r.startedAt.IsZero() {
		return false
	}
	age := r.ageAtCrash(now)
	p.age, p.early = max(p.age, age, time.Millisecond), !rackFailed && age <= maxIsolation

	return age <= maxFirstIsolation
}

// runsOfLife returns the runs that the worker's known incarnation has, or may begin, as far as the owner knows.
func (w *worker) runsOfLife() []*run {
	var runs []*run
	for _, r := range w.runs {
		if r.life == w.Life() {
			runs = append(runs, r)
		}
	}

	return runs
}

// suspectRuns returns those of the lost runs that may have ended their worker, of jobs that are not over: the isolated runs if there are
// any, or else all that may have been active, those first that started last. A lasting run that outlived the longest isolation
// is not one of them, since it would have been cleared by that.
func suspectRuns(w *worker, lost []*run, now time.Time) []*run {
	var runs, isolated []*run
	for _, r := range lost {
		if r.phase == assigned || r.entry == nil || r.entry.Finished() || r.entry.Task(r.attempt.Task).Done {
			continue
		}
		if slices.Contains(w.isolated, r) {
			isolated = append(isolated, r)
		}
		if !r.step.Lasting || r.ageAtCrash(now) <= maxIsolation {
			runs = append(runs, r)
		}
	}
	if len(isolated) > 0 {
		runs = isolated
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(b.startedAt.Compare(a.startedAt), compareTasks(a.attempt.Task, b.attempt.Task))
	})

	return runs[:min(len(runs), maxSuspects)]
}

// ageAtCrash returns how long the run had lasted when its worker crashed, as far as this owner knows.
func (r *run) ageAtCrash(now time.Time) time.Duration {
	if r.startedAt.IsZero() {
		return r.provenAge()
	}
	end := now
	if r.worker.Missed() > 0 {
		end = r.worker.SilentSince()
	}

	return max(0, end.Sub(r.startedAt))
}

// causeOfEnd returns what other than its tasks explains the end of a worker, for logs, or an empty string.
func (s *Scheduler) causeOfEnd(w *worker, now time.Time) string {
	if w.reg.Draining {
		return ", as it announced"
	}
	h, ok := s.hosts[w.host]
	switch {
	case now.Before(w.orderedUntil):
		return ", maybe by an order of the previous owner"
	case !ok:
		return ""
	case (h.phase == orderPending || h.phase == offline) && !w.knownSince.After(h.phaseSince), h.orderedAway():
		return ", as ordered"
	case now.Before(s.quietUntil[h.Host]):
		return ", maybe by an order of the previous owner"
	default:
		return ""
	}
}

// orderedAway reports whether the cloud lists the host as away by an order.
func (h *host) orderedAway() bool {
	return h.State == work.HostMoving || h.State == work.HostMaintenance
}

// rackFailed reports whether all hosts of a worker's rack that are in use went down at the same time as its host.
func (s *Scheduler) rackFailed(w *worker) bool {
	h, ok := s.hosts[w.host]
	if !ok {
		return false
	}
	failed := 1
	for _, o := range s.hostList {
		if o == h || o.Rack != h.Rack || s.pools[o.Pool].Standby || o.downAt.IsZero() && o.State != work.HostUp || o.orderedAway() {
			continue
		}
		if o.State == work.HostUp {
			return false
		}
		if h.downAt.Sub(o.downAt).Abs() <= rackFailureSpan {
			failed++
		}
	}

	return h.Rack != "" && failed >= minRackHosts
}

// culprit returns the one of the suspected runs that caused the crash of their worker, or nil if that is not known.
func (s *Scheduler) culprit(suspected []*run, alone bool) *run {
	var worst *run
	most := 0
	for _, r := range suspected {
		if n := s.jobs[r.attempt.Job].crashes(r.attempt.Task); n > most && n >= r.crashLimit(len(suspected), alone) {
			worst, most = r, n
		}
	}

	return worst
}

// crashLimit returns how many workers may crash under the run's task before its job fails, if it is one of several that are
// suspected, or if it was isolated or alone on its worker.
func (r *run) crashLimit(suspected int, alone bool) int {
	switch {
	case r.outlived:
		return failAfterLateCrashes
	case r.step.Gang:
		return failAfterGangCrashes
	case suspected > 1:
		return failAfterSharedCrashes
	case r.step.Lasting:
		return failAfterLastingCrashes
	case alone:
		return failAfterCrashesAlone
	default:
		return failAfterCrashes
	}
}

// giveUp fails the job of a run's task.
func (s *Scheduler) giveUp(r *run, reason string) {
	s.observe(Decision{Kind: DecidedJobFailed, Attempt: r.attempt, Reason: reason})
	s.record(r.entry, ledger.Change{Kind: ledger.JobFailed, Attempt: r.attempt})
	s.closeIfOver(r.entry)
}

// crashedWorkers names the workers that crashed under the run's task.
func (r *run) crashedWorkers() string {
	var names []string
	for _, c := range r.entry.Task(r.attempt.Task).Crashes {
		names = append(names, string(c.Worker))
	}

	return "workers crashed under the task: " + strings.Join(names, ", ")
}

// withdrawCrash clears the tasks of the crash of a worker that answers again in the same incarnation: its link was cut.
func (s *Scheduler) withdrawCrash(w *worker) {
	in := incarnation{w.id, w.Life()}
	for _, t := range s.suspects[in] {
		if j, ok := s.jobs[t.Job]; ok {
			s.clearCrash(j, t, in)
		}
	}
	delete(s.suspects, in)
}

// clearCrash withdraws the evidence of one crash against a task.
func (s *Scheduler) clearCrash(j *job, t work.Task, in incarnation) {
	s.record(j.entry, ledger.Change{Kind: ledger.CrashCleared, Attempt: work.Attempt{Task: t}, Worker: in.worker, Life: in.life})
	if p, ok := j.suspicions[t]; ok && j.crashes(t) < failAfterCrashesAlone {
		p.isolate = false
	}
	if j.crashes(t) == 0 {
		delete(j.suspicions, t)
	}
	s.dirty = true
}

// clearCrashOf clears the task of a run, which has not begun, of a crash of its worker meanwhile.
func (s *Scheduler) clearCrashOf(r *run) {
	j, open := s.jobs[r.attempt.Job]
	if !open || r.entry == nil {
		return
	}
	if slices.ContainsFunc(r.entry.Task(r.attempt.Task).Crashes, func(c ledger.Crash) bool { return c.Number == r.attempt.Number }) {
		s.clearCrash(j, r.attempt.Task, incarnation{r.worker.id, r.life})
	}
}

func compareTasks(a, b work.Task) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// forgetSuspects removes a job from the suspects of all crashes.
func (s *Scheduler) forgetSuspects(id fleet.JobID) {
	for in, tasks := range s.suspects {
		if tasks = slices.DeleteFunc(tasks, func(t work.Task) bool { return t.Job == id }); len(tasks) == 0 {
			delete(s.suspects, in)
			continue
		}
		s.suspects[in] = tasks
	}
}
