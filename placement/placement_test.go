package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/placement"
)

func resources(cores fleet.MilliCores, accelerators int64) fleet.Resources {
	return fleet.Resources{Cores: cores, Accelerators: accelerators}
}

func newWorker(name fleet.HostName, capacity, used fleet.Resources) placement.Worker {
	return placement.Worker{Host: fleet.Host{Name: name, Pool: "p", Capacity: capacity}, Used: used}
}

func newJob(id fleet.JobID, need fleet.Resources, urgent bool) placement.Job {
	return placement.Job{Job: fleet.Job{ID: id, Urgent: urgent, Idempotent: true}, Pool: "p", Need: need}
}

func TestPlace(t *testing.T) {
	quarantined := newWorker("w1", resources(10, 0), resources(0, 0))
	quarantined.Quarantined = true
	probing := quarantined
	probing.Probing = true
	cases := []struct {
		name    string
		jobs    []placement.Job
		workers []placement.Worker
		placed  map[fleet.JobID]fleet.HostName
		left    map[fleet.JobID]placement.Reason
	}{
		{"tightest fit", []placement.Job{newJob("a", resources(2, 0), false)},
			[]placement.Worker{newWorker("w1", resources(10, 0), resources(0, 0)), newWorker("w2", resources(10, 0), resources(7, 0))},
			map[fleet.JobID]fleet.HostName{"a": "w2"}, nil},
		{"accelerators are left to those who need them", []placement.Job{newJob("a", resources(2, 0), false), newJob("b", resources(2, 1), false)},
			[]placement.Worker{newWorker("w1", resources(10, 1), resources(5, 0)), newWorker("w2", resources(10, 0), resources(0, 0))},
			map[fleet.JobID]fleet.HostName{"a": "w2", "b": "w1"}, nil},
		{"urgent first and into the reserve", []placement.Job{newJob("a", resources(2, 0), false), newJob("u", resources(2, 0), true)},
			[]placement.Worker{newWorker("w1", resources(10, 0), resources(8, 0))},
			map[fleet.JobID]fleet.HostName{"u": "w1"}, map[fleet.JobID]placement.Reason{"a": placement.NoRoom}},
		{"reserve is kept", []placement.Job{newJob("a", resources(2, 0), false)}, []placement.Worker{newWorker("w1", resources(10, 0), resources(8, 0))},
			nil, map[fleet.JobID]placement.Reason{"a": placement.NoRoom}},
		{"small jobs don't starve a large one", []placement.Job{newJob("a", resources(8, 0), false), newJob("b", resources(1, 0), false)},
			[]placement.Worker{newWorker("w1", resources(10, 0), resources(4, 0)), newWorker("w2", resources(7, 0), resources(6, 0)), newWorker("w3", resources(7, 0), resources(0, 0))},
			map[fleet.JobID]fleet.HostName{"b": "w2"}, map[fleet.JobID]placement.Reason{"a": placement.NoRoom}},
		{"room is kept even if it fits best there", []placement.Job{newJob("a", resources(8, 0), false), newJob("b", resources(6, 0), false)},
			[]placement.Worker{newWorker("w1", resources(10, 0), resources(4, 0)), newWorker("w2", resources(20, 0), resources(15, 0))},
			nil, map[fleet.JobID]placement.Reason{"a": placement.NoRoom, "b": placement.NoRoom}},
		{"never fits", []placement.Job{newJob("a", resources(11, 0), true)}, []placement.Worker{newWorker("w1", resources(10, 0), resources(9, 0))},
			nil, map[fleet.JobID]placement.Reason{"a": placement.NeverFits}},
		{"no hosts yet", []placement.Job{newJob("a", resources(1, 0), true)}, nil, nil, map[fleet.JobID]placement.Reason{"a": placement.NoPool}},
		{"quarantined", []placement.Job{newJob("a", resources(1, 0), false)}, []placement.Worker{quarantined},
			nil, map[fleet.JobID]placement.Reason{"a": placement.NoRoom}},
		{"one probe", []placement.Job{newJob("a", resources(1, 0), false), newJob("b", resources(1, 0), false)}, []placement.Worker{probing},
			map[fleet.JobID]fleet.HostName{"a": "w1"}, map[fleet.JobID]placement.Reason{"b": placement.NoRoom}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var hosts []fleet.Host
			for _, w := range tc.workers {
				hosts = append(hosts, w.Host)
			}
			placed, left := placement.Place(tc.jobs, hosts, tc.workers, placement.DefaultPolicy())
			var gotPlaced map[fleet.JobID]fleet.HostName
			for _, a := range placed {
				if gotPlaced == nil {
					gotPlaced = map[fleet.JobID]fleet.HostName{}
				}
				gotPlaced[a.Job] = a.Host
			}
			var gotLeft map[fleet.JobID]placement.Reason
			for _, u := range left {
				if gotLeft == nil {
					gotLeft = map[fleet.JobID]placement.Reason{}
				}
				gotLeft[u.Job] = u.Reason
			}
			if diff := cmp.Diff(tc.placed, gotPlaced); diff != "" {
				t.Errorf("placed (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.left, gotLeft); diff != "" {
				t.Errorf("left (-want +got):\n%s", diff)
			}
		})
	}
}

