package entry

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/record"
	"lycheehook.example/lycheehook/wave"
)

func TestEndpointsOf(t *testing.T) {
	listed := fleet.Endpoint{Name: "runner-1", Host: "worker-1", Pool: "a"}
	host := func(pool fleet.PoolName, state fleet.HostState, intent *move.Intent) wave.Hosts {
		return wave.Hosts{"worker-1": record.Versioned[move.Record]{
			Value: move.Record{Host: fleet.Host{Name: "worker-1", Pool: pool, State: state}, Intent: intent},
		}}
	}
	tests := []struct {
		name        string
		hosts       wave.Hosts
		listLeaving bool
		wantPool    fleet.PoolName
		wantLeaving bool
	}{
		{name: "no record yet", wantPool: "a"},
		{name: "in use", hosts: host("a", fleet.HostLive, nil), wantPool: "a"},
		{name: "moved while the list lags", hosts: host("b", fleet.HostLive, nil), wantPool: "b"},
		{name: "draining", hosts: host("a", fleet.HostDraining, &move.Intent{Phase: move.Draining}), wantPool: "a", wantLeaving: true},
		{name: "rebooting", hosts: host("a", fleet.HostRebooting, &move.Intent{Phase: move.Rebooting}), wantPool: "a", wantLeaving: true},
		{name: "lost", hosts: host("a", fleet.HostLost, nil), wantPool: "a", wantLeaving: true},
		{name: "the list knows first", hosts: host("a", fleet.HostLive, nil), listLeaving: true, wantPool: "a", wantLeaving: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inv := hostapi.Inventory{Endpoints: []fleet.Endpoint{listed.WithLeaving(tt.listLeaving)}}
			want := listed.WithLeaving(tt.wantLeaving)
			want.Pool = tt.wantPool
			if diff := cmp.Diff([]fleet.Endpoint{want}, endpointsOf(inv, tt.hosts), cmp.Comparer(func(a, b fleet.Endpoint) bool { return a == b })); diff != "" {
				t.Errorf("endpoints (-want +got):\n%s", diff)
			}
		})
	}
}
