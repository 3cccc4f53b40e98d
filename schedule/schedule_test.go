package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// bench is a scheduler with workers that do as they are told, without a network.
type bench struct {
	t     *testing.T
	s     *Scheduler
	now   time.Time
	book  map[fleet.JobID]*ledger.Entry
	regs  map[work.WorkerID]work.Registration
	dark  map[work.WorkerID]bool
	runs  map[work.WorkerID]map[work.Attempt]bool
	ends  map[work.WorkerID][]work.End
	token map[work.WorkerID]uint64
	seen  []Decision
	// saved is what running tasks show as their checkpoint, and resumed the checkpoint of the last start that had one.
	saved map[work.Attempt]string
	// percent is how far a run says it is; one that is not there is at work or about to end.
	percent map[work.Attempt]int
	resumed string
}

const testPool = fleet.PoolName("post")

var testConfig = work.Config{
	Queues: []work.Queue{{Name: "q", Pool: testPool, MaxAttempts: 2, SlackFactor: 1.6, Slack: 600 * time.Millisecond}},
	Pools:  []work.Pool{{Name: testPool}},
}

func newBench(t *testing.T, workers int) *bench {
	t.Helper()
	b := &bench{
		t: t, now: time.Date(2026, 4, 15, 5, 30, 0, 0, time.UTC), book: map[fleet.JobID]*ledger.Entry{},
		regs: map[work.WorkerID]work.Registration{}, dark: map[work.WorkerID]bool{}, runs: map[work.WorkerID]map[work.Attempt]bool{},
		ends: map[work.WorkerID][]work.End{}, token: map[work.WorkerID]uint64{},
	}
	b.take(1)
	for i := range workers {
		b.register(work.WorkerID(fmt.Sprint("w", i)), 1)
	}

	return b
}

// take begins a term, as a new owner does with what the ledger says.
func (b *bench) take(term uint64) {
	b.s = New(term, Bounds{MaxLease: 6 * time.Second, MoveTime: 1500 * time.Millisecond}, b.book, b.now,
		WithObserver(func(d Decision) { b.seen = append(b.seen, d) }))
	b.s.SetConfig(testConfig)
	for _, r := range b.regs {
		b.s.Register(r, b.now)
	}
}

func (b *bench) register(id work.WorkerID, life work.Life) {
	r := work.Registration{
		ID: id, Life: life, Address: string(id), Pool: testPool, Rack: fleet.RackName("r-" + id), Capacity: fleet.Resources{Cores: 16000, Memory: 32768},
	}
	b.regs[id] = r
	b.runs[id] = map[work.Attempt]bool{}
	b.s.Register(r, b.now)
}

// step lets the scheduler decide, answers its calls, and lets time pass.
func (b *bench) step() {
	b.s.Tick()
	b.s.Lapse(b.now)
	b.s.Place(b.now)
	_, starts := b.s.Take()
	for _, o := range b.s.Stored(starts, b.now) {
		b.order(o)
	}
	for _, o := range b.s.Stops(b.now) {
		b.order(o)
	}
	for _, l := range b.s.Polls(b.now) {
		b.poll(l)
	}
	b.now = b.now.Add(100 * time.Millisecond)
}

func (b *bench) order(o Order) {
	id := o.Worker.ID
	switch {
	case b.dark[id]:
		b.s.Answered(o, work.Answer{}, work.ErrNoAnswer, b.now)
		return
	case o.Start != nil && o.Start.Token < b.token[id]:
		b.s.Answered(o, work.Answer{}, work.ErrFenced, b.now)
		return
	case o.Start != nil:
		b.runs[id][o.Attempt()] = true
		if o.Start.Checkpoint != "" {
			b.resumed = o.Start.Checkpoint
		}
	case b.runs[id][o.Attempt()]:
		b.end(id, o.Attempt(), work.OutcomeStopped)
	}
	b.s.Answered(o, work.Answer{Clock: b.clock(), Life: b.regs[id].Life}, nil, b.now)
}

func (b *bench) poll(l Poll) {
	id := l.Worker.ID
	if b.dark[id] {
		b.s.Polled(l, work.PollReply{}, work.ErrNoAnswer, b.now)
		return
	}
	b.token[id] = max(b.token[id], l.Order.Token)
	reply := work.PollReply{Answer: work.Answer{Clock: b.clock(), Life: b.regs[id].Life}}
	for a := range b.runs[id] {
		percent, ok := b.percent[a]
		if !ok {
			percent = 100
		}
		reply.Active = append(reply.Active, work.Activity{Attempt: a, Percent: percent, Checkpoint: b.saved[a]})
	}
	for _, e := range b.ends[id] {
		if e.Number > l.Order.Acked {
			reply.Ended = append(reply.Ended, e)
		}
	}
	b.s.Polled(l, reply, nil, b.now)
}

func (b *bench) end(id work.WorkerID, a work.Attempt, o work.Outcome) {
	delete(b.runs[id], a)
	b.ends[id] = append(b.ends[id], work.End{Number: uint64(len(b.ends[id]) + 1), Attempt: a, Outcome: o})
}

// finish ends everything that runs with one outcome.
func (b *bench) finish(o work.Outcome) {
	for id, runs := range b.runs {
		for a := range runs {
			b.end(id, a, o)
		}
	}
}

func (b *bench) clock() time.Duration {
	return b.now.Sub(time.Date(2026, 4, 15, 0, 0, 0, 0, time.UTC))
}

func (b *bench) submit(id fleet.JobID, steps ...work.Step) {
	b.s.AddJob(work.Job{ID: id, Queue: "q", Pool: testPool, Steps: steps, Submitted: b.now}, 1, b.now)
}

