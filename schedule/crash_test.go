package schedule

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// maxCrashes is how many workers one job may crash before it is given up, and maxCrashesOverOwners the same if the owner
// changes in between.
const (
	maxCrashes           = 3
	maxCrashesOverOwners = 4
)

// taskSize is the size of which twenty tasks fill a worker.
var taskSize = size(800)

// soundSize leaves room for a crashing job beside twenty sound ones on one worker.
var soundSize = size(600)

// submitSound submits jobs of one task that ends done after soundTime, numbered from first on, and returns their IDs.
func (b *crashbed) submitSound(first, n int) []fleet.JobID {
	var ids []fleet.JobID
	for i := range n {
		ids = append(ids, fleet.JobID(fmt.Sprintf("sound%02d", first+i)))
		b.submit(ids[i], work.Step{Count: 1, Size: soundSize, Estimate: soundTime})
	}

	return ids
}

// poisonFirst makes the first task of each job whose name begins with poison crash its worker after a delay.
func (b *crashbed) poisonFirst(delay time.Duration) {
	b.poison = func(a work.Attempt) time.Duration {
		if strings.HasPrefix(string(a.Job), "poison") && a.Index == 0 {
			return delay
		}

		return never
	}
}

var crashDelays = []time.Duration{0, 10 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond}

// A task that crashes each worker that starts it was once started again for ever, and each attempt ended the tasks of other
// jobs on that worker.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	for _, sameID := range []bool{false, true} {
		for _, delay := range crashDelays {
			t.Run(fmt.Sprintf("after %s, same ID %t", delay, sameID), func(t *testing.T) {
				b := newCrashbed(t)
				b.sameID = sameID
				b.poisonFirst(delay)
				sound := b.submitSound(0, 20)
				b.step()
				b.submit("poison", work.Step{Count: 3, Size: taskSize})
				b.until(30*time.Second, func() bool { return b.state("poison") == ledger.Failed && b.allIn(ledger.Completed, sound) })
				check(t, "runs lost in the first crash", true, b.crashes[0].lost >= 20)
				check(t, "state of the job", ledger.Failed, b.state("poison"))
				check(t, "sound jobs completed", true, b.allIn(ledger.Completed, sound))
				if got := b.crashesBy("poison"); got > maxCrashes {
					t.Errorf("%d crashes, at most %d are allowed", got, maxCrashes)
				}
				b.pass(time.Second)
				check(t, "running of the failed job", 0, b.runningOf("poison"))
			})
		}
	}
}

// Guards against the giving up of sound jobs, and of too few or too late of the others, when several jobs crash workers at
// the same time.
func TestSeveralCrashingJobs(t *testing.T) {
	const soundJobs, poisonJobs, arrivalSteps = 40, 8, 30
	for _, seed := range []uint64{1, 2, 3} {
		for _, delay := range crashDelays {
			t.Run(fmt.Sprintf("seed %d, %s", seed, delay), func(t *testing.T) {
				b := newCrashbed(t)
				b.poisonFirst(delay)
				arrivals := rand.New(rand.NewPCG(seed, 0)).Perm(soundJobs + poisonJobs)
				var sound, poison []fleet.JobID
				for i, n := range arrivals {
					if i*arrivalSteps/len(arrivals) > (i-1)*arrivalSteps/len(arrivals) {
						b.step()
					}
					if n < soundJobs {
						sound = append(sound, b.submitSound(n, 1)...)
						continue
					}
					id := fleet.JobID(fmt.Sprint("poison", n-soundJobs))
					poison = append(poison, id)
					b.submit(id, work.Step{Count: 1, Size: taskSize})
				}
				b.until(30*time.Second, func() bool { return b.allIn(ledger.Failed, poison) && b.allIn(ledger.Completed, sound) })
				check(t, "crashing jobs failed", true, b.allIn(ledger.Failed, poison))
				check(t, "sound jobs completed", true, b.allIn(ledger.Completed, sound))
				for _, id := range poison {
					if got := b.crashesBy(id); got > maxCrashes {
						t.Errorf("%d crashes by %s, at most %d are allowed", got, id, maxCrashes)
					}
				}
			})
		}
	}
}

