package job

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/placement"
	"lycheehook.example/lycheehook/record"
)

// Report is what one step did.
type Report struct {
	Placed, Started, Ended int
	// Unplaced has the reason for each job that waits.
	Unplaced []placement.Unplaced
	// Failed has the error of each call that was not surely done; the next step asks what became of it.
	Failed []error
}

// Step settles, cancels and places the jobs of the owned shards, with at most one write for each. A worker is called
// only after the write that says where its job goes; what came of a call is asked of the worker in the next step. One
// goroutine at a time may call it.
func (c *Controller) Step(ctx context.Context, now time.Time) (Report, error) {
	var rep Report
	page, err := record.List[Shard](ctx, c.store, Prefix)
	if err != nil {
		return rep, err
	}

	shards := map[int]record.Versioned[Shard]{}
	for shard := range Shards {
		if v, ok := page.Records[Key(shard)[len(Prefix):]]; ok {
			shards[shard] = v
		}
	}
	l := load{hosts: usedBy(shards), teams: c.runningBy(shards)}
	for _, shard := range slices.Sorted(maps.Keys(shards)) {
		if c.owns(shard) {
			c.stepShard(ctx, shard, shards[shard], l, now, &rep)
		}
	}

	return rep, nil
}

// load is what runs already, with what this step adds.
type load struct {
	hosts map[fleet.HostName]fleet.Resources
	teams map[fleet.TeamName]fleet.Resources
}

// runningBy sums what each team has running in the owned shards.
func (c *Controller) runningBy(shards map[int]record.Versioned[Shard]) map[fleet.TeamName]fleet.Resources {
	running := map[fleet.TeamName]fleet.Resources{}
	for shard, v := range shards {
		if !c.owns(shard) {
			continue
		}
		for _, e := range v.Value.Jobs {
			if e.Ongoing() {
				running[e.Team] = running[e.Team].Plus(e.Reserved)
			}
		}
	}

	return running
}

// usedBy sums what the jobs of all shards take of each worker.
func usedBy(shards map[int]record.Versioned[Shard]) map[fleet.HostName]fleet.Resources {
	used := map[fleet.HostName]fleet.Resources{}
	for _, v := range shards {
		for _, e := range v.Value.Jobs {
			if e.Ongoing() {
				used[e.Host] = used[e.Host].Plus(e.Reserved)
			}
		}
	}

	return used
}

func (c *Controller) stepShard(
	ctx context.Context, shard int, v record.Versioned[Shard], l load, now time.Time, rep *Report,
) {
	jobs := maps.Clone(v.Value.Jobs)
	c.settle(ctx, jobs, now, rep)
	starts := c.place(jobs, l, now, rep)
	for id, e := range jobs {
		if e.Over() && now.Sub(e.Ended) > c.retention {
			delete(jobs, id)
		}
	}
	if maps.Equal(jobs, v.Value.Jobs) {
		return
	}
	if _, err := record.Write(ctx, c.store, Key(shard), Shard{Jobs: jobs}, v.Revision); err != nil {
		// Without a sure write no worker is called: what became of it is read in the next step.
		rep.Failed = append(rep.Failed, err)
		return
	}

	for _, e := range starts {
		c.start(ctx, e, rep)
	}
}

func (c *Controller) start(ctx context.Context, e Entry, rep *Report) {
	err := c.platform.StartTask(ctx, hostapi.TaskStart{
		Job: e.ID, Host: e.Host, Token: e.Token, HostFence: e.HostFence, Size: e.Reserved, LeaseTTL: fleet.Duration(c.lease),
	})
	if err != nil {
		rep.Failed = append(rep.Failed, err)
		return
	}
	rep.Started++
}

// settle renews the leases of one worker's tasks in one call, stops cancelled ones in another, and asks about the rest.
func (c *Controller) settle(ctx context.Context, jobs map[fleet.JobID]Entry, now time.Time, rep *Report) {
	for _, host := range hostsOf(jobs) {
		var renew, stop []hostapi.TaskCall
		for _, id := range slices.Sorted(maps.Keys(jobs)) {
			e := jobs[id]
			switch {
			case e.Host != host || !e.Ongoing():
			case e.Cancel:
				stop = append(stop, e.Call())
			default:
				renew = append(renew, e.Call())
			}
		}
		if len(stop) > 0 {
			c.note(c.platform.StopTasks(ctx, host, stop), rep)
		}
		if len(renew) > 0 {
			_, err := c.platform.RenewTasks(ctx, host, renew)
			c.note(err, rep)
		}
		c.ask(ctx, host, jobs, now, rep)
	}
	for id, e := range jobs {
		if e.State == fleet.JobWaiting && e.Cancel {
			jobs[id] = e.EndedAs(fleet.JobCancelled, now)
		}
	}
}

func (c *Controller) note(err error, rep *Report) {
	if err != nil {
		rep.Failed = append(rep.Failed, err)
	}
}

func hostsOf(jobs map[fleet.JobID]Entry) []fleet.HostName {
	hosts := map[fleet.HostName]bool{}
	for _, e := range jobs {
		if e.Ongoing() {
			hosts[e.Host] = true
		}
	}

	return slices.Sorted(maps.Keys(hosts))
}