func (b *bench) running() int {
	n := 0
	for _, runs := range b.runs {
		n += len(runs)
	}

	return n
}

func (b *bench) settle() {
	for range 8 {
		b.step()
	}
}

func size(cores fleet.MilliCores) fleet.Resources {
	return fleet.Resources{Cores: cores, Memory: 1024}
}

func check(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// A step starts only when all tasks of the steps before it are done.
func TestStepsInOrder(t *testing.T) {
	b := newBench(t, 2)
	b.submit("j", work.Step{Count: 3, Size: size(1000)}, work.Step{Count: 2, Size: size(1000), After: []int{0}})
	b.settle()
	check(t, "running tasks of the first step", 3, b.running())

	b.finish(work.OutcomeDone)
	b.settle()
	check(t, "running tasks of the second step", 2, b.running())

	b.finish(work.OutcomeDone)
	b.settle()
	check(t, "state", ledger.Completed, b.book["j"].State())
}

// A task that failed runs again, elsewhere or here, until its attempts are used up; then its job has failed.
func TestAttemptsUsedUp(t *testing.T) {
	b := newBench(t, 3)
	b.submit("j", work.Step{Count: 1, Size: size(1000)})
	b.settle()
	b.finish(work.OutcomeFailed)
	b.settle()
	check(t, "running after the first failure", 1, b.running())

	b.finish(work.OutcomeFailed)
	b.settle()
	check(t, "state", ledger.Failed, b.book["j"].State())
	check(t, "running after the second failure", 0, b.running())
}

// Kowhai, scale-1: racks went dark, each poll planned a new lease, and lasting tasks were never restarted.
func TestLeasesEndOnSilentWorkers(t *testing.T) {
	b := newBench(t, 2)
	b.submit("j", work.Step{Count: 1, Size: size(1000), Lasting: true})
	b.settle()
	var first work.WorkerID
	for id, runs := range b.runs {
		if len(runs) > 0 {
			first = id
		}
	}
	b.dark[first] = true
	for range 50 {
		b.step()
	}
	check(t, "running while the lease may hold", 1, b.running())

	for range 30 {
		b.step()
	}
	check(t, "running after the lease has ended, with the one on the dark worker", 2, b.running())
}

// Kowhai, trouble-2: a job was cancelled while nobody owned the workers, and ran on under the next owner.
func TestCancelledBeforeTakeOver(t *testing.T) {
	b := newBench(t, 1)
	b.submit("j", work.Step{Count: 2, Size: size(1000), Lasting: true})
	b.settle()
	b.book["j"].Job = b.book["j"].Job.WithCancelled()

	b.take(2)
	b.settle()
	check(t, "running after the take-over", 0, b.running())
}

// An order that was not answered is settled by a poll under a higher token, which keeps it from beginning later.
func TestUnansweredStart(t *testing.T) {
	b := newBench(t, 1)
	b.settle()
	b.submit("j", work.Step{Count: 1, Size: size(1000)})
	b.s.Place(b.now)
	_, starts := b.s.Take()
	lost := b.s.Stored(starts, b.now)
	b.s.Answered(lost[0], work.Answer{}, work.ErrNoAnswer, b.now)
	b.settle()

	check(t, "running once the order is settled", 1, b.running())
	if late := lost[0]; late.Start.Token >= b.token["w0"] {
		t.Errorf("an order with token %d could still begin, the worker's is %d", late.Start.Token, b.token["w0"])
	}
	check(t, "attempts", 2, b.book["j"].Task(work.Task{Job: "j"}).Attempts)
}

// A worker that starts anew has lost all runs; they start again at once, under another attempt.
func TestWorkerStartsAnew(t *testing.T) {
	b := newBench(t, 1)
	b.submit("j", work.Step{Count: 2, Size: size(1000)})
	b.settle()
	b.ends["w0"] = nil
	b.register("w0", 2)
	b.settle()
	check(t, "running", 2, b.running())
	check(t, "attempts", 2, b.book["j"].Task(work.Task{Job: "j"}).Attempts)
}

// What a workspace has running stays within its upper limit.
func TestUpperLimit(t *testing.T) {
	b := newBench(t, 2)
	c := testConfig
	c.Workspaces = []work.Workspace{{Name: "treasurers", UpperLimit: fleet.Resources{Cores: 2500}}}
	b.s.SetConfig(c)
	b.s.AddJob(work.Job{ID: "j", Queue: "q", Workspace: "treasurers", Steps: []work.Step{{Count: 5, Size: size(1000)}}, Submitted: b.now}, 1, b.now)
	b.settle()
	check(t, "running", 2, b.running())
}

// Room that becomes free bit by bit is kept for a lasting task that needs it whole.
func TestRoomKeptForLasting(t *testing.T) {
	b := newBench(t, 1)
	b.submit("small", work.Step{Count: 40, Size: size(4000)})
	b.settle()
	b.submit("lasting", work.Step{Count: 1, Size: size(8000), Lasting: true})
	for i := range 6 {
		for a := range b.runs["w0"] {
			if a.Job == "small" {
				b.end("w0", a, work.OutcomeDone)
				break
			}
		}
		b.settle()
		for a := range b.runs["w0"] {
			if a.Job == "lasting" {
				return
			}
		}
		t.Logf("after %d ends the lasting task waits", i+1)
	}
	t.Error("the lasting task found no room")
}

// A gang starts whole or not at all, its members under one attempt number.
func TestGangWholeOrNot(t *testing.T) {
	b := newBench(t, 1)
	b.submit("large", work.Step{Count: 5, Size: size(4000), Gang: true})
	b.settle()
	check(t, "running members of a gang without room", 0, b.running())

	b.register("w1", 1)
	b.settle()
	check(t, "running members", 5, b.running())
}