// Guards against evidence that is lost with the owner or in a compaction, so that each owner starts a crashing task once
// more.
func TestCrashesOutliveTheOwner(t *testing.T) {
	tests := []struct {
		name string
		// after is how long after a crash the owner changes, and owners how often it does, a step apart.
		after   time.Duration
		owners  int
		compact bool
	}{
		{"at once", 0, 1, false},
		{"at once, compacted", 0, 1, true},
		{"at once, two owners in a row", 0, 2, false},
		{"once the host is listed as down", 700 * time.Millisecond, 1, false},
		{"once the host is listed as down, compacted", 700 * time.Millisecond, 1, true},
		{"once the host is listed as down, two owners in a row", 700 * time.Millisecond, 2, true},
		{"once the host is up again", 3500 * time.Millisecond, 1, false},
		{"once the host is up again, two owners in a row, compacted", 3500 * time.Millisecond, 2, true},
	}
	for _, tt := range tests {
		for _, delay := range crashDelays {
			t.Run(fmt.Sprint(tt.name, ", ", delay), func(t *testing.T) {
				b := newCrashbed(t)
				b.poisonFirst(delay)
				sound := b.submitSound(0, 20)
				b.step()
				b.submit("poison", work.Step{Count: 3, Size: taskSize})
				seen := 0
				b.until(40*time.Second, func() bool {
					if len(b.crashes) > seen && b.now.Sub(b.crashes[seen].at) >= tt.after {
						seen++
						b.replaceOwner(tt.owners, tt.compact)
					}

					return b.state("poison") == ledger.Failed && b.allIn(ledger.Completed, sound)
				})
				b.replaceOwner(tt.owners, tt.compact)
				b.pass(3 * time.Second)
				check(t, "state of the job", ledger.Failed, b.state("poison"))
				check(t, "sound jobs completed", true, b.allIn(ledger.Completed, sound))
				check(t, "running of the job", 0, b.runningOf("poison"))
				if got := b.crashesBy("poison"); got > maxCrashesOverOwners {
					t.Errorf("%d crashes, at most %d are allowed", got, maxCrashesOverOwners)
				}
			})
		}
	}
}

// replaceOwner changes the owner several times in a row.
func (b *crashbed) replaceOwner(times int, compact bool) {
	for i := range times {
		if i > 0 {
			b.step()
		}
		if compact {
			b.compact()
		}
		b.changeOwner()
	}
}

// disruption ends the runs on a worker for a cause that lies in no task.
type disruption struct {
	name    string
	disrupt func(*crashbed, work.WorkerID)
	// within is how soon after it the tasks must run again.
	within time.Duration
}

// Guards against the giving up of jobs whose runs ended with a lease, or by an order of the scheduler.
func TestNoEvidenceInCutsAndOrders(t *testing.T) {
	for _, d := range []disruption{
		{"short cut", func(b *crashbed, id work.WorkerID) { b.cut(id); b.pass(3 * time.Second); b.mend(id) }, time.Second},
		{"cut beyond the lease", func(b *crashbed, id work.WorkerID) { b.cut(id); b.pass(10 * time.Second); b.mend(id) }, time.Second},
		{"cut without registration", func(b *crashbed, id work.WorkerID) {
			b.cut(id)
			b.s.Deregister(id)
			b.pass(10 * time.Second)
			b.mend(id)
			b.s.Register(b.regs[id], b.now)
		}, time.Second},
		{"move", func(b *crashbed, id work.WorkerID) { b.orderAway(id, hostPlan{pool: testPool}, work.HostMoving) }, 2 * time.Second},
		{"maintenance", func(b *crashbed, id work.WorkerID) { b.orderAway(id, hostPlan{wave: 1}, work.HostMaintenance) }, 2 * time.Second},
	} {
		repeatDisruption(t, d)
	}
}

