package schedule

import (
	"cmp"
	"slices"
	"time"

	"lycheehook.example/lycheehook/balance"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

const (
	// endless is the remaining time of a run that lasts.
	endless = time.Hour
	// minTimeLeft is the least remaining time of a run, also of one that exceeds its estimate.
	minTimeLeft = 100 * time.Millisecond
	// startupTime is the time from the end of a host's move until its worker takes tasks.
	startupTime = 400 * time.Millisecond
)

// workload is the work of each pool that runs, waits or will become ready.
type workload struct {
	running map[fleet.PoolName][]balance.Run
	waiting map[fleet.PoolName][]balance.Work
	// overdue is the work that waits and has no more value, in hosts.
	overdue map[fleet.PoolName]float64
	// sizes has the capacity of the hosts of each pool, and needs the resources of all that runs and waits there.
	sizes, needs map[fleet.PoolName]fleet.Resources
}

// workload returns the known work of all pools.
func (s *Scheduler) workload(now time.Time) *workload {
	l := &workload{
		running: map[fleet.PoolName][]balance.Run{}, waiting: map[fleet.PoolName][]balance.Work{}, overdue: map[fleet.PoolName]float64{},
		sizes: map[fleet.PoolName]fleet.Resources{}, needs: map[fleet.PoolName]fleet.Resources{},
	}
	for p := range s.pools {
		l.sizes[p] = s.hostSize(p)
	}
	for _, w := range s.workers {
		p := w.reg.Pool
		for _, r := range w.runs {
			if w.evacuated && (r.step == nil || !r.step.Lasting) {
				// It runs to completion where it is and needs no host elsewhere.
				continue
			}
			l.running[p] = append(l.running[p], balance.Run{Hosts: l.hosts(p, r.reserved), Left: r.timeLeft(now)})
		}
	}
	for _, r := range s.unplaced {
		step := &r.job.entry.Job.Steps[r.step.Step]
		p := r.queue.Pool
		if !s.fitsSomeHost(p, step) {
			// More hosts would not help; the tasks wait until some host's capacity grows.
			continue
		}
		need := step.Reserved().Times(int64(r.tasks.len()))
		switch {
		case r.rank.urgency == overdue:
			l.overdue[p] += need.DominantShare(l.sizes[p])
		case step.Lasting:
			l.waiting[p] = append(l.waiting[p], balance.Work{Hosts: l.hosts(p, need), Length: endless})
		}
	}
	for _, j := range s.jobs {
		if j.entry.Job.Lasting() {
			continue
		}
		s.addOccurrences(l, j, now)
	}
	l.share()

	return l
}

// addOccurrences adds the work of the first occurrences of a job that are considered, unless its workspace is at its limit.
func (s *Scheduler) addOccurrences(l *workload, j *job, now time.Time) {
	if !s.withinLimit(j.entry.Job.Workspace, j.leastSize()) {
		return
	}
	q, steps := s.queueOf(&j.entry.Job), len(j.entry.Job.Steps)
	share := s.jobShare()
	for k, last := j.firstOpen, j.considered(now); k < last && share > 0; k++ {
		if j.entry.OccurrenceDone(k) {
			continue
		}
		s.addWork(l, j, q, k, now)
		share -= steps
	}
}

// hosts returns the size of a need in hosts of a pool, and adds it to the pool's needs.
func (l *workload) hosts(p fleet.PoolName, need fleet.Resources) float64 {
	l.needs[p] = l.needs[p].Plus(need)

	return need.DominantShare(l.sizes[p])
}

// addWaiting adds work that waits in a pool, to the last one if both wait for the same time: a job may have many steps that are alike.
func (l *workload) addWaiting(p fleet.PoolName, w balance.Work) {
	list := l.waiting[p]
	if len(list) > 0 {
		last := &list[len(list)-1]
		if last.Ready == w.Ready && last.Length == w.Length && last.Latest == w.Latest && last.Expiry == w.Expiry {
			last.Hosts += w.Hosts
			return
		}
	}
	l.waiting[p] = append(list, w)
}

// share scales the sizes of a pool's work so that their sum is what all of it needs together: tasks that need many cores
// share hosts with tasks that need much memory.
func (l *workload) share() {
	for p, need := range l.needs {
		// Sorted, so that the sums don't depend on the order of the maps that the lists come from.
		slices.SortFunc(l.running[p], func(a, b balance.Run) int { return cmp.Or(cmp.Compare(a.Left, b.Left), cmp.Compare(a.Hosts, b.Hosts)) })
		slices.SortFunc(l.waiting[p], compareWork)
		sum := 0.0
		for _, r := range l.running[p] {
			sum += r.Hosts
		}
		for _, w := range l.waiting[p] {
			sum += w.Hosts
		}
		if sum == 0 {
			continue
		}
		factor := need.DominantShare(l.sizes[p]) / sum
		for i := range l.running[p] {
			l.running[p][i].Hosts *= factor
		}
		for i := range l.waiting[p] {
			l.waiting[p][i].Hosts *= factor
		}
	}
}

func compareWork(a, b balance.Work) int {
	return cmp.Or(cmp.Compare(a.Latest, b.Latest), cmp.Compare(a.Ready, b.Ready), cmp.Compare(a.Length, b.Length), cmp.Compare(a.Hosts, b.Hosts))
}

// timeLeft returns the estimated remaining time of a run.
func (r *run) timeLeft(now time.Time) time.Duration {
	switch {
	case r.step == nil:
		return minTimeLeft
	case r.step.Lasting:
		return endless
	case r.confirmedAt.IsZero():
		return r.step.Estimate
	}
	since := r.confirmedAt
	left := r.step.Estimate
	if r.percent > 0 && r.worker.AnsweredAt().After(since) {
		since = r.worker.AnsweredAt()
		left = left * time.Duration(donePercent-r.percent) / donePercent
	}

	return max(minTimeLeft, left-now.Sub(since))
}

// addWork adds the work of one occurrence of a job that waits or that will become ready, unless it is overdue. Steps whose
// tasks fit on no host now, and those that depend on them, are left out, since more hosts would not help.
func (s *Scheduler) addWork(l *workload, j *job, q *work.Queue, occurrence int, now time.Time) {
	e := j.entry
	steps := e.Job.Steps
	d := deadlinesOf(j, q, occurrence)
	if now.After(d.expiry.Add(-d.remaining)) {
		return
	}
	tails, ends, blocked := tailLengths(steps), make([]time.Duration, len(steps)), make([]bool, len(steps))
	for i := range steps {
		at := ledger.StepKey{Occurrence: occurrence, Step: i}
		if e.StepDone(at) {
			continue
		}
		var ready time.Duration
		for _, a := range steps[i].After {
			ready = max(ready, ends[a])
			blocked[i] = blocked[i] || blocked[a]
		}
		waiting, left := s.progressOf(e, at, now)
		ends[i] = left
		blocked[i] = blocked[i] || waiting > 0 && !s.fitsSomeHost(q.Pool, &steps[i])
		if waiting == 0 || blocked[i] || !s.withinLimit(e.Job.Workspace, steps[i].Size) {
			continue
		}
		ends[i] = max(left, ready+steps[i].Estimate)
		l.addWaiting(q.Pool, balance.Work{
			Hosts: l.hosts(q.Pool, steps[i].Reserved().Times(int64(waiting))), Ready: ready, Length: steps[i].Estimate,
			Latest: d.due.Add(-tails[i]).Sub(now), Expiry: d.expiry.Add(-tails[i]).Sub(now),
		})
	}
}

// progressOf returns how many tasks of a step wait, and the estimated time until its runs are over.
func (s *Scheduler) progressOf(e *ledger.Entry, at ledger.StepKey, now time.Time) (waiting int, left time.Duration) {
	st := e.Step(at)
	waiting = st.Count
	for i, t := range st.Recorded {
		switch {
		case t.Done:
			waiting--
		case len(t.Live) > 0:
			waiting--
			a := work.Attempt{Task: work.Task{Job: e.Job.ID, Occurrence: at.Occurrence, Step: at.Step, Index: i}, Number: t.Live[0].Number}
			if w, ok := s.workers[t.Live[0].Worker]; ok && w.runs[a] != nil {
				left = max(left, w.runs[a].timeLeft(now))
			}
		}
	}

	return waiting, left
}

// tailLengths returns for each step the estimated duration of the longest chain that begins with it.
func tailLengths(steps []work.Step) []time.Duration {
	tails := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		tails[i] += steps[i].Estimate
		for _, a := range steps[i].After {
			tails[a] = max(tails[a], tails[i])
		}
	}

	return tails
}

// hostArrival returns the time until a host on its way to a pool comes into service.
func (s *Scheduler) hostArrival(h *host, now time.Time) time.Duration {
	if h.phase != offline {
		return s.bounds.MoveTime + startupTime
	}

	return max(0, s.bounds.MoveTime+startupTime-now.Sub(h.phaseSince))
}
