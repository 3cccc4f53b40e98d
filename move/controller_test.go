package move_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

const (
	poolSize = 6
	tickTime = 10 * time.Second
)

// testFleet is a small fleet on fake services, with some controllers.
type testFleet struct {
	store       *standin.Store
	platform    *standin.Platform
	config      move.Config
	controllers []*move.Controller
	crashed     map[fleet.HostName]bool
}

func hostName(i int) fleet.HostName { return fleet.HostName(fmt.Sprintf("w%02d", i)) }

func newTestFleet(controllers int, propose func(move.View, time.Time) []move.Proposal, opts ...move.Option) *testFleet {
	f := &testFleet{store: standin.NewStore(), platform: standin.NewPlatform(), crashed: map[fleet.HostName]bool{}}
	for i := range 2 * poolSize {
		pool := fleet.PoolName("a")
		if i >= poolSize {
			pool = "b"
		}
		f.platform.PutHost(fleet.Host{Name: hostName(i), Pool: pool, Zone: fleet.ZoneName(fmt.Sprintf("z%d", i%4)), Rack: "r"})
	}
	f.config = poolsAB(fleet.Budget{Name: "pool-a", Pools: []fleet.PoolName{"a"}, MaxUnavailable: 2}, fleet.Budget{Name: "all", MaxUnavailable: 3})
	config := func() (move.Config, bool) { return f.config, true }
	for range controllers {
		all := append([]move.Option{move.WithProposals(propose)}, opts...)
		f.controllers = append(f.controllers, move.New(f.store.Client(), f.platform.Client(), config, all...))
	}

	return f
}

// plannedOutages counts the hosts that are out of service without having crashed.
func (f *testFleet) plannedOutages() int {
	n := 0
	for _, h := range f.platform.OutOfService() {
		if !f.crashed[h] {
			n++
		}
	}

	return n
}

// proposeSwap proposes to move every host that started in pool a to b and the reverse, half of them with a reboot.
func proposeSwap(v move.View, _ time.Time) []move.Proposal {
	var all []move.Proposal
	for i := range 2 * poolSize {
		to := fleet.PoolName("b")
		if i >= poolSize {
			to = "a"
		}
		if h := v.Hosts[hostName(i)].Value; h.Pool != "" && h.Pool != to {
			all = append(all, move.Proposal{Host: h.Name, To: to, Reboot: i%2 == 0})
		}
	}

	return all
}

// unfinished returns the first deviation from the final state of proposeSwap, or an empty string.
func (f *testFleet) unfinished(ctx context.Context) string {
	f.store.SetFault(standin.FaultNone)
	if _, err := f.controllers[0].Step(ctx, time.Now()); err != nil {
		return err.Error()
	}
	v := f.controllers[0].View()
	for i := range 2 * poolSize {
		want := fleet.PoolName("b")
		if i >= poolSize {
			want = "a"
		}
		if r := v.Hosts[hostName(i)].Value; r.Pool != want || r.State != fleet.HostLive || r.Intent != nil {
			return fmt.Sprintf("%s is %s in %s, wanted in %s", hostName(i), r.State, r.Pool, want)
		}
	}
	for name, bud := range v.Budgets {
		if n := bud.Value.Held(); n != 0 {
			return fmt.Sprintf("budget %s keeps %d units", name, n)
		}
	}
	if out := f.platform.OutOfService(); len(out) > 0 {
		return fmt.Sprintf("%v out of service", out)
	}

	return ""
}

// TestRandomFaults checks that three controllers swap the hosts of two pools within the budgets, while calls to the store
// and the platform fail, steps are interrupted and hosts crash.
func TestRandomFaults(t *testing.T) {
	faults := []standin.Fault{standin.FaultNone, standin.FaultNone, standin.FaultDown, standin.FaultAnswerLost}
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 5))
				f := newTestFleet(3, proposeSwap)
				for range 300 {
					f.store.SetFault(faults[rng.IntN(len(faults))])
					f.platform.SetFault(faults[rng.IntN(len(faults))])
					f.crashRandomly(rng)
					stepInterrupted(t.Context(), f.controllers[rng.IntN(3)], rng)
					if n := f.plannedOutages(); n > 3 {
						t.Fatalf("%d planned outages at once, want at most 3", n)
					}
					time.Sleep(tickTime)
				}
				f.platform.SetFault(standin.FaultNone)
				f.restoreCrashed()
				for range 600 {
					if f.unfinished(t.Context()) == "" {
						return
					}
					time.Sleep(tickTime)
				}
				t.Error(f.unfinished(t.Context()))
			})
		})
	}
}

// stepInterrupted steps a controller, half of the time with a cancelled context.
func stepInterrupted(ctx context.Context, c *move.Controller, rng *rand.Rand) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if rng.IntN(2) == 0 {
		cancel()
	}
	_, _ = c.Step(ctx, time.Now())
}

func (f *testFleet) crashRandomly(rng *rand.Rand) {
	h := hostName(rng.IntN(2 * poolSize))
	if rng.IntN(20) == 0 && len(f.crashed) < 2 {
		f.crashed[h] = true
		f.platform.SetCrashed(h, true)
	}
	for name := range f.crashed {
		if rng.IntN(20) == 0 {
			f.platform.SetCrashed(name, false)
		}
	}
}

func (f *testFleet) restoreCrashed() {
	for name := range f.crashed {
		f.platform.SetCrashed(name, false)
	}
}

