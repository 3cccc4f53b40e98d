package schedule

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

const (
	crashWorkers = 10
	// stepTime is how far one step of the testbed advances the time.
	stepTime = 100 * time.Millisecond
	// listTime is the interval at which the cloud's list is read.
	listTime = 500 * time.Millisecond
	// expiryTime is how long the registration of a crashed worker stays.
	expiryTime = 1500 * time.Millisecond
	// returnTime is how long a host is down after a crash.
	returnTime = 3 * time.Second
	// testLease is the lease of the runs on a worker, as takeOver sets it.
	testLease = 6 * time.Second
	// soundTime is how long the task of a sound job takes.
	soundTime = 4 * time.Second
	// never is a delay that no test reaches.
	never = time.Duration(math.MaxInt64)
)

// crashbed is a testbed whose workers run on hosts of a cloud, may crash and return, and whose ledger is kept in its stored
// form.
type crashbed struct {
	*testbed
	hosts []*bedHost
	// sameID lets workers return under the ID that they had, with a higher life.
	sameID bool
	// lasts returns how long a run takes until it ends done.
	lasts func(work.Attempt) time.Duration
	// poison returns how long after its start a run crashes its worker; zero means before the start is answered.
	poison func(work.Attempt) time.Duration
	// begun has when the runs that are active began, and starts all starts in their order.
	begun   map[work.Attempt]time.Time
	starts  []bedStart
	crashes []bedCrash
	// cutAt has when the link of each worker without an answer was cut.
	cutAt map[work.WorkerID]time.Time
	// firstDown is when each worker's host was first listed as down after the worker's crash.
	firstDown map[work.WorkerID]time.Time
	jobs      []work.Job
	log       [][]ledger.Change
	term      uint64
	listedAt  time.Time
}

// bedHost is a host with its present worker, or with the times at which its last worker's registration expires and the next
// worker starts.
type bedHost struct {
	work.HostStatus
	lives              int
	last               work.WorkerID
	expiresAt, returns time.Time
}

// bedStart is a start that a worker carried out.
type bedStart struct {
	attempt work.Attempt
	worker  work.WorkerID
	at      time.Time
}

// bedCrash is the crash of a worker, with the runs that caused it and the number of all that it ended.
type bedCrash struct {
	worker work.WorkerID
	at     time.Time
	causes []work.Attempt
	lost   int
}

// newCrashbed returns a crashbed of crashWorkers hosts on two racks, in which only the tasks of sound jobs end and nothing crashes.
func newCrashbed(t *testing.T) *crashbed {
	t.Helper()
	b := &crashbed{
		testbed: newTestbed(t, 0), begun: map[work.Attempt]time.Time{}, cutAt: map[work.WorkerID]time.Time{}, firstDown: map[work.WorkerID]time.Time{},
		lasts: soundLasts, poison: func(work.Attempt) time.Duration { return never }, term: 1,
	}
	for i := range crashWorkers {
		h := &bedHost{HostStatus: work.HostStatus{
			Host: fleet.HostName(fmt.Sprint("h-", i)), Pool: testPool, State: work.HostUp, Rack: fleet.RackName(fmt.Sprint("r", i*2/crashWorkers)),
			Capacity: fleet.Resources{Cores: 16000, Memory: 32768},
		}}
		b.hosts = append(b.hosts, h)
		b.boot(h)
	}
	b.settleCrashes()

	return b
}

// soundLasts is how long the runs of jobs take whose names begin with sound; others never end.
func soundLasts(a work.Attempt) time.Duration {
	if strings.HasPrefix(string(a.Job), "sound") {
		return soundTime
	}

	return never
}

// boot starts and registers the next worker of a host.
func (b *crashbed) boot(h *bedHost) {
	h.lives++
	h.State, h.returns = work.HostUp, time.Time{}
	h.Worker = work.WorkerID(fmt.Sprint("w", h.Host[2:]))
	if h.lives > 1 && !b.sameID {
		h.Worker = work.WorkerID(fmt.Sprint("w", h.Host[2:], "-", h.lives))
	}
	life := work.Life(1)
	if b.sameID {
		life = work.Life(h.lives)
	}
	id := h.Worker
	delete(b.unreachable, id)
	delete(b.token, id)
	delete(b.ends, id)
	b.runs[id] = map[work.Attempt]bool{}
	b.regs[id] = work.Registration{ID: id, Life: life, Address: string(id), Pool: testPool, Rack: h.Rack, Capacity: h.Capacity}
	b.s.Register(b.regs[id], b.now)
}

// hostOf returns the host on which a worker runs.
func (b *crashbed) hostOf(id work.WorkerID) *bedHost {
	for _, h := range b.hosts {
		if h.Worker == id {
			return h
		}
	}
	b.t.Fatalf("no host runs %s", id)

	return nil
}

// crash ends a worker and everything on it without a word; its host is down for returnTime.
func (b *crashbed) crash(id work.WorkerID, causes ...work.Attempt) {
	b.crashes = append(b.crashes, bedCrash{worker: id, at: b.now, causes: causes, lost: len(b.runs[id])})
	b.terminate(id, work.HostDown)
	b.hosts[b.hostIndex(id)].expiresAt = b.now.Add(expiryTime)
}