// Guards against the giving up of jobs, and against a wait for the lease, when racks are lost or workers leave.
func TestNoEvidenceInLostRacksAndDrains(t *testing.T) {
	repeatDisruption(t, disruption{"rack", (*crashbed).crashRack, 3 * time.Second})
	repeatDisruption(t, disruption{"drain", (*crashbed).leave, 3 * time.Second})
}

// repeatDisruption disrupts the worker of two jobs six times, which must fail neither of them.
func repeatDisruption(t *testing.T, d disruption) {
	t.Helper()
	const times = 6
	for _, lasting := range []bool{false, true} {
		t.Run(fmt.Sprintf("%s, lasting %t", d.name, lasting), func(t *testing.T) {
			b := newCrashbed(t)
			b.submit("j", work.Step{Count: 4, Size: taskSize, Lasting: lasting})
			b.submit("k", work.Step{Count: 1, Size: taskSize, Lasting: lasting})
			b.pass(2 * time.Second)
			for i := range times {
				d.disrupt(b, b.workerOf("k"))
				if !b.until(d.within, func() bool { return b.runningOf("j", "k") == 5 }) {
					t.Errorf("%d of 5 tasks run %s after disruption %d", b.runningOf("j", "k"), d.within, i+1)
				}
				b.pass(4 * time.Second)
			}
			check(t, "states", []ledger.State{ledger.InProgress, ledger.InProgress}, []ledger.State{b.state("j"), b.state("k")})
			check(t, "running at last", 5, b.runningOf("j", "k"))
		})
	}
}

// leave lets a worker announce that it will leave, and leave two seconds later, when its host starts another.
func (b *crashbed) leave(id work.WorkerID) {
	r := b.regs[id]
	r.Draining = true
	b.regs[id] = r
	b.s.Register(r, b.now)
	b.pass(2 * time.Second)
	b.terminate(id, work.HostDown)
	delete(b.regs, id)
	b.s.Deregister(id)
}

// orderAway drains the host of a worker for a plan and carries out the order, which ends the worker.
func (b *crashbed) orderAway(id work.WorkerID, p hostPlan, state work.HostState) {
	h := b.hostOf(id)
	b.s.drain(b.s.hosts[h.Host], p, b.now)
	done := b.until(10*time.Second, func() bool {
		for _, o := range b.s.HostOrders(b.now) {
			if o.Host == h.Host {
				b.terminate(id, state)
				h.expiresAt = b.now.Add(expiryTime)
				b.s.HostAnswered(o, nil, b.now)

				return true
			}
		}

		return false
	})
	if !done {
		b.t.Fatalf("%s was never ordered away", h.Host)
	}
}

// crashRack crashes all workers of the rack of a worker.
func (b *crashbed) crashRack(id work.WorkerID) {
	rack := b.hostOf(id).Rack
	for _, h := range b.hosts {
		if h.Rack == rack && h.Worker != "" {
			b.crash(h.Worker)
		}
	}
}

// untilListedDown steps until the host of a crashed worker is listed as down.
func (b *crashbed) untilListedDown(id work.WorkerID) {
	if !b.until(2*listTime, func() bool { return !b.firstDown[id].IsZero() }) {
		b.t.Fatalf("the host of %s was not listed as down", id)
	}
}

// Guards against a lasting task that is given up, or that waits, because it was on workers that crashed for another cause.
func TestLastingTaskOnCrashedWorkers(t *testing.T) {
	const crashes, pause, within = 20, 15 * time.Second, 1500 * time.Millisecond
	b := newCrashbed(t)
	b.submit("lasting", work.Step{Count: 1, Size: taskSize, Lasting: true})
	b.submit("other", work.Step{Count: 3, Size: taskSize, Lasting: true})
	b.pass(2 * time.Second)
	for i := range crashes {
		id := b.workerOf("lasting")
		b.crash(id)
		b.untilListedDown(id)
		if !b.until(within, func() bool { return b.runningOf("lasting", "other") == 4 }) {
			t.Errorf("%d of 4 lasting tasks run %s after crash %d was listed", b.runningOf("lasting", "other"), within, i+1)
		}
		b.pass(pause)
	}
	check(t, "state", ledger.InProgress, b.state("lasting"))
	check(t, "running", 4, b.runningOf("lasting", "other"))
}

