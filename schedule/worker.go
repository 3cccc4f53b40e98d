package schedule

import (
	"cmp"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

const (
	// clockError is how far a worker's clock may run slow or fast.
	clockError = 0.02
	// lapseMargin is added to the end of a lease for the time that a worker takes to kill what ran.
	lapseMargin = 300 * time.Millisecond
	// gangPatience is how long the end of a gang may take to be listed by the worker of another member.
	gangPatience = time.Second
	// tokenBumps is how many times a term can raise the token of one worker.
	tokenBumps = 1 << 12
	// silentAfter is how many polls in a row may go unanswered before no task is placed on a worker.
	silentAfter = 2
	// pollWait is how long a worker may hold back its answer until a run ends.
	pollWait = 1500 * time.Millisecond
	// ackWait is how long an idle worker's stored ends may wait for a poll that tells it so.
	ackWait = 400 * time.Millisecond
	// retryWait is the pause before a worker that did not answer is asked again; it grows with each time.
	retryWait    = 150 * time.Millisecond
	maxRetryWait = 600 * time.Millisecond
	// fullPace is the percentage of a run that is at work.
	fullPace = 100
	// warmUpWait is how long a worker may hold back its answer while a lasting task is not yet at work there.
	warmUpWait = 250 * time.Millisecond
)

// phase is how far a run has come.
type phase uint8

const (
	// assigned runs are not stored yet.
	assigned phase = iota
	// ordered runs have had their order sent, and no answer yet.
	ordered
	// unanswered runs may have begun, or may begin later.
	unanswered
	// confirmed runs were acknowledged or listed by their worker.
	confirmed
	// inherited runs were assigned by an earlier owner.
	inherited
)

// run is an attempt that takes room on a worker.
type run struct {
	attempt work.Attempt
	worker  *worker
	// entry and step are the run's job and its step; nil if the ledger has no such task.
	entry    *ledger.Entry
	step     *work.Step
	life     work.Life
	phase    phase
	reserved fleet.Resources
	// charged is what the run counts against its workspace's limit.
	charged fleet.Resources
	ticket  string
	// token is the one that the start carried.
	token uint64
	// since is when the worker confirmed the run.
	since   time.Time
	percent int
	// saved is the newest checkpoint that the worker showed.
	saved string
	// mark is where the run was when its progress was last measured.
	mark progress
	// missing is since when the worker has not listed a gang's member, whose end another member may tell.
	missing time.Time
	// tail is the tail of the response times of a task that serves.
	tail time.Duration
	// pace is the percentage that was last ordered, paced when.
	pace  int
	paced time.Time
	// stop says that the run is to be ended, stopSent when that was last ordered. It is set by halt.
	stop     bool
	stopSent time.Time
	// pool is where the run counts for its workspace's part.
	pool fleet.PoolName
}

// worker is one incarnation of a worker with what runs there.
type worker struct {
	id      work.WorkerID
	reg     work.Registration
	present bool
	// over says that the worker has surely ended, though its registration may be there for a while.
	over  bool
	life  work.Life
	bumps uint64
	// met says that the worker has answered a poll with its present token.
	met  bool
	runs map[work.Attempt]*run
	used fleet.Resources
	// kept is room that only tasks that last may take.
	kept fleet.Resources
	// lasting counts the lasting tasks that run there, stopping the runs that are to be ended.
	lasting, stopping int
	// serving and filling count the tasks that serve under a bound and those that fill.
	serving, filling int
	// clock is the worker's clock at its newest answer, which was asked for at asked and came at heard.
	clock        time.Duration
	asked, heard time.Time
	// lapse is when every lease given there has surely ended.
	lapse time.Time
	// unheard counts the polls in a row without an answer.
	unheard int
	nextTry time.Time
	// seen is the number of the last end that was taken in, stored the last of those whose change is stored, acked the
	// last that the worker was told.
	seen, stored, acked uint64
	// polling is the token of the poll that is out; zero means none.
	polling uint64
	// wake asks for a poll at once.
	wake bool
	// failures counts the jobs in a row that failed there; failedJob is the last of them.
	failures  int
	failedJob fleet.JobID
	// cordoned workers get no new tasks; due ones are to have their maintenance.
	cordoned, due bool
	quarantine    time.Time
}

func leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-clockError)) + lapseMargin
}

func (s *Scheduler) worker(id work.WorkerID) *worker {
	w, ok := s.workers[id]
	if !ok {
		w = &worker{id: id, runs: map[work.Attempt]*run{}}
		s.workers[id] = w
	}

	return w
}

