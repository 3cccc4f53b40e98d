package schedule

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/balance"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// workloadFleet returns a scheduler with one pool of hosts of 10 cores and 10,000 MiB.
func workloadFleet(entries map[fleet.JobID]*ledger.Entry, now time.Time, state work.HostState) *Scheduler {
	s := New(1, Bounds{MaxLease: 6 * time.Second, MoveTime: 1500 * time.Millisecond}, entries, now)
	s.SetConfig(work.Config{
		Pools:      []work.Pool{{Name: "p"}, {Name: "off", Standby: true}},
		Queues:     []work.Queue{{Name: "q", Pool: "p", SlackFactor: 2}},
		Workspaces: []work.Workspace{{Name: "limited", UpperLimit: fleet.Resources{Cores: 1000}}},
	})
	size := fleet.Resources{Cores: 10000, Memory: 10000}
	var hosts []work.HostStatus
	for _, name := range []fleet.HostName{"a", "b", "c"} {
		hosts = append(hosts, work.HostStatus{Host: name, Pool: "p", State: state, Capacity: size})
	}
	hosts = append(hosts, work.HostStatus{Host: "s", Pool: "off", State: work.HostUp, Capacity: size})
	s.SetHosts(hosts, now, now)

	return s
}

// twoSteps returns a job of two steps of a second each, the first with five tasks of one core, the second with two of four.
func twoSteps(id fleet.JobID, ws fleet.WorkspaceName, at time.Time) work.Job {
	return work.Job{ID: id, Queue: "q", Pool: "p", Workspace: ws, Submitted: at, Steps: []work.Step{
		{Count: 5, Size: fleet.Resources{Cores: 1000}, Estimate: time.Second},
		{Count: 2, Size: fleet.Resources{Cores: 4000}, Estimate: time.Second, After: []int{0}},
	}}
}

// The known work of a pool includes the steps that will become ready, without jobs that wait for the limit of their workspace.
func TestWorkloadOfSteps(t *testing.T) {
	now := time.Date(2026, 9, 10, 16, 0, 0, 0, time.UTC)
	s := workloadFleet(map[fleet.JobID]*ledger.Entry{}, now, work.HostUp)
	s.AddJob(twoSteps("j1", "", now), 1, now)
	limited := twoSteps("j2", "limited", now)
	limited.Steps = limited.Steps[1:]
	limited.Steps[0].After = nil
	s.AddJob(limited, 2, now)
	want := []balance.Work{
		{Hosts: 0.5, Latest: 2 * time.Second, Expiry: 10 * time.Second, Length: time.Second},
		{Hosts: 0.8, Ready: time.Second, Latest: 3 * time.Second, Expiry: 11 * time.Second, Length: time.Second},
	}
	if diff := cmp.Diff(want, s.workload(now).waiting["p"]); diff != "" {
		t.Errorf("waiting work (-want +got):\n%s", diff)
	}
}

// Tasks that need many cores share hosts with tasks that need much memory, so that together they need fewer hosts than the sum
// of what each kind needs.
func TestWorkloadOfMixedNeeds(t *testing.T) {
	now := time.Date(2026, 9, 10, 16, 0, 0, 0, time.UTC)
	s := workloadFleet(map[fleet.JobID]*ledger.Entry{}, now, work.HostUp)
	for id, size := range map[fleet.JobID]fleet.Resources{"cores": {Cores: 10000, Memory: 2000}, "memory": {Cores: 2000, Memory: 10000}} {
		s.AddJob(work.Job{ID: id, Queue: "q", Pool: "p", Submitted: now, Steps: []work.Step{{Count: 1, Size: size, Estimate: time.Second}}}, 1, now)
	}
	sum := 0.0
	for _, w := range s.workload(now).waiting["p"] {
		sum += w.Hosts
	}
	if diff := cmp.Diff(1.2, sum); diff != "" {
		t.Errorf("hosts (-want +got):\n%s", diff)
	}
}

// Hosts that are starting when the owner first lists them get the time of a move before others replace them.
func TestStartingHostsCount(t *testing.T) {
	now := time.Date(2026, 9, 10, 16, 0, 0, 0, time.UTC)
	s := workloadFleet(map[fleet.JobID]*ledger.Entry{}, now, work.HostDown)
	s.planMoves(now)
	if s.hosts["s"].phase != inService {
		t.Error("a host leaves standby while those of the pool are starting")
	}
	s.planMoves(now.Add(2 * time.Second))
	if s.hosts["s"].phase == inService {
		t.Error("no host leaves standby although those of the pool stay down")
	}
}
