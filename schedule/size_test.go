package schedule

import (
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// Guards against sizes of a pool's hosts by the cloud's list, by workers that have left, or by hosts without the resource.
func TestHostSize(t *testing.T) {
	full := fleet.Resources{Cores: 8000, Memory: 16000, Accelerators: 4}
	half := fleet.Resources{Cores: 4000, Memory: 8000, Accelerators: 2}
	tests := []struct {
		name       string
		pool       fleet.PoolName
		registered []fleet.Resources
		gone       bool
		want       fleet.Resources
	}{
		{"every resource has shrunk", "p", []fleet.Resources{half, half}, false, half},
		{"worker has left", "p", []fleet.Resources{half, half}, true, full},
		{"no memory now", "p", []fleet.Resources{{Cores: 4000, Accelerators: 2}, {Cores: 4000, Accelerators: 2}}, false, fleet.Resources{Cores: 4000, Memory: 16000, Accelerators: 2}},
		{"no accelerators now", "p", []fleet.Resources{{Cores: 4000, Memory: 8000}, {Cores: 4000, Memory: 8000}}, false, fleet.Resources{Cores: 4000, Memory: 8000, Accelerators: 4}},
		{"one without accelerators", "p", []fleet.Resources{half, {Cores: 4000, Memory: 8000}}, false, half},
		{"pool without hosts", "none", []fleet.Resources{half, half}, false, full},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Date(2026, 9, 10, 16, 0, 0, 0, time.UTC)
			s := New(1, Bounds{}, nil, now)
			var hosts []work.HostStatus
			for i, r := range tt.registered {
				id := []work.WorkerID{"w0", "w1"}[i]
				hosts = append(hosts, work.HostStatus{Host: fleet.HostName(id), Pool: "p", State: work.HostUp, Worker: id, Capacity: full})
				s.Register(work.Registration{ID: id, Life: 1, Address: string(id), Pool: "p", Capacity: r}, now)
				if tt.gone {
					s.Deregister(id)
				}
			}
			s.SetHosts(hosts, now, now)
			check(t, "size", tt.want, s.hostSize(tt.pool))
		})
	}
}

// Guards against work for which hosts are asked that can't be had, and against work that is forgotten while hosts are unknown.
func TestFitsSomeHost(t *testing.T) {
	tests := []struct {
		name    string
		hosts   []work.HostStatus
		refused bool
		want    bool
	}{
		{"no hosts known", nil, false, true},
		{"host of the pool", []work.HostStatus{{Host: "h", Pool: "p", Capacity: size(8000)}}, false, true},
		{"host of the pool that once could not be moved there", []work.HostStatus{{Host: "h", Pool: "p", Capacity: size(8000)}}, true, true},
		{"host of another pool", []work.HostStatus{{Host: "h", Pool: "o", Capacity: size(8000)}}, false, true},
		{"host that can't be moved to the pool", []work.HostStatus{{Host: "h", Pool: "o", Capacity: size(8000)}}, true, false},
		{"host that is too small", []work.HostStatus{{Host: "h", Pool: "p", Capacity: size(3000)}}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Date(2026, 9, 10, 16, 0, 0, 0, time.UTC)
			s := New(1, Bounds{}, nil, now)
			s.SetHosts(tt.hosts, now, now)
			for _, h := range s.hostList {
				h.refusedPools["p"] = tt.refused
			}
			check(t, "fits", tt.want, s.fitsSomeHost("p", &work.Step{Count: 1, Size: size(4000)}))
		})
	}
}

// Guards against a quarantine that ends with a new capacity although other failures than a want of room are its cause.
func TestNewCapacityExplainsOnlyRefusals(t *testing.T) {
	type event struct {
		job    fleet.JobID
		noRoom bool
		done   bool
		cores  fleet.MilliCores
	}
	noRoom := func(j fleet.JobID) event { return event{job: j, noRoom: true} }
	failed := func(j fleet.JobID) event { return event{job: j} }
	done, resized := event{done: true}, func(c fleet.MilliCores) event { return event{cores: c} }
	tests := []struct {
		name        string
		events      []event
		quarantined bool
	}{
		{"refusals", []event{noRoom("j"), noRoom("k"), resized(9000)}, false},
		{"failures and a refusal", []event{failed("j"), failed("k"), noRoom("l"), resized(9000)}, true},
		{"failures after explained refusals", []event{noRoom("j"), noRoom("k"), resized(9000), failed("l"), failed("m"), resized(8000)}, true},
		{"failures after a run that was done", []event{noRoom("j"), done, failed("k"), failed("l"), resized(9000)}, true},
		{"failure of a job whose refusal was explained", []event{noRoom("j"), noRoom("k"), resized(9000), failed("k"), failed("l")}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestbed(t, 1)
			b.settle()
			w := b.s.workers["w0"]
			for _, e := range tt.events {
				switch {
				case e.cores > 0:
					b.resize("w0", e.cores)
				case e.done:
					b.s.recordOutcome(w, work.Attempt{}, work.OutcomeDone, b.now)
				case e.noRoom:
					b.s.recordNoRoom(w, e.job, b.now)
				default:
					b.s.recordFailure(w, e.job, b.now)
				}
			}
			check(t, "quarantined", tt.quarantined, b.now.Before(w.quarantinedUntil))
		})
	}
}