// hostIndex returns the index of the host whose last worker is id.
func (b *crashbed) hostIndex(id work.WorkerID) int {
	return slices.IndexFunc(b.hosts, func(h *bedHost) bool { return h.last == id })
}

// terminate ends a worker and puts its host in a state for returnTime.
func (b *crashbed) terminate(id work.WorkerID, state work.HostState) {
	h := b.hostOf(id)
	h.State, h.last, h.Worker, h.returns = state, id, "", b.now.Add(returnTime)
	b.unreachable[id] = true
	for _, a := range b.attemptsOn(id) {
		delete(b.runs[id], a)
		delete(b.begun, a)
		b.breakGang(a)
	}
}

// breakGang ends the other members of a gang of which one run ended.
func (b *crashbed) breakGang(a work.Attempt) {
	if !b.entries[a.Job].Job.Steps[a.Step].Gang {
		return
	}
	for _, id := range b.workerIDs() {
		for _, o := range b.attemptsOn(id) {
			if o.Job == a.Job && o.Step == a.Step && o.Number == a.Number {
				delete(b.begun, o)
				b.end(id, o, work.OutcomeGangBroken)
			}
		}
	}
}

// cut cuts the link to a worker, whose runs end when their lease does.
func (b *crashbed) cut(id work.WorkerID) {
	b.unreachable[id], b.cutAt[id] = true, b.now
}

// mend restores the link to a worker.
func (b *crashbed) mend(id work.WorkerID) {
	delete(b.unreachable, id)
	delete(b.cutAt, id)
}

// attemptsOn returns the active runs on a worker in a fixed order.
func (b *crashbed) attemptsOn(id work.WorkerID) []work.Attempt {
	return slices.SortedFunc(maps.Keys(b.runs[id]), compareAttempts)
}

func compareAttempts(x, y work.Attempt) int {
	return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index), cmp.Compare(x.Number, y.Number))
}

func (b *crashbed) workerIDs() []work.WorkerID {
	return slices.Sorted(maps.Keys(b.runs))
}

// workerOf returns a worker that runs a task of a job, or nothing.
func (b *crashbed) workerOf(job fleet.JobID) work.WorkerID {
	for _, id := range b.workerIDs() {
		for _, a := range b.attemptsOn(id) {
			if a.Job == job {
				return id
			}
		}
	}

	return ""
}

// runningOf returns how many runs of the jobs are active.
func (b *crashbed) runningOf(jobs ...fleet.JobID) int {
	n := 0
	for _, runs := range b.runs {
		for a := range runs {
			if slices.Contains(jobs, a.Job) {
				n++
			}
		}
	}

	return n
}

// submit adds a job, whose record is stored first.
func (b *crashbed) submit(id fleet.JobID, steps ...work.Step) {
	j := work.Job{ID: id, Queue: "q", Pool: testPool, Steps: steps, Submitted: b.now}
	b.jobs = append(b.jobs, j)
	b.s.AddJob(j, 1, b.now)
}

// step lets the hosts and the cloud's list change, runs one pass of the scheduler as testbed.step does, and advances the
// time, in which runs end or crash their workers.
func (b *crashbed) step() {
	b.changeHosts()
	if b.now.Sub(b.listedAt) >= listTime {
		b.list()
	}
	b.s.Tick()
	b.s.ExpireLeases(b.now)
	b.s.Place(b.now)
	changes, starts := b.s.TakePending()
	if len(changes) > 0 {
		b.log = append(b.log, changes)
	}
	for _, o := range b.s.Stored(starts, b.now) {
		b.carryOut(o)
	}
	for _, o := range b.s.StopOrders(b.now) {
		b.carryOut(o)
	}
	for _, p := range b.s.DuePolls(b.now) {
		b.poll(p)
	}
	b.now = b.now.Add(stepTime)
	b.advanceRuns()
}

// changeHosts removes expired registrations and starts the workers of hosts that return.
func (b *crashbed) changeHosts() {
	for _, h := range b.hosts {
		if !h.expiresAt.IsZero() && !b.now.Before(h.expiresAt) {
			delete(b.regs, h.last)
			b.s.Deregister(h.last)
			h.expiresAt = time.Time{}
		}
		if !h.returns.IsZero() && !b.now.Before(h.returns) {
			b.boot(h)
		}
	}
}

// list applies the cloud's list as it is now.
func (b *crashbed) list() {
	b.listedAt = b.now
	b.s.SetHosts(b.statuses(), b.now, b.now)
	for _, h := range b.hosts {
		if _, seen := b.firstDown[h.last]; h.State == work.HostDown && !seen {
			b.firstDown[h.last] = b.now
		}
	}
}

func (b *crashbed) statuses() []work.HostStatus {
	var list []work.HostStatus
	for _, h := range b.hosts {
		list = append(list, h.HostStatus)
	}

	return list
}