// Guards against evidence that is kept by task only, so that a job of many tasks that each crash a worker takes down several
// workers for each of them.
func TestJobWhoseTasksAllCrash(t *testing.T) {
	const tasks, extra = 8, 3
	tests := []struct {
		name         string
		maxPerWorker int
		// between is how much later each task crashes its worker than the one before.
		between time.Duration
	}{
		{"on one worker", 0, 0},
		{"on one worker, one after the other", 0, 700 * time.Millisecond},
		{"one on each worker, one after the other", 1, 700 * time.Millisecond},
		{"one on each worker, all at once", 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newCrashbed(t)
			b.poison = func(a work.Attempt) time.Duration {
				if a.Job != "poison" {
					return never
				}

				return 300*time.Millisecond + time.Duration(a.Index)*tt.between
			}
			sound := b.submitSound(0, 20)
			b.step()
			b.submit("poison", work.Step{Count: tasks, Size: size(500), MaxPerWorker: tt.maxPerWorker})
			b.until(40*time.Second, func() bool { return b.state("poison") == ledger.Failed && b.allIn(ledger.Completed, sound) })
			check(t, "state of the job", ledger.Failed, b.state("poison"))
			check(t, "sound jobs completed", true, b.allIn(ledger.Completed, sound))
			if got := len(b.crashes); got > tasks+extra {
				t.Errorf("%d crashes, at most %d are allowed", got, tasks+extra)
			}
		})
	}
}

// Guards against innocent tasks that wait because they are under suspicion after the crash of their worker.
func TestTasksOfCrashedWorkersRestartSoon(t *testing.T) {
	for _, tt := range []struct {
		workers, jobs, width int
		within               time.Duration
	}{
		{1, 1, 20, 2 * time.Second},
		{1, 4, 5, 2 * time.Second},
		{1, 20, 1, 2 * time.Second},
		{2, 2, 20, 3 * time.Second},
		{2, 8, 5, 3 * time.Second},
		{2, 40, 1, 3 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d workers, %d jobs of %d", tt.workers, tt.jobs, tt.width), func(t *testing.T) {
			b := newCrashbed(t)
			for i := range tt.jobs {
				b.submit(fleet.JobID(fmt.Sprint("j", i)), work.Step{Count: tt.width, Size: taskSize})
			}
			b.pass(2 * time.Second)
			var crashed []work.WorkerID
			for _, id := range b.workerIDs() {
				if len(b.runs[id]) > 0 {
					check(t, "tasks on a worker", 20, len(b.runs[id]))
					crashed = append(crashed, id)
				}
			}
			check(t, "workers with tasks", tt.workers, len(crashed))
			for _, id := range crashed {
				b.crash(id)
			}
			b.untilListedDown(crashed[0])
			b.until(tt.within, func() bool { return b.running() == 20*tt.workers })
			check(t, fmt.Sprintf("tasks that run %s after the crash was listed", tt.within), 20*tt.workers, b.running())
		})
	}
}

// Guards against a gang with a member that crashes its worker and that is started for ever.
func TestGangWithCrashingMember(t *testing.T) {
	const maxGangCrashes = 4
	for _, delay := range crashDelays {
		for _, cores := range []fleet.MilliCores{800, 9000} {
			t.Run(fmt.Sprintf("after %s, members of %d", delay, cores), func(t *testing.T) {
				b := newCrashbed(t)
				b.poisonFirst(delay)
				sound := b.submitSound(0, 10)
				b.step()
				b.submit("poison", work.Step{Count: 3, Size: size(cores), Gang: true})
				b.until(40*time.Second, func() bool { return b.state("poison") == ledger.Failed && b.allIn(ledger.Completed, sound) })
				check(t, "state of the job", ledger.Failed, b.state("poison"))
				check(t, "sound jobs completed", true, b.allIn(ledger.Completed, sound))
				if got := b.crashesBy("poison"); got > maxGangCrashes {
					t.Errorf("%d crashes, at most %d are allowed", got, maxGangCrashes)
				}
				b.pass(time.Second)
				check(t, "running members", 0, b.runningOf("poison"))
			})
		}
	}
}

