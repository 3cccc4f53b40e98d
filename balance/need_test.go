package balance_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/balance"
	"lycheehook.example/lycheehook/fleet"
)

// piece returns work of one step with a length of a second.
func piece(hosts float64, ready, latest time.Duration) balance.Work {
	return balance.Work{Hosts: hosts, Ready: ready, Latest: latest, Expiry: latest + 4*time.Second, Length: time.Second}
}

// A pool needs as many hosts as let its work start in time: work that can wait for running tasks to end needs none, and a
// step that is not ready yet needs them when it will be.
func TestNeedFollowsDeadlines(t *testing.T) {
	headroom := balance.New(moveTime).WantedHosts(balance.Pool{}, 0, time.Time{})
	tests := []struct {
		name    string
		running []balance.Run
		waiting []balance.Work
		want    int
	}{
		{"runs that end", []balance.Run{{Hosts: 3.75, Left: time.Second}}, nil, 0},
		{"runs that go on", []balance.Run{{Hosts: 3.75, Left: 5 * time.Second}}, nil, 4},
		{"work that is due", []balance.Run{{Hosts: 3.75, Left: 5 * time.Second}}, []balance.Work{piece(3.75, 0, 2*time.Second)}, 8},
		{"work with time until runs end", []balance.Run{{Hosts: 3.75, Left: 1500 * time.Millisecond}}, []balance.Work{piece(3.75, 0, 2*time.Second)}, 4},
		{"work that runs one after the other", nil, []balance.Work{piece(3.75, 0, 0), piece(3.75, 0, 1200*time.Millisecond)}, 4},
		{"a later step beside a long run", []balance.Run{{Hosts: 3.75, Left: 8 * time.Second}}, []balance.Work{piece(3.75, 2*time.Second, 2500*time.Millisecond)}, 8},
		{"a later step after the first", []balance.Run{{Hosts: 3.75, Left: time.Second}}, []balance.Work{piece(3.75, time.Second, time.Second)}, 4},
		{"work that is late already", nil, []balance.Work{piece(12, 0, -time.Second)}, 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := balance.Pool{Hosts: 4, Running: tt.running, Waiting: tt.waiting}
			got := balance.New(moveTime).WantedHosts(p, 0, time.Time{}) - headroom
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("hosts beyond those of an empty pool (-want +got):\n%s", diff)
			}
		})
	}
}

// A host that a pool no longer needs goes straight to a pool in need, although another one is in standby, since that saves
// its move to standby.
func TestLeavingHostGoesFirst(t *testing.T) {
	b := balance.New(moveTime)
	now := time.Date(2026, 4, 15, 0, 0, 0, 0, time.UTC)
	calm := []balance.Pool{{Name: "a", Hosts: 8, MinHosts: 3, Idle: []fleet.HostName{"a-1", "a-2", "a-3", "a-4", "a-5"}}, {Name: "b", Hosts: 8, MinHosts: 8}}
	for range 8 {
		b.Plan(calm, "", nil, now)
		now = now.Add(500 * time.Millisecond)
	}
	rising := []balance.Pool{calm[0], busyPool("b", 8, 9, 0)}
	moves := b.Plan(rising, standby, []fleet.HostName{"spare-1", "spare-2", "spare-3"}, now)
	into := slices.DeleteFunc(slices.Clone(moves), func(m balance.Move) bool { return m.To != "b" })
	if len(into) == 0 || into[0].From != "a" {
		t.Errorf("moves %v while pool a gives up hosts", moves)
	}
}

// Hosts on their way serve nothing before they arrive.
func TestHostsOnTheirWay(t *testing.T) {
	waiting := []balance.Work{piece(3.75, 0, 0), piece(3.75, 0, 1200*time.Millisecond)}
	tests := []struct {
		name     string
		arrivals []time.Duration
		want     int
	}{
		{"in service", nil, 4},
		{"soon", slices.Repeat([]time.Duration{time.Millisecond}, 4), 4},
		{"too late for both", slices.Repeat([]time.Duration{1400 * time.Millisecond}, 4), 8},
	}
	headroom := balance.New(moveTime).WantedHosts(balance.Pool{}, 0, time.Time{})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := balance.Pool{Hosts: 4, Arrivals: tt.arrivals, Waiting: waiting}
			if diff := cmp.Diff(tt.want, balance.New(moveTime).WantedHosts(p, 0, time.Time{})-headroom); diff != "" {
				t.Errorf("hosts beyond those of an empty pool (-want +got):\n%s", diff)
			}
		})
	}
}