// TestStaleReader checks that a host refuses a task sent under the record of a pool that it has left.
func TestStaleReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, proposeSwap)
		old := map[fleet.HostName]uint64{}
		for range 400 {
			_, _ = f.controllers[0].Step(t.Context(), time.Now())
			for name, v := range f.controllers[0].View().Hosts {
				if _, seen := old[name]; !seen {
					old[name] = v.Revision
				}
			}
			time.Sleep(tickTime)
		}
		if s := f.unfinished(t.Context()); s != "" {
			t.Fatal(s)
		}
		for name, revision := range old {
			err := f.platform.Client().StartTask(t.Context(), hostapi.TaskStart{Job: "j", Host: name, Token: 1, HostFence: revision})
			if !errors.Is(err, hostapi.ErrFenced) {
				t.Errorf("%s took a task under the record of its old pool: %v", name, err)
			}
		}
	})
}

func proposeReboot(v move.View, _ time.Time) []move.Proposal {
	if h := v.Hosts[hostName(0)].Value; h.Name != "" && h.LastMaintained.IsZero() {
		return []move.Proposal{{Host: h.Name, Reboot: true}}
	}

	return nil
}

func (f *testFleet) runSteps(ctx context.Context, n int) move.Report {
	var rep move.Report
	for range n {
		rep, _ = f.controllers[0].Step(ctx, time.Now())
		time.Sleep(tickTime)
	}

	return rep
}

// heldUnits returns how many units of pool a's budget are held.
func (f *testFleet) heldUnits() int {
	return f.controllers[0].View().Budgets["pool-a"].Value.Held()
}

func TestHostThatDoesNotReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, proposeReboot)
		f.runSteps(t.Context(), 1)
		f.platform.SetNeverReturns(hostName(0), true)
		rep := f.runSteps(t.Context(), 400)
		if len(rep.Waits) != 1 || rep.Waits[0].Reason != move.WaitNotReturned || f.heldUnits() != 1 {
			t.Errorf("waits %v with %d units held, want NotReturned and one unit", rep.Waits, f.heldUnits())
		}
		f.platform.RemoveHost(hostName(0))
		if err := f.controllers[0].Remove(t.Context(), hostName(0)); err != nil {
			t.Fatal(err)
		}
		if f.runSteps(t.Context(), 2); f.heldUnits() != 0 {
			t.Errorf("%d units held after the host was removed", f.heldUnits())
		}
		if err := f.controllers[0].Remove(t.Context(), hostName(1)); !errors.Is(err, move.ErrInService) {
			t.Errorf("removal of a host that is up: %v", err)
		}
	})
}

func TestDrainWaitsForTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked int
		f := newTestFleet(1, proposeReboot, move.WithQuiesce(func(context.Context, move.Wait) { asked++ }), move.WithDrainLimit(time.Hour))
		f.runSteps(t.Context(), 1)
		start := hostapi.TaskStart{Job: "j", Host: hostName(0), Token: 1, HostFence: 1 << 40, LeaseTTL: fleet.Duration(24 * time.Hour)}
		if err := f.platform.Client().StartTask(t.Context(), start); err != nil {
			// The first step may have drained the host already; it then refuses the task.
			t.Fatal(err)
		}
		rep := f.runSteps(t.Context(), 10)
		if len(rep.Waits) != 1 || rep.Waits[0].Reason != move.WaitTasks || asked == 0 || f.platform.Boots(hostName(0)) != 0 {
			t.Errorf("waits %v, quiesce asked %d times, %d reboots", rep.Waits, asked, f.platform.Boots(hostName(0)))
		}
		f.platform.FinishTask(hostName(0), "j", hostapi.TaskDone)
		f.runSteps(t.Context(), 100)
		if n := f.platform.Boots(hostName(0)); n != 1 || f.platform.CutOff() != 0 || f.heldUnits() != 0 {
			t.Errorf("%d reboots, %d tasks cut off, %d units held", n, f.platform.CutOff(), f.heldUnits())
		}
	})
}

func TestStoreDown(t *testing.T) {
	f := newTestFleet(1, proposeReboot)
	f.runSteps(t.Context(), 0)
	f.store.SetFault(standin.FaultDown)
	if _, err := f.controllers[0].Step(t.Context(), time.Now()); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("error %v, want ErrUnavailable", err)
	}
	if out := f.platform.OutOfService(); len(out) != 0 {
		t.Errorf("%v went out of service while the store was down", out)
	}
}

// TestDrainWaitsForRequests checks that a host is not rebooted while it serves a request that a client with an outdated
// inventory sent during the drain.
func TestDrainWaitsForRequests(t *testing.T) {
	const lag, service = 5 * time.Second, time.Minute
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, proposeReboot)
		running := 0
		f.platform.SetBusy(hostName(0), func() int { return running })
		f.platform.PutEndpoint(fleet.Endpoint{Name: "e", Host: hostName(0)})
		step := func() { _, _ = f.controllers[0].Step(t.Context(), time.Now()) }
		for len(f.platform.OutOfService()) == 0 {
			step()
		}
		inv, err := f.platform.Client().Inventory(t.Context())
		if err != nil || !inv.Endpoints[0].Leaving {
			t.Errorf("endpoints %v, %v, want the drained host's to be leaving", inv.Endpoints, err)
		}
		step()
		time.Sleep(lag)
		step()
		running++
		for range int(service / tickTime) {
			if n := f.platform.Boots(hostName(0)); n != 0 {
				t.Fatal("rebooted while a request was in progress")
			}
			time.Sleep(tickTime)
			step()
		}
		running--
		if f.runSteps(t.Context(), 100); f.platform.Boots(hostName(0)) != 1 || f.heldUnits() != 0 {
			t.Errorf("%d reboots, %d units held", f.platform.Boots(hostName(0)), f.heldUnits())
		}
	})
}
