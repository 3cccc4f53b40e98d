package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/work"
)

// TestApplyRegistry checks which workers count as registered after a change, and guards against a full list that removes a worker
// whose entry was overwritten by another writer.
func TestApplyRegistry(t *testing.T) {
	reg := func(id work.WorkerID) work.Registration {
		return work.Registration{ID: id, Life: 1, Address: "10.0.0.1:80", Pool: "p", Capacity: fleet.Resources{Cores: 1000}}
	}
	tests := []struct {
		name   string
		change RegistryChange
		want   []work.WorkerID
	}{
		{"one more", RegistryChange{Registered: []work.Registration{reg("c")}}, []work.WorkerID{"a", "b", "c"}},
		{"one removed", RegistryChange{Deregistered: []work.WorkerID{"b"}}, []work.WorkerID{"a"}},
		{"full list without one", RegistryChange{Full: true, Registered: []work.Registration{reg("a")}}, []work.WorkerID{"a"}},
		{"entry overwritten", RegistryChange{Unreadable: []work.WorkerID{"b"}}, []work.WorkerID{"a", "b"}},
		{
			"full list with an overwritten entry",
			RegistryChange{Full: true, Registered: []work.Registration{reg("a")}, Unreadable: []work.WorkerID{"b", "x"}}, []work.WorkerID{"a", "b"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sched := schedule.New(1, schedule.Bounds{}, map[fleet.JobID]*ledger.Entry{}, time.Now())
			tm := &term{wake: make(chan struct{}, 1), sched: sched}
			tm.applyRegistry(RegistryChange{Full: true, Registered: []work.Registration{reg("a"), reg("b")}})
			tm.applyRegistry(tt.change)
			got := sched.Registered()
			slices.Sort(got)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("registered workers (-want +got):\n%s", diff)
			}
		})
	}
}