// Guards against a sound gang that is not started again, or only in part, after the crash of a worker.
func TestSoundGangAfterCrash(t *testing.T) {
	for _, cores := range []fleet.MilliCores{800, 9000} {
		t.Run(fmt.Sprintf("members of %d", cores), func(t *testing.T) {
			b := newCrashbed(t)
			b.submit("sound", work.Step{Count: 3, Size: size(cores), Gang: true})
			b.pass(2 * time.Second)
			id := b.workerOf("sound")
			b.crash(id)
			b.untilListedDown(id)
			if !b.until(3*time.Second, func() bool { return b.runningOf("sound") == 3 }) {
				t.Errorf("%d of 3 members run 3 s after the crash was listed", b.runningOf("sound"))
			}
			b.pass(6 * time.Second)
			check(t, "state", ledger.Completed, b.state("sound"))
		})
	}
}

// The runs of a crashed worker once held their tasks until the lease ended, although the cloud had listed its host as down.
func TestListedCrashEndsRuns(t *testing.T) {
	const within = 1500 * time.Millisecond
	for _, sameID := range []bool{false, true} {
		t.Run(fmt.Sprintf("same ID %t", sameID), func(t *testing.T) {
			b := newCrashbed(t)
			b.sameID = sameID
			b.submit("j", work.Step{Count: 3, Size: taskSize})
			b.pass(2 * time.Second)
			id := b.workerOf("j")
			b.crash(id)
			b.untilListedDown(id)
			if !b.until(within, func() bool { return b.runningOf("j") == 3 }) {
				t.Errorf("%d of 3 tasks run %s after the crash was listed", b.runningOf("j"), within)
			}
		})
	}
}

// Guards against a second run of a task whose worker is believed to have crashed while it runs on: no list that is older than
// the worker's last answer, and none while the worker answers, proves a crash.
func TestListThatProvesNoCrash(t *testing.T) {
	tests := []struct {
		name string
		// silent reports that the worker's link is cut just before the lists arrive.
		silent bool
		// age is how long before their arrival the lists were requested.
		age   time.Duration
		state work.HostState
	}{
		{"requested before the last answer", false, time.Second, work.HostDown},
		{"requested before the last answer of a worker that is silent", true, time.Second, work.HostDown},
		{"while the worker answers", false, 0, work.HostDown},
		{"a silent worker on a host that is up", true, 0, work.HostUp},
	}
	for _, tt := range tests {
		for _, keepWorker := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, worker named %t", tt.name, keepWorker), func(t *testing.T) {
				b := newCrashbed(t)
				b.submit("j", work.Step{Count: 3, Size: taskSize})
				b.pass(2 * time.Second)
				id := b.workerOf("j")
				asked := b.now.Add(-tt.age)
				if tt.silent {
					b.cut(id)
				}
				for range 20 {
					if tt.age == 0 {
						asked = b.now
					}
					b.listFalsely(id, tt.state, keepWorker, asked)
					b.step()
				}
				check(t, "running on the worker", 3, len(b.runs[id]))
				check(t, "starts", 3, len(b.starts))
			})
		}
	}
}

// listFalsely applies a list in which the host of a worker has a state, requested at a time, instead of the true one.
func (b *crashbed) listFalsely(id work.WorkerID, state work.HostState, keepWorker bool, asked time.Time) {
	list := b.statuses()
	for i := range list {
		if list[i].Worker != id {
			continue
		}
		list[i].State = state
		if !keepWorker && state == work.HostDown {
			list[i].Worker = ""
		}
	}
	b.listedAt = b.now
	b.s.SetHosts(list, asked, b.now)
}
