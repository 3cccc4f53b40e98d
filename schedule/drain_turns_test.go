package schedule

import (
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// Guards against two hosts that can't be emptied, since no task of their steps may be away, and that drain by turns for ever
// while a more loaded host of the wave could be maintained.
func TestHostsThatCannotDrainTakeTurns(t *testing.T) {
	b := newTestbed(t, 4)
	c := testConfig
	c.Workspaces = []work.Workspace{{Name: "treasurers", UpperLimit: fleet.Resources{Cores: 2000}}}
	b.s.SetConfig(c)
	b.setHosts(upHosts(4))
	b.s.workers["w2"].cordoned, b.s.workers["w3"].cordoned = true, true
	b.s.AddJob(work.Job{
		ID: "l", Queue: "q", Workspace: "treasurers", Submitted: b.now,
		Steps: []work.Step{{Count: 3, Size: size(1000), Lasting: true, MaxAway: 1, MaxPerWorker: 1}},
	}, 1, b.now)
	b.settle()
	b.s.workers["w2"].cordoned, b.s.workers["w3"].cordoned = false, false
	b.s.workers["w0"].cordoned, b.s.workers["w1"].cordoned, b.s.workers["w3"].cordoned = true, true, true
	b.submit("j", work.Step{Count: 4, Size: size(2000), Estimate: time.Second})
	b.settle()
	b.s.markCordons()
	check(t, "running on the hosts", []int{1, 1, 4, 0}, []int{len(b.runs["w0"]), len(b.runs["w1"]), len(b.runs["w2"]), len(b.runs["w3"])})

	b.s.SetWave(work.WaveOrder{Number: 1, Hosts: []fleet.HostName{"h0", "h1", "h2"}, MaxDown: 1, Duration: 10 * time.Minute}, b.now)
	orders, _ := b.drainFor(time.Minute)
	check(t, "hosts with orders", []fleet.HostName{"h2"}, hostNamesOf(orders))
}

func hostNamesOf(orders []HostOrder) []fleet.HostName {
	var names []fleet.HostName
	for _, o := range orders {
		names = append(names, o.Host)
	}

	return names
}
