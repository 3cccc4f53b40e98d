package standin

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
)

// task is a job's task on a worker.
type task struct {
	start     hostapi.TaskStart
	status    hostapi.TaskStatus
	expires   time.Time
	throttled fleet.MilliCores
}

// SetFailing sets whether a worker fails all tasks that are started on it.
func (p *Platform) SetFailing(name fleet.HostName, failing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w, ok := p.workers[name]; ok {
		w.failing = failing
	}
}

// SetTaskTime sets how long tasks run that are started later; zero means until FinishTask.
func (p *Platform) SetTaskTime(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taskTime = d
}

// SetUsage sets the reported resource usage of a task.
func (p *Platform) SetUsage(host fleet.HostName, job fleet.JobID, usage fleet.Resources) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.find(host, job); t != nil {
		t.status.Usage = usage
	}
}

// FinishTask ends a running task with the given state.
func (p *Platform) FinishTask(host fleet.HostName, job fleet.JobID, state hostapi.TaskState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.find(host, job); t != nil && t.status.State == hostapi.TaskRunning {
		t.end(state, time.Now())
	}
}

// Starts returns how often a job's task was started on all workers.
func (p *Platform) Starts(job fleet.JobID) int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.starts[job]
}

// CutOff returns the number of tasks that were stopped without a checkpoint.
func (p *Platform) CutOff() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.cutOff
}

func (p *Platform) find(host fleet.HostName, job fleet.JobID) *task {
	w, ok := p.workers[host]
	if !ok {
		return nil
	}

	return w.tasks[job]
}

func (t *task) end(s hostapi.TaskState, now time.Time) {
	t.status.State, t.status.Ended = s, now
}

// running ends finished and expired tasks and returns the number of the others.
func (w *worker) running() int {
	n := 0
	for _, t := range w.tasks {
		t.endIfOver(time.Now())
		if t.status.State == hostapi.TaskRunning {
			n++
		}
	}

	return n
}

// endIfOver ends a task whose run time is over or whose lease has expired, whichever came first.
func (t *task) endIfOver(now time.Time) {
	if t.status.State != hostapi.TaskRunning {
		return
	}
	ended := t.status.Ended
	switch {
	case !ended.IsZero() && !now.Before(ended) && !ended.After(t.expires):
		t.end(hostapi.TaskDone, ended)
	case !now.Before(t.expires):
		t.end(hostapi.TaskLapsed, t.expires)
	}
}

// used returns the sum of the sizes of the running tasks.
func (w *worker) used() fleet.Resources {
	var sum fleet.Resources
	for _, t := range w.tasks {
		if t.status.State == hostapi.TaskRunning {
			sum = sum.Plus(t.start.Size)
		}
	}

	return sum
}

func (w *worker) loseTasks() {
	for _, t := range w.tasks {
		if t.status.State == hostapi.TaskRunning {
			t.end(hostapi.TaskLapsed, time.Now())
		}
	}
}

// enterWorker calls enter and returns a worker that is up. It returns with p.mu held unless it returns an error.
func (p *Platform) enterWorker(ctx context.Context, kind string, host fleet.HostName) (*worker, error) {
	if err := p.enter(ctx, kind); err != nil {
		return nil, err
	}

	w, ok := p.workers[host]
	if !ok {
		p.mu.Unlock()
		return nil, merry.Prepend(hostapi.ErrRefused, "no host "+string(host))
	}
	if !p.up(w) {
		p.mu.Unlock()
		return nil, merry.Prependf(hostapi.ErrUnavailable, "host %s is down", host)
	}
	w.running()

	return w, nil
}

func (p *Platform) startTask(ctx context.Context, s hostapi.TaskStart) error {
	w, err := p.enterWorker(ctx, "StartTask", s.Host)
	if err != nil {
		return err
	}
	defer p.mu.Unlock()

	if s.Token < w.tokens[s.Job] {
		return merry.Prependf(hostapi.ErrFenced, "job %s: token %d after %d", s.Job, s.Token, w.tokens[s.Job])
	}
	if t := w.tasks[s.Job]; t != nil && t.status.Token == s.Token {
		return p.answer("StartTask")
	}
	if s.Token == w.tokens[s.Job] {
		return merry.Prependf(hostapi.ErrFenced, "job %s: token %d was declared not started", s.Job, s.Token)
	}
	if s.HostFence < w.fence {
		return merry.Prependf(hostapi.ErrFenced, "host %s: fence %d after %d", s.Host, s.HostFence, w.fence)
	}
	if w.draining {
		return merry.Prependf(hostapi.ErrRefused, "host %s is draining", s.Host)
	}

	if !w.used().Plus(s.Size).FitsIn(w.host.Capacity) {
		return merry.Prependf(hostapi.ErrRefused, "host %s has no room", s.Host)
	}

	p.launch(w, s)

	return p.answer("StartTask")
}

