package schedule

import (
	"cmp"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/session"
	"lycheehook.example/lycheehook/work"
)

const (
	// gangEndGrace is how long a missing gang member is kept while another member's worker may still report the gang's
	// end.
	gangEndGrace = time.Second
	// pollWait is how long a worker may delay its answer until a run ends.
	pollWait = 1500 * time.Millisecond
	// usualAnswerTime is how long a worker that is near takes at most to answer a start.
	usualAnswerTime = 50 * time.Millisecond
	// fullPace is the percentage at which a run works at full speed.
	fullPace = 100
	// warmUpPollWait is how long a worker may delay its answer while a lasting task there has not reached full pace.
	warmUpPollWait = 250 * time.Millisecond
)

// phase is the progress of a run's start.
type phase uint8

const (
	// assigned runs are not yet stored in the ledger.
	assigned phase = iota
	// sent runs have had their start sent but not yet answered.
	sent
	// unanswered runs may have begun, or may begin later.
	unanswered
	// confirmed runs were acknowledged or listed by their worker.
	confirmed
	// inherited runs were assigned by a previous owner.
	inherited
)

// run is an attempt that holds resources on a worker.
type run struct {
	attempt work.Attempt
	worker  *worker
	// entry and step are the run's job and step; they are nil if the ledger has no such task.
	entry    *ledger.Entry
	step     *work.Step
	life     work.Life
	phase    phase
	reserved fleet.Resources
	// charged is what the run counts towards its workspace's limit.
	charged fleet.Resources
	ticket  string
	// startedAt is when this owner sent the start, and returnedAt when that call returned; zero for inherited runs.
	startedAt, returnedAt time.Time
	// outlived reports that the run has lasted longer than earlier runs of its task had when their workers crashed.
	outlived bool
	// token is the fencing token of the start.
	token uint64
	// confirmedAt is when the worker confirmed the run.
	confirmedAt time.Time
	percent     int
	// lastCheckpoint is the newest checkpoint that the worker reported.
	lastCheckpoint string
	// lastProgress is the run's progress when it was last measured.
	lastProgress progress
	// missingSince is when the worker stopped listing this gang member, whose end another member's worker may still
	// report.
	missingSince time.Time
	// tailLatency is the tail of the response times of a serving task.
	tailLatency time.Duration
	// pace is the percentage that was last ordered, at pacedAt.
	pace    int
	pacedAt time.Time
	// superseded marks a run that was found at work and must end, whose progress counts only if no other run has saved any.
	superseded bool
	// stopRequested marks a run that must end, with the stop last sent at stopSentAt. It is set by requestStop only,
	// which keeps the worker's count.
	stopRequested bool
	stopSentAt    time.Time
	// destination is the worker on which room is kept for a lasting task that is to leave its own; destinationFree reports that the room
	// is there already.
	destination     *worker
	destinationFree bool
	// pool is where the run counts towards its workspace's share.
	pool fleet.PoolName
}

// worker is what the scheduler knows of one worker: its runs, its host, and its session, which tells which incarnation is up.
type worker struct {
	*session.Session
	id  work.WorkerID
	reg work.Registration
	// registered reports that the registration was not removed.
	registered bool
	// ended reports that the worker has surely ended, although its registration may still be present for a while.
	ended bool
	runs  map[work.Attempt]*run
	used  fleet.Resources
	// lastingReserve is room that is reserved for lasting tasks, and lastingKept the part of the free room that others must leave to them,
	// since the ends of runs will make the rest.
	lastingReserve, lastingKept fleet.Resources
	// larger has the room that is reserved for larger tasks than those that could take it now.
	larger []largerHold
	// lastingTasks counts the lasting tasks on the worker, stoppingRuns the runs with a requested stop.
	lastingTasks, stoppingRuns int
	// servingTasks counts the tasks with a bound on their tail latency, fillingTasks those that only use spare cores.
	servingTasks, fillingTasks int
	// host is the host on which the cloud last listed the worker; delisted reports that it no longer does.
	host     fleet.HostName
	delisted bool
	// orderedUntil is until when an order of a previous owner explains the end of the worker.
	orderedUntil time.Time
	// knownSince is when this owner learned of the incarnation; zero if a previous owner knew it.
	knownSince time.Time
	// isolated has the runs of suspected tasks beside which no other task is started; only a previous owner's may be several.
	// Until isolationDue none is started either, so that such a run can.
	isolated     []*run
	isolationDue time.Time
	// failedJobs counts the jobs in a row that failed on the worker; lastFailedJob is the last of them.
	failedJobs    int
	lastFailedJob fleet.JobID
	// noRoomJobs counts those of failedJobs whose starts were refused for want of room.
	noRoomJobs int
	// cordoned workers get no new tasks; maintenanceDue marks workers whose hosts need maintenance.
	cordoned, maintenanceDue bool
	quarantinedUntil         time.Time
	// lastResortFrom is when a quarantined worker may take tasks for which no other has room; zero means not before the end.
	lastResortFrom time.Time
	// probed reports that the worker is being probed.
	probed bool
	// evacuated reports that the worker's availability zone is evacuated.
	evacuated bool
}

