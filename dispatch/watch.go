package dispatch

import (
	"context"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/work"
)

const (
	// unknownInterval is the time between two searches for jobs that the scheduler does not have.
	unknownInterval = 2 * time.Second
	// unknownAfter is how long the follower has had a job that the scheduler does not have until that counts as a fault.
	unknownAfter = 3 * time.Second
	// maxUnknownReads bounds the jobs that one search reads from the store.
	maxUnknownReads = 20
)

// Watch has the functions that are told whether the owner keeps up. They are called with zeros at the end of a term.
type Watch struct {
	// Unstarted is told the numbers of unstarted jobs by reason.
	Unstarted func(jobs map[schedule.WaitReason]int)
	// Pass is told how long a scheduling pass took, and Lag how late it began.
	Pass func(took time.Duration)
	Lag  func(lag time.Duration)
}

// WithWatch sets the functions that are told whether the owner keeps up.
func WithWatch(w Watch) Option {
	return func(d *Dispatcher) { d.watch = w }
}

// noWatch tells nobody.
func noWatch() Watch {
	return Watch{Unstarted: func(map[schedule.WaitReason]int) {}, Pass: func(time.Duration) {}, Lag: func(time.Duration) {}}
}

// endWatch tells at the end of a term that nothing waits for this process.
func (d *Dispatcher) endWatch() {
	d.watch.Unstarted(nil)
	d.watch.Lag(0)
}

// measurePass tells how long the pass that has just ended took, and how much later it began than at the latest due.
func (t *term) measurePass(began time.Time) {
	now := time.Now()
	t.watch.Pass(now.Sub(began))
	if !t.passDue.IsZero() {
		t.watch.Lag(max(0, began.Sub(t.passDue)))
	}
	t.passDue = now.Add(passPause(now.Sub(began)) + tickInterval)
}

// watchJobs tells of the jobs that are ready and don't start.
func (t *term) watchJobs(now time.Time) {
	counts, searched := t.sched.Unstarted(now)
	if !searched {
		return
	}
	counts[schedule.UnknownToOwner] = t.unknownJobs
	t.watch.Unstarted(counts)
}

// findUnknown searches for accepted jobs that the scheduler does not have, until the term ends.
func (t *term) findUnknown(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, unknownInterval)
		for _, id := range t.searchUnknown(time.Now()) {
			t.addUnknown(ctx, id)
		}
	}
}

// searchUnknown returns some of the jobs that the follower has had for unknownAfter and the scheduler still does not have.
func (t *term) searchUnknown(now time.Time) []fleet.JobID {
	replica := t.follower.Replica()
	if replica == nil {
		return nil
	}
	open := replica.OpenJobs()
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.unknown
	t.unknown = map[fleet.JobID]time.Time{}
	var late []fleet.JobID
	for _, id := range open {
		if t.sched.Has(id) {
			continue
		}
		since, ok := before[id]
		if !ok {
			since = now
		}
		t.unknown[id] = since
		if now.Sub(since) >= unknownAfter {
			late = append(late, id)
		}
	}
	t.unknownJobs = len(late)

	return late[:min(len(late), maxUnknownReads)]
}

// addUnknown gives the scheduler a job that it does not have. It leaves out a job that has run, whose tasks might run
// twice, and one whose record is gone from the store, which has long been over.
func (t *term) addUnknown(ctx context.Context, id fleet.JobID) {
	replica := t.follower.Replica()
	if state, ok := replica.Status(id); !ok || state != ledger.Queued || replica.Assigned(id) {
		t.log.Error("the owner does not have a job that has run", "job", id, "state", state)
		return
	}
	reading, cancel := context.WithTimeout(ctx, maxWriteTimeout)
	defer cancel()
	r, err := t.client.Get(reading, ledger.JobKey(id))
	if err != nil {
		t.log.Error("can't read a job that the owner does not have", "job", id, "error", err)
		return
	}
	j, err := ledger.Decode[work.Job](r.Key, r.Value)
	if err != nil {
		t.log.Error("can't read a job that the owner does not have", "job", id, "error", err)
		return
	}
	t.observe(schedule.Decision{
		Kind: schedule.DecidedUnstarted, Attempt: work.Attempt{Task: work.Task{Job: id}}, Reason: string(schedule.UnknownToOwner), Age: time.Since(j.Submitted),
	})
	t.addJob(j, r.Revision)
}