// ask reads the status of a worker's tasks in one call; a task that it does not list is asked about by its token, so
// that the answer proves whether it may still start.
func (c *Controller) ask(ctx context.Context, host fleet.HostName, jobs map[fleet.JobID]Entry, now time.Time, rep *Report) {
	all, err := c.platform.Tasks(ctx, host)
	if err != nil {
		rep.Failed = append(rep.Failed, err)
		c.giveUp(host, jobs, now)

		return
	}
	delete(c.silent, host)
	listed := make(map[fleet.JobID]hostapi.TaskStatus, len(all))
	for _, s := range all {
		listed[s.Job] = s
	}

	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		e := jobs[id]
		if e.Host != host || !e.Ongoing() {
			continue
		}
		s, known := listed[id]
		if !known || s.Token != e.Token {
			s, err = c.platform.Task(ctx, e.Call())
		}
		switch {
		case err == nil:
			jobs[id] = c.learn(e, s, now, rep)
		case errors.Is(err, hostapi.ErrNotFound):
			jobs[id] = e.NotStarted(now)
		default:
			rep.Failed = append(rep.Failed, err)
		}
		err = nil
	}
}

// giveUp ends the wait for a worker that does not answer. Idempotent jobs run again once their leases have surely
// lapsed; others do so never, and their outcome is unknown when the host was removed from the fleet.
func (c *Controller) giveUp(host fleet.HostName, jobs map[fleet.JobID]Entry, now time.Time) {
	since, known := c.silent[host]
	if !known {
		since = now
		c.silent[host] = now
	}
	records := c.hosts()
	_, exists := records[host]
	removed := len(records) > 0 && !exists
	for id, e := range jobs {
		if e.Host != host || !e.Ongoing() {
			continue
		}
		if removed || e.Idempotent && now.Sub(since) > surelyLapsed*c.lease {
			jobs[id] = e.Interrupted(now)
		}
	}
}

// learn settles an entry and remembers what its task used and how it ended.
func (c *Controller) learn(e Entry, s hostapi.TaskStatus, now time.Time, rep *Report) Entry {
	next := e.Settled(s, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if next.State == fleet.JobDone || next.State == fleet.JobFailed {
		rep.Ended++
		c.health = c.health.With(e.Host, c.poolOf(e.Queue), next.State == fleet.JobFailed, now)
	}
	if next.State == fleet.JobDone && !s.Usage.IsZero() {
		c.sizes = c.sizes.With(e.Queue, s.Usage)
	}

	return next
}

func (c *Controller) poolOf(q fleet.QueueName) fleet.PoolName {
	queue, _ := c.tables().Queues.Get(q)
	return queue.Pool
}

// place writes places into jobs and returns the entries whose workers are to be called after the write.
func (c *Controller) place(jobs map[fleet.JobID]Entry, l load, now time.Time, rep *Report) []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()

	var waiting []placement.Job
	for _, e := range jobs {
		if e.State == fleet.JobWaiting {
			waiting = append(waiting, placement.Job{Job: e.Job, Pool: c.poolOf(e.Queue), Need: c.sizes.Estimate(e.Queue, e.Size)})
		}
	}
	records := c.hosts()
	hosts, workers := c.workers(records, l.hosts, now)
	waiting = c.withinLimits(waiting, l, rep)
	placed, left := placement.Place(waiting, hosts, workers, c.policy)
	for _, u := range left {
		if u.Reason == placement.NeverFits {
			jobs[u.Job] = jobs[u.Job].EndedAs(fleet.JobNeverRuns, now)
		}
	}
	rep.Unplaced = append(rep.Unplaced, left...)

	starts := make([]Entry, 0, len(placed))
	for _, a := range placed {
		e := jobs[a.Job].PlacedOn(a.Host, records[a.Host].Revision, a.Need, now)
		jobs[a.Job] = e
		l.hosts[a.Host] = l.hosts[a.Host].Plus(a.Need)
		l.teams[e.Team] = l.teams[e.Team].Plus(a.Need)
		starts = append(starts, e)
	}
	rep.Placed += len(placed)

	return starts
}

// withinLimits keeps the jobs that their teams may have running now, in the order of placement.
func (c *Controller) withinLimits(waiting []placement.Job, l load, rep *Report) []placement.Job {
	planned := maps.Clone(l.teams)
	kept := make([]placement.Job, 0, len(waiting))
	for _, j := range placement.InOrder(waiting) {
		after := planned[j.Team].Plus(j.Need)
		if room, limited := c.room(j.Team); limited && !after.FitsIn(room) {
			rep.Unplaced = append(rep.Unplaced, placement.Unplaced{Job: j.ID, Reason: placement.TeamLimit})
			continue
		}
		planned[j.Team] = after
		kept = append(kept, j)
	}

	return kept
}

// workers returns every host, and those that may take work: a host whose record is not sure to be in a pool is left out.
func (c *Controller) workers(
	records map[fleet.HostName]record.Versioned[move.Record], used map[fleet.HostName]fleet.Resources, now time.Time,
) ([]fleet.Host, []placement.Worker) {
	hosts := make([]fleet.Host, 0, len(records))
	var workers []placement.Worker
	for _, name := range slices.Sorted(maps.Keys(records)) {
		r := records[name].Value
		hosts = append(hosts, r.Host)
		if _, usable := r.Usable(); usable && r.Intent == nil {
			workers = append(workers, c.health.Judge(placement.Worker{Host: r.Host, Used: used[name]}, now))
		}
	}

	return hosts, workers
}

// Quiesce checkpoints and stops the idempotent tasks of a draining host, which then run on elsewhere; others finish.
func (c *Controller) Quiesce(ctx context.Context, w move.Wait) {
	page, err := record.List[Shard](ctx, c.store, Prefix)
	if err != nil {
		return
	}
	var saved []hostapi.TaskCall
	for _, v := range page.Records {
		for _, e := range v.Value.Jobs {
			if e.Host == w.Host && e.State == fleet.JobRunning && e.Idempotent && c.platform.Checkpoint(ctx, e.Call()) == nil {
				saved = append(saved, e.Call())
			}
		}
	}
	if len(saved) > 0 {
		// A lost answer is no harm: the next step asks about each task.
		_ = c.platform.StopTasks(ctx, w.Host, saved)
	}
}