// ensureWorker returns the worker with this ID, which it adds if it is not known.
func (s *Scheduler) ensureWorker(id work.WorkerID) *worker {
	w, ok := s.workers[id]
	if !ok {
		w = &worker{Session: session.New(s.term, s.bounds.MaxLease), id: id, runs: map[work.Attempt]*run{}}
		s.workers[id] = w
	}

	return w
}

// reserve adds a run to its worker and counts its resources there and for its workspace.
func (s *Scheduler) reserve(e *ledger.Entry, r *run) {
	r.entry, r.step, r.pool = e, &e.Job.Steps[r.attempt.Step], cmp.Or(r.worker.reg.Pool, e.Job.Pool)
	r.reserved, r.charged = r.step.Reserved(), r.step.Size
	r.worker.runs[r.attempt] = r
	r.worker.used = r.worker.used.Plus(r.reserved)
	r.worker.addTasks(r.step, 1)
	s.workspaceUsage[e.Job.Workspace] = s.workspaceUsage[e.Job.Workspace].Plus(r.charged)
	s.shares.Add(r.pool, e.Job.Workspace, r.reserved)
	s.addRunSize(r, 1)
	s.runLimit.add(&e.Job, 1)
	if r.starting() {
		s.runLimit.starts.add(e.Job.Workspace, 1)
	}
}

// release removes a run and its resources, and returns its job, or nil if the ledger has no such task.
func (s *Scheduler) release(r *run) *ledger.Entry {
	w := r.worker
	delete(w.runs, r.attempt)
	if r.stopRequested {
		w.stoppingRuns--
	}
	w.endIsolation(r)
	s.dirty = true
	e := r.entry
	if e == nil {
		return s.entryOf(r.attempt.Task)
	}
	w.used = w.used.Minus(r.reserved)
	w.addTasks(r.step, -1)
	s.workspaceUsage[e.Job.Workspace] = s.workspaceUsage[e.Job.Workspace].Minus(r.charged)
	s.shares.Add(r.pool, e.Job.Workspace, fleet.Resources{}.Minus(r.reserved))
	s.addRunSize(r, -1)
	s.runLimit.add(&e.Job, -1)
	if r.starting() {
		s.runLimit.starts.add(e.Job.Workspace, -1)
	}

	return e
}

// entryOf returns the job of a task, or nil if the ledger has no such task.
func (s *Scheduler) entryOf(t work.Task) *ledger.Entry {
	if e, ok := s.entries[t.Job]; ok && e.HasTask(t) {
		return e
	}

	return nil
}

// addTasks adds n tasks of a step to the worker's counts.
func (w *worker) addTasks(step *work.Step, n int) {
	if step.Lasting {
		w.lastingTasks += n
	}
	if step.Filling {
		w.fillingTasks += n
	} else if step.MaxTail > 0 {
		w.servingTasks += n
	}
}

// requestStop marks a run to be stopped.
func (r *run) requestStop() {
	if !r.stopRequested {
		r.stopRequested = true
		r.worker.stoppingRuns++
	}
}

// Register applies a worker's registration. One of another incarnation than the known one is a claim that the worker must confirm.
func (s *Scheduler) Register(r work.Registration, now time.Time) {
	w := s.ensureWorker(r.ID)
	before := w.present()
	w.registered = true
	switch {
	case w.Life() == 0:
		w.Assume(r.Life)
		w.knownSince = now
	case r.Life != w.Life():
		if w.Claim(r) {
			w.ended, s.dirty = false, true
		}
		return
	case w.ended, w.reg.Life != 0 && s.configured && !s.hasPool(r.Pool):
		// An entry of an unknown pool in the place of a known worker's is from another writer.
		return
	}
	if !before {
		w.RequestPoll()
	}
	w.applyCapacity(r.Capacity)
	w.reg = r
	w.evacuated = s.evacuation.Evacuated(r.Zone)
	s.dirty = true
}

// hasPool reports whether the configuration in force has a pool.
func (s *Scheduler) hasPool(name fleet.PoolName) bool {
	_, ok := s.pools[name]

	return ok
}

// present reports whether the worker is registered and not known to have ended.
func (w *worker) present() bool {
	return w.registered && !w.ended
}

// Deregister notes that a worker's registration was removed; its runs are kept until their leases have ended.
func (s *Scheduler) Deregister(id work.WorkerID) {
	if w, ok := s.workers[id]; ok {
		w.registered = false
	}
}

// Registered returns the workers whose registrations were not removed.
func (s *Scheduler) Registered() []work.WorkerID {
	var ids []work.WorkerID
	for id, w := range s.workers {
		if w.registered {
			ids = append(ids, id)
		}
	}

	return ids
}

// usable reports whether tasks may be placed on the worker, whose registration must be that of the present incarnation.
func (w *worker) usable(now time.Time) bool {
	return w.obstacle(now) == noObstacle
}
