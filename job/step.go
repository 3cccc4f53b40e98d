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

// Report is the result of one step.
type Report struct {
	Placed, Started, Ended int
	// Unplaced lists the jobs that remain waiting, with the reason for each.
	Unplaced []placement.Unplaced
	// Failed has the errors of calls whose outcome is not known to be success; the next step determines their effect.
	Failed []error
}

// Step updates, cancels and places the jobs of the owned shards, with at most one write per shard. A worker is called only
// after the placement is written, and the next step reads the outcome of the call from the worker. Step is not safe for
// concurrent use.
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
	l := load{hosts: usedByHost(shards), teams: c.runningByTeam(shards)}
	for _, shard := range slices.Sorted(maps.Keys(shards)) {
		if c.owns(shard) {
			c.stepShard(ctx, shard, shards[shard], l, now, &rep)
		}
	}

	return rep, nil
}

// load is the resources in use, including placements made in this step.
type load struct {
	hosts map[fleet.HostName]fleet.Resources
	teams map[fleet.TeamName]fleet.Resources
}

// runningByTeam returns the resources in use by each team in the owned shards.
func (c *Controller) runningByTeam(shards map[int]record.Versioned[Shard]) map[fleet.TeamName]fleet.Resources {
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

// usedByHost returns the resources in use on each worker by jobs of all shards.
func usedByHost(shards map[int]record.Versioned[Shard]) map[fleet.HostName]fleet.Resources {
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
	c.update(ctx, jobs, now, rep)
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
		// The write may or may not have taken effect, so no worker is called; the next step reads the shard again.
		rep.Failed = append(rep.Failed, err)
		return
	}

	for _, e := range starts {
		c.startTask(ctx, e, rep)
	}
}

func (c *Controller) startTask(ctx context.Context, e Entry, rep *Report) {
	err := c.platform.StartTask(ctx, hostapi.TaskStart{
		Job: e.ID, Host: e.Host, Token: e.Token, HostFence: e.HostFence, Size: e.Reserved, LeaseTTL: fleet.Duration(c.lease),
	})
	if err != nil {
		rep.Failed = append(rep.Failed, err)
		return
	}
	rep.Started++
}

// update renews the leases of ongoing tasks and stops cancelled ones, with one call each per worker, and then reads the tasks' status.
func (c *Controller) update(ctx context.Context, jobs map[fleet.JobID]Entry, now time.Time, rep *Report) {
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
			c.addError(c.platform.StopTasks(ctx, host, stop), rep)
		}
		if len(renew) > 0 {
			_, err := c.platform.RenewTasks(ctx, host, renew)
			c.addError(err, rep)
		}
		c.refresh(ctx, host, jobs, now, rep)
	}
	for id, e := range jobs {
		if e.State == fleet.JobWaiting && e.Cancel {
			jobs[id] = e.EndedAs(fleet.JobCancelled, now)
		}
	}
}

func (c *Controller) addError(err error, rep *Report) {
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

// refresh reads the status of all tasks of a worker in one call. A task that isn't listed with its token is queried
// separately, because only that answer excludes that a delayed request starts it later.
func (c *Controller) refresh(ctx context.Context, host fleet.HostName, jobs map[fleet.JobID]Entry, now time.Time, rep *Report) {
	all, err := c.platform.Tasks(ctx, host)
	if err != nil {
		rep.Failed = append(rep.Failed, err)
		c.expire(host, jobs, now)

		return
	}
	delete(c.unresponsiveSince, host)
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
			jobs[id] = c.recordOutcome(e, s, now, rep)
		case errors.Is(err, hostapi.ErrNotFound):
			jobs[id] = e.NotStarted(now)
		default:
			rep.Failed = append(rep.Failed, err)
		}
		err = nil
	}
}

// expire handles the jobs of a worker that doesn't respond. An idempotent job runs again once its lease is certain to have
// expired. Any job ends its attempt when the host was removed from the fleet: the outcome is then unknown unless the job is
// idempotent or cancelled.
func (c *Controller) expire(host fleet.HostName, jobs map[fleet.JobID]Entry, now time.Time) {
	since, known := c.unresponsiveSince[host]
	if !known {
		since = now
		c.unresponsiveSince[host] = now
	}
	records := c.hosts()
	_, exists := records[host]
	removed := len(records) > 0 && !exists
	for id, e := range jobs {
		if e.Host != host || !e.Ongoing() {
			continue
		}
		if removed || e.Idempotent && now.Sub(since) > expiryFactor*c.lease {
			jobs[id] = e.Interrupted(now)
		}
	}
}

// recordOutcome updates an entry and records the task's outcome and peak usage, for the health of workers and estimates of sizes.
func (c *Controller) recordOutcome(e Entry, s hostapi.TaskStatus, now time.Time, rep *Report) Entry {
	next := e.WithStatus(s, now)
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

// place updates jobs with new placements and returns the entries to start after the shard is written.
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
	placed, unplaced := placement.Place(waiting, hosts, workers, c.policy)
	for _, u := range unplaced {
		if u.Reason == placement.NeverFits {
			jobs[u.Job] = jobs[u.Job].EndedAs(fleet.JobNeverRuns, now)
		}
	}
	rep.Unplaced = append(rep.Unplaced, unplaced...)

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

// withinLimits returns the jobs that fit in their teams' quotas, in placement order.
func (c *Controller) withinLimits(waiting []placement.Job, l load, rep *Report) []placement.Job {
	planned := maps.Clone(l.teams)
	kept := make([]placement.Job, 0, len(waiting))
	for _, j := range placement.SortByPriority(waiting) {
		after := planned[j.Team].Plus(j.Need)
		if limit, limited := c.quota(j.Team); limited && !after.FitsIn(limit) {
			rep.Unplaced = append(rep.Unplaced, placement.Unplaced{Job: j.ID, Reason: placement.TeamLimit})
			continue
		}
		planned[j.Team] = after
		kept = append(kept, j)
	}

	return kept
}

// workers returns all hosts, and as workers those that can accept work, which excludes hosts that are being moved.
func (c *Controller) workers(
	records map[fleet.HostName]record.Versioned[move.Record], used map[fleet.HostName]fleet.Resources, now time.Time,
) ([]fleet.Host, []placement.Worker) {
	hosts := make([]fleet.Host, 0, len(records))
	var workers []placement.Worker
	for _, name := range slices.Sorted(maps.Keys(records)) {
		r := records[name].Value
		hosts = append(hosts, r.Host)
		if _, usable := r.UsablePool(); usable && r.Intent == nil {
			workers = append(workers, c.health.Annotate(placement.Worker{Host: r.Host, Used: used[name]}, now))
		}
	}

	return hosts, workers
}

// Quiesce checkpoints and stops the idempotent tasks of a draining host, so that they resume on other workers; other tasks run to completion.
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
		// The error is ignored: the next step reads the status of each task.
		_ = c.platform.StopTasks(ctx, w.Host, saved)
	}
}