func (p *Platform) launch(w *worker, s hostapi.TaskStart) {
	now := time.Now()
	p.starts[s.Job]++
	w.tokens[s.Job] = s.Token
	t := &task{start: s, expires: now.Add(s.LeaseTTL.Std()), status: hostapi.TaskStatus{
		Job: s.Job, Host: s.Host, Token: s.Token, State: hostapi.TaskRunning, Started: now,
	}}
	if p.taskTime > 0 {
		t.status.Ended = now.Add(p.taskTime)
	}
	if w.failing {
		t.end(hostapi.TaskFailed, now)
	}
	w.tasks[s.Job] = t
}

func (p *Platform) renewTasks(ctx context.Context, host fleet.HostName, tasks []hostapi.TaskCall) ([]fleet.JobID, error) {
	w, err := p.enterWorker(ctx, "RenewTasks", host)
	if err != nil {
		return nil, err
	}
	defer p.mu.Unlock()

	var gone []fleet.JobID
	for _, c := range tasks {
		t := w.tasks[c.Job]
		if t == nil || t.status.Token != c.Token || t.status.State != hostapi.TaskRunning {
			gone = append(gone, c.Job)
			continue
		}
		t.expires = time.Now().Add(t.start.LeaseTTL.Std())
	}

	return gone, p.answer("RenewTasks")
}

func (p *Platform) task(ctx context.Context, c hostapi.TaskCall) (hostapi.TaskStatus, error) {
	w, err := p.enterWorker(ctx, "Task", c.Host)
	if err != nil {
		return hostapi.TaskStatus{}, err
	}
	defer p.mu.Unlock()

	t := w.tasks[c.Job]
	if t != nil && t.status.Token >= c.Token {
		return t.status, nil
	}
	// A delayed start with this token is rejected from now on, so that the response stays true.
	w.tokens[c.Job] = max(w.tokens[c.Job], c.Token)

	return hostapi.TaskStatus{}, merry.Prependf(hostapi.ErrNotFound, "job %s on %s", c.Job, c.Host)
}

func (p *Platform) listTasks(ctx context.Context, host fleet.HostName) ([]hostapi.TaskStatus, error) {
	w, err := p.enterWorker(ctx, "Tasks", host)
	if err != nil {
		return nil, err
	}
	defer p.mu.Unlock()

	all := make([]hostapi.TaskStatus, 0, len(w.tasks))
	for _, t := range w.tasks {
		all = append(all, t.status)
	}
	slices.SortFunc(all, func(a, b hostapi.TaskStatus) int { return strings.Compare(string(a.Job), string(b.Job)) })

	return all, nil
}

// onTask applies an effect to a running task unless the call's token is stale.
func (p *Platform) onTask(ctx context.Context, kind string, c hostapi.TaskCall, effect func(*task)) error {
	w, err := p.enterWorker(ctx, kind, c.Host)
	if err != nil {
		return err
	}
	defer p.mu.Unlock()

	t := w.tasks[c.Job]
	if t == nil || t.status.State != hostapi.TaskRunning {
		return merry.Prependf(hostapi.ErrNotFound, "job %s on %s", c.Job, c.Host)
	}
	if c.Token < t.status.Token {
		return merry.Prependf(hostapi.ErrFenced, "job %s", c.Job)
	}
	effect(t)

	return p.answer(kind)
}

func (p *Platform) checkpoint(ctx context.Context, c hostapi.TaskCall) error {
	return p.onTask(ctx, "Checkpoint", c, func(t *task) { t.status.Checkpointed = true })
}

func (p *Platform) throttle(ctx context.Context, c hostapi.ThrottleCall) error {
	return p.onTask(ctx, "Throttle", c.TaskCall, func(t *task) { t.throttled = c.Cores })
}

func (p *Platform) stopTasks(ctx context.Context, host fleet.HostName, tasks []hostapi.TaskCall) error {
	w, err := p.enterWorker(ctx, "StopTasks", host)
	if err != nil {
		return err
	}
	defer p.mu.Unlock()

	for _, c := range tasks {
		t := w.tasks[c.Job]
		if t == nil || t.status.State != hostapi.TaskRunning || c.Token < t.status.Token {
			continue
		}
		if !t.status.Checkpointed {
			p.cutOff++
		}
		t.end(hostapi.TaskStopped, time.Now())
	}

	return p.answer("StopTasks")
}