func TestEstimate(t *testing.T) {
	var s placement.Sizes
	declared := fleet.Resources{Slots: 1, Cores: 8_000, Memory: 1_000}
	for i := range 20 {
		if got := s.Estimate("q", declared); i < 8 && got != declared {
			t.Errorf("estimate %v after %d observations, want what was declared", got, i)
		}
		s = s.With("q", fleet.Resources{Cores: fleet.MilliCores(100 * (i + 1)), Memory: 4_000})
	}
	want := fleet.Resources{Slots: 1, Cores: 2_200, Memory: 4_400}
	if diff := cmp.Diff(want, s.Estimate("q", declared)); diff != "" {
		t.Errorf("estimate (-want +got):\n%s", diff)
	}
	if got := s.Estimate("other", declared); got != declared {
		t.Errorf("estimate of another queue %v", got)
	}
}

func TestHealth(t *testing.T) {
	now := time.Unix(0, 0)
	judge := func(h placement.Health, at time.Time) (bool, bool) {
		w := h.Annotate(newWorker("bad", resources(1, 0), resources(0, 0)), at)
		return w.Quarantined, w.Probing
	}
	var good, bad placement.Health
	for i := range 20 {
		for w := range 4 {
			name := fleet.HostName(fmt.Sprint("w", w))
			good = good.With(name, "p", i%10 == 0, now)
			bad = bad.With(name, "p", i%2 == 0, now)
		}
		good = good.With("bad", "p", true, now)
		bad = bad.With("bad", "p", true, now)
	}
	if q, probing := judge(good, now); !q || probing {
		t.Errorf("a worker that fails everything: quarantined %v, probing %v", q, probing)
	}
	if q, _ := judge(bad, now); q {
		t.Error("a worker was quarantined for jobs that fail everywhere")
	}
	if _, probing := judge(good, now.Add(24*time.Hour)); !probing {
		t.Error("no probe after a day")
	}
	if q, _ := judge(good.With("bad", "p", false, now), now); q {
		t.Error("quarantined after a probe went well")
	}
}

func TestShortfalls(t *testing.T) {
	host := func(name fleet.HostName, zone fleet.ZoneName) fleet.Host {
		return fleet.Host{Name: name, Zone: zone, Pool: "p", Capacity: resources(10, 0)}
	}
	tables := func(customers int, claim fleet.Resources) fleet.Tables {
		t := fleet.Tables{}.WithHost(host("h1", "z1")).WithHost(host("h2", "z1")).WithHost(host("h3", "z2"))
		t.Queues = t.Queues.With("q", fleet.Queue{Name: "q", Pool: "p"}).With("r", fleet.Queue{Name: "r", Pool: "p"})
		t.Plans = t.Plans.With("plan", fleet.Plan{Name: "plan", Queues: []fleet.QueueName{"q", "r"}, Claim: claim})
		for i := range customers {
			name := fleet.CustomerName(fmt.Sprint(i))
			t.Customers = t.Customers.With(name, fleet.Customer{Name: name, Plan: "plan"})
		}

		return t
	}
	cases := []struct {
		name      string
		customers int
		want      []placement.Shortfall
	}{
		{"fits with any zone lost", 2, nil},
		{"fits unless the larger zone is lost", 4, []placement.Shortfall{{"p", "z1", resources(20, 0), resources(10, 0)}}},
		{"fits only while no zone is lost", 5, []placement.Shortfall{{"p", "z1", resources(25, 0), resources(10, 0)}, {"p", "z2", resources(25, 0), resources(20, 0)}}},
		{"never fits", 7, []placement.Shortfall{
			{"p", "", resources(35, 0), resources(30, 0)}, {"p", "z1", resources(35, 0), resources(10, 0)}, {"p", "z2", resources(35, 0), resources(20, 0)},
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, placement.Shortfalls(tables(tc.customers, resources(5, 0)))); diff != "" {
				t.Errorf("shortfalls (-want +got):\n%s", diff)
			}
		})
	}
}
