package wave_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/record"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/wave"
)

const (
	hostCount      = 24
	perPool        = 6
	maxUnavailable = 1
	tickTime       = 10 * time.Second
	maxTicks       = 2000
)

// testFleet is a fleet on fake services, with an entry host that can be restarted.
type testFleet struct {
	store    *standin.Store
	platform *standin.Platform
	config   move.Config
	policy   wave.Policy
	entry    *entryHost
}

type entryHost struct {
	moves *move.Controller
	waves *wave.Controller
}

func hostName(i int) fleet.HostName { return fleet.HostName(fmt.Sprintf("w%02d", i)) }

func newTestFleet() *testFleet {
	f := &testFleet{store: standin.NewStore(), platform: standin.NewPlatform(), policy: wave.DefaultPolicy()}
	f.policy.Notice, f.policy.Tail = fleet.Duration(time.Minute), 0
	var pools []fleet.Pool
	var budgets []fleet.Budget
	for i := range hostCount {
		pool := fleet.PoolName(fmt.Sprintf("p%d", i/perPool))
		if i%perPool == 0 {
			pools = append(pools, fleet.Pool{Name: pool})
			budgets = append(budgets, fleet.Budget{Name: fleet.BudgetName(pool), Pools: []fleet.PoolName{pool}, MaxUnavailable: maxUnavailable})
		}
		zone := fleet.ZoneName(fmt.Sprintf("z%d", i%4))
		f.platform.PutHost(fleet.Host{Name: hostName(i), Pool: pool, Zone: zone, Rack: fleet.RackName(fmt.Sprint(zone, i/8))})
	}
	f.config = move.Config{
		Revision: 1,
		Pools:    fleet.NewTable(func(p fleet.Pool) fleet.PoolName { return p.Name }, pools...),
		Budgets:  fleet.NewTable(func(b fleet.Budget) fleet.BudgetName { return b.Name }, budgets...),
	}
	f.restartEntry()

	return f
}

// restartEntry replaces the entry host by a new one without any state in memory.
func (f *testFleet) restartEntry() {
	e := &entryHost{}
	e.waves = wave.New(f.store.Client(), func() wave.Policy { return f.policy }, func() wave.Hosts { return e.moves.View().Hosts }, func() bool { return true })
	e.moves = move.New(f.store.Client(), f.platform.Client(), func() (move.Config, bool) { return f.config, true },
		move.WithProposals(e.waves.Propose))
	f.entry = e
}

func (f *testFleet) step(ctx context.Context, t *testing.T) {
	t.Helper()
	_, _ = f.entry.moves.Step(ctx, time.Now())
	_ = f.entry.waves.Step(ctx, time.Now())
	time.Sleep(tickTime)
}

// outage is the hosts out of service at one time.
type outage struct {
	perPool map[fleet.PoolName]int
	zones   map[fleet.ZoneName]bool
}

func (f *testFleet) outage() outage {
	o := outage{map[fleet.PoolName]int{}, map[fleet.ZoneName]bool{}}
	for _, name := range f.platform.OutOfService() {
		r := f.entry.moves.View().Hosts[name].Value
		o.perPool[r.Pool]++
		o.zones[r.Zone] = true
	}

	return o
}

func (o outage) maxPerPool() int {
	n := 0
	for _, out := range o.perPool {
		n = max(n, out)
	}

	return n
}

// TestWaveRebootsEachHostOnce checks that each host is rebooted once, zone by zone and within the budgets, although the
// entry host restarts repeatedly.
func TestWaveRebootsEachHostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		for i := 0; i < maxTicks && f.entry.waves.Record().State != wave.Done; i++ {
			if i%7 == 0 {
				f.restartEntry()
			}
			f.step(t.Context(), t)
			if o := f.outage(); o.maxPerPool() > maxUnavailable || len(o.zones) > 1 {
				t.Fatalf("out of service: %v, in zones %v", o.perPool, o.zones)
			}
		}
		for i := range hostCount {
			if n := f.platform.Boots(hostName(i)); n != 1 {
				t.Errorf("%s was rebooted %d times, want once", hostName(i), n)
			}
		}
		if p := f.entry.waves.Progress(time.Now()); p.Hold != wave.HoldEnded || p.Done != hostCount {
			t.Errorf("progress %+v", p)
		}
	})
}

func TestLossHoldsWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		for range 15 {
			f.step(t.Context(), t)
		}
		f.platform.SetCrashed(hostName(3), true)
		for range 5 {
			f.step(t.Context(), t)
		}
		p := f.entry.waves.Progress(time.Now())
		if p.Hold != wave.HoldUnplannedLoss || p.HoldHost != hostName(3) {
			t.Fatalf("progress %+v, want a hold for the loss of %s", p, hostName(3))
		}
		boots := f.boots()
		for time.Now().Before(p.HoldUntil) {
			f.step(t.Context(), t)
		}
		// Hosts that were draining at the time of the loss may still be rebooted.
		if n := f.boots() - boots; n > hostCount/perPool {
			t.Errorf("%d reboots during the pause", n)
		}
		for range maxTicks {
			f.step(t.Context(), t)
		}
		if p := f.entry.waves.Progress(time.Now()); p.Left == 0 || p.State != wave.Running || len(p.Lost) != 1 {
			t.Errorf("progress %+v, want pool p0 held back by the lost host's unit", p)
		}
		f.platform.SetCrashed(hostName(3), false)
		for i := 0; i < maxTicks && f.entry.waves.Record().State != wave.Done; i++ {
			f.step(t.Context(), t)
		}
		if f.entry.waves.Record().State != wave.Done {
			t.Errorf("the wave did not end after the host returned: %+v", f.entry.waves.Progress(time.Now()))
		}
	})
}

func (f *testFleet) boots() int {
	n := 0
	for i := range hostCount {
		n += f.platform.Boots(hostName(i))
	}

	return n
}

func TestPauseSurvivesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		f.step(t.Context(), t)
		if err := f.entry.waves.Pause(t.Context(), "operator"); err != nil {
			t.Fatal(err)
		}
		f.restartEntry()
		for range 100 {
			f.step(t.Context(), t)
		}
		if n := f.boots(); n != 0 {
			t.Errorf("%d reboots in a paused wave", n)
		}
	})
}

func TestPlan(t *testing.T) {
	hosts := wave.Hosts{}
	for i, zone := range []fleet.ZoneName{"z2", "z1", "z1", "z1"} {
		rack := fleet.RackName(fmt.Sprint("r", i%2))
		hosts[hostName(i)] = record.Versioned[move.Record]{Revision: 1, Value: move.Record{Host: fleet.Host{Name: hostName(i), Zone: zone, Rack: rack}}}
	}
	want := []wave.Stage{
		{Zone: "z1", Racks: []wave.Rack{{"r0", []fleet.HostName{"w02"}}, {"r1", []fleet.HostName{"w01", "w03"}}}},
		{Zone: "z2", Racks: []wave.Rack{{"r0", []fleet.HostName{"w00"}}}},
	}
	if diff := cmp.Diff(want, wave.Plan(hosts)); diff != "" {
		t.Errorf("plan (-want +got):\n%s", diff)
	}
}

func TestMerge(t *testing.T) {
	got := wave.Merge(
		[]move.Proposal{{Host: "a", To: "p"}, {Host: "b", To: "q"}},
		[]move.Proposal{{Host: "b", Reboot: true}, {Host: "c", Reboot: true}},
	)
	want := []move.Proposal{{Host: "a", To: "p"}, {Host: "b", To: "q", Reboot: true}, {Host: "c", Reboot: true}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("merged (-want +got):\n%s", diff)
	}
}

// TestOutageInWave checks that no host is drained while several hosts, a zone or the store are lost during a wave, and
// that the wave ends once they are back.
func TestOutageInWave(t *testing.T) {
	lose := func(in func(i int) bool) func(*testFleet, bool) {
		return func(f *testFleet, lost bool) {
			for i := range hostCount {
				if in(i) {
					f.platform.SetCrashed(hostName(i), lost)
				}
			}
		}
	}
	cases := []struct {
		name string
		set  func(f *testFleet, lost bool)
	}{
		{"zone", lose(func(i int) bool { return i%4 == 2 })},
		{"three hosts of a zone", lose(func(i int) bool { return i%4 == 1 && i < 12 })},
		{"most of a zone in maintenance", lose(func(i int) bool { return i%4 == 0 && i > 0 })},
		{"store", func(f *testFleet, lost bool) {
			f.store.SetFault(standin.FaultNone)
			if lost {
				f.store.SetFault(standin.FaultDown)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet()
				for range 20 {
					f.step(t.Context(), t)
				}
				tc.set(f, true)
				// A loss is detected only after its grace period, so drains that were planned before may still begin.
				for range 10 {
					f.step(t.Context(), t)
				}
				drains := f.platform.Calls()["Drain"]
				for range 700 {
					f.step(t.Context(), t)
				}
				if n := f.platform.Calls()["Drain"] - drains; n != 0 {
					t.Errorf("%d drains during the outage", n)
				}
				tc.set(f, false)
				for i := 0; i < maxTicks && f.entry.waves.Record().State != wave.Done; i++ {
					f.step(t.Context(), t)
				}
				if p := f.entry.waves.Progress(time.Now()); p.Done != hostCount {
					t.Errorf("the wave did not end after the outage: %+v", p)
				}
			})
		})
	}
}
