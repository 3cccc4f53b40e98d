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
	hostCount  = 24
	perPool    = 6
	budgetMax  = 1
	tickTime   = 10 * time.Second
	tickBudget = 2000
)

// trial is a fleet on stand-ins, with entry hosts that can be replaced.
type trial struct {
	store    *standin.Store
	platform *standin.Platform
	config   move.Config
	policy   wave.Policy
	entry    *entry
}

type entry struct {
	moves *move.Controller
	waves *wave.Controller
}

func hostName(i int) fleet.HostName { return fleet.HostName(fmt.Sprintf("w%02d", i)) }

func newTrial() *trial {
	tr := &trial{store: standin.NewStore(), platform: standin.NewPlatform(), policy: wave.DefaultPolicy()}
	tr.policy.Notice, tr.policy.Tail = fleet.Duration(time.Minute), 0
	var pools []fleet.Pool
	var budgets []fleet.Budget
	for i := range hostCount {
		pool := fleet.PoolName(fmt.Sprintf("p%d", i/perPool))
		if i%perPool == 0 {
			pools = append(pools, fleet.Pool{Name: pool})
			budgets = append(budgets, fleet.Budget{Name: fleet.BudgetName(pool), Pools: []fleet.PoolName{pool}, MaxUnavailable: budgetMax})
		}
		zone := fleet.ZoneName(fmt.Sprintf("z%d", i%4))
		tr.platform.PutHost(fleet.Host{Name: hostName(i), Pool: pool, Zone: zone, Rack: fleet.RackName(fmt.Sprint(zone, i/8))})
	}
	tr.config = move.Config{
		Revision: 1,
		Pools:    fleet.NewTable(func(p fleet.Pool) fleet.PoolName { return p.Name }, pools...),
		Budgets:  fleet.NewTable(func(b fleet.Budget) fleet.BudgetName { return b.Name }, budgets...),
	}
	tr.replaceEntry()

	return tr
}

// replaceEntry forgets everything that is not in the store.
func (tr *trial) replaceEntry() {
	e := &entry{}
	e.waves = wave.New(tr.store.Client(), func() wave.Policy { return tr.policy }, func() wave.Hosts { return e.moves.View().Hosts }, func() bool { return true })
	e.moves = move.New(tr.store.Client(), tr.platform.Client(), func() (move.Config, bool) { return tr.config, true },
		move.WithProposals(e.waves.Propose))
	tr.entry = e
}

func (tr *trial) step(ctx context.Context, t *testing.T) {
	t.Helper()
	_, _ = tr.entry.moves.Step(ctx, time.Now())
	_ = tr.entry.waves.Step(ctx, time.Now())
	time.Sleep(tickTime)
}

// outage is what is out of service at one moment.
type outage struct {
	perPool map[fleet.PoolName]int
	zones   map[fleet.ZoneName]bool
}

func (tr *trial) outage() outage {
	o := outage{map[fleet.PoolName]int{}, map[fleet.ZoneName]bool{}}
	for _, name := range tr.platform.OutOfService() {
		r := tr.entry.moves.View().Hosts[name].Value
		o.perPool[r.Pool]++
		o.zones[r.Zone] = true
	}

	return o
}

func (o outage) most() int {
	n := 0
	for _, out := range o.perPool {
		n = max(n, out)
	}

	return n
}

// TestWholeWave holds that each host is rebooted once, zone by zone and under the budgets, with every entry host
// replaced again and again.
func TestWholeWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrial()
		for i := 0; i < tickBudget && tr.entry.waves.Record().State != wave.Done; i++ {
			if i%7 == 0 {
				tr.replaceEntry()
			}
			tr.step(t.Context(), t)
			if o := tr.outage(); o.most() > budgetMax || len(o.zones) > 1 {
				t.Fatalf("out of service: %v, in zones %v", o.perPool, o.zones)
			}
		}
		for i := range hostCount {
			if n := tr.platform.Boots(hostName(i)); n != 1 {
				t.Errorf("%s was rebooted %d times, want once", hostName(i), n)
			}
		}
		if p := tr.entry.waves.Progress(time.Now()); p.Hold != wave.HoldEnded || p.Done != hostCount {
			t.Errorf("progress %+v", p)
		}
	})
}

func TestLossPausesWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrial()
		for range 15 {
			tr.step(t.Context(), t)
		}
		tr.platform.SetCrashed(hostName(3), true)
		for range 5 {
			tr.step(t.Context(), t)
		}
		p := tr.entry.waves.Progress(time.Now())
		if p.Hold != wave.HoldLoss || p.HoldHost != hostName(3) {
			t.Fatalf("progress %+v, want a hold for the loss of %s", p, hostName(3))
		}
		boots := tr.boots()
		for time.Now().Before(p.HoldUntil) {
			tr.step(t.Context(), t)
		}
		// Hosts that were drained when the loss came may still be rebooted.
		if n := tr.boots() - boots; n > hostCount/perPool {
			t.Errorf("%d reboots during the pause", n)
		}
		for range tickBudget {
			tr.step(t.Context(), t)
		}
		if p := tr.entry.waves.Progress(time.Now()); p.Left == 0 || p.State != wave.Running || len(p.Lost) != 1 {
			t.Errorf("progress %+v, want pool p0 held back by the lost host's unit", p)
		}
		tr.platform.SetCrashed(hostName(3), false)
		for i := 0; i < tickBudget && tr.entry.waves.Record().State != wave.Done; i++ {
			tr.step(t.Context(), t)
		}
		if tr.entry.waves.Record().State != wave.Done {
			t.Errorf("the wave did not end after the host came back: %+v", tr.entry.waves.Progress(time.Now()))
		}
	})
}

func (tr *trial) boots() int {
	n := 0
	for i := range hostCount {
		n += tr.platform.Boots(hostName(i))
	}

	return n
}

func TestPauseIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrial()
		tr.step(t.Context(), t)
		if err := tr.entry.waves.Pause(t.Context(), "operator"); err != nil {
			t.Fatal(err)
		}
		tr.replaceEntry()
		for range 100 {
			tr.step(t.Context(), t)
		}
		if n := tr.boots(); n != 0 {
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

// TestOutageInWave loses a rack, a zone or the store in the middle of a wave, and holds that no host is drained
// meanwhile and that the wave ends once they are back.
func TestOutageInWave(t *testing.T) {
	lose := func(in func(i int) bool) func(*trial, bool) {
		return func(tr *trial, lost bool) {
			for i := range hostCount {
				if in(i) {
					tr.platform.SetCrashed(hostName(i), lost)
				}
			}
		}
	}
	cases := []struct {
		name string
		set  func(tr *trial, lost bool)
	}{
		{"zone", lose(func(i int) bool { return i%4 == 2 })},
		{"three hosts of a zone", lose(func(i int) bool { return i%4 == 1 && i < 12 })},
		{"most of a zone in maintenance", lose(func(i int) bool { return i%4 == 0 && i > 0 })},
		{"store", func(tr *trial, lost bool) {
			tr.store.SetFault(standin.FaultNone)
			if lost {
				tr.store.SetFault(standin.FaultDown)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := newTrial()
				for range 20 {
					tr.step(t.Context(), t)
				}
				tc.set(tr, true)
				// A loss becomes known after its grace; drains that began before it may still be called.
				for range 10 {
					tr.step(t.Context(), t)
				}
				drains := tr.platform.Calls()["Drain"]
				for range 700 {
					tr.step(t.Context(), t)
				}
				if n := tr.platform.Calls()["Drain"] - drains; n != 0 {
					t.Errorf("%d drains during the outage", n)
				}
				tc.set(tr, false)
				for i := 0; i < tickBudget && tr.entry.waves.Record().State != wave.Done; i++ {
					tr.step(t.Context(), t)
				}
				if p := tr.entry.waves.Progress(time.Now()); p.Done != hostCount {
					t.Errorf("the wave did not end after the outage: %+v", p)
				}
			})
		})
	}
}