// token returns the worker's fencing token; it grows with each term and each bump.
func (s *Scheduler) token(w *worker) uint64 {
	return s.term*tokenBumps + w.bumps
}

// raise makes the worker refuse all orders that were sent so far.
func (w *worker) raise() {
	w.bumps++
	w.met = false
	w.wake = true
}

// lease returns the end of a new lease on the worker's clock, and notes when it has surely ended.
func (s *Scheduler) lease(w *worker, now time.Time) time.Duration {
	if w.heard.IsZero() {
		return 0
	}
	until := w.clock + now.Sub(w.asked) + s.bounds.MaxLease
	low := w.clock + time.Duration(float64(now.Sub(w.heard))*(1-clockError))
	if end := now.Add(time.Duration(float64(until-low)/(1-clockError)) + lapseMargin); end.After(w.lapse) {
		w.lapse = end
	}

	return until
}

// hold makes a run take its room and count against its workspace.
func (s *Scheduler) hold(e *ledger.Entry, r *run) {
	r.entry, r.step, r.pool = e, &e.Job.Steps[r.attempt.Step], cmp.Or(r.worker.reg.Pool, e.Job.Pool)
	r.reserved, r.charged = r.step.Reserved(), r.step.Size
	r.worker.runs[r.attempt] = r
	r.worker.used = r.worker.used.Plus(r.reserved)
	r.worker.count(r.step, 1)
	s.running[e.Job.Workspace] = s.running[e.Job.Workspace].Plus(r.charged)
	s.addPart(r.pool, e.Job.Workspace, r.reserved)
}

// release gives a run's room back and returns its job, or nil if the ledger has no such task.
func (s *Scheduler) release(r *run) *ledger.Entry {
	w := r.worker
	delete(w.runs, r.attempt)
	if r.stop {
		w.stopping--
	}
	s.dirty = true
	e := r.entry
	if e == nil {
		return s.entryOf(r.attempt.Task)
	}
	w.used = w.used.Minus(r.reserved)
	w.count(r.step, -1)
	s.running[e.Job.Workspace] = s.running[e.Job.Workspace].Minus(r.charged)
	s.addPart(r.pool, e.Job.Workspace, fleet.Resources{}.Minus(r.reserved))

	return e
}

// entryOf returns the job of a task, or nil if the ledger has no such task.
func (s *Scheduler) entryOf(t work.Task) *ledger.Entry {
	if e, ok := s.entries[t.Job]; ok && e.Has(t) {
		return e
	}

	return nil
}

// count adds n tasks of a step to the worker's counts.
func (w *worker) count(step *work.Step, n int) {
	if step.Lasting {
		w.lasting += n
	}
	if step.Filling {
		w.filling += n
	} else if step.MaxTail > 0 {
		w.serving += n
	}
}

// halt has a run ended.
func (r *run) halt() {
	if !r.stop {
		r.stop = true
		r.worker.stopping++
	}
}

// Register takes in what a worker says of itself in the store.
func (s *Scheduler) Register(r work.Registration, now time.Time) {
	w := s.worker(r.ID)
	if r.Life < w.life || w.over && r.Life == w.life {
		return
	}
	if r.Life != w.life && w.life != 0 {
		s.reborn(w, r.Life)
	}
	if !w.present {
		w.wake = true
	}
	w.reg, w.life, w.present = r, r.Life, true
	s.dirty = true
}

// Deregister takes in that a worker's registration is gone; what may run there is held until its lease has ended.
func (s *Scheduler) Deregister(id work.WorkerID) {
	if w, ok := s.workers[id]; ok {
		w.present = false
	}
}

// Registered returns the workers whose registrations are present.
func (s *Scheduler) Registered() []work.WorkerID {
	var ids []work.WorkerID
	for id, w := range s.workers {
		if w.present {
			ids = append(ids, id)
		}
	}

	return ids
}

// reborn ends all runs of a worker's earlier life. Its token is raised, so that an order to the earlier life that
// arrives late does nothing.
func (s *Scheduler) reborn(w *worker, life work.Life) {
	for _, r := range w.runs {
		if r.life < life {
			s.end(r, work.OutcomeLapsed, "", "worker started anew")
		}
	}
	w.life, w.over = life, false
	w.seen, w.stored, w.acked = 0, 0, 0
	w.clock, w.asked, w.heard = 0, time.Time{}, time.Time{}
	w.unheard, w.nextTry = 0, time.Time{}
	w.raise()
}

// usable reports whether tasks may be placed on the worker.
func (w *worker) usable(now time.Time) bool {
	return w.present && w.met && !w.cordoned && !w.reg.Draining && w.unheard < silentAfter && !now.Before(w.quarantine)
}