// Under steady demand the end of one task and the start of the next cause no move, in a pool that is one host too small at
// times and in one that is one too large.
func TestToleranceOfOneHost(t *testing.T) {
	for _, hosts := range []int{9, 10} {
		b := balance.New(moveTime)
		now := time.Date(2026, 4, 15, 0, 0, 0, 0, time.UTC)
		for n := range 80 {
			p := balance.Pool{
				Name: "a", Hosts: hosts, MinHosts: 1, Idle: []fleet.HostName{"h1", "h2"},
				Running: []balance.Run{{Hosts: 4 + 0.9*float64(n%2), Left: 3 * time.Second}},
			}
			if moves := b.Plan([]balance.Pool{p}, standby, nil, now); len(moves) > 0 {
				t.Fatalf("%d hosts: moves %v after %d plans", hosts, moves, n)
			}
			if moves := b.Plan([]balance.Pool{p}, "", []fleet.HostName{"spare"}, now); len(moves) > 0 {
				t.Fatalf("%d hosts: moves %v after %d plans", hosts, moves, n)
			}
			now = now.Add(250 * time.Millisecond)
		}
	}
}

// The tolerance does not keep a pool below the hosts that its lasting tasks need.
func TestMinimumSizeWithoutTolerance(t *testing.T) {
	now := time.Date(2026, 4, 15, 0, 0, 0, 0, time.UTC)
	p := balance.Pool{Name: "a", Hosts: 19, MinHosts: 20}
	want := []balance.Move{{Host: "spare", From: standby, To: "a", Reason: "a has 19 hosts of 20"}}
	if diff := cmp.Diff(want, balance.New(moveTime).Plan([]balance.Pool{p}, standby, []fleet.HostName{"spare"}, now)); diff != "" {
		t.Errorf("moves (-want +got):\n%s", diff)
	}
}

// A demand that has just grown is expected to grow on during a move, one that has been the same is not.
func TestGrowthGoesOn(t *testing.T) {
	now := time.Date(2026, 4, 15, 0, 0, 0, 0, time.UTC)
	after := func(before float64) int {
		b := balance.New(moveTime)
		b.WantedHosts(busyPool("a", 20, before, 0), 0, now)

		return b.WantedHosts(busyPool("a", 20, 20, 0), 0, now.Add(time.Second))
	}
	if grown, same := after(10), after(20); grown < same+5 {
		t.Errorf("%d hosts after growth from 10 to 20 hosts in a second, %d without", grown, same)
	}
}

// Work that arrives steadily needs hosts before it waits.
func TestArrivalsNeedHosts(t *testing.T) {
	b := balance.New(moveTime)
	now := time.Date(2026, 4, 15, 0, 0, 0, 0, time.UTC)
	idle := b.WantedHosts(balance.Pool{Name: "a"}, 0, now)
	for range 40 {
		b.RecordArrival("a", balance.Arrival{HostSeconds: 1, Length: time.Second, Slack: time.Second}, now)
		now = now.Add(tick)
	}
	if busy := b.WantedHosts(balance.Pool{Name: "a"}, 0, now); busy < idle+3 {
		t.Errorf("%d hosts with 10 host-seconds a second on their way, %d with none", busy, idle)
	}
}

// A plan reaches beyond the end of a move, however long moves take.
func TestNeedWithSlowMoves(t *testing.T) {
	const slowMove = time.Minute
	b := balance.New(slowMove)
	headroom := b.WantedHosts(balance.Pool{}, 0, time.Time{})
	long := func(hosts float64, latest time.Duration) balance.Work {
		return balance.Work{Hosts: hosts, Latest: latest, Expiry: 3 * latest, Length: 30 * time.Second}
	}
	tests := []struct {
		name    string
		left    time.Duration
		waiting []balance.Work
		want    int
	}{
		{"runs that end before a move does", 30 * time.Second, nil, 0},
		{"work that can wait for running tasks", 30 * time.Second, []balance.Work{long(3.75, 50*time.Second)}, 4},
		{"work that can't", 3 * time.Minute, []balance.Work{long(3.75, 70*time.Second)}, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := balance.Pool{Hosts: 4, Running: []balance.Run{{Hosts: 3.75, Left: tt.left}}, Waiting: tt.waiting}
			got := b.WantedHosts(p, 0, time.Time{}) - headroom
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("hosts beyond those of an empty pool (-want +got):\n%s", diff)
			}
		})
	}
}