// carryOut carries out an order, and checks that no task runs twice and that no task of a job that is over starts.
func (b *crashbed) carryOut(o Order) {
	id, a := o.Worker.ID, o.run.attempt
	if o.Start == nil || b.unreachable[id] {
		b.order(o)
		return
	}
	for _, other := range b.workerIDs() {
		for _, r := range b.attemptsOn(other) {
			if r.Task == a.Task {
				b.t.Errorf("%s: attempt %d of %s starts on %s while attempt %d runs on %s", b.at(), a.Number, a.Task, id, r.Number, other)
			}
		}
	}
	if e := b.entries[a.Job]; e.Finished() {
		b.t.Errorf("%s: %s starts although its job is %s", b.at(), a.Task, e.State())
	}
	b.starts = append(b.starts, bedStart{attempt: a, worker: id, at: b.now})
	if b.poison(a) == 0 {
		b.crash(id, a)
		b.s.Answered(o, work.Answer{}, work.ErrNoAnswer, b.now)
		return
	}
	b.order(o)
	if b.runs[id][a] {
		b.begun[a] = b.now
	}
}

// advanceRuns crashes the workers of the runs whose moment has come, and ends the runs that are done or whose lease has
// ended.
func (b *crashbed) advanceRuns() {
	due := func(a work.Attempt, after time.Duration) bool { return after < never && b.now.Sub(b.begun[a]) >= after }
	for _, id := range b.workerIDs() {
		attempts := b.attemptsOn(id)
		causes := slices.DeleteFunc(slices.Clone(attempts), func(a work.Attempt) bool { return !due(a, b.poison(a)) })
		if len(causes) > 0 {
			b.crash(id, causes...)
			continue
		}
		cutAt, isCut := b.cutAt[id]
		for _, a := range attempts {
			switch {
			case !b.runs[id][a]:
			case isCut && b.now.Sub(cutAt) >= testLease:
				b.endRun(id, a, work.OutcomeLapsed)
			case due(a, b.lasts(a)):
				b.endRun(id, a, work.OutcomeDone)
			}
		}
	}
}

func (b *crashbed) endRun(id work.WorkerID, a work.Attempt, o work.Outcome) {
	delete(b.begun, a)
	b.end(id, a, o)
	if o != work.OutcomeDone {
		b.breakGang(a)
	}
}

// at returns the time since the start of the testbed.
func (b *crashbed) at() time.Duration {
	return b.now.Sub(time.Date(2026, 4, 15, 5, 30, 0, 0, time.UTC))
}

// until steps until a condition holds, at most for a time, and reports whether it held.
func (b *crashbed) until(limit time.Duration, holds func() bool) bool {
	for end := b.now.Add(limit); b.now.Before(end); b.step() {
		if holds() {
			return true
		}
	}

	return holds()
}

// pass steps for a time.
func (b *crashbed) pass(d time.Duration) {
	b.until(d, func() bool { return false })
}

func (b *crashbed) settleCrashes() {
	b.pass(time.Second)
}

// crashesBy returns how many crashes the runs of a job caused.
func (b *crashbed) crashesBy(job fleet.JobID) int {
	n := 0
	for _, c := range b.crashes {
		if slices.ContainsFunc(c.causes, func(a work.Attempt) bool { return a.Job == job }) {
			n++
		}
	}

	return n
}

func (b *crashbed) state(job fleet.JobID) ledger.State {
	return b.entries[job].State()
}

// allIn reports whether all the jobs are in a state.
func (b *crashbed) allIn(state ledger.State, jobs []fleet.JobID) bool {
	return !slices.ContainsFunc(jobs, func(id fleet.JobID) bool { return b.state(id) != state })
}

// compact replaces the log by snapshots of all jobs, taken in pieces.
func (b *crashbed) compact() {
	var log [][]ledger.Change
	entries := b.replay()
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		for position, done := 0, false; !done; done = position == 0 {
			var changes []ledger.Change
			changes, position = entries[id].RestateFrom(position, 2)
			if len(changes) > 0 {
				log = append(log, changes)
			}
		}
	}
	b.log = log
}

// replay returns the jobs of the ledger as a replica reads them from their stored form.
func (b *crashbed) replay() map[fleet.JobID]*ledger.Entry {
	b.t.Helper()
	replica := ledger.NewReplica()
	apply := func(key string, value []byte, err error) {
		if err == nil {
			err = replica.ApplyEvent(store.Event{Record: store.Record{Key: key, Value: value, Revision: 1}})
		}
		if err != nil {
			b.t.Fatal(err)
		}
	}
	for _, j := range b.jobs {
		value, err := ledger.Encode(j)
		apply(ledger.JobKey(j.ID), value, err)
	}
	for i, changes := range b.log {
		value, err := ledger.EncodeBatch(ledger.Batch{Number: uint64(i), Owner: "e", Term: b.term, Changes: changes})
		apply(ledger.LogKey(uint64(i)), value, err)
	}

	return replica.Entries()
}

// changeOwner begins the term of another owner, which knows only what the ledger has stored.
func (b *crashbed) changeOwner() {
	b.entries = b.replay()
	b.term++
	b.takeOver(b.term)
	b.listedAt = time.Time{}
}
