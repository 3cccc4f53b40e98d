package schedule

import (
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// Guards against a host that is out of service most of the time since it can't be emptied: its task has room elsewhere, but another
// of the step waits for a limit, so that it may not be away.
func TestHostThatCannotDrainIsMostlyInService(t *testing.T) {
	b := newTestbed(t, 2)
	c := testConfig
	c.Workspaces = []work.Workspace{{Name: "treasurers", UpperLimit: fleet.Resources{Cores: 1000}}}
	b.s.SetConfig(c)
	b.setHosts(upHosts(2))
	b.s.workers["w1"].cordoned = true
	b.s.AddJob(work.Job{
		ID: "l", Queue: "q", Workspace: "treasurers", Submitted: b.now, Steps: []work.Step{{Count: 2, Size: size(1000), Lasting: true, MaxAway: 1}},
	}, 1, b.now)
	b.settle()
	b.s.markCordons()
	b.settle()
	b.s.SetWave(work.WaveOrder{Number: 1, Hosts: []fleet.HostName{"h0"}, MaxDown: 1, Duration: time.Hour}, b.now)
	serving, passes := 0, 0
	for end := b.now.Add(time.Minute); b.now.Before(end); b.step() {
		check(t, "orders", 0, len(b.s.HostOrders(b.now)))
		if passes++; b.s.hosts["h0"].phase == inService {
			serving++
		}
	}
	check(t, "in service for over four tenths of the time", true, 10*serving > 4*passes)
	check(t, "running", 1, b.running())
}

// Guards against a drain that is given up although its lasting tasks move one after another.
func TestDrainThatMakesProgress(t *testing.T) {
	b := newTestbed(t, 2)
	b.setHosts(upHosts(2))
	b.s.workers["w1"].cordoned = true
	b.submit("l", work.Step{Count: 1, Size: size(1000), Lasting: true, MaxAway: 1})
	b.submit("l2", work.Step{Count: 3, Size: size(1000), Lasting: true, MaxAway: 1})
	b.settle()
	b.s.markCordons()
	b.settle()
	b.percent = map[work.Attempt]int{}
	for i := range 3 {
		b.percent[work.Attempt{Task: work.Task{Job: "l2", Index: i}, Number: 2}] = 50
	}
	b.s.SetWave(work.WaveOrder{Number: 1, Hosts: []fleet.HostName{"h0"}, MaxDown: 1, Duration: time.Hour}, b.now)
	since := map[work.Attempt]time.Time{}
	var orders []HostOrder
	least := 3
	for end := b.now.Add(30 * time.Second); b.now.Before(end) && len(orders) == 0; b.step() {
		orders = b.s.HostOrders(b.now)
		for a := range b.runs["w1"] {
			if since[a].IsZero() {
				since[a] = b.now
			}
			if b.now.Sub(since[a]) > 3*time.Second {
				b.percent[a] = 100
			}
		}
		least = min(least, b.atFullPace("l2"))
	}
	check(t, "orders", 1, len(orders))
	check(t, "drains", 1, b.count(DecidedHostDraining))
	check(t, "least of the step at full pace", 2, least)
	check(t, "drains given up", 0, b.count(DecidedHostKept))
}

// Guards against a host that is ordered down at once while tasks that could end by themselves run there.
func TestDrainLetsTasksEnd(t *testing.T) {
	b := newTestbed(t, 1)
	b.setHosts(upHosts(1))
	b.submit("j", work.Step{Count: 1, Size: size(4000), Estimate: time.Minute})
	b.settle()
	b.s.SetWave(work.WaveOrder{Number: 1, Hosts: []fleet.HostName{"h0"}, MaxDown: 1, Duration: time.Hour}, b.now)
	orders, _ := b.drainFor(batchDrainTimeout - time.Second)
	check(t, "orders at first", 0, len(orders))
	orders, _ = b.drainFor(2 * time.Second)
	check(t, "orders once the tasks had time", 1, len(orders))
}

// Guards against a drain for which room counts that the lasting tasks can't use.
func TestDrainOnlyForUsableRoom(t *testing.T) {
	for _, tt := range []struct {
		name             string
		step, other      work.Step
		here, there, all int
	}{
		{"at most two on a worker", work.Step{Count: 4, MaxPerWorker: 2}, work.Step{}, 2, 2, 4},
		{"at most three on a worker, two of them there", work.Step{Count: 5, MaxPerWorker: 3}, work.Step{}, 3, 2, 5},
		{"room on the host itself", work.Step{Count: 2}, work.Step{Count: 1, Size: size(16000), Lasting: true, MaxAway: 1}, 2, 1, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestbed(t, 2)
			b.setHosts(upHosts(2))
			b.s.workers["w1"].cordoned = true
			tt.step.Size, tt.step.Lasting, tt.step.MaxAway = size(1000), true, 1
			b.submit("l", tt.step)
			b.settle()
			b.s.markCordons()
			if tt.other.Count > 0 {
				b.submit("l2", tt.other)
			}
			b.settle()
			check(t, "running on the hosts", []int{tt.here, tt.there}, []int{len(b.runs["w0"]), len(b.runs["w1"])})
			b.s.SetWave(work.WaveOrder{Number: 1, Hosts: []fleet.HostName{"h0"}, MaxDown: 1, Duration: time.Hour}, b.now)
			orders, least := b.drainFor(20 * time.Second)
			check(t, "orders", 0, len(orders))
			check(t, "drains", 0, b.count(DecidedHostDraining))
			check(t, "least running", tt.all, least)
		})
	}
}

// atFullPace returns how many runs of a job work at full pace.
func (b *testbed) atFullPace(id fleet.JobID) int {
	n := 0
	for _, runs := range b.runs {
		for a := range runs {
			if percent, ok := b.percent[a]; a.Job == id && (!ok || percent == fullPace) {
				n++
			}
		}
	}

	return n
}
